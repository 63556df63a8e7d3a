"""Calls that are sent to a second server while the first one is silent."""

import asyncio
from dataclasses import replace

import pytest

from celerywharf.adapters.transports import HttpResponse
from celerywharf.exceptions import TransportError
from celerywharf.forwarding._calls import CallForwarding
from celerywharf.forwarding._plans import MAX_REFUSALS, Fail, PassOn
from celerywharf.routing import Idempotent, NonIdempotent
from celerywharf.structures import Verdict
from tests.forwarding.test_handover import Log, StubReports, StubRetries
from tests.forwarding.test_late_statements import (
    FIRST,
    SECOND,
    SERVICE,
    build_context,
)
from tests.forwarding.test_relays import REQUEST_ID, _make_request
from tests.virtual_loop import run_virtually

DEADLINE_S = 0.2
AFTER_S = 0.6 * DEADLINE_S
SLACK_S = 0.1
ANSWERS = {'attempt-id': REQUEST_ID, 'server-stamp': 's'}
RESET = TransportError('reset')
NOT_RUN = TransportError('refused', verdict=Verdict.not_run)


class Transport:
    """Keeps the future of each answer."""

    def __init__(self):
        self.answers = []
        self.when_sent = {}

    async def fetch(self, request):
        """Wait for the answer of a test."""
        answer = asyncio.get_running_loop().create_future()
        self.answers.append(answer)
        self.when_sent.get(len(self.answers), int)()
        return await answer


class Rig:
    """A call that has not been sent."""

    def __init__(self, policy=None):
        self.transport = Transport()
        self.retries = StubRetries()
        self.log = Log()
        self.context = replace(
            build_context(self.transport, StubReports()), retries=self.retries
        )
        request = _make_request()
        route = replace(
            request.route, policy=policy or Idempotent(), timeout_s=DEADLINE_S
        )
        self.forwarding = CallForwarding(
            self.context,
            replace(request, route=route, arrived_s=self.context.timers.now()),
            SERVICE,
            self.log,
        )

    def answer(self, number, status=200, headers=ANSWERS):
        """Answer a send."""
        self.transport.answers[number - 1].set_result(
            HttpResponse(status, headers, b'')
        )

    def fail(self, number, error):
        """Let a send fail."""
        self.transport.answers[number - 1].set_exception(error)

    def is_clean(self):
        """Return whether no request is in progress at any server."""
        loads = self.context.loads
        return not self.context.quarantine.sends and not any(
            loads.requests(server.name) for server in (FIRST, SECOND)
        )


async def _run(rig):
    """Return the step of a call, after all of its sends have ended."""
    async with asyncio.timeout(DEADLINE_S + SLACK_S):
        step = await rig.forwarding.run()
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert rig.is_clean()
    return step


def _status(step):
    assert isinstance(step, (PassOn, Fail))
    return int(step.status)


@pytest.mark.parametrize('number', [1, 2])
def test_the_first_answer_of_two_sends_counts(number):
    async def check():
        rig = Rig()
        rig.transport.when_sent[2] = lambda: rig.answer(number)
        return _status(await _run(rig)), rig

    status, rig = run_virtually(check)
    assert status == 200
    assert rig.retries.taken == 1
    assert rig.transport.answers[2 - number].cancelled()


@pytest.mark.parametrize('error', [RESET, NOT_RUN], ids=str)
def test_a_silent_call_is_kept_if_the_second_send_fails(error):
    async def check():
        rig = Rig()
        loop = asyncio.get_running_loop()

        def end():
            rig.fail(2, error)
            loop.call_later(0.01, rig.answer, 1)

        rig.transport.when_sent[2] = end
        return _status(await _run(rig))

    assert run_virtually(check) == 200


def test_a_silent_call_is_kept_if_no_retry_is_left():
    async def check():
        rig = Rig()
        rig.retries.left = 0
        asyncio.get_running_loop().call_later(
            AFTER_S + 0.04, lambda: rig.answer(1)
        )
        return _status(await _run(rig)), rig

    status, rig = run_virtually(check)
    assert status == 200
    assert len(rig.transport.answers) == 1
    assert rig.log.kept == ['no retry left']


def test_a_call_that_may_run_once_is_sent_once():
    async def check():
        rig = Rig(NonIdempotent())
        return _status(await _run(rig)), rig

    status, rig = run_virtually(check)
    assert status == 504
    assert len(rig.transport.answers) == 1


def test_a_call_is_not_said_not_to_have_run_if_only_one_server_refused_it():
    async def check():
        rig = Rig()

        def end():
            rig.fail(1, RESET)
            rig.answer(2, 503, {'not-run': '1'})

        rig.forwarding.plan.refusals = MAX_REFUSALS
        rig.transport.when_sent[2] = end
        return _status(await _run(rig))

    assert run_virtually(check) == 502


def test_nothing_stays_in_progress_if_the_caller_of_a_call_leaves():
    async def check():
        rig = Rig()
        serving = asyncio.ensure_future(rig.forwarding.run())
        rig.transport.when_sent[2] = serving.cancel
        await asyncio.wait({serving})
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return serving.cancelled() and rig.is_clean()

    assert run_virtually(check)


def test_a_call_answered_while_its_retry_is_taken_is_not_sent_again():
    async def check():
        rig = Rig()
        rig.retries.while_waiting = lambda: rig.answer(1)
        rig.retries.waits = 0.01
        return _status(await _run(rig)), rig

    status, rig = run_virtually(check)
    assert status == 200
    assert len(rig.transport.answers) == 1


STATEMENTS = {
    'leaves': lambda context, server: context.health.leaving(
        server.incarnation
    ),
    'is removed': lambda context, server: context.health.directory.removed(
        server.name, 0
    ),
}


@pytest.mark.parametrize('statement', STATEMENTS)
def test_no_call_is_sent_again_to_a_server_that_leaves_meanwhile(statement):
    async def check():
        rig = Rig()

        def speak():
            for server in (FIRST, SECOND):
                STATEMENTS[statement](rig.context, server)

        rig.retries.while_waiting = speak
        return _status(await _run(rig)), rig

    status, rig = run_virtually(check)
    assert status == 504
    assert len(rig.transport.answers) == 1
