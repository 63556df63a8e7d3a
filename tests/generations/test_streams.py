"""Checks of engine events, and limits on slow callers."""

import json
from types import SimpleNamespace

import pytest
from pytest_bdd import given, parsers, scenarios, then, when
from traces import BOUNDS

from celerywharf.adapters.engines import AttemptId, EngineStream
from celerywharf.generations._engine_latencies import EngineLatencies
from celerywharf.generations._logic import GenerationLogic
from celerywharf.generations._owned_generation import OwnedGeneration
from celerywharf.generations._readers import Reader
from celerywharf.generations.journals import Journal, Position
from celerywharf.generations.messages import CallersReady, CallersSlow
from celerywharf.metrics import Metrics
from celerywharf.structures import Address, HostIdentity
from celerywharf.tables import Policy
from celerywharf.wire.journals import JournalLine, JournalSpec

scenarios('streams.feature')

ATTEMPT = AttemptId('g', 7, 1)
STYLES = ((',', ':'), (', ', ': '))


class Listener:
    def __init__(self):
        self.received = []
        self.tokens = []

    def on_tokens(self, attempt, offset, tokens):
        self.received.append(f'{offset}:{",".join(tokens)}')
        self.tokens += tokens

    def on_finished(self, attempt, total, reason):
        self.received.append(f'finished:{total}:{reason}')

    def on_failure(self, attempt, failure):
        self.received.append(f'failed:{failure.kind}')


class Connection:
    def __init__(self):
        self.state = 'open'

    def cancel(self):
        self.state = 'closed'


def encode(word, separators):
    name, _, token = word.partition('=')
    generation, epoch, attempt, offset = name.split('.')
    event = {
        'g': generation,
        'e': int(epoch),
        'a': int(attempt),
        'o': int(offset) if offset.isdigit() else offset,
    }
    event.update({'end': 'length'} if token == 'end' else {'t': token})
    text = json.dumps(event, separators=separators, ensure_ascii=False)
    return f'data: {text}\n\n'.encode()


def start(status=200):
    stream = EngineStream(ATTEMPT, Listener())
    stream.transfer = Connection()
    stream.on_headers(status, {})
    return stream


@when(
    parsers.parse(
        'an engine sends "{chunks}" for generation g epoch 7 attempt 1',
    ),
    target_fixture='stream',
)
def _sent(chunks):
    usual, spaced = [send(chunks, style) for style in STYLES]
    assert usual.listener.received == spaced.listener.received
    return usual


def send(chunks, style):
    stream = start()
    for chunk in chunks.split(' / '):
        words = chunk.split()
        content = b''.join(encode_word(stream, word, style) for word in words)
        if content:
            stream.on_chunk(content)
    if chunks.split()[-1] in {'cut', 'close'}:
        stream.transfer.state = 'ended'
        stream.on_end(None)
    return stream


def encode_word(stream, word, style):
    if word.startswith('status.'):
        _, status, code = word.split('.')
        stream.on_headers(int(status), {})
        return json.dumps({'code': code}).encode()
    known = {
        'rubbish': b'data: {"g":\n\n',
        'cut': b'data: {"g":"g","e":7',
        'close': b'',
    }
    return known[word] if word in known else encode(word, style)


@then(parsers.parse('the owner receives "{received}"'))
def _received(stream, received):
    assert ' '.join(stream.listener.received) == received


@then(parsers.parse('the connection is {state}'))
def _state(stream, state):
    assert stream.transfer.state == state


@when(
    parsers.parse('the events "{words}" arrive split at every byte in turn'),
    target_fixture='streams',
)
def _split(words):
    content = b''.join(encode(word, STYLES[0]) for word in words.split())
    return [read_split(content, cut) for cut, _ in enumerate(content)][1:]


def read_split(content, cut):
    stream = start()
    stream.on_chunk(content[:cut])
    stream.on_chunk(content[cut:])
    return stream


@then(parsers.parse('the owner always receives tokens "{tokens}"'))
def _always(streams, tokens):
    assert {tuple(stream.listener.tokens) for stream in streams} == {
        tuple(tokens.split()),
    }


class StuckReader(Reader):
    """Accepts one batch, then no more until it reads again."""

    def __init__(self):
        super().__init__('g', 0, 0)
        self.tokens = []
        self.reading = False
        self.reason = ''

    def write_tokens(self, epoch, tokens):
        self.tokens += tokens
        self.offset += len(tokens)
        self.busy = not self.reading

    def write_finish(self, reason):
        self.reason = reason

    def write_error(self, error):
        self.reason = error.message


@pytest.fixture
def processed():
    return []


@pytest.fixture
def clock():
    return [0.1]


@given(
    parsers.parse(
        'a generation of {count:d} tokens and a caller that reads nothing',
    ),
    target_fixture='owned',
)
def _slow(count, processed, clock):
    spec = JournalSpec('g', 'narratives', 'x', 'p', count, 1)
    tokens = [f'{number}' for number in range(count)]
    journal = Journal(spec, [JournalLine(7, 0)], tokens)
    latencies = EngineLatencies(3.0, 0.8)
    logic = GenerationLogic(journal, Policy.patient, latencies, BOUNDS, 0)
    generations = SimpleNamespace(
        now=lambda: clock[0],
        buffer_bytes=128 * 1024,
        settings=SimpleNamespace(heartbeat_s=5, keep_s=120),
        host=SimpleNamespace(
            metrics=Metrics(),
            identity=HostIdentity('a', 'r', 'z', Address('127.0.0.1', 1), 1),
            membership=SimpleNamespace(live=list),
        ),
    )
    owned = OwnedGeneration(generations, journal, logic)
    owned.attach(StuckReader(), Position('g'))
    process = owned.process
    owned.process = lambda message: (
        processed.append(type(message)),
        process(message),
    )
    return owned


@when('all tokens are deliverable')
def _deliverable(owned):
    owned.deliverable = len(owned.journal.tokens)
    owned.write_pending(owned.readers[0])
    owned.write_pending(owned.readers[0])
    owned.tick(0.2)


@then(parsers.parse('at most {count:d} tokens were written to the caller'))
def _written(owned, count):
    assert 0 < len(owned.readers[0].tokens) <= count


@then('the engines are paused')
def _paused(processed):
    assert processed == [CallersSlow]


@when('the caller reads again')
def _reads(owned):
    owned.readers[0].reading = True
    owned.readers[0].mark_ready()
    owned.tick(0.3)


@then(parsers.parse('the caller got all {count:d} tokens once'))
def _all(owned, count):
    assert owned.readers[0].tokens == owned.journal.tokens
    assert len(owned.readers[0].tokens) == count


@then('the engines are resumed')
def _resumed(processed):
    assert processed == [CallersSlow, CallersReady]


@when(parsers.parse('{seconds:d} seconds pass'))
def _pass(owned, clock, seconds):
    clock[0] += seconds
    owned.tick(clock[0])


@then('the caller is still served')
def _served(owned):
    assert len(owned.readers) == 1


@then('the caller is dropped')
def _dropped(owned):
    assert not owned.readers
