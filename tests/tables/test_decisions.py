"""Replays platform answers, deltas and hosts through the decision classes."""

import itertools
import json
import random
from pathlib import Path

from pytest_bdd import given, parsers, scenarios, then, when

from celerywharf.adapters import StoredRow
from celerywharf.exceptions import PlatformUnavailableError
from celerywharf.tables import _attempts as attempts
from celerywharf.tables import _storage as storage
from celerywharf.tables._freshness import Freshness
from celerywharf.tables._propagation import (
    ForwardedPushes,
    Propagation,
    ReplicaHost,
)
from celerywharf.tables._replica import Replica
from celerywharf.tables.changes import ChangeRequest, Delta, Edit
from celerywharf.tables.rows import Row, RowKind

scenarios('decisions.feature')

TRACES = Path(__file__).parent / 'traces'
ROW_KEY = 'table/rows/share/*:acme'
ACCOUNT_KEY = 'table/rows/client_account/acme'
SHARE = {
    'backend_server': '*',
    'client_account': 'acme',
    'weight': 1.0,
    'limit': 7,
}


class Replay:
    """A change attempt, its last action and the number of its commits."""

    def __init__(self, request, minimum_revision=0):
        self.attempt = attempts.ChangeAttempt(request, 0, minimum_revision)
        self.now = 1
        self.commits = 0
        self.action = self.attempt.start()

    def feed(self, result):
        assert isinstance(self.action, attempts.ReadRows | attempts.Commit)
        self.action = self.attempt.advance(result, self.now)
        self.commits += isinstance(self.action, attempts.Commit)


def stored(key, version, **value):
    return StoredRow(key, version, value)


@when(
    parsers.parse('the trace {trace} is replayed for host {host}'),
    target_fixture='replay',
)
def _replay(trace, host):
    lines = (TRACES / f'{trace}.jsonl').read_text().splitlines()
    records = [json.loads(line) for line in lines]
    first, *rest = [record for record in records if record['host'] == host]
    replay = Replay(_request(**first['content']))
    start_s = first['at_s']
    for record in rest:
        replay.now = record['at_s'] - start_s
        replay.feed(_result(record))
    return replay


def _request(edits, **others):
    parsed = [Edit(**{**edit, 'kind': RowKind(edit['kind'])}) for edit in edits]
    return ChangeRequest(edits=tuple(parsed), **others)


def _result(record):
    kind = getattr(attempts, record['message'])
    if kind is not attempts.RowsRead:
        return kind()
    rows = record['content']['rows']
    return kind({key: StoredRow(**row) for key, row in rows.items()})


@given(
    'a change of a row at version 1 while the table is at revision 3',
    target_fixture='replay',
)
def _change():
    edit = Edit(RowKind.share, '*:acme', 1, SHARE)
    return Replay(ChangeRequest('own', (edit,), 'a', 0), minimum_revision=3)


@when(parsers.parse('the platform answers {answers}'))
def _answers(replay, answers):
    for answer in answers.split(', '):
        word, *details = answer.split()
        if word == 'late':
            replay.now = attempts.CHANGE_TIMEOUT_S + 1
        elif word == 'read':
            replay.feed(_rows_read(int(details[0]), *details[1:]))
        else:
            replay.feed(
                {
                    'committed': attempts.Committed(),
                    'refused': attempts.Refused(),
                    'lost': attempts.Unanswered(),
                    'down': attempts.Unavailable(PlatformUnavailableError('')),
                }[word],
            )


def _rows_read(revision, *details):
    detail = ' '.join(details)
    is_newer = detail in {'newer', 'own'}
    row = {
        'kind': 'share',
        'key': '*:acme',
        'version': 2 if is_newer else 1,
        'revision': revision,
        'fields': SHARE,
        'change_id': 'own' if detail == 'own' else 'earlier',
    }
    rows = {
        storage.REVISION_KEY: stored(
            storage.REVISION_KEY, 7 + revision, revision=revision
        ),
        ROW_KEY: StoredRow(ROW_KEY, 5, row),
    }
    if detail != 'without account':
        rows[ACCOUNT_KEY] = stored(ACCOUNT_KEY, 1, fields={'name': 'acme'})
    if detail in {'own', 'other'}:
        record = storage.change_key(4)
        rows[record] = stored(record, 1, change_id=detail)
    return attempts.RowsRead(rows)


@then(
    parsers.parse(
        'the change is accepted at {revision:d} after {commits:d} commits'
    )
)
def _accepted(replay, revision, commits):
    assert isinstance(replay.action, attempts.Accept), replay.action
    assert replay.action.change.revision == revision
    assert replay.commits == commits


@then(
    parsers.re(
        r'the change is (?P<code>[a-z_]+) after (?P<commits>\d+) commits'
    )
)
def _failed(replay, code, commits):
    assert isinstance(replay.action, attempts.Fail), replay.action
    assert replay.action.error.code == code
    assert replay.commits == int(commits)


def row(name, revision):
    return Row(RowKind.service, name, revision, revision, {'name': name})


def _rows(words):
    return tuple(row(word[0], int(word[1:])) for word in words)


def _delta(text):
    revisions, *words = text.split()
    since, upto = map(int, revisions.split('-'))
    return Delta(since, upto, _rows(words))


@given(
    'a replica at revision 3 with row x set at 2 and row y at 3',
    target_fixture='replica',
)
def _replica():
    replica = Replica()
    replica.apply(_delta('0-3 x2 y3'))
    return replica


