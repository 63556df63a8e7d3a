"""Replays of messages through leases, wishes and the queue of weights."""

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from celerywharf.adapters.orders import EngineState
from celerywharf.orders import _leases as leases
from celerywharf.orders._weights import WeightLogic
from celerywharf.orders._wishes import next_order
from celerywharf.tables import BackendServer, BackendState

scenarios('leases.feature')

TIMES = leases.LeaseTimes(lease_s=6, margin_s=1, flight_s=3)


class Replay:
    """One logic, fed with messages written as text."""

    def __init__(self, host, *, checks):
        self.logic = leases.LeaseLogic(host, TIMES, checks_fencing=checks)
        self.written = []

    def step(self, text, now):
        if text == 'refused':
            return self.logic.lose() or ''
        if text == 'release':
            return self.name(self.logic.release())
        return self.name(self.logic.decide(self.read(text, now), now))

    def read(self, text, now):
        match text.split():
            case ['wanted']:
                return leases.Wanted(f'grant-{now}')
            case ['written']:
                return leases.Written(version=7)
            case ['in', 'doubt']:
                return leases.InDoubt()
            case ['unavailable']:
                return leases.Unavailable()
            case ['found', *words]:
                return leases.Found(self.found(words))
        raise ValueError(text)

    def found(self, words):
        match words:
            case []:
                return leases.FoundLease(0, None)
            case ['own']:
                return leases.FoundLease(7, self.written[-1])
            case ['first']:
                return leases.FoundLease(7, self.written[0])
        holder, _, fencing = words[0].partition('/')
        released = words[1:] == ['released']
        row = leases.LeaseRow(holder, 'other', int(fencing), released)
        return leases.FoundLease(int(fencing) * 10, row)

    def name(self, action):
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
        'a replay at an engine that {checks} numbers gives',
    ),
)
def replay_engine(checks, datatable):
    replay_steps(Replay('a', checks=checks == 'checks'), datatable)


def replay_steps(replayed, datatable):
    given_rows = [
        [
            at,
            text,
            replayed.step(text, float(at)),
            'yes' if replayed.logic.may_order(float(at)) else 'no',
        ]
        for at, text, *_ in datatable[1:]
    ]
    assert given_rows == datatable[1:]


@given(
    parsers.parse(
        'an engine with models {has}, role mixed, version 1 and {work}',
    ),
    target_fixture='state',
)
def have_engine(has, work):
    models = frozenset(has.split(','))
    return EngineState(models, 'mixed', '1', busy=work == 'work', age_s=0)


@when(
    parsers.parse(
        'its row is {state} and wants models {wants}, role {role},'
        ' version {number}',
    ),
    target_fixture='order',
)
def want(state, wants, role, number, request):
    given_state = request.getfixturevalue('state')
    wishes = [word.replace('-', '') for word in (wants, role, number)]
    row = BackendServer(
        name='e',
        url='http://127.0.0.1:1',
        region='r',
        availability_zone='z',
        service='s',
        state=BackendState(state),
        models=tuple(filter(None, wishes[0].split(','))),
        role=wishes[1],
        model_version=wishes[2],
    )
    return next_order(row, given_state)


@then(parsers.parse('it is ordered: {expected}'))
def verify_order(order, expected):
    text = f'{order.kind.value} {order.name}' if order else 'nothing'
    assert text == expected


@then('the queue of a zone replays')
def replay_queue(datatable):
    logic = WeightLogic()
    for at, event, outcome in datatable[1:]:
        assert (at, event, ask_queue(logic, event, float(at))) == (
            at,
            event,
            outcome,
        )


def ask_queue(logic, event, now):
    match event.split():
        case [server, 'asks', model]:
            return 'ready' if logic.ask(model, server, now) else 'wait'
        case ['next']:
            return logic.next_fetch(now) or 'none'
        case ['refused', seconds]:
            return logic.refused(float(seconds), now) or ''
        case ['fetched']:
            return logic.fetched(now) or ''
    return pytest.fail(event)
