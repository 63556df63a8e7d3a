"""Snapshots of tables, with the changes since."""

import gc
import json
import time
from contextlib import contextmanager

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from celerywharf.exceptions import PlatformUnavailableError
from celerywharf.platform import HistoryGoneError, ReadResult, Row
from celerywharf.routing import AnswerTiming
from celerywharf.sharing._answers import SharedTable, answer, decode_rows
from celerywharf.sharing._contents import MIN_BYTES, ContentCache
from celerywharf.units import DOCUMENT_BYTES
from celerywharf.wire import Envelope, Kind, default_codec, frame
from celerywharf.wire.sharing import WHOLE_TABLE, TableQuestion
from tests.virtual_loop import run_virtually

ROWS = 500
EXAMPLE_S = 0.2
CONTENT = json.dumps({'state': 'ready', 'notes': 'x' * 200}).encode()
LARGE = b'y' * MIN_BYTES


class Table:
    """A table that a reader has read."""

    def __init__(self, rows=ROWS):
        self.table = SharedTable()
        self.cache = ContentCache()
        self.version = rows
        self.table.mirror.replace(
            self._reading(
                Row(f'd{number}', CONTENT, False, number)
                for number in range(1, rows + 1)
            )
        )
        self.table.store_answer_s = 0

    def change(self, *changes):
        """Change rows by key; None removes one."""
        rows = []
        for key, content in changes:
            self.version += 1
            rows.append(Row(key, content, content is None, self.version))
        self.table.mirror.update(self._reading(rows))

    def begin_era(self):
        reading = self._reading(self.table.mirror.current_rows(), era=2)
        self.table.mirror.replace(reading)

    def ask(self, after=WHOLE_TABLE, *, by_snapshot=True):
        question = TableQuestion(
            'servers',
            after,
            0,
            era=1,
            by_digest=True,
            by_snapshot=by_snapshot,
        )
        replies = []

        async def get():
            replies.append(
                await answer(self.table, question, float, cache=self.cache)
            )

        run_virtually(get)
        return replies[0]

    def current(self):
        rows = self.table.mirror.current_rows()
        return {row.key: row for row in rows}

    def received(self, reply):
        rows = decode_rows(reply, self.cache)
        assert len({row.key for row in rows}) == len(rows)
        return {row.key: row for row in rows}

    def _reading(self, rows, era=1):
        timing = AnswerTiming(0, 0, 0, relayed=False, era=era)
        return ReadResult(tuple(rows), self.version, timing)


def test_a_small_table_is_sent_without_a_snapshot():
    table = Table(20)
    reply = table.ask()
    assert not reply.snapshot
    assert len(reply.rows) == 20


def test_a_host_of_an_earlier_build_gets_all_rows():
    reply = Table().ask(by_snapshot=False)
    assert not reply.snapshot
    assert len(reply.rows) == ROWS


def test_a_table_too_large_for_a_snapshot_is_refused_at_once():
    table = Table(0)
    rows = DOCUMENT_BYTES // MIN_BYTES + 50
    content = b'x' * (MIN_BYTES - 1)
    table.change(*((f'd{number}', content) for number in range(rows)))
    with pytest.raises(PlatformUnavailableError, match='too large'):
        table.ask()


def test_a_snapshot_is_used_again_while_few_rows_change():
    table = Table()
    first = table.ask()
    table.change(('d1', None), ('d2', b'{}'), ('new', b'{}'))
    second = table.ask()
    assert second.snapshot == first.snapshot
    assert {row.key for row in second.rows} == {'d1', 'd2', 'new'}
    assert table.received(second) == table.current()


def test_a_snapshot_is_replaced_once_many_rows_have_changed():
    table = Table()
    first = table.ask()
    table.change(*((f'd{number}', b'{}') for number in range(1, ROWS // 5)))
    second = table.ask()
    assert second.snapshot != first.snapshot
    assert not second.rows
    assert table.received(second) == table.current()


def test_a_snapshot_of_an_ended_era_is_not_used():
    table = Table()
    table.ask()
    table.change(('d1', b'{}'))
    table.begin_era()
    reply = table.ask()
    assert not reply.rows
    assert table.received(reply) == table.current()


def test_a_snapshot_whose_content_is_not_kept_is_not_used():
    table = Table()
    first = table.ask()
    table.change(('d1', b'{}'))
    table.cache.by_digest.clear()
    table.cache.by_plain.clear()
    second = table.ask()
    assert second.snapshot != first.snapshot
    assert table.received(second) == table.current()


def test_large_rows_are_named_beside_the_snapshot():
    table = Table()
    table.change(('large', LARGE))
    reply = table.ask()
    assert [row.key for row in reply.rows] == ['large']
    assert reply.rows[0].digest
    assert table.received(reply) == table.current()


changed_rows = st.lists(
    st.tuples(
        st.sampled_from([f'd{number}' for number in range(1, 90)]),
        st.sampled_from([None, b'{}', CONTENT, LARGE]),
    ),
    max_size=40,
)


@contextmanager
def soon_done():
    """Check the processor time, without collections of earlier objects."""
    gc.freeze()
    began_s = time.thread_time()
    try:
        yield
    finally:
        used_s = time.thread_time() - began_s
        gc.unfreeze()
    assert used_s < EXAMPLE_S


# Hypothesis' deadline counts the time in which other processes run, too.
@settings(deadline=None)
@given(st.lists(changed_rows, max_size=4))
def test_a_snapshot_and_what_it_lacks_are_the_table(batches):
    with soon_done():
        table = Table()
        for batch in batches:
            assert table.received(table.ask()) == table.current()
            table.change(*batch)
        assert table.received(table.ask()) == table.current()


def test_changes_too_large_for_a_frame_are_refused_as_gone():
    table = Table(1)
    content = b'x' * (MIN_BYTES - 1)
    table.change(*((f'd{number}', content) for number in range(1500)))
    with pytest.raises(HistoryGoneError):
        table.ask(after=1)
    frame(default_codec().encode(Envelope(Kind.reply, 1, table.ask())))
