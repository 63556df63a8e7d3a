"""Who may give orders to a backend server, and for how long."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

KEY_PREFIX = 'leases/'
RETRY_S = 0.2


@dataclass(frozen=True, slots=True)
class LeaseRow:
    """A lease as the platform's table keeps it.

    Attributes:
        holder: name of the host.
        grant: unique id of this taking of the lease.
        fencing: rises by one with each taking.
        released: the holder gave it back with no order on its way.
    """

    holder: str
    grant: str
    fencing: int
    released: bool = False

    def to_json(self) -> dict[str, Any]:
        """Return it as a JSON object."""
        return {
            'holder': self.holder,
            'grant': self.grant,
            'fencing': self.fencing,
            'released': self.released,
        }

    @classmethod
    def from_json(cls, document: Mapping[str, Any]) -> LeaseRow:
        """Read what ``to_json`` wrote."""
        return cls(**document)


@dataclass(frozen=True, slots=True)
class FoundLease:
    """A lease as read; version 0 and no row when there is none."""

    version: int
    row: LeaseRow | None


@dataclass(frozen=True, slots=True)
class Wanted:
    """Orders are to be given; ``grant`` is a fresh id for a new taking."""

    grant: str


@dataclass(frozen=True, slots=True)
class Found:
    """The row as it stands."""

    lease: FoundLease


@dataclass(frozen=True, slots=True)
class Written:
    """The write took effect."""

    version: int


@dataclass(frozen=True, slots=True)
class InDoubt:
    """The write may have taken effect."""


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The platform is down."""


@dataclass(frozen=True, slots=True)
class Read:
    """Read the row and answer ``Found`` or ``Unavailable``."""


@dataclass(frozen=True, slots=True)
class Write:
    """Write the row under a condition on its version."""

    row: LeaseRow
    version: int


@dataclass(frozen=True, slots=True)
class Wait:
    """Come back with ``Wanted`` after a delay in seconds."""

    delay_s: float


@dataclass(frozen=True, slots=True)
class Ready:
    """Orders may be given as long as ``may_order`` says so."""


Message = Wanted | Found | Written | InDoubt | Unavailable
Action = Read | Write | Wait | Ready


@dataclass(frozen=True, slots=True)
class LeaseTimes:
    """Lengths in seconds.

    Attributes:
        lease_s: how long a taking lasts.
        margin_s: how long before its end the holder stops.
        flight_s: how long an order may be on its way.
    """

    lease_s: float
    margin_s: float
    flight_s: float


class LeaseLogic:
    """Takes the lease of one backend server.

    Clocks are never compared between hosts: the holder counts from before
    it sent the write, everybody else from when the row was first seen as it
    is.  For an engine that does not check fencing numbers the others wait
    longer by the time an order may be on its way.
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
        self.takes = 0
        self.pending: LeaseRow | None = None
        self.sent_at_s: float = 0
        self.held: FoundLease | None = None
        self.valid_until_s: float = 0
        self.watched_version = 0
        self.watched_since_s: float = 0

    @property
    def fencing(self) -> int:
        """Return the fencing number of the lease held."""
        return self.held.row.fencing

    def may_order(self, now: float) -> bool:
        """Tell whether an order may be written now."""
        if self.held is None:
            return False
        return now < self.valid_until_s - self.times.margin_s

    def decide(self, message: Message, now: float) -> Action:
        """Return what to do next."""
        match message:
            case Wanted(grant):
                if self.may_order(now):
                    return Ready()
                self.grant = grant
                return Read()
            case Found(lease):
                return self._found(lease, now)
            case Written(version):
                return self._won(FoundLease(version, self.pending))
            case InDoubt():
                return Read()
        return Wait(RETRY_S)

    def release(self) -> Write | None:
        """Give the lease back; only with no order on its way."""
        held = self.held
        self.lose()
        if held is None:
            return None
        return Write(replace(held.row, released=True), held.version)

    def lose(self) -> None:
        """Stop at once; our row counts as another's from now on."""
        self.held = None
        self.pending = None

    def _found(self, found: FoundLease, now: float) -> Action:
        if found.row is None:
            return self._take(found, now)
        if self.pending and found.row == self.pending:
            return self._recognise(found, now)
        if found.row.released:
            return self._take(found, now)
        return self._watch(found, now)

    def _recognise(self, found: FoundLease, now: float) -> Action:
        """Our own taking, whose answer was lost or that has run out."""
        if now < self.sent_at_s + self.times.lease_s - self.times.margin_s:
            return self._won(found)
        return self._take(found, now)

    def _watch(self, found: FoundLease, now: float) -> Action:
        if found.version != self.watched_version:
            self.watched_version = found.version
            self.watched_since_s = now
        lapse_s = self.times.lease_s
        if not self.checks_fencing:
            lapse_s += self.times.flight_s
        left_s = self.watched_since_s + lapse_s - now
        if left_s > 0:
            return Wait(left_s)
        return self._take(found, now)

    def _take(self, found: FoundLease, now: float) -> Action:
        """Write a row that no earlier write of ours can be taken for."""
        fencing = found.row.fencing if found.row else 0
        self.takes += 1
        grant = f'{self.grant}.{self.takes}'
        self.pending = LeaseRow(self.host, grant, fencing + 1)
        self.sent_at_s = now
        return Write(self.pending, found.version)

    def _won(self, lease: FoundLease) -> Action:
        self.held = lease
        self.valid_until_s = self.sent_at_s + self.times.lease_s
        return Ready()
