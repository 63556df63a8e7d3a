"""What is done with a call that bears an idempotency key."""

from __future__ import annotations

from dataclasses import dataclass

from celerywharf.applications._rows import (
    ClaimRow,
    ClaimState,
    NotWritten,
    RecordedAnswer,
    Taken,
    VersionedRow,
    WriteOutcome,
    Written,
)
from celerywharf.structures import Verdict


@dataclass(frozen=True, slots=True)
class ClaimWritten:
    """The write of the claim has an outcome."""

    outcome: WriteOutcome


@dataclass(frozen=True, slots=True)
class HolderAnswered:
    """The host of the attempt that holds the key told its answer."""

    answer: RecordedAnswer


@dataclass(frozen=True, slots=True)
class HolderSilent:
    """The holder is gone, or knows no answer."""


@dataclass(frozen=True, slots=True)
class CallAnswered:
    """The call was sent and answered."""

    answer: RecordedAnswer


@dataclass(frozen=True, slots=True)
class CallFailed:
    """The call was given up with this verdict."""

    verdict: Verdict


@dataclass(frozen=True, slots=True)
class SendCall:
    """The claim is ours: the call may be sent."""


@dataclass(frozen=True, slots=True)
class AskHolder:
    """Ask the host that made the claim for the answer."""

    row: ClaimRow


@dataclass(frozen=True, slots=True)
class Replay:
    """Give the caller the answer of the earlier attempt."""

    answer: RecordedAnswer


@dataclass(frozen=True, slots=True)
class Record:
    """Write a row over our claim, whose version is known or 0."""

    row: ClaimRow
    version: int


@dataclass(frozen=True, slots=True)
class RefuseReuse:
    """The key stands for another call."""


@dataclass(frozen=True, slots=True)
class RefuseNotRun:
    """Say that nothing was sent and when to come back."""


@dataclass(frozen=True, slots=True)
class RefuseAmbiguous:
    """Say that an earlier attempt under the key may have run."""


Message = (
    ClaimWritten | HolderAnswered | HolderSilent | CallAnswered | CallFailed
)
Action = (
    SendCall
    | AskHolder
    | Replay
    | Record
    | RefuseReuse
    | RefuseNotRun
    | RefuseAmbiguous
)


class ClaimLogic:
    """Decides over one attempt under an idempotency key.

    The call is sent only after the claim is known to be in the table with
    this attempt's id.  A claim is released only when the call was not sent.

    Attributes:
        row: the claim of this attempt.
        sent_before: this host sent an earlier attempt under the key, so that
            ``not_run`` would mislead while the table cannot be asked.
        version: version of the claim once written.
    """

    def __init__(self, row: ClaimRow, *, sent_before: bool) -> None:
        self.row = row
        self.sent_before = sent_before
        self.version = 0

    def decide(self, message: Message) -> list[Action]:
        """Return what to do next."""
        match message:
            case ClaimWritten(outcome):
                return self._written(outcome)
            case HolderAnswered(answer):
                return [Replay(answer)]
            case HolderSilent():
                return [RefuseAmbiguous()]
            case CallAnswered(answer):
                return [Record(self.row.answered(answer), self.version)]
            case CallFailed(Verdict.not_run):
                return [Record(self.row.released(), self.version)]
        return []

    def _written(self, outcome: WriteOutcome) -> list[Action]:
        match outcome:
            case Written(version):
                self.version = version
                return [SendCall()]
            case Taken(found):
                return [self._meet(found)]
            case NotWritten(doubtful):
                released = [Record(self.row.released(), 0)]
                return [*(released if doubtful else ()), self._refuse()]
        return [RefuseAmbiguous()]

    def _refuse(self) -> Action:
        return RefuseAmbiguous() if self.sent_before else RefuseNotRun()

    def _meet(self, found: VersionedRow) -> Action:
        row = found.row
        if row.attempt == self.row.attempt:
            return self._refuse()
        if row.digest != self.row.digest:
            return RefuseReuse()
        if row.state is ClaimState.answered:
            return Replay(row.answer)
        return AskHolder(row)
