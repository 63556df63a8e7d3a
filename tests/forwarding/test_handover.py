"""Handover of silent streams, decided without a network."""

import asyncio
from dataclasses import replace
from types import SimpleNamespace

import pytest

from celerywharf.exceptions import TransportError
from celerywharf.forwarding._handover import OVERLAP_S
from celerywharf.forwarding._outcomes import (
    SILENCE,
    Answered,
    Finished,
    Lost,
    Recalled,
    Refused,
)
from celerywharf.forwarding._plans import MAX_REFUSALS, Done, SendAgain
from celerywharf.forwarding._silence import Liveness
from celerywharf.forwarding._stream_sends import (
    RESUMED,
    StreamPlacement,
    StreamSend,
)
from celerywharf.forwarding._streams import StreamForwarding
from celerywharf.platform import Resumption
from celerywharf.structures import Address
from tests.backends.test_directory import make_server
from tests.forwarding.test_late_statements import (
    FIRST,
    SECOND,
    SERVICE,
    build_context,
)
from tests.forwarding.test_relays import (
    VALID_HEADERS,
    RecordingCaller,
    _make_request,
)
from tests.virtual_loop import run_virtually

THIRD = make_server('e3', address=Address('127.0.0.1', 3))
TOKENS = 60
DEADLINE_S = 5
SHORT_S = 0.05
LONG_S = 60
ERROR = Answered(SimpleNamespace(status=500), None)
NOT_FOUND = Answered(SimpleNamespace(status=404), None)
RESET = TransportError('reset')


def _do_nothing():
    """Take the place of an action."""


class SendingTransport:
    """Keeps the sink of each request, for answers by a test."""

    def __init__(self):
        self.sinks = []
        self.cancelled = []
        self.when_sent = _do_nothing

    def stream(self, request, sink):
        """Record a request that gets no answer by itself."""
        number = len(self.sinks)
        self.sinks.append(sink)
        asyncio.get_running_loop().call_soon(self.when_sent)
        return SimpleNamespace(cancel=lambda: self.cancelled.append(number))


class StubReports:
    """Ranks engines by what is known; probes are answered or not."""

    def __init__(self):
        self.responds = True
        self.waits = 0
        self.while_waiting = _do_nothing

    async def best(self, rank, candidates):
        """Return the best ranked engine."""
        return next(iter(rank()), None)

    async def probe(self, server):
        """Return a report, after a wait."""
        self.while_waiting()
        await asyncio.sleep(self.waits)
        return SimpleNamespace() if self.responds else None


class StubRetries:
    """Allows a number of retries."""

    def __init__(self):
        self.left = 9
        self.taken = 0
        self.waits = 0
        self.while_waiting = _do_nothing

    async def take(self, service, *, in_progress):
        """Return whether a retry is left, after a wait."""
        self.while_waiting()
        await asyncio.sleep(self.waits)
        if self.taken == self.left:
            return False
        self.taken += 1
        return True

    def record_request(self, service):
        """Do nothing."""


class Log:
    """Records why silent sends are kept, and the ends of sends."""

    def __init__(self):
        self.kept = []
        self.sends = []

    def log_kept(self, reason):
        """Record why a silent send is kept."""
        self.kept.append(reason)

    def log_send(self, server, outcome, step, **_fields):
        """Record the end of a send."""
        self.sends.append((server.name, outcome, type(step)))