@when(parsers.parse('it receives {deltas}'))
def _received(replica, deltas):
    for text in deltas.split(', '):
        replica.apply(_delta(text))


@then(parsers.parse('it is at revision {revision:d} with rows {rows}'))
def _holds(replica, revision, rows):
    expected = Replica()
    expected.apply(Delta(0, revision, _rows(rows.split())))
    assert replica.digest() == expected.digest()
    assert replica.live_rows() == expected.live_rows()


@given('300 seeded changes of 12 rows', target_fixture='changes')
def _changes():
    source = random.Random(5)
    return [
        Delta(
            revision - 1,
            revision,
            (row(source.choice('abcdefghijkl'), revision),),
        )
        for revision in range(1, 301)
    ]


@when(
    '10 replicas receive them shuffled, repeated and several at once',
    target_fixture='replicas',
)
def _shuffled(changes):
    source = random.Random(6)
    full = Replica()
    for change in changes:
        full.apply(change)
    replicas = [Replica() for _ in range(10)]
    for _ in range(20000):
        replica = source.choice(replicas)
        before = {key: kept.revision for key, kept in replica.rows.items()}
        if source.randrange(10):
            near = replica.revision + source.randint(-3, 1)
            replica.apply(changes[max(0, min(near, len(changes) - 1))])
        else:
            other = source.choice(replicas)
            since = source.choice((0, replica.revision))
            replica.apply(other.delta_since(since))
        assert all(
            replica.rows[key].revision >= revision
            for key, revision in before.items()
        )
    return [full, *replicas]


@then('no row of any replica has reverted')
def _no_reverts(replicas):
    for replica in replicas:
        assert all(
            kept.revision <= replica.revision for kept in replica.rows.values()
        )


@then('all replicas that reached the last revision have the same checksum')
def _agree(replicas):
    last = [
        replica
        for replica in replicas
        if replica.revision == replicas[0].revision
    ]
    assert len(last) > 8
    assert {replica.checksum for replica in last} == {replicas[0].checksum}


@given(
    parsers.parse('{hosts:d} hosts in {zones:d} zones'), target_fixture='hosts'
)
def _hosts(hosts, zones):
    return [
        ReplicaHost(f'10.0.0.{number}:1', f'z{number % zones}')
        for number in range(hosts)
    ]


def propagation_of(host, seed=1):
    return Propagation(host, random.Random(seed))


@when('each of three hosts commits a change', target_fixture='deliveries')
def _updates(hosts):
    return [
        _deliver(hosts, origin, revision)
        for revision, origin in enumerate(hosts[:3])
    ]


def _deliver(hosts, origin, revision):
    by_address = {host.address: host for host in hosts}
    forwarded = {host: ForwardedPushes() for host in hosts}
    others = _others(hosts, origin)
    waiting = propagation_of(origin).pushes_from_origin(revision, others)
    sent = [len(waiting)]
    reached = {origin}
    while waiting:
        push = waiting.pop(0)
        host = by_address[push.address]
        reached.add(host)
        if forwarded[host].add(revision, push.root):
            others = _others(hosts, host)
            pushes = propagation_of(host).pushes_in_zone(
                revision,
                push.root,
                others,
            )
            sent.append(len(pushes))
            waiting.extend(pushes)
    return reached, max(sent)


def _others(hosts, local):
    return [host for host in hosts if host != local]


@then(
    parsers.parse(
        'all hosts receive it and none sends more than {most:d} messages'
    )
)
def _delivered(hosts, deliveries, most):
    for reached, sent in deliveries:
        assert len(reached) == len(hosts)
        assert sent <= most


def _pollers(hosts):
    return [
        host
        for host in hosts
        if propagation_of(host).is_poller(_others(hosts, host))
    ]


@then('each zone has one poller, and another one when that one is removed')
def _one_poller(hosts):
    first = _pollers(hosts)
    remaining = [host for host in hosts if host not in first]
    second = _pollers(remaining)
    for pollers in (first, second):
        zones = [host.availability_zone for host in pollers]
        assert sorted(zones) == ['z0', 'z1', 'z2']


@then('none of the others polls while the replicas of the zone are fresh')
def _fresh(hosts):
    polling = [host for host in hosts if _polls(host, hosts, age_s=2, seed=1)]
    assert polling == _pollers(hosts)


@then('about 2 of the others poll each period when the replicas are stale')
def _stale(hosts):
    zone = [host for host in hosts if host.availability_zone == 'z0']
    polls = sum(
        _polls(host, hosts, age_s=4, seed=seed)
        for host, seed in itertools.product(zone, range(200))
    )
    assert 2 <= polls / 200 <= 4


def _polls(host, hosts, age_s, seed):
    return propagation_of(host, seed).should_poll(
        _others(hosts, host),
        age_s,
        3,
    )


@given(
    parsers.parse('a host whose replica is at revision {revision:d}'),
    target_fixture='state',
)
def _state(revision):
    return Freshness(), revision


@when(parsers.parse('peers at {peers} have answered'))
def _peers(state, peers):
    freshness, revision = state
    assert not freshness.ready
    freshness.on_peer_revisions(
        [int(peer) for peer in peers.split(',')],
        revision,
    )


@then(parsers.parse('the host is {readiness}'))
def _readiness(state, readiness):
    assert state[0].ready is (readiness == 'ready')
