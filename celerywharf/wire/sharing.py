"""Messages by which a front shares rows that it has read from the store."""

from __future__ import annotations

from dataclasses import dataclass

WHOLE_TABLE = -1


@dataclass(frozen=True, slots=True)
class TableQuestion:
    """Asks for a table or for its changes; the reply is a ``TableAnswer``.

    Attributes:
        table: name of the table.
        after: version after which changes are requested, or ``WHOLE_TABLE``.
        wait_s: longest wait for the first change, seconds.
    """

    table: str
    after: int
    wait_s: float


@dataclass(frozen=True, slots=True)
class SharedRow:
    """A row of a shared table.

    Attributes:
        key: key of the row in the table.
        content: content of the row; empty unless ``readable``.
        readable: whether the store's content could be decoded.
        removed: whether the row was removed.
        version: version of the table in which the row was read.
    """

    key: str
    content: bytes
    readable: bool
    removed: bool
    version: int


@dataclass(frozen=True, slots=True)
class TableAnswer:
    """The requested rows.

    Attributes:
        rows: all rows, or those that changed.
        version: version to use as ``after`` in the next request.
        store_s: the store's clock at the last successful read, seconds.
    """

    rows: list[SharedRow]
    version: int
    store_s: float
