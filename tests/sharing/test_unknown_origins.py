"""Which versions may have begun a stream that no host knows."""

import asyncio
import time
from types import SimpleNamespace

from celerywharf.origins import Recorder, VersionEntry
from celerywharf.platform import boot_time_s
from celerywharf.sharing._origin_exchange import OriginExchange
from celerywharf.sharing._origin_records import OriginRecords
from celerywharf.wire.origins import OriginAnswer

SERVICE = 'narrator'
STORE_S = 100_000
OLD = VersionEntry('v1', None, (Recorder('lost', 'north-1', 0),))
NEW = VersionEntry('v2', None, ())


class Rows:
    """Rows of a store that answers after a while."""

    zone = 'north-2'

    def __init__(self, *entries, delay_s=0):
        self.entries = entries
        self.delay_s = delay_s
        self.is_read = False
        self.written = asyncio.Event()

    async def read(self):
        """Read all rows."""
        entries = await self.read_versions()
        self.is_read = True
        return entries

    async def read_versions(self):
        """Read the rows of versions."""
        await asyncio.sleep(self.delay_s)
        return {SERVICE: list(self.entries)}

    async def write_versions(self, _service, _entries):
        """Write, and answer late."""
        await self.written.wait()

    def find(self, *_):
        """Return that no row holds a stream."""


class Readers:
    """Readers of other zones, by zone, with their answers."""

    def __init__(self, answers, *, is_read=True):
        self.answers = answers
        self.is_read = is_read
        self.readers = dict.fromkeys(answers, 'reader') if is_read else {}
        self.own_zone = 'north-2'

    async def ensure_known(self):
        """Find nothing out."""

    async def refresh(self):
        """Find nothing out."""

    async def request(self, zone, _question, _timeout_s):
        """Return the answer of a reader."""
        if zone not in self.readers:
            raise ConnectionError
        return self.answers[zone]


def _records(rows, *present):
    versions = frozenset(present)
    origins = SimpleNamespace(
        now=time.monotonic,
        software_versions=SimpleNamespace(
            subscribers=[],
            present=lambda: {SERVICE: versions},
            recent=lambda *_: versions,
        ),
        register=SimpleNamespace(find=lambda *_: None, subscribers=[]),
    )
    return OriginRecords(rows, origins, 'own', lambda: STORE_S)


def _possible(records, answer, *, is_read=True):
    async def ask():
        server = SimpleNamespace(subscribe=lambda *_: None)
        shared_store = SimpleNamespace(
            is_reader=True,
            elected_subscribers=[],
            lending=SimpleNamespace(is_intact=lambda: True),
            server=server,
            era=SimpleNamespace(subscribers=[]),
            election=SimpleNamespace(reader=None),
        )
        exchange = OriginExchange(
            records.origins,
            shared_store,
            Readers({'north-1': answer}, is_read=is_read),
            ['north-1', 'north-2'],
            records,
        )
        knowledge = await exchange.ask('r1', SERVICE)
        return knowledge.possible()

    return asyncio.run(ask())


def test_a_version_that_only_another_reader_sees_counts():
    answer = OriginAnswer([], ['v1', 'v2'], 'f2', True)
    assert _possible(_records(Rows(OLD), 'v1'), answer) == {'v1', 'v2'}


def test_a_version_that_came_back_counts_before_its_row_is_renewed():
    gone = VersionEntry('v1', 0, ())
    records = _records(Rows(gone, NEW), 'v1', 'v2')
    answer = OriginAnswer([], [], 'f2', True)
    assert _possible(records, answer) == {'v1', 'v2'}


def test_a_store_that_answers_late_confirms():
    records = _records(Rows(OLD, delay_s=0.4), 'v1')
    assert _possible(records, OriginAnswer([], [], 'f2', True)) == {'v1'}


def test_readers_that_were_not_looked_up_are_not_taken_for_none():
    own = VersionEntry('v2', None, (Recorder('own', 'north-2', STORE_S - 10),))
    records = _records(Rows(OLD, own), 'v1', 'v2')
    possible = _possible(records, OriginAnswer([]), is_read=False)
    assert possible == {'v1', 'v2'}


def test_a_late_answer_to_a_write_does_not_replace_a_newer_reading():
    async def play():
        rows = Rows(OLD)
        records = _records(rows, 'v1')
        await records.readings.read()
        writing = asyncio.create_task(records._write_service(SERVICE, {'v1'}))
        await asyncio.sleep(0.15)
        rows.entries = (OLD, NEW)
        asked_s = boot_time_s()
        await records.readings.confirm(asked_s)
        rows.written.set()
        await writing
        return records.possible(SERVICE, None, asked_s).possible()

    assert asyncio.run(play()) != {'v1'}
