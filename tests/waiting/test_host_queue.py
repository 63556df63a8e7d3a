"""What callers get while requests wait at a host, without a network."""

import functools
import itertools
from collections import Counter
from dataclasses import dataclass
from random import Random

import pytest

from celerywharf.waiting import HostQueue, Reason, WaitingTicket

URGENT_TARGET_S = 4
TARGET_S = 10
DEADLINE_S = 25
TURN_S = 0.1  # between two engines that get room
TOKENS = 9_000
TOLERANCE = 0.05


@dataclass
class Request:
    """A request of a load, and what became of it."""

    ticket: WaitingTicket
    placed_s: float | None = None

    @property
    def on_time(self):
        """Return whether it was placed before it was late."""
        return (
            self.placed_s is not None
            and self.placed_s <= self.ticket.on_time_until_s
        )


class Load:
    """Requests that arrive at one host, in the order of their arrival."""

    def __init__(self):
        self.requests = {}
        self.numbers = itertools.count()

    def add(self, at_s, rank=1, account='a', tokens=TOKENS, **changes):
        """Add a request."""
        target_s = TARGET_S if rank else URGENT_TARGET_S
        number = next(self.numbers)
        fields = {
            'number': number,
            'client_account': account,
            'rank': rank,
            'begun': False,
            'tokens': tokens,
            'arrived_s': at_s,
            'on_time_until_s': at_s + target_s,
            'latest_turn_s': at_s + DEADLINE_S,
            'deadline_s': at_s + DEADLINE_S,
        }
        ticket = WaitingTicket(**{**fields, **changes})
        self.requests[number] = Request(ticket)
        return self.requests[number]

    def play(self, queue, until_s, fits=None):
        """Let requests arrive; with each turn an engine gets room."""
        arriving = sorted(
            self.requests.values(), key=lambda one: one.ticket.arrived_s
        )
        for turn in range(round(until_s / TURN_S)):
            now = turn * TURN_S
            self.arrive(queue, arriving, now)
            queue.room_came()
            for ticket in iter(functools.partial(queue.next, now), None):
                if fits is None or fits(ticket, turn):
                    self.requests[ticket.number].placed_s = now
                    queue.placed(ticket, now)
                    queue.discard(ticket.number)
                    break
                queue.lacked(ticket)

    def arrive(self, queue, arriving, now):
        """Queue those that have arrived."""
        while arriving and arriving[0].ticket.arrived_s <= now:
            assert queue.enqueue(arriving.pop(0).ticket, now) is None

    def share(self, part):
        """Return the share of some requests for which something holds."""
        chosen = [one for one in self.requests.values() if part(one.ticket)]
        return sum(one.on_time for one in chosen) / len(chosen)

    def waits(self, part):
        """Return how long some requests waited, in ascending order."""
        return sorted(
            one.placed_s - one.ticket.arrived_s
            for one in self.requests.values()
            if part(one.ticket)
        )


def make_queue():
    return HostQueue(Random(1))


def test_urgent_requests_are_on_time_in_a_burst_of_the_less_urgent_kind():
    # A third of the engines is down: 10 turns a second, 15 requests for 6 s.
    load = Load()
    for number in range(90):
        load.add(number / 15, rank=0 if number % 17 == 0 else 1)
    load.play(make_queue(), 15)
    assert load.share(lambda one: one.rank == 0) == 1
    assert load.share(lambda one: one.rank == 1) == 1
    assert load.waits(lambda one: one.rank == 0)[-1] < URGENT_TARGET_S / 2


def test_two_bursts_at_once_share_the_room_by_what_can_be_on_time():
    load = Load()
    for number in range(60):
        load.add(number / 30, rank=0)
        load.add(number / 30, rank=1)
    load.play(make_queue(), 20)
    urgent = load.share(lambda one: one.rank == 0)
    assert urgent >= load.share(lambda one: one.rank == 1) - TOLERANCE
    assert load.share(lambda one: True) >= 1 - TOLERANCE


def test_less_urgent_requests_in_need_keep_a_quarter_of_the_turns():
    load = Load()
    for number in range(200):
        load.add(number * TURN_S, rank=0)
    for number in range(60):
        load.add(number * TURN_S, rank=1)
    load.play(make_queue(), 20)
    placed = Counter(
        one.ticket.rank
        for one in load.requests.values()
        if one.placed_s is not None and one.placed_s >= TARGET_S / 2
    )
    assert placed[1] >= sum(placed.values()) / 4 - 1


def test_an_account_with_half_of_the_traffic_does_not_delay_the_others():
    load = Load()
    for number in range(80):
        load.add(number / 20, account='big')
        load.add(number / 20, account=f'small-{number % 8}')
    load.play(make_queue(), 16)
    small = load.waits(lambda one: one.client_account != 'big')
    big = load.waits(lambda one: one.client_account == 'big')
    assert small[-1] < TARGET_S
    assert sum(small) < sum(big) * 3 / 4
    assert big[-1] < DEADLINE_S


