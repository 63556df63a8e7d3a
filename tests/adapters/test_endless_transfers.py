"""How the transport divides its time among answers without end."""

import asyncio
import time

import pytest

from celerywharf.adapters import CurlTransport
from celerywharf.adapters._read_budget import COMMON_BURST_S, COMMON_SHARE
from celerywharf.adapters.transports import HttpRequest
from standins.endless import EndlessProcess

TRANSFERS = 8
PIECE_S = 0.01
START_PERIOD_S = 0.02
LASTS_S = 2
# curl may pass on the rest of a piece after its transfer was paused.
PIECES_PER_TURN = 2


class SlowSink:
    """Uses the processor for a fixed time for each piece of an answer.

    Attributes:
        pieces_while_resting: pieces after the turn in which a rest began and
            before its end.
    """

    def __init__(self):
        self.loop = asyncio.get_running_loop()
        self.pieces = 0
        self.pieces_of_turn = 0
        self.most_of_turn = 0
        self.rests = 0
        self.rests_until_s = self.loop.time()
        self.pieces_while_resting = 0

    def on_headers(self, status, headers):
        """Ignore the head."""

    def on_chunk(self, chunk):
        """Use the processor."""
        if self.loop.time() < self.rests_until_s:
            self.pieces_while_resting += 1
        if not self.pieces_of_turn:
            self.loop.call_soon(self._end_turn)
        self.pieces += 1
        self.pieces_of_turn += 1
        self.most_of_turn = max(self.most_of_turn, self.pieces_of_turn)
        _use_processor(PIECE_S)

    def on_rest(self, rest_s):
        """Record until when nothing is to be read."""
        self.rests += 1
        self.rests_until_s = self.loop.time() + rest_s

    def on_end(self, error):
        """Ignore the end."""

    def _end_turn(self):
        self.pieces_of_turn = 0


def _use_processor(lasts_s):
    ends_s = time.thread_time() + lasts_s
    rounds = 0
    while time.thread_time() < ends_s:
        rounds += 1


async def _read(addresses):
    transport = CurlTransport()
    sinks = []
    for address in addresses:
        sinks.append(SlowSink())
        request = HttpRequest('GET', f'http://{address}/')
        transport.stream(request, sinks[-1]).on_rest = sinks[-1].on_rest
        await asyncio.sleep(START_PERIOD_S)
    await asyncio.sleep(LASTS_S - TRANSFERS * START_PERIOD_S)
    transport.close()
    return sinks


@pytest.fixture(scope='module')
def sinks():
    engines = EndlessProcess('the same event at full speed', TRANSFERS)
    try:
        return asyncio.run(_read(engines.addresses))
    finally:
        engines.close()


# Streams with many events in each piece used the whole time of a front.
def test_answers_whose_pieces_take_long_use_a_part_of_the_time(sinks):
    used_s = PIECE_S * sum(sink.pieces for sink in sinks)
    # What was read last of each answer may go beyond it.
    last_s = TRANSFERS * PIECES_PER_TURN * PIECE_S
    assert 0 < used_s <= COMMON_BURST_S + LASTS_S * COMMON_SHARE + last_s


# A stream that began beside others held the event loop for 0.2 s at once.
def test_an_answer_whose_pieces_take_long_is_paused_after_the_first(sinks):
    assert max(sink.most_of_turn for sink in sinks) <= PIECES_PER_TURN


# Nobody knew that a stream was not being read, so it was taken for silent.
def test_an_answer_is_not_read_for_the_time_that_is_told(sinks):
    assert all(sink.rests for sink in sinks)
    assert not any(sink.pieces_while_resting for sink in sinks)
