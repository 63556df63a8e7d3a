"""A generation at its owner: connects decisions with I/O."""

from __future__ import annotations

import logging
from collections.abc import Sequence
from typing import TYPE_CHECKING

from celerywharf.adapters.engines import StreamFailure
from celerywharf.admissions import Outcome
from celerywharf.exceptions import CelerywharfError, GenerationLostError
from celerywharf.generations._attempt_runner import AttemptRunner
from celerywharf.generations._channels import ReplicaChannel, open_replica
from celerywharf.generations._logic import ONLY_REPLICATE, GenerationLogic
from celerywharf.generations._observations import Observations
from celerywharf.generations._placement import replica_order
from celerywharf.generations._readers import Reader
from celerywharf.generations.journals import Journal, Position
from celerywharf.generations.messages import (
    Action,
    AttemptFailed,
    CallerAttached,
    CallersGone,
    CallersReady,
    CallersSlow,
    ChooseReplica,
    Deliver,
    EndArrived,
    Fail,
    Message,
    NoReplica,
    ReplicaStored,
    Replicate,
    Stop,
    Tick,
)
from celerywharf.membership import Peer
from celerywharf.structures import Verdict
from celerywharf.wire.journals import JournalOpen

if TYPE_CHECKING:
    from celerywharf.generations._generations import Generations

logger = logging.getLogger(__name__)

MAX_WRITE_TOKENS = 512
# Converts the limit on buffered bytes into a number of tokens.
ESTIMATED_EVENT_BYTES = 128


