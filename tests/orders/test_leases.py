"""Decisions on leases, orders and weight transfers, replayed from tables."""

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from celerywharf.adapters.orders import EngineState
from celerywharf.orders import _leases as leases
from celerywharf.orders._desired_state import next_order
from celerywharf.orders._weights import ZoneQueue
from celerywharf.tables import BackendServer, BackendState

scenarios('leases.feature')

TIMES = leases.LeaseTimes(lease_s=6, margin_s=1, flight_s=3)


class Replay:
    """A ``LeaseLogic`` that receives messages written as text."""

    def __init__(self, host, *, checks):
        self.logic = leases.LeaseLogic(host, TIMES, checks_fencing=checks)
        self.written = []

    def step(self, text, now):
        if text == 'refused':
            return self.logic.discard() or ''
        if text == 'release':
            return self.describe(self.logic.release())
        return self.describe(self.logic.decide(self.read(text, now), now))

    def read(self, text, now):
        match text.split():
            case ['needed']:
                return leases.LeaseNeeded(f'grant-{now}')
            case ['written']:
                return leases.LeaseWritten(version=7)
            case ['in', 'doubt']:
                return leases.WriteOutcomeUnknown()
            case ['unavailable']:
                return leases.PlatformUnavailable()
            case ['found', *words]:
                return leases.LeaseRead(self.found(words))
        raise ValueError(text)

    def found(self, words):
        match words:
            case []:
                return leases.StoredLease(0, None)
            case ['own']:
                return leases.StoredLease(7, self.written[-1])
            case ['first']:
                return leases.StoredLease(7, self.written[0])
        holder, _, fencing = words[0].partition('/')
        released = words[1:] == ['released']
        row = leases.LeaseRow(holder, 'other', int(fencing), released)
        return leases.StoredLease(int(fencing) * 10, row)

    def describe(self, action):
        match action:
            case leases.Write(row):
                self.written.append(row)
                released = ' released' if row.released else ''
                return f'write {row.holder}/{row.fencing}{released}'
            case leases.Wait(delay_s):
                return f'wait {round(float(delay_s), 3)}'
        return type(action).__name__.lower()


@then(parsers.parse('a replay for host {host} gives'))
def replay(host, datatable):
    replay_steps(Replay(host, checks=True), datatable)


@then(
    parsers.parse(
        'a replay for an engine that {checks} fencing numbers gives',
    ),
)
def replay_engine(checks, datatable):
    replay_steps(Replay('a', checks=checks == 'checks'), datatable)


def replay_steps(replayed, datatable):
    actual_rows = [
        [
            at,
            text,
            replayed.step(text, float(at)),
            'yes' if replayed.logic.may_send_order(float(at)) else 'no',
        ]
        for at, text, *_ in datatable[1:]
    ]
    assert actual_rows == datatable[1:]


@given(
    parsers.parse(
        'an engine with models {loaded}, role mixed, version 1 and {work}',
    ),
    target_fixture='state',
)
def create_engine(loaded, work):
    models = frozenset(loaded.split(','))
    return EngineState(models, 'mixed', '1', busy=work == 'work', age_s=0)


@when(
    parsers.parse(
        'its row has state {state}, models {models}, role {role},'
        ' version {number}',
    ),
    target_fixture='order',
)
def specify_row(state, models, role, number, request):
    given_state = request.getfixturevalue('state')
    specified = [word.replace('-', '') for word in (models, role, number)]
    row = BackendServer(
        name='e',
        url='http://127.0.0.1:1',
        region='r',
        availability_zone='z',
        service='s',
        state=BackendState(state),
        models=tuple(filter(None, specified[0].split(','))),
        role=specified[1],
        model_version=specified[2],
    )
    return next_order(row, given_state)


@then(parsers.parse('the next order is: {expected}'))
def verify_next_order(order, expected):
    text = f'{order.kind.value} {order.name}' if order else 'nothing'
    assert text == expected


@then('a replay of the queue of a zone gives')
def replay_queue(datatable):
    logic = ZoneQueue()
    for at, event, outcome in datatable[1:]:
        assert (at, event, apply_event(logic, event, float(at))) == (
            at,
            event,
            outcome,
        )


def apply_event(logic, event, now):
    match event.split():
        case [server, 'requests', model]:
            return 'ready' if logic.request(model, server, now) else 'wait'
        case ['next']:
            return logic.next_fetch(now) or 'none'
        case ['refused', seconds]:
            return logic.defer_fetch(float(seconds), now) or ''
        case ['fetched']:
            return logic.finish_fetch(now) or ''
    return pytest.fail(event)
