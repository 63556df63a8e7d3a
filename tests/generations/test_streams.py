"""Events of engines are checked one by one; slow callers are bounded."""

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
        self.heard = []
        self.tokens = []

    def on_tokens(self, attempt, offset, tokens):
        self.heard.append(f'{offset}:{",".join(tokens)}')
        self.tokens += tokens

    def on_finished(self, attempt, total, reason):
        self.heard.append(f'finished:{total}:{reason}')

    def on_failure(self, attempt, failure):
        self.heard.append(f'failed:{failure.kind}')


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
    assert usual.listener.heard == spaced.listener.heard
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


@then(parsers.parse('the owner hears "{heard}"'))
def _heard(stream, heard):
    assert ' '.join(stream.listener.heard) == heard


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


@then(parsers.parse('the owner always hears tokens "{tokens}"'))
def _always(streams, tokens):
    assert {tuple(one.listener.tokens) for one in streams} == {
        tuple(tokens.split()),
    }


class StuckReader(Reader):
    """Takes one batch, then no more until it reads again."""

    def __init__(self):
        super().__init__('g', 0, 0)
        self.got = []
        self.reading = False
        self.reason = ''

    def write_tokens(self, epoch, tokens):
        self.got += tokens
        self.offset += len(tokens)
        self.busy = not self.reading

    def write_finish(self, reason):
        self.reason = reason

    def write_error(self, error):
        self.reason = error.message


@pytest.fixture
def told():
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
def _slow(count, told, clock):
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
        told.append(type(message)),
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
    assert 0 < len(owned.readers[0].got) <= count


@then('the engines are told to wait')
def _wait(told):
    assert told == [CallersSlow]


@when('the caller reads again')
def _reads(owned):
    owned.readers[0].reading = True
    owned.readers[0].mark_ready()
    owned.tick(0.3)


@then(parsers.parse('the caller got all {count:d} tokens once'))
def _all(owned, count):
    assert owned.readers[0].got == owned.journal.tokens
    assert len(owned.readers[0].got) == count


@then('the engines are told to go on')
def _go_on(told):
    assert told == [CallersSlow, CallersReady]


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
