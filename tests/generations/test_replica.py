"""Replicas, positions of callers, searches and idempotency keys."""

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from celerywharf.exceptions import (
    BadRequestError,
    CelerywharfError,
    GenerationLostError,
    StaleEpochError,
)
from celerywharf.generations._idempotency_keys import IdempotencyKeyLogic
from celerywharf.generations._owner_search import (
    JournalHolder,
    SearchResult,
    rank_holders,
)
from celerywharf.generations._placement import replica_order
from celerywharf.generations._replicas import ReplicaLogic
from celerywharf.generations.journals import Journal, Position, next_epoch
from celerywharf.membership import Peer
from celerywharf.structures import Address, HostIdentity
from celerywharf.wire.idempotency import KeyJoin
from celerywharf.wire.journals import (
    JournalAppend,
    JournalFound,
    JournalLine,
    JournalPlaced,
    JournalSpec,
    JournalTake,
)

scenarios('replica.feature')

GENERATION = 'g-a-1'
SPEC = JournalSpec(GENERATION, 'narratives', 'x', 'p', 9, 1)


def read_journal(text):
    lines, _, tokens = text.partition('|')
    pairs = [word.split('@') for word in lines.split()]
    parsed = [JournalLine(int(epoch), int(start)) for epoch, start in pairs]
    return Journal(SPEC, parsed, tokens.split())


@pytest.fixture
def clock():
    return [0]


@given(parsers.parse('the journal "{text}"'), target_fixture='journal')
def _journal(text):
    return read_journal(text.replace('\\', ''))


@then(
    parsers.parse(
        'a caller at epoch {epoch:d} and offset {offset:d} is {answer}',
    ),
)
def _caller(journal, epoch, offset, answer):
    position = Position(GENERATION, epoch, offset)
    if answer == 'served':
        journal.check_position(position)
        return
    with pytest.raises(GenerationLostError):
        journal.check_position(position)


@then(parsers.parse('the Last-Event-ID "{text}" is {answer}'))
def _position(text, answer):
    if answer == 'read':
        assert str(Position.parse(text)) == text
        return
    with pytest.raises(BadRequestError):
        Position.parse(text)


@when(
    parsers.parse('hosts "{first}" and "{second}" choose an epoch above {old}'),
    target_fixture='epochs',
)
def _choose(first, second, old):
    return [next_epoch(int(old), name, 1) for name in (first, second)]


@then(parsers.parse('both are above {old:d} and they differ'))
def _differ(epochs, old):
    assert min(epochs) > old
    assert len(set(epochs)) == 2


@given(parsers.parse('a replica that holds "{text}"'), target_fixture='replica')
def _replica(text):
    logic = ReplicaLogic(keep_s=120)
    logic.open(read_journal(text).to_message('a'), 0)
    return logic


@when(parsers.parse('owner "{name}" takes it with epoch {epoch:d}'))
def _take(replica, name, epoch):
    taken = replica.take(JournalTake(GENERATION, epoch, name), 1)
    assert taken.lines[-1] == JournalLine(epoch, len(taken.tokens))


@when(
    parsers.parse(
        'an owner with epoch {epoch:d} appends "{text}" at offset {offset:d}',
    ),
    target_fixture='appended',
)
def _append(replica, epoch, text, offset):
    new = text.split()
    return replica.append(
        JournalAppend([GENERATION], [epoch], [offset], [len(new)], new, []),
        2,
    )


@then(parsers.parse('the append is {answer}'))
def _appended(appended, answer):
    stale = [GENERATION] if answer == 'stale' else []
    unknown = [GENERATION] if answer == 'unknown' else []
    assert (appended.stale, appended.unknown) == (stale, unknown)


@then(parsers.parse('the replica holds "{text}"'))
def _holds(replica, text):
    assert replica.held[GENERATION].journal.tokens == text.split()


@then('the replica holds nothing')
def _empty(replica):
    assert not replica.held
    assert replica.find(GENERATION).epoch == 0


@then(parsers.parse('"{request}" with epoch {epoch:d} is {answer}'))
def _epoch(replica, request, epoch, answer):
    message = {
        'take': JournalTake(GENERATION, epoch, 'b'),
        'open': read_journal(f'{epoch}@0 | a0').to_message('b'),
        'place': JournalPlaced(GENERATION, epoch, 2, 'e2'),
    }[request]
    call = getattr(replica, request)
    if answer == 'done':
        call(message, 1)
        return
    with pytest.raises(StaleEpochError):
        call(message, 1)


@when(parsers.parse('{seconds:d} seconds pass'))
def _pass(replica, clock, seconds):
    clock[0] += seconds
    replica.tick(clock[0])


@given(
    parsers.re('hosts answered "(?P<text>.*)"'), target_fixture='search_result'
)
def _answers(text):
    holders = []
    for word in text.split():
        if word == '-':
            continue
        name, epoch, length = word.rstrip('*').split(':')
        owned = word.endswith('*')
        found = JournalFound(owned, int(epoch), int(length), 'a')
        holders.append(JournalHolder(peer(name, 'r1', 'z1'), found))
    return SearchResult(rank_holders(holders), text.split().count('-'))


@then(parsers.parse('the search results in "{end}"'))
def _search(search_result, end):
    owner = search_result.owner()
    if owner is not None:
        assert f'owner {owner.name}' == end
        return
    try:
        found = search_result.best(GENERATION).peer.name
    except CelerywharfError as error:
        found = error.code
    assert found == end


def peer(name, region, zone):
    return Peer(name, region, zone, Address('127.0.0.1', 1), None, 1, False)


@given(
    parsers.parse('hosts "{text}" around host "{owner}"'),
    target_fixture='place',
)
def _place(text, owner):
    name, region, zone = owner.split(':')
    inner = Address('127.0.0.1', 2)
    peers = [peer(*word.split(':')) for word in text.split()]
    return HostIdentity(name, region, zone, inner, 1), peers


@then(parsers.parse('every replica order has zones "{zones}"'))
def _order(place, zones):
    owner, peers = place
    firsts = set()
    for number in range(50):
        order = replica_order(f'g-a-{number}', owner, peers)
        assert [host.availability_zone for host in order] == zones.split()
        firsts.add(order[0].name)
    assert firsts == {'c', 'e'}


@pytest.fixture
def keys():
    return IdempotencyKeyLogic(keep_s=120)


@then(
    parsers.re(
        'key "(?P<key>.*)" of "(?P<own>.*?)" joins "(?P<joined>.*?)"'
        '( when "(?P<lost>.*)" is lost)?$',
    ),
)
def _key(keys, key, own, joined, lost):
    answer = keys.join(KeyJoin(key, 'request', own, lost or ''), 0)
    assert answer.generation == joined