def test_long_prompts_among_short_ones_are_not_starved():
    # Only each fifth turn is at an engine with room for a long one.
    load = Load()
    for number in range(150):
        tokens = 40_000 if number % 10 == 0 else TOKENS
        load.add(number / 12, tokens=tokens)
    load.play(
        make_queue(),
        25,
        fits=lambda ticket, turn: ticket.tokens == TOKENS or turn % 5 == 0,
    )
    assert load.share(lambda one: one.tokens > TOKENS) >= 0.5 * load.share(
        lambda one: one.tokens == TOKENS
    )
    assert load.waits(lambda one: one.tokens > TOKENS)[-1] < DEADLINE_S / 2


def test_begun_streams_go_before_new_ones_after_all_hosts_were_lost():
    load = Load()
    for number in range(40):
        load.add(0, begun=number % 2 == 1)
    load.play(make_queue(), 5)
    begun = load.waits(lambda one: one.begun)
    fresh = load.waits(lambda one: not one.begun)
    # But for the least share of the new ones.
    assert begun[-1] <= 20 * TURN_S * 4 / 3
    assert begun[len(begun) // 2] < fresh[len(fresh) // 2]


def test_a_caller_that_repeats_at_once_does_not_go_before_those_who_wait():
    queue = make_queue()
    load = Load()
    patient = [load.add(0, account='patient') for _ in range(3)]
    hasty = [
        load.add(1 + number / 100, account='hasty') for number in range(20)
    ]
    for one in (*patient, *hasty):
        assert queue.enqueue(one.ticket, 2) is None
    first = []
    for _ in range(6):
        ticket = queue.next(2)
        first.append(ticket.client_account)
        queue.placed(ticket, 2)
        queue.discard(ticket.number)
    assert first.count('patient') == 3


def test_what_surely_cannot_be_served_in_time_is_refused_at_once():
    queue = make_queue()
    for _ in range(16):
        queue.stream_ended(5)
    load = Load()
    hopeless = load.add(0, deadline_s=4).ticket
    refused = queue.enqueue(hopeless, 0)
    assert refused.reason is Reason.late
    assert 0 < refused.retry_after_s * 3 <= 4
    assert not queue.waiting
    assert queue.enqueue(load.add(0, deadline_s=6).ticket, 0) is None


def test_nobody_waits_until_the_deadline_in_order_to_fail_there():
    queue = make_queue()
    for _ in range(16):
        queue.stream_ended(5)
    load = Load()
    assert queue.enqueue(load.add(0).ticket, 0) is None
    assert not queue.refuse_late(DEADLINE_S - 5.1)
    refused = queue.refuse_late(DEADLINE_S - 4.9)
    assert [one.reason for one in refused] == [Reason.late]


def test_a_request_that_may_still_be_served_is_not_refused():
    # Engines drain one request a second; the twentieth may still be served.
    queue = make_queue()
    load = Load()
    for second in range(20):
        queue.enqueue(load.add(second).ticket, second)
        queue.placed(load.requests[second].ticket, second + 1)
        queue.discard(second)
    for _ in range(20):
        assert queue.enqueue(load.add(30).ticket, 30) is None
    late = [queue.enqueue(load.add(30).ticket, 30) for _ in range(40)]
    assert any(late)
    assert late.index(next(filter(None, late))) >= 5


def test_those_who_are_refused_together_return_at_different_times():
    queue = make_queue()
    for _ in range(16):
        queue.stream_ended(5)
    load = Load()
    waits_s = [
        queue.enqueue(load.add(0, deadline_s=4.5).ticket, 0).retry_after_s
        for _ in range(12)
    ]
    assert all(0 < wait_s * 3 <= 5 for wait_s in waits_s)
    assert len({round(wait_s, 2) for wait_s in waits_s}) > 2


@pytest.mark.parametrize('begun', [False, True])
def test_a_host_that_stops_refuses_each_that_waits(begun):
    queue = make_queue()
    load = Load()
    for _ in range(3):
        queue.enqueue(load.add(0, begun=begun).ticket, 0)
    refused = queue.refuse_all(1)
    assert {one.reason for one in refused} == {Reason.leaving}
    assert len(refused) == 3
    assert not queue.waiting


def test_a_caller_that_leaves_is_forgotten():
    queue = make_queue()
    load = Load()
    gone, waits = (load.add(0).ticket for _ in range(2))
    for ticket in (gone, waits):
        queue.enqueue(ticket, 0)
    queue.discard(gone.number)
    assert queue.next(1) is waits
