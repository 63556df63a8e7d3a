"""Messages among fronts: rows of the store, retries and request limits."""

from __future__ import annotations

from dataclasses import dataclass, field

from celerywharf.wire.peers import PeerEntry

WHOLE_TABLE = -1


@dataclass(frozen=True, slots=True)
class ServerLimit:
    """What a backend server has stated of its request limit.

    Attributes:
        incarnation: the incarnation of the backend server.
        availability_zone: zone of the backend server.
        has_limit: whether it states a limit.
        per_s: requests a second that it takes from all hosts together.
        at_s: when an answer said so, on the store's clock, seconds.
    """

    incarnation: str
    availability_zone: str
    has_limit: bool
    per_s: float
    at_s: float


@dataclass(frozen=True, slots=True)
class TableQuestion:
    """Asks for a table or for its changes; the reply is a ``TableAnswer``.

    Attributes:
        table: name of the table.
        after: version after which changes are requested, or ``WHOLE_TABLE``.
        wait_s: longest wait for the first change, seconds.
        era: era of the store of that version; 0 if unknown.
        peers: the asking host, if it takes in requests of others.
        by_digest: large content may be named by its digest.
        known: the asking host knows of the rows up to this version, though
            it lacks contents; they are no reason to answer before ``wait_s``.
        by_snapshot: a whole table may come as a snapshot and what that lacks.
    """

    table: str
    after: int
    wait_s: float
    era: int = 0
    peers: list[PeerEntry] = field(default_factory=list)
    by_digest: bool = False
    known: int = 0
    by_snapshot: bool = False


@dataclass(frozen=True, slots=True)
class SharedRow:
    """A row of a shared table.

    Attributes:
        key: key of the row in the table.
        content: content of the row; empty unless ``readable``.
        readable: whether the store's content could be decoded.
        removed: whether the row was removed.
        version: version of the table in which the row was read.
        digest: digest of the content, if that is to be asked for by a
            ``ContentQuestion``; empty if it is in ``content``.
    """

    key: str
    content: bytes
    readable: bool
    removed: bool
    version: int
    digest: bytes = b''


@dataclass(frozen=True, slots=True)
class TableAnswer:
    """The requested rows.

    Attributes:
        rows: all rows, or those that changed.
        version: version to use as ``after`` in the next request.
        store_s: the store's clock at the last successful read, seconds;
            ``-inf`` if the reader has confirmed nothing yet in ``era``.
        zone_hosts: number of hosts that read from this reader, itself
            included; 0 if unknown.
        limits: the request limits that servers have stated lately.
        era: era of the store in which the rows were read; 0 if unknown.
        store_answered_s: when the store last answered the reader for the table,
            seconds after the question arrived; negative if that was before.
        receiving: the store is sending the reader a large answer, so the rows
            may be older than usual.
        removals_known: ``removed_keys`` are all API keys that the rows take
            away from the version after which changes were requested.
        removed_keys: API keys that are not accepted any more.
        snapshot: digest of a content with the older rows, to be asked for by a
            ``ContentQuestion``; empty if all are in ``rows``.
        clock_known: the reader knows the store's clock in ``era``.
        latest_arrival_s: the latest time that the store's clock may have had
            when the question arrived, seconds.
        earliest_reply_s: the earliest time that it may have had when the
            answer was sent.
    """

    rows: list[SharedRow]
    version: int
    store_s: float
    zone_hosts: int = 0
    limits: list[ServerLimit] = field(default_factory=list)
    era: int = 0
    store_answered_s: float = 0
    receiving: bool = False
    removals_known: bool = False
    removed_keys: list[str] = field(default_factory=list)
    snapshot: bytes = b''
    clock_known: bool = False
    latest_arrival_s: float = 0
    earliest_reply_s: float = 0


@dataclass(frozen=True, slots=True)
class ContentQuestion:
    """Asks for a piece of a content; the reply is a ``ContentAnswer``.

    Asking a reader from the end on says that the host has the whole.

    Attributes:
        digest: digest of the content.
        offset: bytes of the compressed content that the host has.
        whole: the host has all of it.
        address: where the host serves others, ``ip:port``.
        key: proves to it that a question comes from a host of the zone.
    """

    digest: bytes
    offset: int
    whole: bool
    address: str
    key: bytes


@dataclass(frozen=True, slots=True)
class ContentAnswer:
    """A piece of a content, or who else has it.

    Attributes:
        piece: the bytes after the offset of the question; empty if there is
            no turn for the host yet, or another host gives them.
        size: bytes of the whole compressed content.
        giver_address: where to ask for the rest, ``ip:port``; empty for the
            host that answers.
        giver_key: the key of that host.
    """

    piece: bytes
    size: int
    giver_address: str = ''
    giver_key: bytes = b''


@dataclass(frozen=True, slots=True)
class RetryQuestion:
    """Asks the zone's reader for a retry; the reply is a ``RetryAnswer``.

    Attributes:
        service: name of the service.
        requests: requests of callers that the host has not reported before,
            by age in twentieths of the window, youngest first.
        retries: retries of its own that it has not reported before.
        in_progress: whether a caller already has a part of the answer.
    """

    service: str
    requests: list[int]
    retries: int
    in_progress: bool


@dataclass(frozen=True, slots=True)
class RetryAnswer:
    """The reader's decision.

    Attributes:
        lent: whether the host may retry.
        zone_hosts: number of hosts that read from this reader, itself
            included.
    """

    lent: bool
    zone_hosts: int


@dataclass(frozen=True, slots=True)
class LimitQuestion:
    """Asks to send one request to a server; the reply is a ``LimitAnswer``.

    Attributes:
        limit: what the asking host knows of the server.
        in_progress: whether a caller already has a part of the answer.
    """

    limit: ServerLimit
    in_progress: bool


@dataclass(frozen=True, slots=True)
class LimitAnswer:
    """The decision on one request to a server.

    Attributes:
        granted: whether the host may send the request.
        wait_s: if not, when to ask again, seconds.
    """

    granted: bool
    wait_s: float


@dataclass(frozen=True, slots=True)
class LimitNotice:
    """Passes on what a server has stated to the sending host."""

    limit: ServerLimit
