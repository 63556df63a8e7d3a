"""Streams whose origin no other zone's reader, or a former reader, hears."""

import asyncio
from types import SimpleNamespace

from celerywharf.origins import StreamOrigin
from celerywharf.sharing._origin_notices import OriginNotices
from celerywharf.wire.origins import OriginEntry, OriginNotice

TRIES = 3


class Readers:
    """Readers of other zones that do not answer."""

    async def ensure_known(self):
        """Find nothing out."""

    async def request(self, *_):
        """Fail."""
        raise ConnectionError


class Register:
    """The streams that a front knows, by request id."""

    def __init__(self):
        self.subscribers = []
        self.origins = {}

    def find(self, request_id, _):
        """Return the stream; None if it is not known."""
        return self.origins.get(request_id)

    def learn(self, origin, _):
        """Record the stream."""
        self.origins[origin.request_id] = origin


def _notices(recorded, *, is_reader):
    origins = SimpleNamespace(
        now=int,
        register=Register(),
        software_versions=SimpleNamespace(subscribers=[]),
    )
    shared_store = SimpleNamespace(
        is_reader=is_reader,
        elected_subscribers=[],
        era=SimpleNamespace(subscribers=[]),
        server=SimpleNamespace(subscribe=lambda *_: None),
    )
    records = SimpleNamespace(add=recorded.extend, store_restored=None)
    return OriginNotices(origins, shared_store, Readers(), ['north-2'], records)


def test_streams_that_nobody_hears_of_are_recorded_once():
    recorded = []
    notices = _notices(recorded, is_reader=True)
    due = [StreamOrigin('r1', 'narrator', 'v1', 60)]

    async def tell():
        return [await notices._pass_on(due) for _ in range(TRIES)]

    assert not any(asyncio.run(tell()))
    assert recorded == due


def test_a_stream_told_to_a_former_reader_is_passed_on_once():
    notices = _notices([], is_reader=False)
    entry = OriginEntry('r1', 'narrator', 'v1', 60)
    notice = OriginNotice([entry], passed_on=False)
    asyncio.run(notices._on_notice(None, notice))
    assert list(notices.untold) == ['r1']
    notices._forget(['r1'])
    asyncio.run(notices._on_notice(None, notice))
    assert not notices.untold
