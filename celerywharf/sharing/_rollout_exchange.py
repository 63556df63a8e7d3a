"""Tells all hosts the steps of roll-outs, and the deciding host the counts."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Awaitable, Callable
from random import Random

from celerywharf.exceptions import CelerywharfError, PeerUnreachableError
from celerywharf.platform import HistoryGoneError, Position
from celerywharf.routing import AnswerTiming
from celerywharf.sharing._rollout_control import RolloutControl
from celerywharf.sharing._rollout_rows import (
    STEP_TABLE,
    decode_step,
    encode_step,
    to_message,
)
from celerywharf.sharing._store import SharedStore
from celerywharf.tasks import Part
from celerywharf.wire import Sender
from celerywharf.wire.rollouts import RolloutAnswer, RolloutQuestion, StepRow

logger = logging.getLogger(__name__)

# From the 50th bad answer until the last host has stopped, a host reports
# twice, its reader once, and the store takes a write: with one lost message of
# each, less than the time allowed.
HOST_FRACTION = 0.1
MAX_HOST_PERIOD_S = 0.5
READER_FRACTION = 0.05
MAX_READER_PERIOD_S = 0.25
# Shortly before the last step, of these periods: what the answers of the last
# second show must be known by then.
ENDING_PART = 0.3
# Reports a second that a reader may get for that; larger zones send fewer each.
MAX_REPORTS_PER_S = 100
# How long the store may wait for a step before it confirms the last one.
STORE_POLL_S = 0.5
READER_TIMEOUT_S = 0.4
BACKOFF_S = 0.1
MAX_DOUBLINGS = 2
# A reader of an earlier release breaks the link at what it does not know.
MAX_READER_DOUBLINGS = 5
IDLE_S = 5.0
UNKNOWN_AGE_S = 3600.0


class RolloutExchange(Part):
    """Keeps the steps of roll-outs known to all hosts.

    The reader of a zone follows the steps in the store; the other hosts of
    the zone tell it what they have counted and get the steps in return.
    Without an order nothing is sent or read, but for one reading at the
    start.

    Attributes:
        control: decides, or reports to the host that does.
        register: what this host knows and has counted.
        shared_store: tells who the reader is.
        position: position of the last reading of the steps; None if all must
            be read.
        has_begun: the steps have been read, or the store did not answer.
        changed: set while a roll-out is in progress.
    """

    def __init__(
        self, control: RolloutControl, shared_store: SharedStore, random: Random
    ) -> None:
        super().__init__()
        self.control = control
        self.register = control.register
        self.shared_store = shared_store
        self.random = random
        self.position: Position | None = None
        self.has_begun = False
        self.changed = asyncio.Event()
        self.register.subscribers.append(self.changed.set)
        shared_store.server.subscribe(RolloutQuestion, self._answer)

    def start(self) -> None:
        """Start to follow roll-outs, if the deployment allows them."""
        super().start()
        if not self.register.is_enabled:
            self.has_begun = True
            return
        self.spawn(self._repeat(self._follow, MAX_DOUBLINGS))
        self.spawn(self._repeat(self._attend, MAX_DOUBLINGS))
        self.spawn(self._repeat(self._ask_reader, MAX_READER_DOUBLINGS))

    async def _repeat(
        self, act: Callable[[], Awaitable[None]], max_doublings: int
    ) -> None:
        failures = 0
        while True:
            while self.has_begun and not self.register.is_active:
                await self._wait_for_order()
            try:
                await act()
                failures = 0
            except HistoryGoneError:
                self.position = None
            except CelerywharfError as error:
                self.has_begun = True
                logger.info(
                    'no exchange of roll-out steps',
                    extra={'reason': error.message},
                )
                wait_s = BACKOFF_S * 2 ** min(failures, max_doublings)
                failures += 1
                await asyncio.sleep(wait_s * (1 + self.random.random()))

    async def _wait_for_order(self) -> None:
        self.control.forget_counts()
        self.changed.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(IDLE_S):
                await self.changed.wait()

    async def _follow(self) -> None:
        """Read the steps from the store, at the start or as a reader."""
        if self.has_begun and not self._is_reader():
            self.position = None
            await asyncio.sleep(self._host_period_s())
            return
        store = self.control.store
        if self.position is None:
            reading = await store.read(STEP_TABLE)
        else:
            reading = await store.watch(STEP_TABLE, self.position, STORE_POLL_S)
        self.control.steps.apply_rows(reading.rows)
        self.position = reading.position
        self.control.steps.confirm(self._age_s(reading.timing))
        self.has_begun = True

    async def _ask_reader(self) -> None:
        """Tell the reader of the zone what was counted, and get the steps."""
        await asyncio.sleep(self._host_period_s())
        reader = self.shared_store.election.reader
        client = self.shared_store.client
        if reader is None or client is None:
            return
        counts = [to_message(tally) for tally in self.register.tallies()]
        asked_s = self.register.now()
        reply = await client.request(
            reader.address, RolloutQuestion(counts, ''), READER_TIMEOUT_S
        )
        for row in reply.rows:
            step = decode_step(row.service, row.content)
            if step is not None:
                self.register.learn_step(step, row.version)
        self.register.confirm(reply.age_s + self.register.now() - asked_s)

    async def _attend(self) -> None:
        """Decide or report, as the reader of the zone."""
        await asyncio.sleep(self._reader_period_s())
        if self._is_reader() and self.position is not None:
            await self.control.attend()

    async def _answer(
        self, sender: Sender, question: RolloutQuestion
    ) -> RolloutAnswer:
        """Answer another host of the zone, or another zone's reader.

        Raises:
            PeerUnreachableError: this host is not a reader.
        """
        if not self._is_reader():
            raise PeerUnreachableError('this front is not the reader')
        self.control.learn_counts(sender, question)
        rows = [
            StepRow(step.service, encode_step(step), version)
            for step, version in self.register.steps()
        ]
        age_s = self.register.now() - self.register.confirmed_s
        return RolloutAnswer(rows, min(age_s, UNKNOWN_AGE_S))

    def _age_s(self, timing: AnswerTiming) -> float:
        """Return how long ago, at most, the store gave an answer, in seconds.

        Its clock tells, within the time between the call and now.
        """
        clock = self.shared_store.configuration_cache.clock
        answered_s = clock.date(timing)
        if answered_s is None:
            answered_s = timing.sent_s
        return self.register.now() - answered_s

    def _is_reader(self) -> bool:
        return self.shared_store.is_reader

    def _host_period_s(self) -> float:
        rollback_s = self.control.bounds.rollback_s
        period_s = min(rollback_s * HOST_FRACTION, MAX_HOST_PERIOD_S)
        zone_hosts = self.shared_store.lending.share.zone_hosts
        least_s = min(zone_hosts / MAX_REPORTS_PER_S, period_s)
        return max(period_s * self._period_part(), least_s)

    def _reader_period_s(self) -> float:
        rollback_s = self.control.bounds.rollback_s
        period_s = min(rollback_s * READER_FRACTION, MAX_READER_PERIOD_S)
        return period_s * self._period_part()

    def _period_part(self) -> float:
        now_s = self.register.store_time_s()
        steps = self.register.steps()
        is_ending = any(step.is_ending(now_s) for step, _ in steps)
        return ENDING_PART if is_ending else 1
