"""Messages by which a front passes on what it read in the store."""

from __future__ import annotations

from dataclasses import dataclass

WHOLE_TABLE = -1


@dataclass(frozen=True, slots=True)
class TableQuestion:
    """Asks for a table, or for its changes; the answer is a TableAnswer.

    Attributes:
        table: name of the table.
        after: version after which changes are wanted, or ``WHOLE_TABLE``.
        wait_s: how long to wait for the first change, seconds.
    """

    table: str
    after: int
    wait_s: float


@dataclass(frozen=True, slots=True)
class SharedRow:
    """One row.

    Attributes:
        key: its name in the table.
        content: its bytes; empty unless ``readable``.
        readable: the store had bytes that could be decoded.
        removed: the row is gone.
        version: of the reading that brought it.
    """

    key: str
    content: bytes
    readable: bool
    removed: bool
    version: int


@dataclass(frozen=True, slots=True)
class TableAnswer:
    """The rows asked for.

    Attributes:
        rows: all rows, or those that changed.
        version: to go on from.
        store_s: the store's clock when it was last heard, seconds.
    """

    rows: list[SharedRow]
    version: int
    store_s: float
