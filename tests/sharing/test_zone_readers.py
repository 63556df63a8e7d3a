"""Readers of other zones that were replaced just after they were looked up."""

import asyncio
from types import SimpleNamespace

import pytest

from celerywharf.exceptions import PeerUnreachableError
from celerywharf.platform import Row
from celerywharf.sharing import _readers as zone_readers
from celerywharf.sharing._election import Reader
from celerywharf.sharing._entries import encode_reader
from celerywharf.structures import Address

ZONE = 'north-2'
OLD = Reader(Address('127.0.0.1', 1), b'old', 1)
NEW = Reader(Address('127.0.0.1', 1), b'new', 2)
QUESTIONS = 20


class Store:
    """A store that names the reader of a zone.

    Attributes:
        reader: whom it names.
        readings: how often its rows were read.
    """

    def __init__(self):
        self.reader = OLD
        self.readings = 0

    async def read(self, _table):
        """Read the rows."""
        self.readings += 1
        content = encode_reader('f3', self.reader)
        row = Row(ZONE, content, removed=False, version=self.reader.version)
        return SimpleNamespace(rows=[row])


class Link:
    """A link that is accepted with the key of the new reader."""

    def __init__(self, _identity, key, _codec):
        self.key = key

    async def request(self, _address, message, _timeout_s):
        """Return the message, or fail."""
        if self.key != NEW.key:
            raise PeerUnreachableError('the peer does not know the key')
        return message

    async def close(self):
        """Close nothing."""


@pytest.fixture
def store():
    return Store()


@pytest.fixture
def readers(store, monkeypatch):
    monkeypatch.setattr(zone_readers, 'LinkService', Link)
    identity = SimpleNamespace(availability_zone='north-1')
    return zone_readers.ZoneReaders(store, identity, 2)


async def _ask(readers):
    """Ask a reader, and once more if it was replaced."""
    try:
        return await readers.request(ZONE, 'question', 1)
    except PeerUnreachableError:
        await readers.refresh()
    return await readers.request(ZONE, 'question', 1)


def test_a_reader_replaced_just_after_it_was_looked_up_is_found(store, readers):
    async def play():
        await readers.ensure_known()
        store.reader = NEW
        asked = (_ask(readers) for _ in range(QUESTIONS))
        assert set(await asyncio.gather(*asked)) == {'question'}

    asyncio.run(play())
    assert store.readings == 2


def test_a_reader_that_does_not_answer_is_looked_up_at_once_only_once(
    store, readers
):
    async def play():
        await readers.ensure_known()
        for _ in range(QUESTIONS):
            with pytest.raises(PeerUnreachableError):
                await _ask(readers)

    asyncio.run(play())
    assert store.readings == 2