class Rig:
    """A stream whose send to the first engine is silent."""

    def __init__(self, *, last_event=3):
        self.transport = SendingTransport()
        self.reports = StubReports()
        self.retries = StubRetries()
        self.log = Log()
        self.caller = RecordingCaller()
        self.context = replace(
            build_context(self.transport, self.reports), retries=self.retries
        )
        request = _make_request()
        headers = replace(
            request.headers, prompt_tokens=TOKENS, output_tokens=TOKENS
        )
        now_s = self.context.timers.now()
        self.forwarding = StreamForwarding(
            self.context,
            replace(request, headers=headers, arrived_s=now_s),
            SERVICE,
            self.log,
            self.caller,
        )
        self.forwarding.placer.reserve(FIRST)
        self.silent = self.forwarding.start(
            StreamPlacement(FIRST, Resumption(), None)
        )
        self.speak(self.silent, range(1, last_event + 1))

    @property
    def handover(self):
        """Return what is tested."""
        return self.forwarding.handover

    def speak(self, send, numbers):
        """Let an engine send events."""
        relay = send.relay
        relay.on_headers(200, VALID_HEADERS)
        for number in numbers:
            relay.on_chunk(f'id: {number}\ndata: w\n\n'.encode())

    def successor_relay(self):
        """Return what receives the answer of the latest send."""
        assert len(self.transport.sinks) == 2
        return self.transport.sinks[-1]

    def successor(self):
        """Return the latest send, as far as engines are concerned."""
        placement = StreamPlacement(SECOND, Resumption(), None)
        return StreamSend(placement, self.successor_relay())

    def requests(self, server):
        """Return how many requests an engine is thought to have."""
        return self.context.loads.requests(server.name)

    def is_clean(self, *servers):
        """Return whether nothing is reserved at engines."""
        return all(
            not self.requests(server)
            and not self.context.loads.prompts(server.name, 0)
            and not self.context.loads.tokens(server.name, 0)
            for server in servers
        )


async def _settle_down():
    for _ in range(4):
        await asyncio.sleep(0)


async def _replace(rig, act=None):
    """Replace the silent send; act once its successor is in progress."""
    if act is not None:
        rig.transport.when_sent = lambda: act(rig)
    return await rig.handover.replace(rig.silent)


def _no_attempt(rig):
    rig.forwarding.plan.sends = rig.forwarding.plan.max_attempts - 1


def _quarantine(rig):
    rig.context.quarantine.blocking_trait = lambda traits: traits[0]


def _lose_second(rig):
    rig.context.health.directory.removed(SECOND.name, 0)


def _silence_second(rig):
    rig.reports.responds = False


def _use_up_retries(rig):
    rig.retries.left = 0


KEPT = {
    'no attempt left': _no_attempt,
    'quarantined': _quarantine,
    'no other engine': _lose_second,
    'the other engine is silent as well': _silence_second,
    'no retry left': _use_up_retries,
}


@pytest.mark.parametrize('reason', KEPT)
def test_a_silent_send_is_kept_if_no_successor_is_assured(reason):
    async def check():
        rig = Rig()
        KEPT[reason](rig)
        assert await _replace(rig) is None
        return rig

    rig = asyncio.run(check())
    assert rig.log.kept == [reason]
    assert not rig.silent.relay.done.done()
    assert not rig.transport.cancelled
    assert rig.retries.taken == 0
    assert rig.requests(FIRST) == 1
    assert rig.is_clean(SECOND)


def _speak_first(rig):
    rig.speak(rig.silent, [4])


def _end_first(rig):
    rig.silent.relay.on_end(RESET)


@pytest.mark.parametrize('act', [_speak_first, _end_first])
@pytest.mark.parametrize('place', ['reports', 'retries'])
def test_nothing_is_sent_if_the_silent_send_speaks_or_ends_meanwhile(
    act, place
):
    async def check():
        rig = Rig()
        stub = getattr(rig, place)
        stub.waits = LONG_S
        stub.while_waiting = lambda: act(rig)
        assert await _replace(rig) is None
        await _settle_down()
        return rig

    rig = asyncio.run(check())
    assert len(rig.transport.sinks) == 1
    assert rig.silent.relay.detector.on_event is None
    assert rig.is_clean(SECOND)