class OwnedGeneration:
    """A generation owned by this host.

    Attributes:
        journal: its journal.
        generation: its id.
        logic: its decisions.
        readers: receivers of its tokens.
        attempt_runner: its attempts in progress.
        observations: its metrics, timeline events and usage.
        channel: channel to its replica, None without one.
        sent: number of tokens sent to the replica.
        queued: it is queued in the channel.
        deliverable: number of tokens that may be sent to callers.
        complete: the finish reason may be sent to callers too.
        accepted: an engine has started to work on it.
        slow: engines are paused because all callers lag.
        last_write_s: when something was last written to a caller.
        ended_s: when it finished, None before.
    """

    def __init__(
        self,
        generations: Generations,
        journal: Journal,
        logic: GenerationLogic,
    ) -> None:
        self.generations = generations
        self.journal = journal
        self.generation = journal.spec.generation
        self.logic = logic
        self.readers: list[Reader] = []
        self.attempt_runner = AttemptRunner(generations, self)
        self.observations = Observations(self, generations.now())
        self.channel: ReplicaChannel | None = None
        self.sent = len(journal.tokens)
        self.queued = False
        self.deliverable = 0
        self.complete = False
        self.accepted = False
        self.slow = False
        self.last_write_s = generations.now()
        self.ended_s: float | None = None

    # Events from engines.

    def on_tokens(self, attempt: int, offset: int, tokens: list[str]) -> None:
        """Handle tokens of an attempt."""
        now = self.generations.now()
        actions = self.logic.take_tokens(attempt, offset, tokens, now)
        self.observations.tokens_received(attempt, len(tokens), now)
        if actions is ONLY_REPLICATE and self.channel is not None:
            self.channel.enqueue(self)
            return
        self.perform(actions)

    def on_finished(self, attempt: int, total: int, reason: str) -> None:
        """Handle the end event of an attempt."""
        self.attempt_runner.release(attempt, Outcome.finished)
        self.process(EndArrived(attempt, total, reason))

    def on_failure(self, attempt: int, failure: StreamFailure) -> None:
        """Handle the failure of an attempt's stream."""
        self.generations.host.metrics.count(
            'attempt_failures', kind=failure.kind
        )
        self.observations.attempt_interrupted(attempt, failure.kind)
        self.process(AttemptFailed(attempt, failure.kind))

    # Messages from callers, channels and the clock.

    def process(self, message: Message) -> None:
        """Handle a message and carry out the resulting actions."""
        self.perform(self.logic.handle(message, self.generations.now()))

    def on_stored(self, replica: str, offset: int, sent_s: float) -> None:
        """Handle an acknowledgement without the finish reason."""
        now = self.generations.now()
        stored = self.logic.take_acknowledgement(replica, offset, sent_s, now)
        if stored < 0:
            message = ReplicaStored(
                replica,
                offset,
                finished=False,
                sent_s=sent_s,
            )
            self.perform(self.logic.handle(message, now))
            return
        self._deliver(stored, finished=False)

    def on_replica_opened(
        self, peer: Peer, message: JournalOpen, sent_s: float
    ) -> None:
        """Switch to a new replica; ignored if none was requested."""
        if not self.logic.replication.choosing:
            return
        self.channel = self.generations.channel(peer)
        self.sent = len(message.tokens)
        stored = ReplicaStored(
            peer.name,
            self.sent,
            bool(message.finish_reason),
            sent_s,
        )
        self.process(stored)
        if self.channel is not None:
            self.channel.enqueue(self)
            self.send_placement()

    def attach(self, reader: Reader, position: Position) -> None:
        """Deliver to a reader from a position on.

        Raises:
            GenerationLostError: the position is not in the journal.
        """
        self.journal.check_position(position)
        reader.epoch = self.journal.epoch
        reader.offset = position.offset
        reader.service = self.journal.spec.service
        reader.on_ready = self.write_pending
        reader.on_disconnect = self.detach
        self.readers.append(reader)
        if self.accepted or self.deliverable:
            reader.open()
        self.process(CallerAttached())
        self.write_pending(reader)

    def detach(self, reader: Reader) -> None:
        """Remove a reader."""
        if reader in self.readers:
            self.readers.remove(reader)
        if not self.readers and not self.complete:
            self.process(CallersGone())

    def write_pending(self, reader: Reader) -> None:
        """Write deliverable tokens until the reader is busy.

        When all tokens are written, the finish reason follows.
        """
        if reader.busy:
            return
        start = reader.offset
        if start < self.deliverable:
            end = min(self.deliverable, start + MAX_WRITE_TOKENS)
            reader.write_tokens(
                self.journal.epoch, self.journal.tokens[start:end]
            )
        if reader.busy:
            return
        if reader.offset < self.deliverable:
            self.write_pending(reader)
        elif self.complete:
            self.readers.remove(reader)
            reader.write_finish(self.journal.finish_reason)

    def tick(self, now: float) -> None:
        """Handle the clock: slow readers, heartbeats and overdue actions."""
        if not self.readers and (self.complete or self.logic.idle):
            return
        _update_flow_control(self, self.generations.buffer_bytes)
        wrote = any(reader.wrote for reader in self.readers)
        for reader in tuple(self.readers):
            if reader.stalled_for(now) > self.generations.settings.keep_s:
                self.detach(reader)
                reader.drop(
                    CelerywharfError('the caller read nothing for too long')
                )
        if wrote:
            self.last_write_s = now
        elif now - self.last_write_s > self.generations.settings.heartbeat_s:
            self.last_write_s = now
            for quiet in tuple(self.readers):
                quiet.write_heartbeat()
        if not self.logic.is_steady(now):
            self.perform(self.logic.handle(Tick(), now))

    def on_attempt_started(self) -> None:
        """Open all readers because an engine has started to work."""
        self.accepted = True
        self.send_placement()
        for reader in tuple(self.readers):
            reader.open()

    def send_placement(self) -> None:
        """Send the replica the placement of the latest attempt."""
        if self.channel is not None:
            self.channel.send_placement(self)

    # Actions.

    def perform(self, actions: Sequence[Action]) -> None:
        """Carry out actions."""
        for action in actions:
            self._perform(action)

    def _perform(self, action: Action) -> None:
        match action:
            case Replicate():
                if self.channel is not None:
                    self.channel.enqueue(self)
            case Deliver(offset, finished):
                self._deliver(offset, finished=finished)
            case ChooseReplica(exclude):
                self._choose_replica(exclude)
            case Fail(error):
                self._fail(error)
            case Stop():
                self._stop()
            case _:
                self.attempt_runner.perform(action)

    def _deliver(self, offset: int, *, finished: bool) -> None:
        if offset > self.deliverable:
            self.deliverable = offset
            self.observations.tokens_delivered(self.generations.now())
        if finished and not self.complete:
            self.complete = True
            self.ended_s = self.generations.now()
            self.generations.record('generation_finished', self.journal)
            _log(self, 'generation finished', Verdict.ran)
        for reader in tuple(self.readers):
            self.write_pending(reader)

    def _choose_replica(self, exclude: frozenset[str]) -> None:
        self.channel = None
        host = self.generations.host
        order = replica_order(
            self.generation,
            host.identity,
            host.membership.live(),
        )
        for peer in order:
            if peer.name not in exclude:
                self.generations.spawn(
                    open_replica(self.generations, self, peer)
                )
                return
        self.process(NoReplica())

    def _end(self, event: str, error: CelerywharfError) -> list[Reader]:
        self.generations.record(event, self.journal, code=error.code)
        self.generations.forget(self)
        readers = self.readers
        self.readers = []
        return readers

    def _fail(self, error: CelerywharfError) -> None:
        _log(self, 'generation failed', error.verdict, code=error.code)
        for reader in self._end('generation_failed', error):
            reader.write_error(error)

    def _stop(self) -> None:
        moved = GenerationLostError(
            'another host owns the generation now',
            verdict=Verdict.may_have_run,
        )
        for reader in self._end('generation_moved', moved):
            reader.drop(moved)


def _update_flow_control(owned: OwnedGeneration, buffer_bytes: int) -> None:
    """Pause or resume the engines by the lag of the fastest caller."""
    if not owned.readers:
        return
    max_lag = buffer_bytes // ESTIMATED_EVENT_BYTES
    furthest = max(reader.offset for reader in owned.readers)
    lag = len(owned.journal.tokens) - furthest
    if lag > max_lag and not owned.slow:
        owned.slow = True
        owned.process(CallersSlow())
    elif owned.slow and lag < max_lag // 2:
        owned.slow = False
        owned.process(CallersReady())


def _log(
    owned: OwnedGeneration,
    message: str,
    verdict: Verdict,
    **fields: str,
) -> None:
    spec = owned.journal.spec
    requests = [reader.request_id for reader in owned.readers]
    logger.info(
        message,
        extra={
            'request_id': ' '.join(filter(None, requests)),
            'generation': spec.generation,
            'client_account': spec.client_account,
            'service': spec.service,
            'attempt': owned.journal.attempt,
            'verdict': verdict.value,
            'length': len(owned.journal.tokens),
            **fields,
        },
    )
