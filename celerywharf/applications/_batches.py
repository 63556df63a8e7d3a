"""Groups claim changes into transactions, one transaction at a time."""

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

# How long a change waits for others to share its transaction.  The window of
# claims is shorter because their calls wait for it.
CLAIM_WINDOW_S = 0.006
RECORD_WINDOW_S = 0.02
IN_DOUBT_RETRY_S = 0.03
# How long claims are refused after the platform was unavailable.
REFUSAL_S = 0.25
# Claims are refused while a transaction has been unanswered for longer.
SLOW_COMMIT_S = 0.5
BATCH_LIMIT_CHANGES = 400
QUEUE_LIMIT_CHANGES = 20_000


@dataclass(frozen=True, slots=True)
class ChangeAdded:
    """A change is to be written."""

    change: Change


@dataclass(frozen=True, slots=True)
class Elapsed:
    """The timer set by ``ArmTimer`` has fired."""


@dataclass(frozen=True, slots=True)
class Expire:
    """Sent periodically: changes past their deadline are given up."""


@dataclass(frozen=True, slots=True)
class Committed:
    """The transaction took effect.

    Attributes:
        versions: new version of each row by key.
    """

    versions: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class Conflicted:
    """The transaction took no effect: rows had other versions than expected.

    Attributes:
        rows: the conflicting rows by key, None for a row that is absent.
    """

    rows: Mapping[str, VersionedRow | None]


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The transaction took no effect: the platform is unavailable."""


@dataclass(frozen=True, slots=True)
class Ambiguous:
    """The transaction may have taken effect, or may still do so."""


@dataclass(frozen=True, slots=True)
class ArmTimer:
    """Send ``Elapsed`` after ``delay_s`` seconds."""

    delay_s: float


@dataclass(frozen=True, slots=True)
class Commit:
    """Write these changes in one transaction."""

    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class Settle:
    """Report the outcome of a change to the code that requested it."""

    change: Change
    outcome: WriteOutcome


Message = (
    ChangeAdded
    | Elapsed
    | Expire
    | Committed
    | Conflicted
    | Unavailable
    | Ambiguous
)
Action = ArmTimer | Commit | Settle


class BatchLogic:
    """Decides which changes are written in which transaction, and when.

    At most one transaction is in flight.  A conflict of one change never
    fails the others: it is settled and the rest are written again.  A change
    whose write is in doubt is written again under the same condition; if it
    was already written, that conflicts with a row of the same attempt id.

    Attributes:
        queued: changes to be written by a later transaction.
        in_flight: changes of the current transaction by row key.
        committed_at_s: time at which the current transaction was sent.
        abandoned: changes in flight that were settled as in doubt because
            their deadline passed.
        timer_due_s: when the timer fires, None when it is not set.
        refuse_claims_until_s: time before which claims are refused.
    """

    def __init__(self) -> None:
        self.queued: list[Change] = []
        self.in_flight: dict[str, Change] = {}
        self.committed_at_s: float = 0
        self.abandoned: set[Change] = set()
        self.timer_due_s: float | None = None
        self.refuse_claims_until_s: float = 0

    def decide(self, message: Message, now: float) -> list[Action]:
        """Return the actions to carry out, in order."""
        match message:
            case ChangeAdded(change):
                return self._added(change, now)
            case Elapsed():
                self.timer_due_s = None
                return self._start_commit(now)
            case Expire():
                return self._expire(now)
            case Committed(versions):
                return self._committed(versions, now)
            case Conflicted(rows):
                return self._conflicted(rows, now)
            case Unavailable():
                return self._unavailable(now)
        return self._ambiguous(now)

    def _added(self, change: Change, now: float) -> list[Action]:
        is_full = len(self.queued) >= QUEUE_LIMIT_CHANGES
        if is_full or (change.is_claim and self._refuses_claims(now)):
            return [Settle(change, NotWritten())]
        self.queued.append(change)
        window_s = CLAIM_WINDOW_S if change.is_claim else RECORD_WINDOW_S
        return self._arm_timer(window_s, now)

    def _refuses_claims(self, now: float) -> bool:
        if now < self.refuse_claims_until_s:
            return True
        return (
            bool(self.in_flight) and now > self.committed_at_s + SLOW_COMMIT_S
        )

    def _arm_timer(self, delay_s: float, now: float) -> list[Action]:
        if self.in_flight or not self.queued:
            return []
        due_s = now + delay_s
        if self.timer_due_s is not None and self.timer_due_s <= due_s:
            return []
        self.timer_due_s = due_s
        return [ArmTimer(delay_s)]

    def _start_commit(self, now: float) -> list[Action]:
        if self.in_flight:
            return []
        actions = self._expire(now)
        deferred = []
        for change in self.queued:
            is_full = len(self.in_flight) >= BATCH_LIMIT_CHANGES
            if is_full or change.key in self.in_flight:
                deferred.append(change)
            else:
                self.in_flight[change.key] = change
        self.queued = deferred
        self.committed_at_s = now
        if self.in_flight:
            actions.append(Commit(tuple(self.in_flight.values())))
        return actions

    def _expire(self, now: float) -> list[Action]:
        expired = [change for change in self.queued if now >= change.deadline_s]
        if expired:
            self.queued = [
                change for change in self.queued if now < change.deadline_s
            ]
        actions = [
            Settle(change, NotWritten(change.in_doubt)) for change in expired
        ]
        for change in self.in_flight.values():
            if now < change.deadline_s or change in self.abandoned:
                continue
            self.abandoned.add(change)
            actions.append(Settle(change, NotWritten(in_doubt=True)))
        return actions

    def _finish_commit(self) -> list[Change]:
        unsettled = [
            change
            for change in self.in_flight.values()
            if change not in self.abandoned
        ]
        self.in_flight = {}
        self.abandoned.clear()
        return unsettled

    def _committed(
        self,
        versions: Mapping[str, int],
        now: float,
    ) -> list[Action]:
        actions: list[Action] = [
            Settle(change, Written(versions[change.key]))
            for change in self._finish_commit()
        ]
        return actions + self._arm_timer(CLAIM_WINDOW_S, now)

    def _conflicted(
        self,
        rows: Mapping[str, VersionedRow | None],
        now: float,
    ) -> list[Action]:
        if not self.in_flight.keys() & rows.keys():
            return self._ambiguous(now)
        unsettled = self._finish_commit()
        outcomes = {
            change: _resolve_conflict(change, rows[change.key])
            for change in unsettled
            if change.key in rows
        }
        retried = [
            change for change in unsettled if outcomes.get(change) is None
        ]
        self.queued = retried + self.queued
        actions: list[Action] = [
            Settle(change, outcome)
            for change, outcome in outcomes.items()
            if outcome is not None
        ]
        return actions + self._start_commit(now)

    def _unavailable(self, now: float) -> list[Action]:
        self.refuse_claims_until_s = now + REFUSAL_S
        changes = self._finish_commit() + self.queued
        self.queued = [change for change in changes if not change.is_claim]
        actions: list[Action] = [
            Settle(change, NotWritten(change.in_doubt))
            for change in changes
            if change.is_claim
        ]
        return actions + self._arm_timer(REFUSAL_S, now)

    def _ambiguous(self, now: float) -> list[Action]:
        unsettled = self._finish_commit()
        for change in unsettled:
            change.in_doubt = True
        self.queued = unsettled + self.queued
        return self._expire(now) + self._arm_timer(IN_DOUBT_RETRY_S, now)


def _resolve_conflict(
    change: Change,
    found: VersionedRow | None,
) -> WriteOutcome | None:
    """Return the outcome, or None when the change is to be written again."""
    if found is None:
        change.version = 0
        return None if change.is_claim else NotWritten()
    same_attempt = found.row.attempt == change.row.attempt
    if same_attempt and found.row.state is change.row.state:
        return Written(found.version)
    # A claim may replace the released row of another attempt; any other
    # change may replace the row of its own attempt.
    released = found.row.state is ClaimState.released
    if same_attempt is not change.is_claim and (same_attempt or released):
        change.version = found.version
        return None
    return Taken(found)
