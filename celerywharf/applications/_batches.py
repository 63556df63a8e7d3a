"""Groups the writes of claims: many changes, one transaction at a time."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from celerywharf.applications._rows import (
    Change,
    ClaimState,
    NotWritten,
    Taken,
    VersionedRow,
    WriteOutcome,
    Written,
)

CLAIM_WINDOW_S = 0.006
RECORD_WINDOW_S = 0.02
RETRY_S = 0.03
CLOSED_S = 0.25
SLOW_S = 0.5
BATCH_LIMIT_CHANGES = 400
WAITING_LIMIT_CHANGES = 20_000


@dataclass(frozen=True, slots=True)
class Added:
    """A change is wanted."""

    change: Change


@dataclass(frozen=True, slots=True)
class Elapsed:
    """The time of an ``Arm`` has come."""


@dataclass(frozen=True, slots=True)
class Checked:
    """Some time has passed; deadlines are looked at."""


@dataclass(frozen=True, slots=True)
class Committed:
    """The transaction took effect."""

    versions: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class Conflicted:
    """The transaction did not: these rows were not as it wanted."""

    rows: Mapping[str, VersionedRow | None]


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The transaction took no effect: the platform is down."""


@dataclass(frozen=True, slots=True)
class Ambiguous:
    """The transaction may have taken effect, or may yet."""


@dataclass(frozen=True, slots=True)
class Arm:
    """Send ``Elapsed`` after a delay in seconds."""

    delay_s: float


@dataclass(frozen=True, slots=True)
class Commit:
    """Write these changes in one transaction."""

    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class Settle:
    """Tell who wants the change what became of it."""

    change: Change
    outcome: WriteOutcome


Message = (
    Added | Elapsed | Checked | Committed | Conflicted | Unavailable | Ambiguous
)
Action = Arm | Commit | Settle


class BatchLogic:
    """Decides which changes are written when.

    One transaction is under way at a time.  A conflict of one change never
    fails the others: it is settled and the rest are written again.  A change
    whose write was in doubt is written again under the same condition, and
    the conflict shows whether the row bears its attempt id.
    """

    def __init__(self) -> None:
        self.waiting: list[Change] = []
        self.flying: dict[str, Change] = {}
        self.flown_at_s: float = 0
        self.abandoned: set[Change] = set()
        self.armed_until_s: float | None = None
        self.closed_until_s: float = 0

    def decide(self, message: Message, now: float) -> list[Action]:
        """Return what to do next."""
        match message:
            case Added(change):
                return self._added(change, now)
            case Elapsed():
                self.armed_until_s = None
                return self._launch(now)
            case Checked():
                return self._expire(now)
            case Committed(versions):
                return self._committed(versions, now)
            case Conflicted(rows):
                return self._conflicted(rows, now)
            case Unavailable():
                return self._unavailable(now)
        return self._ambiguous(now)

    def _added(self, change: Change, now: float) -> list[Action]:
        full = len(self.waiting) >= WAITING_LIMIT_CHANGES
        if full or (change.is_claim and self._is_closed(now)):
            return [Settle(change, NotWritten())]
        self.waiting.append(change)
        window_s = CLAIM_WINDOW_S if change.is_claim else RECORD_WINDOW_S
        return self._arm(window_s, now)

    def _is_closed(self, now: float) -> bool:
        if now < self.closed_until_s:
            return True
        return bool(self.flying) and now > self.flown_at_s + SLOW_S

    def _arm(self, delay_s: float, now: float) -> list[Action]:
        if self.flying or not self.waiting:
            return []
        due_s = now + delay_s
        if self.armed_until_s is not None and self.armed_until_s <= due_s:
            return []
        self.armed_until_s = due_s
        return [Arm(delay_s)]

    def _launch(self, now: float) -> list[Action]:
        if self.flying:
            return []
        actions = self._expire(now)
        kept = []
        for change in self.waiting:
            full = len(self.flying) >= BATCH_LIMIT_CHANGES
            if full or change.key in self.flying:
                kept.append(change)
            else:
                self.flying[change.key] = change
        self.waiting = kept
        self.flown_at_s = now
        if self.flying:
            actions.append(Commit(tuple(self.flying.values())))
        return actions

    def _expire(self, now: float) -> list[Action]:
        late = [one for one in self.waiting if now >= one.deadline_s]
        if late:
            self.waiting = [one for one in self.waiting if now < one.deadline_s]
        actions = [Settle(one, NotWritten(one.doubtful)) for one in late]
        for change in self.flying.values():
            if now < change.deadline_s or change in self.abandoned:
                continue
            self.abandoned.add(change)
            actions.append(Settle(change, NotWritten(doubtful=True)))
        return actions

    def _land(self) -> list[Change]:
        landed = [
            change
            for change in self.flying.values()
            if change not in self.abandoned
        ]
        self.flying = {}
        self.abandoned.clear()
        return landed

    def _committed(
        self,
        versions: Mapping[str, int],
        now: float,
    ) -> list[Action]:
        actions: list[Action] = [
            Settle(change, Written(versions[change.key]))
            for change in self._land()
        ]
        return actions + self._arm(CLAIM_WINDOW_S, now)

    def _conflicted(
        self,
        rows: Mapping[str, VersionedRow | None],
        now: float,
    ) -> list[Action]:
        if not self.flying.keys() & rows.keys():
            return self._ambiguous(now)
        landed = self._land()
        outcomes = {
            change: _settle_conflict(change, rows[change.key])
            for change in landed
            if change.key in rows
        }
        again = [one for one in landed if outcomes.get(one) is None]
        self.waiting = again + self.waiting
        actions: list[Action] = [
            Settle(change, outcome)
            for change, outcome in outcomes.items()
            if outcome is not None
        ]
        return actions + self._launch(now)

    def _unavailable(self, now: float) -> list[Action]:
        self.closed_until_s = now + CLOSED_S
        changes = self._land() + self.waiting
        self.waiting = [one for one in changes if not one.is_claim]
        actions: list[Action] = [
            Settle(one, NotWritten(one.doubtful))
            for one in changes
            if one.is_claim
        ]
        return actions + self._arm(CLOSED_S, now)

    def _ambiguous(self, now: float) -> list[Action]:
        landed = self._land()
        for change in landed:
            change.doubtful = True
        self.waiting = landed + self.waiting
        return self._expire(now) + self._arm(RETRY_S, now)


def _settle_conflict(
    change: Change,
    found: VersionedRow | None,
) -> WriteOutcome | None:
    """Return the outcome, or None when the change is to be tried again."""
    if found is None:
        change.version = 0
        return None if change.is_claim else NotWritten()
    mine = found.row.attempt == change.row.attempt
    if mine and found.row.state is change.row.state:
        return Written(found.version)
    free = found.row.state is ClaimState.released
    if mine is not change.is_claim and (mine or free):
        change.version = found.version
        return None
    return Taken(found)
