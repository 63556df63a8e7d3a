"""Who gives a large content to which host, without a network."""

import heapq

import pytest

from celerywharf.sharing._turns import (
    HOST_GIVES,
    KEPT_S,
    MAX_TURN_S,
    OWN,
    READER_GIVES,
    ContentTurns,
    Giver,
)

DIGEST = b'digest'
TRANSFER_S = 0.1  # of the content over the link of one host


def giver_of(host):
    return Giver(f'127.0.0.1:{1000 + host}', b'key')


def spread(hosts, failing=()):
    """Let all hosts get a content; return when each had it.

    Each giver takes `TRANSFER_S` for a transfer, whatever else it gives.
    Those in `failing` give nothing.
    """
    turns = ContentTurns()
    waiting = list(range(hosts))
    arrivals = []
    had_s = {}
    lost = 0
    now_s = 0
    while waiting or arrivals:
        for host in tuple(waiting):
            giver = turns.ask(DIGEST, str(host), now_s)
            if giver is not None:
                waiting.remove(host)
                heapq.heappush(arrivals, (now_s + TRANSFER_S, host, giver))
        check_limits(turns)
        now_s, host, giver = heapq.heappop(arrivals)
        if giver in failing:
            lost += 1
            waiting.append(host)
            continue
        if giver == OWN:
            turns.end(DIGEST, str(host))
        turns.has_whole(DIGEST, str(host), giver_of(host))
        had_s[host] = now_s
    return had_s, lost


def check_limits(turns):
    busy = [turn.giver for turn in turns.spreads[DIGEST].turns.values()]
    for giver in set(busy):
        most = READER_GIVES if giver == OWN else HOST_GIVES
        assert busy.count(giver) <= most


@pytest.mark.parametrize(
    ('hosts', 'rounds'), [(7, 3), (14, 3), (35, 5), (87, 6), (195, 7)]
)
def test_givers_double_in_the_time_of_a_transfer(hosts, rounds):
    had_s, _ = spread(hosts)
    assert len(had_s) == hosts
    assert max(had_s.values()) <= rounds * TRANSFER_S + 1e-6


@pytest.mark.parametrize('hosts', [7, 87, 195])
def test_a_giver_that_fails_costs_one_host_one_transfer(hosts):
    failing = {giver_of(host) for host in range(0, hosts, 5)}
    had_s, lost = spread(hosts, failing)
    assert len(had_s) == hosts
    assert lost <= len(failing)


def test_a_host_that_does_not_come_back_frees_its_giver():
    turns = ContentTurns()
    for host in range(READER_GIVES):
        assert turns.ask(DIGEST, str(host), 0) == OWN
    assert turns.ask(DIGEST, 'late', MAX_TURN_S / 2) is None
    assert turns.ask(DIGEST, 'late', MAX_TURN_S + 0.01) == OWN


def test_a_host_that_asks_for_the_next_piece_keeps_its_turn():
    turns = ContentTurns()
    for piece in range(20):
        assert turns.ask(DIGEST, 'slow', piece * MAX_TURN_S / 2) == OWN


def test_contents_beside_it_do_not_return_a_content_to_the_reader_alone():
    turns = ContentTurns()
    assert turns.ask(DIGEST, 'f0', 0) == OWN
    turns.has_whole(DIGEST, 'f0', giver_of(0))
    for host in range(1, 50):
        for other in range(8):
            turns.ask(bytes([other]), str(host), 0)
    assert turns.ask(DIGEST, 'f1', 0) == giver_of(0)
    for host in range(2, 9):
        for other in range(8):
            turns.ask(bytes([other]), str(host), 0)
        turns.ask(DIGEST, f'f{host}', 0)
    check_limits(turns)


def test_a_content_that_nobody_asks_for_is_forgotten():
    turns = ContentTurns()
    turns.ask(DIGEST, 'f0', 0)
    turns.ask(b'other', 'f0', KEPT_S + 1)
    assert list(turns.spreads) == [b'other']
