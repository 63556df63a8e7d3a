"""Share the tables of the platform's store among the fronts of a zone.

One front of the zone, the reader, reads the store and serves its tables to the
other fronts.  This limits the load of many fronts that follow the same tables:
calls to the store are charged, and if each front of a remote region reads a
large configuration after a power failure, the link between the regions is
saturated for seconds.
"""

from celerywharf.sharing._answers import SharedTable, answer
from celerywharf.sharing._election import ElectionStep, Reader, ReaderElection
from celerywharf.sharing._lending import Lending
from celerywharf.sharing._limit_exchange import LimitExchange
from celerywharf.sharing._mirror import Mirror
from celerywharf.sharing._origin_exchange import OriginExchange
from celerywharf.sharing._origin_records import OriginRecords
from celerywharf.sharing._origin_rows import OriginRows
from celerywharf.sharing._peer_exchange import PeerExchange
from celerywharf.sharing._quarantine_exchange import QuarantineExchange
from celerywharf.sharing._quarantine_rows import read_records, release_trait
from celerywharf.sharing._readers import ZoneReaders
from celerywharf.sharing._rollout_control import RolloutControl
from celerywharf.sharing._rollout_exchange import RolloutExchange
from celerywharf.sharing._rollout_rows import read_steps
from celerywharf.sharing._store import SharedStore
from celerywharf.sharing._store_clock import ClockKeeper
from celerywharf.sharing._stored_steps import StoredSteps
from celerywharf.sharing._trials import TrialSchedule

__all__ = (
    'ClockKeeper',
    'ElectionStep',
    'Lending',
    'LimitExchange',
    'Mirror',
    'OriginExchange',
    'OriginRecords',
    'OriginRows',
    'PeerExchange',
    'QuarantineExchange',
    'Reader',
    'ReaderElection',
    'RolloutControl',
    'RolloutExchange',
    'SharedStore',
    'SharedTable',
    'StoredSteps',
    'TrialSchedule',
    'ZoneReaders',
    'answer',
    'read_records',
    'read_steps',
    'release_trait',
)