def test_a_silent_send_that_speaks_in_the_race_goes_on():
    async def check():
        rig = Rig()
        assert await _replace(rig, _speak_first) is None
        return rig

    rig = asyncio.run(check())
    assert not rig.silent.relay.done.done()
    assert rig.transport.cancelled == [1]
    assert rig.successor_relay().done.result() is RESUMED
    assert rig.is_clean(SECOND)


def test_a_successor_that_speaks_first_ends_the_silent_send_at_once():
    async def check():
        rig = Rig()

        def act(_):
            rig.speak(rig.successor(), [4])
            assert rig.silent.relay.done.done()
            rig.speak(rig.silent, [5])

        return rig, await _replace(rig, act)

    rig, successor = asyncio.run(check())
    assert successor.server == SECOND
    assert rig.silent.relay.done.result() is SILENCE
    assert rig.caller.text.count(b'id: ') == 4
    assert rig.forwarding.progress.last_event == 4


def test_both_sends_without_an_event_end_with_the_successor():
    async def check():
        rig = Rig()
        return rig, await _replace(rig)

    rig, successor = asyncio.run(check())
    assert successor.server == SECOND
    assert rig.silent.relay.done.result() is SILENCE
    assert not successor.relay.done.done()


ENDS = {
    'is refused': Refused('not run', reached=True),
    'is not reached': Refused('refused', reached=False),
    'is lost': Lost('reset', broken=True),
    'is answered 500': ERROR,
    'is answered 404 in the middle': NOT_FOUND,
    'is recalled': Recalled('quarantined meanwhile'),
}


@pytest.mark.parametrize('end', ENDS)
def test_a_silent_send_is_kept_if_its_successor(end):
    async def check():
        rig = Rig()
        assert (
            await _replace(
                rig, lambda _: rig.successor_relay().settle(ENDS[end])
            )
            is None
        )
        return rig

    rig = asyncio.run(check())
    assert not rig.silent.relay.done.done()
    assert rig.transport.cancelled == [1]
    assert rig.is_clean(SECOND)
    assert rig.requests(FIRST) == 1


def test_an_answer_of_a_successor_counts_if_the_stream_has_not_begun():
    async def check():
        rig = Rig(last_event=0)
        return rig, await _replace(
            rig, lambda _: rig.successor_relay().settle(NOT_FOUND)
        )

    rig, successor = asyncio.run(check())
    assert successor.relay.done.result() is NOT_FOUND
    assert rig.silent.relay.done.result() is SILENCE


def test_a_silent_send_that_finishes_in_the_race_ends_its_successor():
    async def check():
        rig = Rig()
        assert (
            await _replace(rig, lambda _: rig.silent.relay.on_end(None)) is None
        )
        return rig

    rig = asyncio.run(check())
    assert rig.silent.relay.done.result() == Finished()
    assert rig.transport.cancelled == [1]
    assert rig.is_clean(SECOND)


def test_a_silent_send_that_breaks_off_in_the_race_leaves_its_successor():
    async def check():
        rig = Rig()
        return rig, await _replace(rig, _end_first)

    rig, successor = asyncio.run(check())
    assert successor.server == SECOND
    assert not successor.relay.done.done()


def test_a_stream_is_sent_again_if_its_engine_speaks_and_breaks_off_at_once():
    async def check():
        rig = Rig()

        def act(_):
            _speak_first(rig)
            _end_first(rig)

        return rig, await _replace(rig, act)

    rig, successor = asyncio.run(check())
    assert successor is None
    assert rig.is_clean(SECOND)
    step = rig.forwarding.conclude(rig.silent, rig.silent.relay.done.result())
    assert isinstance(step, SendAgain)


def test_an_engine_that_was_not_needed_may_be_sent_the_stream_later():
    async def check():
        rig = Rig()
        await _replace(rig, _speak_first)
        rig.forwarding.conclude(rig.silent, Lost('reset', broken=True))
        return await rig.forwarding.place()

    placement = asyncio.run(check())
    assert placement is not None
    assert placement.server == SECOND


