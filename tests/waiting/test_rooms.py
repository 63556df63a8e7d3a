"""Turns of requests that wait at a host, in virtual time."""

import asyncio
from random import Random

import pytest

from celerywharf.metrics import Metrics
from celerywharf.timers import TimerService
from celerywharf.waiting import Reason, ServiceRoom, WaitingTicket
from tests.virtual_loop import run_virtually

WAIT_S = 2.5
DEADLINE_S = 25
TOKENS = 9_000


class Host:
    """A host whose engines have room for some requests."""

    def __init__(self, room_for=0):
        self.metrics = Metrics()
        self.room = ServiceRoom('s', TimerService(), self.metrics, Random(1))
        self.room_for = room_for
        self.placed = []
        self.searches = 0
        self.number = 0

    def ticket(self, **changes):
        """Return the next request."""
        now = self.room.timers.now()
        self.number += 1
        fields = {
            'number': self.number,
            'client_account': '',
            'rank': 1,
            'begun': False,
            'tokens': TOKENS,
            'arrived_s': now,
            'on_time_until_s': now + 4 * WAIT_S,
            'latest_turn_s': now + WAIT_S,
            'deadline_s': now + DEADLINE_S,
        }
        return WaitingTicket(**{**fields, **changes})

    async def serve(self, ticket):
        """Wait until an engine has room, as a stream does."""
        placed = False
        try:
            while not placed:
                refused = await self.room.wait(ticket)
                if refused is not None:
                    return refused
                placed = await self.search(ticket)
        finally:
            self.room.end(ticket, placed=placed)
        self.placed.append(ticket.number)
        return self.room.timers.now() - ticket.arrived_s

    async def search(self, ticket):
        """Return whether an engine has room, or the request waits no more."""
        self.searches += 1
        await asyncio.sleep(0.01)
        has_room = self.room_for > 0
        self.room_for -= has_room
        if not has_room and self.room.timers.now() < ticket.latest_turn_s:
            self.room.lacked(ticket)
            return False
        return True

    def start(self, count=1, **changes):
        """Let requests arrive."""
        return [
            asyncio.ensure_future(self.serve(self.ticket(**changes)))
            for _ in range(count)
        ]

    def is_clean(self):
        """Return whether nothing is known of requests that have ended."""
        room = self.room
        return not (room.turns or room.began_s or room.queue.waiting) and (
            room.searching is None
        )


def test_nobody_waits_while_engines_have_room():
    async def check():
        host = Host(room_for=50)
        return await asyncio.gather(*host.start(50)), host

    waits, host = run_virtually(check)
    assert max(waits) * 50 < 1
    assert not host.metrics.total('waits')


def test_room_that_comes_goes_to_the_most_urgent_request():
    async def check():
        host = Host()
        tasks = host.start(3)
        await asyncio.sleep(0.1)
        tasks += host.start(1, rank=0)
        await asyncio.sleep(0.5)
        host.room_for = 4
        host.room.room_came()
        await asyncio.gather(*tasks)
        return host

    host = run_virtually(check)
    assert host.placed == [4, 1, 2, 3]
    assert host.is_clean()
    assert host.metrics.total('waits') == 4
    assert host.metrics.total('waits_ended') == 4


def test_a_wait_is_bounded_and_probes_are_few_if_no_room_comes():
    async def check():
        host = Host()
        return await asyncio.gather(*host.start(20)), host

    waits, host = run_virtually(check)
    assert max(waits) <= WAIT_S + 0.5
    # All look once, then one at a time, and each once at its latest turn.
    assert host.searches <= 20 + WAIT_S / 0.25 + 20
    assert host.is_clean()


def test_a_caller_that_leaves_is_forgotten_at_once():
    async def check():
        host = Host()
        tasks = host.start(3)
        await asyncio.sleep(0.4)
        tasks[0].cancel()
        await asyncio.sleep(0.1)
        gone = 1 not in host.room.queue.waiting
        host.room_for = 2
        host.room.room_came()
        await asyncio.gather(*tasks[1:])
        return gone, host

    gone, host = run_virtually(check)
    assert gone
    assert host.placed == [2, 3]
    assert host.is_clean()


@pytest.mark.parametrize('delay_s', [0, 0.01, 0.251, 0.26, 0.3])
def test_a_caller_that_leaves_in_its_turn_does_not_keep_the_others(delay_s):
    async def check():
        host = Host()
        tasks = host.start(3)
        await asyncio.sleep(delay_s)
        tasks[0].cancel()
        host.room_for = 2
        async with asyncio.timeout(1):
            await asyncio.gather(*tasks[1:])
        return host

    assert run_virtually(check).is_clean()


def test_a_host_that_stops_answers_each_that_waits():
    async def check():
        host = Host()
        tasks = host.start(3)
        await asyncio.sleep(0.2)
        host.room.stop()
        async with asyncio.timeout(0.1):
            return await asyncio.gather(*tasks), host

    answers, host = run_virtually(check)
    assert {answer.reason for answer in answers} == {Reason.leaving}
    assert host.is_clean()


def test_a_stream_that_has_begun_does_not_wait_behind_new_ones():
    async def check():
        host = Host()
        tasks = host.start(3)
        await asyncio.sleep(0.2)
        now = host.room.timers.now()
        begun = host.start(1, begun=True, latest_turn_s=now)
        wait_s = await begun[0]
        await asyncio.gather(*tasks)
        return wait_s

    assert run_virtually(check) * 50 < 1
