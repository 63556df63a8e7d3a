"""Decisions about one generation at its owner."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from celerywharf.generations._attempts import (
    LENGTH_REASON,
    AttemptLogic,
    Retry,
)
from celerywharf.generations._engine_latencies import EngineLatencies
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

# Ticks are far more frequent, so a longer gap between two messages means
# that this process was paused.
MAX_MESSAGE_GAP_S = 0.5
# How long attempts continue after the last caller disconnected.
DISCONNECT_GRACE_S = 0.5
STALE_EPOCH = 'stale_epoch'

Actions = Sequence[Action]
ONLY_REPLICATE: Actions = (REPLICATE,)


@dataclass(frozen=True, slots=True)
class Bounds:
    """Time limits of a generation, in seconds.

    Attributes:
        replicate_s: longest wait for a replica before delivery without one.
        keep_s: how long a journal is kept after its callers disconnected.
        deadline_s: how long a new generation may take to its first token.
    """

    replicate_s: float
    keep_s: float
    deadline_s: float


class GenerationLogic:
    """Decides on messages, without I/O or reading a clock.

    Attributes:
        journal: the generation's journal.
        bounds: time limits of the generation.
        attempts: decisions about engines.
        replication: decisions about the replica and delivery.
        stopped: the generation failed here or has another owner.
        no_callers_since_s: when the last caller disconnected, None while
            there are callers.
        idle: no attempt runs because there are no callers.
        last_message_s: time of the last message.
    """

    def __init__(
        self,
        journal: Journal,
        policy: Policy,
        latencies: EngineLatencies,
        bounds: Bounds,
        now: float,
    ) -> None:
        self.journal = journal
        self.bounds = bounds
        self.attempts = AttemptLogic(
            journal,
            policy,
            latencies,
            bounds.keep_s,
            Retry(give_up_s=now + bounds.deadline_s),
            journal.attempt,
        )
        self.replication = ReplicationLogic(bounds.replicate_s, bounds.keep_s)
        self.stopped = False
        self.no_callers_since_s: float | None = None
        self.idle = False
        self.last_message_s = now

    def take_tokens(
        self,
        number: int,
        offset: int,
        tokens: list[str],
        now: float,
    ) -> Actions:
        """Handle ``TokensArrived``; separate because it is the hot path."""
        if self.stopped:
            return ()
        pause_actions = self._detect_pause(now)
        others = self.attempts.accept_tokens(number, offset, tokens, now)
        if others is None:
            return pause_actions
        replication = self.replication
        if others or pause_actions or replication.degraded:
            return self._after_extension(now, [*pause_actions, *others])
        if replication.waiting_since_s is None:
            replication.waiting_since_s = now
        return ONLY_REPLICATE

    def take_acknowledgement(
        self,
        replica: str,
        offset: int,
        sent_s: float,
        now: float,
    ) -> int:
        """Handle the usual ``ReplicaStored``, the other hot path.

        Returns:
            Number of tokens that may be delivered; -1 when the message must
            be passed to ``handle`` instead.
        """
        replication = self.replication
        if self.stopped or self.journal.finish_reason:
            return -1
        if now - self.last_message_s > MAX_MESSAGE_GAP_S:
            return -1
        if replica != replication.replica or sent_s < replication.valid_from_s:
            return -1
        self.last_message_s = now
        return replication.acknowledge_fast(
            offset,
            sent_s,
            now,
            len(self.journal.tokens),
        )

    def is_steady(self, now: float) -> bool:
        """Return whether a ``Tick`` can be skipped; a cheap check.

        If so, the time of the last message is updated.
        """
        if (
            self.no_callers_since_s is not None
            or now - self.last_message_s > MAX_MESSAGE_GAP_S
        ):
            return False
        if not self.attempts.is_steady(now) or not self.replication.is_steady(
            now
        ):
            return False
        self.last_message_s = now
        return True

    def is_live(self, number: int) -> bool:
        """Return whether an attempt is in progress."""
        return not self.stopped and number in self.attempts.live

    def handle(self, message: Message, now: float) -> Actions:
        """Handle a message and return the actions to carry out."""
        if self.stopped:
            return ()
        pause_actions = self._detect_pause(now)
        return [*pause_actions, *self._handle(message, now)]

    def _handle(self, message: Message, now: float) -> Actions:
        match message:
            case Tick():
                return self._tick(now)
            case TokensArrived(number, offset, tokens):
                return self.take_tokens(number, offset, tokens, now)
            case ReplicaStored() | ReplicaLost() | NoReplica():
                return self._handle_replica(message, now)
            case Begin() | TakenOver():
                return self._start(message, now)
            case NewerOwner():
                return self._stop()
            case (
                CallerAttached()
                | CallersGone()
                | CallersSlow()
                | CallersReady()
            ):
                return self._handle_callers(message, now)
        return self._handle_attempt(message, now)

    def _handle_attempt(self, message: Message, now: float) -> Actions:
        attempts = self.attempts
        match message:
            case EndArrived(number, total, reason):
                others = attempts.finish(number, total, reason, now)
                if others is None or not self.journal.finish_reason:
                    return others or ()
                return self._after_extension(now, others)
            case AttemptPlaced(number, backend_server):
                attempts.set_placement(number, backend_server, now)
            case AttemptFailed(number, kind):
                if kind == STALE_EPOCH:
                    return self._stop()
                return self._fail_attempt(number, kind, now)
            case AttemptRefused(number, error):
                return self._stop_if_failed(attempts.refuse(number, error, now))
        return ()

    def _handle_replica(self, message: Message, now: float) -> Actions:
        replication = self.replication
        length = len(self.journal.tokens)
        finished = bool(self.journal.finish_reason)
        match message:
            case ReplicaStored(replica, offset, stored_finish, sent_s):
                return replication.acknowledge(
                    replica,
                    offset,
                    sent_s,
                    now,
                    finished=stored_finish,
                    length=length + (finished and not stored_finish),
                )
            case ReplicaLost(replica, sent_s):
                return replication.replace_lost(replica, sent_s, now)
        return replication.no_candidate(length, now, finished=finished)

    def _handle_callers(self, message: Message, now: float) -> Actions:
        match message:
            case CallersGone():
                self.no_callers_since_s = now
                return ()
            case CallersSlow():
                return self.attempts.pause()
            case CallersReady():
                return self.attempts.resume(now)
        self.no_callers_since_s = None
        if not self.idle:
            return ()
        self.idle = False
        self.attempts.retry.give_up_s = now + self.bounds.keep_s
        return self._continue(now)

    def _start(self, message: Message, now: float) -> Actions:
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
            return self._finish_complete(now)
        return self.attempts.fail(number, kind, now)

    def _continue(self, now: float) -> Actions:
        if self.journal.finish_reason:
            return ()
        if self.journal.complete:
            return self._finish_complete(now)
        return self.attempts.start(now)

    def _finish_complete(self, now: float) -> Actions:
        # Only the end event is missing, and its reason is known.
        self.journal.finish_reason = LENGTH_REASON
        return self._after_extension(now, self.attempts.cancel_all())

    def _after_extension(self, now: float, others: list[Action]) -> Actions:
        finished = bool(self.journal.finish_reason)
        length = len(self.journal.tokens)
        return [
            *others,
            *self.replication.journal_extended(length, now, finished=finished),
        ]

    def _tick(self, now: float) -> Actions:
        finished = bool(self.journal.finish_reason)
        length = len(self.journal.tokens)
        actions = self.replication.tick(length, now, finished=finished)
        if finished or self.idle:
            return actions
        if (
            self.no_callers_since_s is not None
            and now - self.no_callers_since_s > DISCONNECT_GRACE_S
        ):
            self.idle = True
            return [*actions, *self.attempts.cancel_all()]
        return [*actions, *self._stop_if_failed(self.attempts.tick(now))]

    def _stop_if_failed(self, actions: list[Action]) -> list[Action]:
        if any(isinstance(action, Fail) for action in actions):
            self.stopped = True
            return [*actions, *self.attempts.cancel_all()]
        return actions

    def _stop(self) -> Actions:
        self.stopped = True
        return [*self.attempts.cancel_all(), Stop()]

    def _detect_pause(self, now: float) -> Actions:
        paused = now - self.last_message_s > MAX_MESSAGE_GAP_S
        self.last_message_s = now
        if not paused:
            return ()
        self.attempts.reset_silence(now)
        return self.replication.process_resumed(now)
