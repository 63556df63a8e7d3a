"""Leases that allow one host at a time to send orders to an engine."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

LEASE_KEY_PREFIX = 'leases/'
PLATFORM_RETRY_S = 0.2


@dataclass(frozen=True, slots=True)
class LeaseRow:
    """A lease as stored in the platform's table.

    Attributes:
        holder: name of the host that holds it.
        grant: unique id of this acquisition.
        fencing: fencing number, increased by one with each acquisition.
        released: whether the holder released it, with no order in flight.
    """

    holder: str
    grant: str
    fencing: int
    released: bool = False

    def to_json(self) -> dict[str, Any]:
        """Return the row as a JSON object."""
        return {
            'holder': self.holder,
            'grant': self.grant,
            'fencing': self.fencing,
            'released': self.released,
        }

    @classmethod
    def from_json(cls, document: Mapping[str, Any]) -> LeaseRow:
        """Create a row from the result of ``to_json``."""
        return cls(**document)


@dataclass(frozen=True, slots=True)
class StoredLease:
    """A lease as read; version 0 and row None when it does not exist."""

    version: int
    row: LeaseRow | None


@dataclass(frozen=True, slots=True)
class LeaseNeeded:
    """An order is to be sent.

    Attributes:
        grant: new unique id, used if the lease has to be acquired.
    """

    grant: str


@dataclass(frozen=True, slots=True)
class LeaseRead:
    """The row was read, or a conflicting write returned it."""

    lease: StoredLease


@dataclass(frozen=True, slots=True)
class LeaseWritten:
    """The write succeeded.

    Attributes:
        version: version of the written row.
    """

    version: int


@dataclass(frozen=True, slots=True)
class WriteOutcomeUnknown:
    """The outcome of the write is unknown."""


@dataclass(frozen=True, slots=True)
class PlatformUnavailable:
    """The platform cannot be reached."""


@dataclass(frozen=True, slots=True)
class Read:
    """Action: read the row, then pass LeaseRead or PlatformUnavailable."""


@dataclass(frozen=True, slots=True)
class Write:
    """Action: write the row if its stored version is ``version``."""

    row: LeaseRow
    version: int


@dataclass(frozen=True, slots=True)
class Wait:
    """Action: pass LeaseNeeded again after a delay in seconds."""

    delay_s: float


@dataclass(frozen=True, slots=True)
class Ready:
    """Action: send orders while ``may_send_order`` returns True."""


Message = (
    LeaseNeeded
    | LeaseRead
    | LeaseWritten
    | WriteOutcomeUnknown
    | PlatformUnavailable
)
Action = Read | Write | Wait | Ready


@dataclass(frozen=True, slots=True)
class LeaseTimes:
    """Durations in seconds.

    Attributes:
        lease_s: time for which an acquired lease is valid.
        margin_s: time before the expiry at which the holder stops.
        flight_s: longest time that an order may be in flight.
    """

    lease_s: float
    margin_s: float
    flight_s: float


class LeaseLogic:
    """Acquires and releases the lease of one backend server.

    Clocks are never compared between hosts: the holder measures the lease
    from the time before it sent the write, other hosts from the time at which
    they first read the current version of the row.  If the engine does not
    check fencing numbers, other hosts also wait for as long as an order may
    be in flight.

    Attributes:
        grant: prefix of the id of the next acquisition.
        acquisitions: number of acquisitions tried, to make their ids unique.
        pending: the last row written, None after a discard.
        sent_at_s: monotonic time taken just before that write.
        held: the lease while this host holds it.
    """

    def __init__(
        self,
        host: str,
        times: LeaseTimes,
        *,
        checks_fencing: bool,
    ) -> None:
        self.host = host
        self.times = times
        self.checks_fencing = checks_fencing
        self.grant = ''
        self.acquisitions = 0
        self.pending: LeaseRow | None = None
        self.sent_at_s: float = 0
        self.held: StoredLease | None = None
        self.valid_until_s: float = 0
        self.watched_version = 0
        self.watched_since_s: float = 0

    @property
    def fencing(self) -> int:
        """Fencing number of the held lease."""
        return self.held.row.fencing

    def may_send_order(self, now: float) -> bool:
        """Return whether the lease allows sending an order now."""
        if self.held is None:
            return False
        return now < self.valid_until_s - self.times.margin_s

    def decide(self, message: Message, now: float) -> Action:
        """Apply a message at a monotonic time and return the next action."""
        match message:
            case LeaseNeeded(grant):
                if self.may_send_order(now):
                    return Ready()
                self.grant = grant
                return Read()
            case LeaseRead(lease):
                return self._handle_row(lease, now)
            case LeaseWritten(version):
                return self._acquired(StoredLease(version, self.pending))
            case WriteOutcomeUnknown():
                return Read()
        return Wait(PLATFORM_RETRY_S)

    def release(self) -> Write | None:
        """Return the write that releases the lease, None when not held.

        Call it only while no order is in flight.
        """
        held = self.held
        self.discard()
        if held is None:
            return None
        return Write(replace(held.row, released=True), held.version)

    def discard(self) -> None:
        """Stop using the lease at once.

        The stored row is then treated like that of another holder.
        """
        self.held = None
        self.pending = None

    def _handle_row(self, found: StoredLease, now: float) -> Action:
        if found.row is None:
            return self._acquire(found, now)
        if self.pending and found.row == self.pending:
            return self._resume_own(found, now)
        if found.row.released:
            return self._acquire(found, now)
        return self._wait_for_expiry(found, now)

    def _resume_own(self, found: StoredLease, now: float) -> Action:
        # The row is our own: the response to its write was lost, or the lease
        # has expired.
        if now < self.sent_at_s + self.times.lease_s - self.times.margin_s:
            return self._acquired(found)
        return self._acquire(found, now)

    def _wait_for_expiry(self, found: StoredLease, now: float) -> Action:
        if found.version != self.watched_version:
            self.watched_version = found.version
            self.watched_since_s = now
        expires_after_s = self.times.lease_s
        if not self.checks_fencing:
            expires_after_s += self.times.flight_s
        remaining_s = self.watched_since_s + expires_after_s - now
        if remaining_s > 0:
            return Wait(remaining_s)
        return self._acquire(found, now)

    def _acquire(self, found: StoredLease, now: float) -> Action:
        # The grant id is new, so that no earlier write of this host can be
        # mistaken for this one.
        fencing = found.row.fencing if found.row else 0
        self.acquisitions += 1
        grant = f'{self.grant}.{self.acquisitions}'
        self.pending = LeaseRow(self.host, grant, fencing + 1)
        self.sent_at_s = now
        return Write(self.pending, found.version)

    def _acquired(self, lease: StoredLease) -> Action:
        self.held = lease
        self.valid_until_s = self.sent_at_s + self.times.lease_s
        return Ready()
