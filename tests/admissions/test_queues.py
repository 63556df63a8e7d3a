"""Tests of the weighted fair queue by seeded simulations in virtual time."""

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from celerywharf.admissions import tickets
from tests.admissions.models import Measurements, Simulation

scenarios('queues.feature')

WARM_UP_S = 5
UNLIMITED = 1000


def read_shares(text):
    shares = {}
    for word in text.split():
        name, _, share = word.partition('=')
        weight, _, limit = share.partition('/')
        shares[name] = (float(weight), int(limit or UNLIMITED))
    return shares


def warm_up(simulation):
    simulation.run(WARM_UP_S)
    simulation.measured = Measurements()


def slots_in_use(simulation, account):
    return simulation.running[account]


@given(
    parsers.re(
        r'an engine of (?P<slots>\d+) slots shared as (?P<shares>[^w]+)$'
    ),
    target_fixture='simulation',
)
def _engine(slots, shares):
    return Simulation(read_shares(shares), int(slots))


@given(
    parsers.parse(
        'an engine of {slots:d} slots shared as {shares} with seed {seed:d}',
    ),
    target_fixture='simulation',
)
def _seeded_engine(slots, shares, seed):
    return Simulation(read_shares(shares), slots, seed=seed)


@when(
    parsers.parse(
        '{account} keeps {many:d} requests outstanding '
        'and the others {few:d} each',
    ),
)
def _floods(simulation, account, many, few):
    for other in simulation.shares:
        simulation.flood(other, many if other == account else few)
    warm_up(simulation)


@when(parsers.parse('{account} begins to keep {many:d} requests outstanding'))
def _begins(simulation, account, many):
    simulation.flood(account, many)


@then(parsers.parse('over {seconds:d} s each gets its share within 5%'))
def _shared(simulation, seconds):
    simulation.run(seconds)
    total = sum(weight for weight, _ in simulation.shares.values())
    for account, (weight, _) in simulation.shares.items():
        part = simulation.measured.served[account] / (
            seconds * simulation.capacity
        )
        assert part == pytest.approx(weight / total, rel=0.05)


@then(parsers.parse('after {seconds:d} s {account} uses {slots:d} slots'))
def _uses(simulation, seconds, account, slots):
    simulation.run(seconds)
    assert slots_in_use(simulation, account) == slots


@then(parsers.parse('over {seconds:d} s the limits were never exceeded'))
def _never(simulation, seconds):
    simulation.run(seconds)
    for account, (_, limit) in simulation.shares.items():
        assert 0 < simulation.measured.peaks[account] <= limit


@when(
    parsers.parse(
        'the owner dies after {seconds:d} s and another host takes over '
        '{after:g} s later',
    ),
)
def _dies(simulation, seconds, after):
    simulation.run(seconds)
    simulation.granted_before = set(simulation.granted)
    simulation.stop_owner()
    simulation.run(after)
    simulation.start_new_owner()


@then(
    parsers.parse(
        'over {seconds:d} s the limits were exceeded for at most {most:d} s',
    ),
)
def _exceeded(simulation, seconds, most):
    simulation.measured.excess_s.clear()
    simulation.run(seconds)
    assert max(simulation.measured.excess_s.values(), default=0) <= most


@then('no running request was lost')
def _none_lost(simulation):
    assert simulation.granted_before
    assert not simulation.granted_before & set(simulation.granted)


@then(parsers.parse('after {seconds:d} s the slots are in use'))
def _busy(simulation, seconds):
    simulation.run(seconds)
    assert simulation.running.total() == simulation.capacity


@when(parsers.parse('two hosts act as owner for {seconds:d} s'))
def _disagree(simulation, seconds):
    simulation.add_owner()
    warm_up(simulation)
    simulation.run(seconds)


@then(
    parsers.parse(
        'the limits were exceeded by at most {slots:d} slots '
        'and on average by at most 2%',
    ),
)
def _bounded(simulation, slots):
    for account, (_, limit) in simulation.shares.items():
        assert simulation.measured.peaks[account] <= limit + slots
        used = 100 * simulation.measured.served[account] / (10 * limit)
        assert 80 <= used <= 102


@when('only one of them remains the owner')
def _agree(simulation):
    simulation.owners.pop()


