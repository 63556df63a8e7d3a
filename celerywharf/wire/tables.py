"""Messages that synchronize the replicas of the shared table."""

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
    """Rows that update a replica from one revision to a later one.

    Attributes:
        since: lowest revision that the receiver must have.
        upto: revision of the sender.
        rows: rows set after ``since``, in order of revision.
        more: whether the rows end before ``upto``; the rest must be pulled
            with the revision of the last row.
    """

    since: int
    upto: int
    rows: list[TableRow]
    more: bool


@dataclass(frozen=True, slots=True)
class TablePull:
    """Asks for rows set after a revision; the reply is a ``TableDelta``."""

    since: int


@dataclass(frozen=True, slots=True)
class TablePush:
    """Sends changes to be applied and forwarded inside the receiver's zone.

    Attributes:
        root: inner address of the host through which the changes entered
            the zone; the root of the tree along which they are forwarded.
        delta: the changes.
    """

    root: str
    delta: TableDelta


@dataclass(frozen=True, slots=True)
class TableDigest:
    """Describes the state of a replica; the reply is the peer's digest.

    Attributes:
        host: name of the sender.
        availability_zone: availability zone of the sender.
        revision: highest applied revision.
        checksum: checksum of all rows.
        ready: False until the replica was read from the platform or from
            peers once.
        platform_age_s: seconds since the replica was known to equal the
            platform's table.
    """

    host: str
    availability_zone: str
    revision: int
    checksum: int
    ready: bool
    platform_age_s: float