STATEMENTS = {
    'leaves': lambda context: context.health.leaving(SECOND.incarnation),
    'wants a pause': lambda context: context.limits.pause(
        SECOND.incarnation, LONG_S
    ),
    'is removed': lambda context: context.health.directory.removed('e2', 0),
}


@pytest.mark.parametrize('statement', STATEMENTS)
@pytest.mark.parametrize('place', ['reports', 'retries'])
def test_no_successor_is_sent_to_an_engine_that_has_spoken_since_it_was_chosen(
    statement, place
):
    async def check():
        rig = Rig()
        stub = getattr(rig, place)
        stub.while_waiting = lambda: STATEMENTS[statement](rig.context)
        assert await _replace(rig) is None
        return rig

    rig = asyncio.run(check())
    assert len(rig.transport.sinks) == 1
    assert not rig.silent.relay.done.done()
    assert rig.is_clean(SECOND)


def test_no_successor_is_sent_if_the_stream_is_quarantined_meanwhile():
    async def check():
        rig = Rig()
        rig.reports.while_waiting = lambda: _quarantine(rig)
        assert await _replace(rig) is None
        return rig

    rig = asyncio.run(check())
    assert len(rig.transport.sinks) == 1
    assert rig.is_clean(SECOND)


def test_the_copy_of_a_run_is_used_if_its_engine_breaks_off_during_a_search():
    async def check():
        rig = Rig()
        rig.silent.placement = replace(rig.silent.placement, backup=SECOND)
        is_eligible = rig.forwarding.eligibility.is_eligible

        async def wait(_):
            _end_first(rig)
            await asyncio.sleep(LONG_S)

        rig.forwarding.eligibility.is_eligible = wait
        await _replace(rig)
        rig.forwarding.conclude(rig.silent, rig.silent.relay.done.result())
        rig.forwarding.eligibility.is_eligible = is_eligible
        await _settle_down()
        return await rig.forwarding.place()

    placement = asyncio.run(check())
    assert placement.resumption.copy_at == SECOND.address


async def _leave(rig, place):
    """Let the caller leave at a point of a handover."""
    forwarding = rig.forwarding
    forwarding.successor = rig.silent
    serving = asyncio.ensure_future(forwarding.run())
    forwarding._ask_server = _find_dead
    _make_silent(rig)
    if place == 'race':
        await _wait_for_successor(rig)
    else:
        stub = getattr(rig, place)
        waiting = asyncio.Event()
        stub.waits = LONG_S
        stub.while_waiting = waiting.set
        await waiting.wait()
    serving.cancel()
    await asyncio.wait({serving})
    await _settle_down()
    return serving.cancelled()


async def _find_dead(_):
    return Liveness.dead


def _make_silent(rig):
    detector = rig.silent.relay.detector
    detector.started_s -= LONG_S
    detector.last_s -= LONG_S
    detector.asked_s -= LONG_S


async def _wait_for_successor(rig):
    sent = asyncio.Event()
    rig.transport.when_sent = sent.set
    await sent.wait()


@pytest.mark.parametrize('last_event', [0, 3])
@pytest.mark.parametrize('place', ['reports', 'retries', 'race'])
def test_nothing_stays_reserved_if_the_caller_leaves(place, last_event):
    async def check():
        rig = Rig(last_event=last_event)
        assert await _leave(rig, place)
        return rig

    rig = asyncio.run(check())
    assert sorted(rig.transport.cancelled) == list(
        range(len(rig.transport.sinks))
    )
    assert rig.is_clean(FIRST, SECOND)
    assert not rig.context.quarantine.sends


def test_a_successor_goes_on_if_the_silent_send_is_refused_at_last():
    async def check():
        rig = Rig(last_event=0)
        forwarding = rig.forwarding
        forwarding.plan.refusals = MAX_REFUSALS
        forwarding.successor = rig.silent
        forwarding._ask_server = _find_dead
        _make_silent(rig)
        serving = asyncio.ensure_future(forwarding.run())
        await _wait_for_successor(rig)
        rig.silent.relay.settle(Refused('not run', reached=True))
        await _settle_down()
        rig.speak(rig.successor(), [1])
        rig.successor_relay().on_end(None)
        return await serving, rig

    step, rig = asyncio.run(check())
    assert step == Done()
    assert rig.retries.taken == 1
    assert rig.is_clean(FIRST, SECOND)


