"""Messages that keep the replicas of the shared table together."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TableRow:
    """A row; ``fields`` is a JSON object, empty when the row is deleted."""

    kind: str
    key: str
    version: int
    revision: int
    fields: str


@dataclass(frozen=True, slots=True)
class TableDelta:
    """Rows that bring a replica from one revision to a later one.

    Attributes:
        since: lowest revision that the receiver must have.
        upto: revision of the sender.
        rows: rows set after ``since``, in order of revision.
        more: the rows end before ``upto``; pull on from the last one.
    """

    since: int
    upto: int
    rows: list[TableRow]
    more: bool


@dataclass(frozen=True, slots=True)
class TablePull:
    """Asks for what was set after a revision; the answer is a TableDelta."""

    since: int


@dataclass(frozen=True, slots=True)
class TablePush:
    """Brings news to be applied and pushed on inside the receiver's zone.

    Attributes:
        root: inner address of the host that brought it into the zone.
        delta: the news.
    """

    root: str
    delta: TableDelta


@dataclass(frozen=True, slots=True)
class TableDigest:
    """Says what a replica has; the answer is the peer's TableDigest.

    Attributes:
        host: name of the sender.
        availability_zone: where it stands.
        revision: highest revision applied.
        checksum: over all rows.
        ready: False until it has read the platform or its peers once.
        platform_age_s: seconds since its state was known to be the
            platform's.
    """

    host: str
    availability_zone: str
    revision: int
    checksum: int
    ready: bool
    platform_age_s: float
