"""One generation at its owner: carries decisions out."""

from __future__ import annotations

import logging
from collections.abc import Sequence
from typing import TYPE_CHECKING

from celerywharf.adapters.engines import StreamFailure
from celerywharf.admissions import Outcome
from celerywharf.exceptions import CelerywharfError, GenerationLostError
from celerywharf.generations._channels import Channel, open_replica
from celerywharf.generations._logic import ONLY_REPLICATE, GenerationLogic
from celerywharf.generations._observations import Observations
from celerywharf.generations._placement import replica_order
from celerywharf.generations._readers import Reader
from celerywharf.generations._runs import Runs
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
    from celerywharf.generations._part import Generations

logger = logging.getLogger(__name__)

SLICE_TOKENS = 512
BYTES_PER_EVENT = 128


class Running:
    """A generation owned by this host.

    Attributes:
        journal: its journal.
        generation: its id.
        logic: its decisions.
        readers: who receives its tokens.
        runs: attempts under way.
        observations: what metrics, time line and usage get.
        channel: the way to its replica, None without one.
        sent: number of tokens sent to the replica.
        marked: it waits in the channel.
        deliverable: number of tokens callers may have.
        complete: callers may have the finish reason too.
        quiet_s: since when nothing was written to callers.
        ended_s: when it finished, None while it runs.
    """

    def __init__(
        self,
        part: Generations,
        journal: Journal,
        logic: GenerationLogic,
    ) -> None:
        self.part = part
        self.journal = journal
        self.generation = journal.spec.generation
        self.logic = logic
        self.readers: list[Reader] = []
        self.runs = Runs(part, self)
        self.observations = Observations(self, part.now())
        self.channel: Channel | None = None
        self.sent = len(journal.tokens)
        self.marked = False
        self.deliverable = 0
        self.complete = False
        self.accepted = False
        self.slow = False
        self.quiet_s = part.now()
        self.ended_s: float | None = None

    # What the engines say.

    def on_tokens(self, attempt: int, offset: int, tokens: list[str]) -> None:
        """Take tokens of an attempt."""
        now = self.part.now()
        actions = self.logic.take_tokens(attempt, offset, tokens, now)
        self.observations.took(attempt, len(tokens), now)
        if actions is ONLY_REPLICATE and self.channel is not None:
            self.channel.mark(self)
            return
        self.perform(actions)

    def on_finished(self, attempt: int, total: int, reason: str) -> None:
        """Take the end of an attempt."""
        self.runs.release(attempt, Outcome.finished)
        self.hear(EndArrived(attempt, total, reason))

    def on_failure(self, attempt: int, failure: StreamFailure) -> None:
        """Take the failure of an attempt's stream."""
        self.part.host.metrics.count('attempt_failures', kind=failure.kind)
        self.observations.interrupted(attempt, failure.kind)
        self.hear(AttemptFailed(attempt, failure.kind))

    # What the part and its channels say.

    def hear(self, message: Message) -> None:
        """Decide on a message and carry the decision out."""
        self.perform(self.logic.handle(message, self.part.now()))

    def on_stored(self, replica: str, offset: int, sent_s: float) -> None:
        """Take an acknowledgement that says nothing of the finish."""
        now = self.part.now()
        stored = self.logic.take_stored(replica, offset, sent_s, now)
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

    def opened(self, peer: Peer, message: JournalOpen, sent_s: float) -> None:
        """Go on with a new replica, if it was waited for."""
        if not self.logic.replication.choosing:
            return
        self.channel = self.part.channel(peer)
        self.sent = len(message.tokens)
        stored = ReplicaStored(
            peer.name,
            self.sent,
            bool(message.finish_reason),
            sent_s,
        )
        self.hear(stored)
        if self.channel is not None:
            self.channel.mark(self)
            self.tell_placement()

    def attach(self, reader: Reader, position: Position) -> None:
        """Deliver to a caller from its position on.

        Raises:
            GenerationLostError: the position is not on the journal.
        """
        self.journal.check(position)
        reader.epoch = self.journal.epoch
        reader.offset = position.offset
        reader.service = self.journal.spec.service
        reader.on_ready = self.pump
        reader.on_gone = self.detach
        self.readers.append(reader)
        if self.accepted or self.deliverable:
            reader.open()
        self.hear(CallerAttached())
        self.pump(reader)

    def detach(self, reader: Reader) -> None:
        """Forget a caller."""
        if reader in self.readers:
            self.readers.remove(reader)
        if not self.readers and not self.complete:
            self.hear(CallersGone())

    def pump(self, reader: Reader) -> None:
        """Give a caller what it lacks and may have."""
        if reader.busy:
            return
        start = reader.offset
        if start < self.deliverable:
            end = min(self.deliverable, start + SLICE_TOKENS)
            reader.write_tokens(
                self.journal.epoch, self.journal.tokens[start:end]
            )
        if reader.busy:
            return
        if reader.offset < self.deliverable:
            self.pump(reader)
        elif self.complete:
            self.readers.remove(reader)
            reader.write_finish(self.journal.finish_reason)

    def tick(self, now: float) -> None:
        """Let time pass."""
        if not self.readers and (self.complete or self.logic.idle):
            return
        _judge_callers(self, self.part.buffer_bytes)
        wrote = any(reader.wrote for reader in self.readers)
        for reader in tuple(self.readers):
            if reader.stuck_for(now) > self.part.settings.keep_s:
                self.detach(reader)
                reader.drop(CelerywharfError('the caller does not read'))
        if wrote:
            self.quiet_s = now
        elif now - self.quiet_s > self.part.settings.heartbeat_s:
            self.quiet_s = now
            for quiet in tuple(self.readers):
                quiet.write_heartbeat()
        if not self.logic.calm(now):
            self.perform(self.logic.handle(Tick(), now))

    def started(self) -> None:
        """Take note that an engine works on the generation."""
        self.accepted = True
        self.tell_placement()
        for reader in tuple(self.readers):
            reader.open()

    def tell_placement(self) -> None:
        """Let the replica know where the latest attempt runs."""
        if self.channel is not None:
            self.channel.place(self)

    # What was decided.

    def perform(self, actions: Sequence[Action]) -> None:
        """Carry actions out."""
        for action in actions:
            self._perform(action)

    def _perform(self, action: Action) -> None:
        match action:
            case Replicate():
                if self.channel is not None:
                    self.channel.mark(self)
            case Deliver(offset, finished):
                self._deliver(offset, finished=finished)
            case ChooseReplica(exclude):
                self._choose_replica(exclude)
            case Fail(error):
                self._fail(error)
            case Stop():
                self._stop()
            case _:
                self.runs.perform(action)

    def _deliver(self, offset: int, *, finished: bool) -> None:
        if offset > self.deliverable:
            self.deliverable = offset
            self.observations.delivered(self.part.now())
        if finished and not self.complete:
            self.complete = True
            self.ended_s = self.part.now()
            self.part.record('generation_finished', self.journal)
            _log(self, 'generation finished', Verdict.ran)
        for reader in tuple(self.readers):
            self.pump(reader)

    def _choose_replica(self, exclude: frozenset[str]) -> None:
        self.channel = None
        host = self.part.host
        order = replica_order(
            self.generation,
            host.identity,
            host.membership.live(),
        )
        for peer in order:
            if peer.name not in exclude:
                self.part.spawn(open_replica(self.part, self, peer))
                return
        self.hear(NoReplica())

    def _end(self, event: str, error: CelerywharfError) -> list[Reader]:
        self.part.record(event, self.journal, code=error.code)
        self.part.forget(self)
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


def _judge_callers(running: Running, buffer_bytes: int) -> None:
    """Stop or start reading the engines by how far the best caller lags."""
    if not running.readers:
        return
    largest = buffer_bytes // BYTES_PER_EVENT
    furthest = max(reader.offset for reader in running.readers)
    lag = len(running.journal.tokens) - furthest
    if lag > largest and not running.slow:
        running.slow = True
        running.hear(CallersSlow())
    elif running.slow and lag < largest // 2:
        running.slow = False
        running.hear(CallersReady())


def _log(
    running: Running,
    message: str,
    verdict: Verdict,
    **fields: str,
) -> None:
    spec = running.journal.spec
    requests = [reader.request_id for reader in running.readers]
    logger.info(
        message,
        extra={
            'request_id': ' '.join(filter(None, requests)),
            'generation': spec.generation,
            'client_account': spec.client_account,
            'service': spec.service,
            'attempt': running.journal.attempt,
            'verdict': verdict.value,
            'length': len(running.journal.tokens),
            **fields,
        },
    )