@when(parsers.parse('requests arrive at {times:d} times its capacity'))
def _arrive(simulation, times):
    rate = (
        times * simulation.capacity / simulation.hold_s / len(simulation.shares)
    )
    for account in simulation.shares:
        simulation.add_arrivals(account, rate)
    warm_up(simulation)
    simulation.measured.refusals.clear()


@then(
    parsers.parse(
        'over {seconds:d} s at least {part:d}% of its capacity did useful work',
    ),
)
def _useful(simulation, seconds, part):
    simulation.measured.useful_s = 0
    simulation.run(seconds)
    assert (
        simulation.measured.useful_s
        >= part / 100 * seconds * simulation.capacity
    )


@then('nothing granted waited beyond its deadline')
def _in_time(simulation):
    assert simulation.measured.outcomes['granted']
    assert not simulation.measured.late_grants


@then('most refusals came at once and with a time to retry')
def _at_once(simulation):
    late = [
        waited_s for _, waited_s, _ in simulation.measured.refusals if waited_s
    ]
    assert len(late) < len(simulation.measured.refusals) / 10
    at_once = [
        refusal for refusal in simulation.measured.refusals if not refusal[1]
    ]
    assert all(due_s > ticket.deadline_s - 5 for ticket, _, due_s in at_once)


@when(
    parsers.parse(
        'the arrivals end after {seconds:d} s '
        'and refused requests retry at the given time',
    ),
)
def _retry(simulation, seconds):
    simulation.run(seconds)
    simulation.accepts_arrivals = False
    simulation.measured.outcomes.clear()
    retries = [
        refusal
        for refusal in simulation.measured.refusals
        if refusal[2] > simulation.now
    ]
    for ticket, _, due_s in retries:
        simulation.at(
            due_s - simulation.now, simulation.request, ticket.client_account
        )
    simulation.retry_count = len(retries)
    simulation.measured.refusals.clear()
    simulation.run(60)


@then(parsers.parse('at least {part:d}% of the retries are granted'))
def _granted(simulation, part):
    granted = simulation.retry_count - len(simulation.measured.refusals)
    assert simulation.retry_count
    assert granted >= part / 100 * simulation.retry_count


@when('a queues low, high and resumed requests behind a running one')
def _queues(simulation):
    simulation.run(1)
    simulation.request('a')
    requests = {
        'low': {'priority': 0},
        'high': {'priority': 5},
        'resumed': {'resume': True},
    }
    simulation.request_names = {
        simulation.request('a', **fields).id: name
        for name, fields in requests.items()
    }


@then(parsers.parse('they are granted in the order {order}'))
def _order(simulation, order):
    granted = []
    for _ in range(100):
        simulation.run(0.05)
        granted.extend(
            ticket_id
            for ticket_id in simulation.granted
            if ticket_id not in granted
        )
    names = [
        simulation.request_names[ticket_id]
        for ticket_id in granted
        if ticket_id in simulation.request_names
    ]
    assert names == order.split(', ')


@when('a asks for one request')
def _asks(simulation):
    simulation.run(1)
    simulation.request('a')


@then(parsers.parse('it is refused at once for {reason}'))
def _refused(simulation, reason):
    assert simulation.measured.outcomes == {reason: 1}
    assert simulation.measured.refusals[0][1] == 0


@when(parsers.parse('no report comes for {seconds:d} s'))
def _silent(simulation, seconds):
    warm_up(simulation)
    simulation.hold_s = 100
    simulation.silent = True
    for _ in range(simulation.capacity + 1):
        simulation.request('a', deadline_s=simulation.now + 100)
    simulation.run(seconds)


@then('the waiting request is refused as unreachable')
def _unreachable(simulation):
    assert simulation.measured.outcomes[tickets.Refusal.unreachable] == 1


@then(
    '0, then 4, then 10, then 16 slots are usable '
    'after 0, 0, 5 and 10 s of reports',
)
def _ramp(simulation):
    load = simulation.owners[0].load
    usable = [load.usable(simulation.now)]
    simulation.silent = False
    simulation.poll()
    for seconds in (0, 5, 5.1):
        simulation.run(seconds)
        usable.append(load.usable(simulation.now))
    assert usable == [0, 4, 10, 16]
