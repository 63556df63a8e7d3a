"""Decides what to do with a call that has an idempotency key."""

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
class ClaimWriteFinished:
    """The write of the claim has ended, successfully or not."""

    outcome: WriteOutcome


@dataclass(frozen=True, slots=True)
class HolderAnswered:
    """The host of the attempt that holds the key returned its answer."""

    answer: RecordedAnswer


@dataclass(frozen=True, slots=True)
class HolderUnavailable:
    """The holder cannot be reached or has no answer."""


@dataclass(frozen=True, slots=True)
class CallAnswered:
    """The call was sent and answered."""

    answer: RecordedAnswer


@dataclass(frozen=True, slots=True)
class CallFailed:
    """The call was given up without an answer."""

    verdict: Verdict


@dataclass(frozen=True, slots=True)
class SendCall:
    """Send the call: this attempt holds the claim."""


@dataclass(frozen=True, slots=True)
class AskHolder:
    """Ask the host that made the claim for its answer."""

    row: ClaimRow


@dataclass(frozen=True, slots=True)
class Replay:
    """Return the answer of the earlier attempt to the caller."""

    answer: RecordedAnswer


@dataclass(frozen=True, slots=True)
class Record:
    """Overwrite the claim of this attempt.

    Attributes:
        row: the new row.
        version: version of the claim; 0 when it is not known to be stored,
            and always for minted keys.
    """

    row: ClaimRow
    version: int


@dataclass(frozen=True, slots=True)
class RefuseReusedKey:
    """Refuse the call: its key was used for another call."""


@dataclass(frozen=True, slots=True)
class RefuseNotRun:
    """Refuse the call as not run, with a time to retry after."""


@dataclass(frozen=True, slots=True)
class RefuseAmbiguous:
    """Refuse the call: an earlier attempt under the key may have run."""


Message = (
    ClaimWriteFinished
    | HolderAnswered
    | HolderUnavailable
    | CallAnswered
    | CallFailed
)
Action = (
    SendCall
    | AskHolder
    | Replay
    | Record
    | RefuseReusedKey
    | RefuseNotRun
    | RefuseAmbiguous
)


class ClaimLogic:
    """Decides on one attempt to run a call under an idempotency key.

    The call is sent only after the claim is known to be stored with this
    attempt's id.  A claim is released only when the call was not run.

    Attributes:
        row: the claim of this attempt.
        sent_before: this host sent an earlier attempt under the key, so
            ``not_run`` would be misleading while the table is unavailable.
        version: version of the claim once written, 0 before.
    """

    def __init__(self, row: ClaimRow, *, sent_before: bool) -> None:
        self.row = row
        self.sent_before = sent_before
        self.version = 0

    def decide(self, message: Message) -> list[Action]:
        """Return the actions to carry out, in order."""
        match message:
            case ClaimWriteFinished(outcome):
                return self._after_write(outcome)
            case HolderAnswered(answer):
                return [Replay(answer)]
            case HolderUnavailable():
                return [RefuseAmbiguous()]
            case CallAnswered(answer):
                return [Record(self.row.answered(answer), self.version)]
            case CallFailed(Verdict.not_run):
                return [Record(self.row.released(), self.version)]
        return []

    def _after_write(self, outcome: WriteOutcome) -> list[Action]:
        match outcome:
            case Written(version):
                self.version = version
                return [SendCall()]
            case Taken(found):
                return [self._resolve_taken(found)]
            case NotWritten(in_doubt):
                released = [Record(self.row.released(), 0)]
                return [*(released if in_doubt else ()), self._refuse()]
        # The claim may be held by this attempt, which will not send the call.
        return [Record(self.row.released(), 0), RefuseAmbiguous()]

    def _refuse(self) -> Action:
        return RefuseAmbiguous() if self.sent_before else RefuseNotRun()

    def _resolve_taken(self, found: VersionedRow) -> Action:
        row = found.row
        if row.attempt == self.row.attempt:
            # The claim of this attempt was released after it was given up.
            return self._refuse()
        if row.digest != self.row.digest:
            return RefuseReusedKey()
        if row.state is ClaimState.answered:
            return Replay(row.answer)
        return AskHolder(row)
