"""One front of a zone reads the store and passes its tables on.

Answers the load of many fronts that follow the same tables: calls to the
store are charged, and after a loss of power a large configuration read by
each front of a far region fills the link between the regions for seconds.
"""

from celerywharf.sharing._answers import SharedTable, answer
from celerywharf.sharing._choice import Reader, ReaderChoice, Step
from celerywharf.sharing._mirror import Mirror
from celerywharf.sharing._store import SharedStore

__all__ = (
    'Mirror',
    'Reader',
    'ReaderChoice',
    'SharedStore',
    'SharedTable',
    'Step',
    'answer',
)
