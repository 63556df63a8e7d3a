"""Tests the checks of a soak on evidence built for each case."""

import json

from pytest_bdd import given, parsers, scenarios, then

from soak.checks import collect_findings
from soak.records import Attempt, Disruption, Evidence, ServerRun
from soak.schedules import Targets, draw_schedule
from soak.series import draw_series

scenarios('checks.feature')

FAULTS_ENDED_S = 100.0
SUCCESSFUL_PURCHASES = 20


def make_attempt(name, kind, sent_s, deadline_s, body):
    return Attempt(
        request_id=name,
        kind=kind,
        front='f1',
        key='k1',
        sent_s=sent_s,
        deadline_s=deadline_s,
        status=200,
        body=body,
        whole=True,
        took_s=0.1,
    )


class EvidenceBuilder:
    """Builds evidence without findings; its methods add to it."""

    def __init__(self):
        self.evidence = Evidence(faults_ended_s=FAULTS_ENDED_S, fronts=('f1',))
        for number in range(SUCCESSFUL_PURCHASES):
            self.buy(f'served-{number}', FAULTS_ENDED_S + 13 + number)

    def buy(self, name, sent_s=10.0, runs=1, server='d1', **changes):
        """Add a purchase and its runs; changes set fields of the attempt."""
        body = json.dumps({'id': name, 'by': 'd1'}).encode()
        attempt = make_attempt(name, 'buy', sent_s, 2.0, body)
        return self.add(attempt, server, runs, '/buy/a', changes)

    def stream(self, name, numbers=(1, 2), runs=1, **changes):
        """Add a request for a stream of two events, and its runs.

        Args:
            name: request id.
            numbers: ids of the events received.
            runs: number of runs at the server.
            changes: fields of the attempt to set.
        """
        events = [f'id: {number}\ndata: x\n\n' for number in numbers]
        body = ''.join(events).encode()
        attempt = make_attempt(name, 'narrate', 10.0, 6.0, body)
        attempt.events_wanted = 2
        return self.add(attempt, 'e1', runs, '/narrate/a', changes)

    def add(self, attempt, server, runs, target, changes):
        """Add an attempt with changed fields, and its runs."""
        for field, setting in changes.items():
            setattr(attempt, field, setting)
        self.evidence.attempts.append(attempt)
        for _ in range(runs):
            self.run(attempt.request_id, target, server, attempt.sent_s)
        return attempt

    def run(self, name, target, server, began_s, ended_s=None):
        """Add a run; it takes 0.05 s by default."""
        ended_s = began_s + 0.05 if ended_s is None else ended_s
        self.evidence.runs.append(
            ServerRun(server, name, target, 'lakeshore', began_s, ended_s),
        )

    def overlap(self, ended_s, other_ended_s=11.5):
        """Add a stream with a run from 10 s and one elsewhere from 11 s."""
        self.stream('s', runs=0)
        self.run('s', '/narrate/a', 'e1', 10.0, ended_s)
        self.run('s', '/narrate/a', 'e2', 11.0, other_ended_s)

    def disrupt(self, target_name, began_s, ended_s):
        """Add a fault that affected a front or a server."""
        self.evidence.disruptions.append(
            Disruption(began_s, ended_s, target_name, 'a fault')
        )


