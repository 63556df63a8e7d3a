"""All decisions about one generation at its owner."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from celerywharf.generations._attempts import (
    LENGTH_REASON,
    AttemptLogic,
    Retry,
)
from celerywharf.generations._paces import Paces
from celerywharf.generations._replications import REPLICATE, ReplicationLogic
from celerywharf.generations.journals import Journal
from celerywharf.generations.messages import (
    Action,
    AttemptFailed,
    AttemptPlaced,
    AttemptRefused,
    Begin,
    CallerAttached,
    CallersGone,
    CallersReady,
    CallersSlow,
    Deliver,
    EndArrived,
    Fail,
    Message,
    NewerOwner,
    NoReplica,
    Reattach,
    ReplicaLost,
    ReplicaStored,
    Stop,
    TakenOver,
    Tick,
    TokensArrived,
)
from celerywharf.tables import Policy

PAUSE_S = 0.5
LINGER_S = 0.5
STALE_EPOCH = 'stale_epoch'

Actions = Sequence[Action]
ONLY_REPLICATE: Actions = (REPLICATE,)


@dataclass(frozen=True, slots=True)
class Bounds:
    """Times that bound a generation, seconds.

    Attributes:
        replicate_s: longest wait for a replica.
        keep_s: how long a journal outlives its callers.
        deadline_s: how long a new generation may go without its first token.
    """

    replicate_s: float
    keep_s: float
    deadline_s: float


class GenerationLogic:
    """Decides; takes a message and the time, returns actions.

    Attributes:
        journal: the generation's journal.
        attempts: decisions about engines.
        replication: decisions about the replica and delivery.
        stopped: the generation failed here or belongs to another owner.
        gone_s: since when nobody reads it, None while somebody does.
        idle: no attempt runs because nobody reads.
        heard_s: time of the last message.
    """

    def __init__(
        self,
        journal: Journal,
        policy: Policy,
        paces: Paces,
        bounds: Bounds,
        now: float,
    ) -> None:
        self.journal = journal
        self.bounds = bounds
        self.attempts = AttemptLogic(
            journal,
            policy,
            paces,
            bounds.keep_s,
            Retry(give_up_s=now + bounds.deadline_s),
            journal.attempt,
        )
        self.replication = ReplicationLogic(bounds.replicate_s, bounds.keep_s)
        self.stopped = False
        self.gone_s: float | None = None
        self.idle = False
        self.heard_s = now

    def take_tokens(
        self,
        number: int,
        offset: int,
        tokens: list[str],
        now: float,
    ) -> Actions:
        """Decide on ``TokensArrived``; apart because it is the hot path."""
        if self.stopped:
            return ()
        woken = self._notice_pause(now)
        others = self.attempts.take(number, offset, tokens, now)
        if others is None:
            return woken
        replication = self.replication
        if others or woken or replication.degraded:
            return self._grown(now, [*woken, *others])
        if replication.waiting_s is None:
            replication.waiting_s = now
        return ONLY_REPLICATE

    def take_stored(
        self,
        replica: str,
        offset: int,
        sent_s: float,
        now: float,
    ) -> int:
        """Decide on the usual ``ReplicaStored``, the other hot path.

        Returns:
            Number of tokens that may be delivered; -1 when the message needs
            the whole decision of ``handle``.
        """
        replication = self.replication
        if self.stopped or self.journal.finish_reason:
            return -1
        if now - self.heard_s > PAUSE_S:
            return -1
        if replica != replication.replica or sent_s < replication.valid_from_s:
            return -1
        self.heard_s = now
        return replication.took_usual(
            offset,
            sent_s,
            now,
            len(self.journal.tokens),
        )

    def calm(self, now: float) -> bool:
        """Say whether a ``Tick`` would change nothing, cheaply."""
        if self.gone_s is not None or now - self.heard_s > PAUSE_S:
            return False
        if not self.attempts.calm(now) or not self.replication.calm(now):
            return False
        self.heard_s = now
        return True

    def awaits(self, number: int) -> bool:
        """Say whether an attempt is still wanted."""
        return not self.stopped and number in self.attempts.live

    def handle(self, message: Message, now: float) -> Actions:
        """Decide on a message."""
        if self.stopped:
            return ()
        woken = self._notice_pause(now)
        return [*woken, *self._handle(message, now)]

    def _handle(self, message: Message, now: float) -> Actions:
        match message:
            case Tick():
                return self._tick(now)
            case TokensArrived(number, offset, tokens):
                return self.take_tokens(number, offset, tokens, now)
            case ReplicaStored() | ReplicaLost() | NoReplica():
                return self._hear_replica(message, now)
            case Begin() | TakenOver():
                return self._begin(message, now)
            case NewerOwner():
                return self._stop()
            case (
                CallerAttached()
                | CallersGone()
                | CallersSlow()
                | CallersReady()
            ):
                return self._hear_callers(message, now)
        return self._hear_attempt(message, now)

    def _hear_attempt(self, message: Message, now: float) -> Actions:
        attempts = self.attempts
        match message:
            case EndArrived(number, total, reason):
                others = attempts.finish(number, total, reason, now)
                if others is None or not self.journal.finish_reason:
                    return others or ()
                return self._grown(now, others)
            case AttemptPlaced(number, backend_server):
                attempts.place(number, backend_server, now)
            case AttemptFailed(number, kind):
                if kind == STALE_EPOCH:
                    return self._stop()
                return self._fail_attempt(number, kind, now)
            case AttemptRefused(number, error):
                return self._ended_by(attempts.refuse(number, error, now))
        return ()

    def _hear_replica(self, message: Message, now: float) -> Actions:
        replication = self.replication
        length = len(self.journal.tokens)
        finished = bool(self.journal.finish_reason)
        match message:
            case ReplicaStored(replica, offset, stored_finish, sent_s):
                return replication.took(
                    replica,
                    offset,
                    sent_s,
                    now,
                    finished=stored_finish,
                    length=length + (finished and not stored_finish),
                )
            case ReplicaLost(replica, sent_s):
                return replication.lose(replica, sent_s, now)
        return replication.miss(length, now, finished=finished)

    def _hear_callers(self, message: Message, now: float) -> Actions:
        match message:
            case CallersGone():
                self.gone_s = now
                return ()
            case CallersSlow():
                return self.attempts.pause()
            case CallersReady():
                return self.attempts.resume(now)
        self.gone_s = None
        if not self.idle:
            return ()
        self.idle = False
        self.attempts.retry.give_up_s = now + self.bounds.keep_s
        return self._continue(now)

    def _begin(self, message: Message, now: float) -> Actions:
        if isinstance(message, Begin):
            choice = self.replication.begin(now)
            return [*choice, *self.attempts.start(now)]
        journal = self.journal
        length = len(journal.tokens)
        if message.replica:
            choice = self.replication.adopt(message.replica, length, now)
        else:
            choice = self.replication.begin(now)
        finished = bool(journal.finish_reason)
        actions = [*choice, Deliver(length, finished)]
        if finished:
            return actions
        return [*actions, *self._reattach_or_start(now)]

    def _reattach_or_start(self, now: float) -> Actions:
        journal = self.journal
        if not journal.backend_server or self.journal.complete:
            return self._continue(now)
        old = (journal.attempt_epoch, journal.attempt)
        attempt = self.attempts.register(now)
        return [Reattach(attempt.number, *old, journal.backend_server)]

    def _fail_attempt(self, number: int, kind: str, now: float) -> Actions:
        if self.journal.complete and number in self.attempts.live:
            return self._close_complete(now)
        return self.attempts.fail(number, kind, now)

    def _continue(self, now: float) -> Actions:
        if self.journal.finish_reason:
            return ()
        if self.journal.complete:
            return self._close_complete(now)
        return self.attempts.start(now)

    def _close_complete(self, now: float) -> Actions:
        # Only the end mark is missing, and what it says is known.
        self.journal.finish_reason = LENGTH_REASON
        return self._grown(now, self.attempts.cancel_all())

    def _grown(self, now: float, others: list[Action]) -> Actions:
        finished = bool(self.journal.finish_reason)
        length = len(self.journal.tokens)
        return [
            *others,
            *self.replication.grew(length, now, finished=finished),
        ]

    def _tick(self, now: float) -> Actions:
        finished = bool(self.journal.finish_reason)
        length = len(self.journal.tokens)
        actions = self.replication.tick(length, now, finished=finished)
        if finished or self.idle:
            return actions
        if self.gone_s is not None and now - self.gone_s > LINGER_S:
            self.idle = True
            return [*actions, *self.attempts.cancel_all()]
        return [*actions, *self._ended_by(self.attempts.tick(now))]

    def _ended_by(self, actions: list[Action]) -> list[Action]:
        if any(isinstance(action, Fail) for action in actions):
            self.stopped = True
            return [*actions, *self.attempts.cancel_all()]
        return actions

    def _stop(self) -> Actions:
        self.stopped = True
        return [*self.attempts.cancel_all(), Stop()]

    def _notice_pause(self, now: float) -> Actions:
        paused = now - self.heard_s > PAUSE_S
        self.heard_s = now
        if not paused:
            return ()
        self.attempts.forgive(now)
        return self.replication.woke(now)
