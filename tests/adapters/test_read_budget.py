"""What answers may use of the event loop's time."""

import time

import pytest

from celerywharf.adapters._body_buffer import BodyBuffer
from celerywharf.adapters._read_budget import (
    COMMON_BURST_S,
    COMMON_SHARE,
    ReadBudget,
    Usage,
)

READING_S = 0.002
ANSWERS = 50
LASTS_S = 4


class Clock:
    """Stands in for the performance counter or for processor time."""

    def __init__(self):
        self.now_s = 1000.0

    def __call__(self):
        return self.now_s


@pytest.fixture
def clock(monkeypatch):
    stopped = Clock()
    monkeypatch.setattr(time, 'perf_counter', stopped)
    return stopped


@pytest.fixture
def processor(monkeypatch):
    stopped = Clock()
    monkeypatch.setattr(time, 'thread_time', stopped)
    return stopped


@pytest.fixture
def read(clock, processor):
    def read(budget, usage, lasts_s):
        budget.begin()
        clock.now_s += lasts_s
        processor.now_s += lasts_s
        return budget.charge(usage)

    return read


# Many endless answers used the whole time of a front together.
def test_endless_answers_share_a_part_of_the_time(clock, read):
    budget = ReadBudget()
    usages = [Usage() for _ in range(ANSWERS)]
    due_s = [clock.now_s for _ in usages]
    ends_s = clock.now_s + LASTS_S
    used_s = 0
    while clock.now_s < ends_s:
        clock.now_s = max(clock.now_s, min(due_s))
        number = due_s.index(min(due_s))
        is_overdue = read(budget, usages[number], READING_S)
        used_s += READING_S
        rest_s = budget.settle(usages[number]) if is_overdue else 0
        due_s[number] = clock.now_s + rest_s
    # The last reading of each answer may go beyond it.
    last_s = (ANSWERS + 1) * READING_S
    assert used_s <= COMMON_BURST_S + LASTS_S * COMMON_SHARE + last_s


def test_a_stream_of_events_is_never_paused(clock, read):
    budget = ReadBudget()
    usage = Usage()
    for _ in range(1000):
        assert not read(budget, usage, 0.00005)
        clock.now_s += 0.03


def test_a_large_answer_is_read_without_a_wait(read):
    budget = ReadBudget()
    usage = Usage()
    for _ in range(10):
        assert read(budget, usage, READING_S)
        assert budget.settle(usage) == 0


# A stream that was being read when its process froze was paused for seconds.
def test_an_answer_is_not_charged_for_a_process_that_did_not_run(clock, read):
    budget = ReadBudget()
    usage = Usage()
    budget.begin()
    clock.now_s += 2
    assert budget.charge(usage)
    assert budget.settle(usage) == 0


# On a busy machine endless answers used more than their part of the time.
def test_an_answer_is_charged_for_waiting_for_the_processor(
    clock, processor, read
):
    budget = ReadBudget()
    usage = Usage()
    read(budget, usage, COMMON_BURST_S)
    budget.settle(usage)
    budget.begin()
    clock.now_s += 2 * READING_S
    processor.now_s += READING_S
    assert budget.charge(usage)
    # A part has been granted again in the meantime.
    assert budget.settle(usage) > READING_S / COMMON_SHARE


# A piece of many events took 12 ms and was charged with 5 ms.
def test_a_long_reading_is_charged_in_full(read):
    budget = ReadBudget()
    usage = Usage()
    assert read(budget, usage, 2 * COMMON_BURST_S)
    assert budget.settle(usage) == pytest.approx(COMMON_BURST_S / COMMON_SHARE)


@pytest.mark.parametrize('size', [1, 2, 1000, 16_384, 40_000])
def test_pieces_of_any_size_are_joined(size):
    body = BodyBuffer()
    pieces = [bytes((number % 256,)) * size for number in range(100)]
    for piece in pieces:
        body.append(piece)
    assert body.content() == b''.join(pieces)
    assert body.size_bytes == size * 100
    assert len(body.blocks) <= body.size_bytes / 16_384