def _add_failures(builder):
    for number in range(SUCCESSFUL_PURCHASES // 3):
        builder.buy(f'late-{number}', FAULTS_ENDED_S + 14, runs=0, status=502)


def _run_after_revocation(builder, after_s):
    builder.evidence.revoked_keys['k0'] = 10.0
    builder.buy('b', 10.0 + after_s, key='k0')


def _add_suspended_server(builder):
    builder.overlap(12.0)
    builder.disrupt('e1', 10.0, 11.5)


def _add_resumed_server(builder, ended_s):
    builder.overlap(13.0, ended_s)
    builder.disrupt('e2', 9.0, 11.0)


def _add_suspended_front(builder):
    builder.buy('b', took_s=3.0)
    builder.disrupt('f1', 10.0, 12.9)


def _probe_added_server(builder, server):
    builder.evidence.added_servers = ('added',)
    body = json.dumps({'id': 'b', 'by': server}).encode()
    builder.buy('b', server=server, body=body, is_probe=True)


CHANGES = {
    'a purchase ran twice': lambda builder: builder.buy('b', runs=2),
    'a purchase refused with 503 ran': lambda builder: builder.buy(
        'b', status=503
    ),
    'a purchase refused with 401 ran': lambda builder: builder.buy(
        'b', status=401
    ),
    'an answer belongs to another request': lambda builder: builder.buy(
        'b', body=b'{"id": "c", "by": "d1"}'
    ),
    'an answer is not valid JSON': lambda builder: builder.buy('b', body=b'{'),
    'an answer names a server without a run': lambda builder: builder.buy(
        'b', server='d2'
    ),
    'a stream misses an event': lambda builder: builder.stream('s', (1, 3)),
    'a stream has an event twice': lambda builder: builder.stream('s', (1, 1)),
    'a stream ends normally after too few events': lambda builder: (
        builder.stream('s', (1,))
    ),
    'an answer arrives 1 s after the deadline': lambda builder: builder.buy(
        'b', took_s=3.0
    ),
    'a run of a request that was never sent': lambda builder: builder.run(
        'x', '/buy/a', 'd1', 1
    ),
    'a stream moves while its first run continues': lambda builder: (
        builder.overlap(12.0)
    ),
    'a purchase runs 6 s after its key is revoked': lambda builder: (
        _run_after_revocation(builder, 6)
    ),
    'four purchases ran and got no response': lambda builder: [
        builder.buy(f'b{number}', status=None, whole=False)
        for number in range(4)
    ],
    'a quarter of requests fails after recovery': _add_failures,
    'no request is sent after recovery': lambda builder: (
        builder.evidence.attempts.clear(),
        builder.evidence.runs.clear(),
    ),
    'a front is not ready after recovery': lambda builder: (
        builder.evidence.unready.append('f1: 503')
    ),
    'a front sends no call to an added server': lambda builder: (
        _probe_added_server(builder, 'd1')
    ),
    'a front sends a call to an added server': lambda builder: (
        _probe_added_server(builder, 'added')
    ),
    'a front exits with an error': lambda builder: (
        builder.evidence.exits.append('f1: 1')
    ),
    'a front logs an error': lambda builder: builder.evidence.errors.append(
        'f1'
    ),
    'a lookup ran twice': lambda builder: builder.buy('b', kind='look', runs=2),
    'a purchase refused with 503 did not run': lambda builder: builder.buy(
        'b', status=503, runs=0
    ),
    'a stream is reset after some events': lambda builder: builder.stream(
        's', (1,), whole=False
    ),
    'a stream is reset within an event': lambda builder: builder.stream(
        's', whole=False, body=b'id: 1\ndata: x\n\nid: 2'
    ),
    'a purchase runs 4 s after its key is revoked': lambda builder: (
        _run_after_revocation(builder, 4)
    ),
    'a stream moves after its first run has ended': lambda builder: (
        builder.overlap(11.1)
    ),
    'a 0.6 s run starts and ends during another run': lambda builder: (
        builder.overlap(13.0, 11.6)
    ),
    'a 0.3 s run starts and ends during another run': lambda builder: (
        builder.overlap(13.0, 11.3)
    ),
    'a resumed server starts a run and ends it at once': lambda builder: (
        _add_resumed_server(builder, 11.01)
    ),
    'a resumed server starts a run and continues it': lambda builder: (
        _add_resumed_server(builder, 12.0)
    ),
    'a stream moves while its suspended server runs it': _add_suspended_server,
    'an answer is late from a front that was suspended': _add_suspended_front,
}


@given('evidence without findings', target_fixture='builder')
def _builder():
    builder = EvidenceBuilder()
    assert not collect_findings(builder.evidence)
    return builder


@given(parsers.re('(?P<change>an? .*|four .*|no .*)'))
def _change(builder, change):
    CHANGES[change](builder)


@then(parsers.parse('the finding says {text}'))
def _has_finding(builder, text):
    findings = collect_findings(builder.evidence)
    assert len(findings) == 1
    assert text in findings[0]


@then('there is no finding')
def _has_no_finding(builder):
    assert not collect_findings(builder.evidence)


def test_a_seed_always_draws_the_same_faults():
    targets = Targets(('f1', 'f2'), ('e1',), ('store-f1', 'caller-f2'))
    first = draw_schedule(7, 60, targets)
    assert first == draw_schedule(7, 60, targets)
    assert first != draw_schedule(8, 60, targets)
    assert len(first) > 30


def test_a_seed_always_draws_the_same_series():
    fronts = ('f1', 'f2', 'f3', 'f4')
    assert draw_series(7, 20, fronts) == draw_series(7, 20, fronts)
    assert draw_series(7, 20, fronts) != draw_series(8, 20, fronts)