def test_a_stream_that_is_handed_over_takes_one_retry_and_is_sent_twice():
    async def check():
        rig = Rig()
        rig.forwarding.successor = rig.silent
        _make_silent(rig)
        serving = asyncio.ensure_future(rig.forwarding.run())
        await _wait_for_successor(rig)
        rig.speak(rig.successor(), [4])
        await _settle_down()
        rig.successor_relay().on_end(None)
        return await serving, rig

    step, rig = asyncio.run(check())
    assert step == Done()
    assert rig.retries.taken == 1
    assert rig.forwarding.plan.sends == 1
    assert [send[:2] for send in rig.log.sends] == [
        (FIRST.name, SILENCE),
        (SECOND.name, Finished()),
    ]
    assert rig.is_clean(FIRST, SECOND)


def test_a_stream_whose_sends_are_all_silent_is_sent_max_attempts_times():
    async def check():
        rig = Rig()
        rig.context.health.directory.update(THIRD, 0)
        plan = rig.forwarding.plan
        plan.max_attempts = 2
        for _ in range(3):
            await _replace(rig, _speak_next(rig))
        return rig

    rig = asyncio.run(check())
    assert len(rig.transport.sinks) == 2
    assert rig.log.kept == ['no attempt left']


def _speak_next(rig):
    number = rig.forwarding.progress.last_event + 1
    return lambda _: rig.speak(rig.silent, [number])


@pytest.mark.parametrize('place', ['reports', 'retries'])
def test_a_search_for_a_successor_does_not_outlast_the_deadline(place):
    async def check():
        rig = Rig(last_event=0)
        getattr(rig, place).waits = LONG_S
        rig.forwarding.request = replace(
            rig.forwarding.request,
            arrived_s=rig.context.timers.now() - DEADLINE_S + 2 * SHORT_S,
        )
        rig.forwarding.successor = rig.silent
        rig.forwarding._ask_server = _find_dead
        _make_silent(rig)
        async with asyncio.timeout(OVERLAP_S):
            return await rig.forwarding.run(), rig

    step, rig = run_virtually(check)
    assert step == rig.forwarding.plan.timed_out()
    assert rig.is_clean(FIRST, SECOND)


def test_a_race_does_not_outlast_the_deadline():
    async def check():
        rig = Rig(last_event=0)
        rig.forwarding.request = replace(
            rig.forwarding.request,
            arrived_s=rig.context.timers.now() - DEADLINE_S + 2 * SHORT_S,
        )
        rig.forwarding.successor = rig.silent
        rig.forwarding._ask_server = _find_dead
        _make_silent(rig)
        async with asyncio.timeout(4 * SHORT_S):
            return await rig.forwarding.run(), rig

    step, rig = run_virtually(check)
    assert step == rig.forwarding.plan.timed_out()
    assert len(rig.transport.sinks) == 2
    assert rig.is_clean(FIRST, SECOND)


def test_a_successor_at_work_goes_on_if_its_stream_is_quarantined():
    async def check():
        rig = Rig()
        rig.caller.end = _do_nothing
        rig.forwarding.placer.reserve(SECOND)
        rig.forwarding.successor = rig.forwarding.start(
            StreamPlacement(SECOND, Resumption(3), None)
        )
        rig.speak(rig.forwarding.successor, [4])
        _quarantine(rig)
        running = asyncio.ensure_future(rig.forwarding.run())
        await _settle_down()
        rig.successor_relay().on_end(None)
        return await running

    assert isinstance(asyncio.run(check()), Done)
