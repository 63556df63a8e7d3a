"""The weighted fair queue: model runs of the decision class, seeded."""

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from celerywharf.admissions import tickets
from tests.admissions.models import Engine, Seen

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


def begin(engine):
    engine.run(WARM_UP_S)
    engine.seen = Seen()


def in_use(engine, account):
    return engine.running[account]


@given(
    parsers.re(
        r'an engine of (?P<slots>\d+) slots shared as (?P<shares>[^w]+)$'
    ),
    target_fixture='engine',
)
def _engine(slots, shares):
    return Engine(read_shares(shares), int(slots))


@given(
    parsers.parse(
        'an engine of {slots:d} slots shared as {shares} with seed {seed:d}',
    ),
    target_fixture='engine',
)
def _seeded_engine(slots, shares, seed):
    return Engine(read_shares(shares), slots, seed=seed)


@when(
    parsers.parse(
        '{account} keeps {many:d} requests in the air '
        'and the others {few:d} each',
    ),
)
def _floods(engine, account, many, few):
    for other in engine.shares:
        engine.flood(other, many if other == account else few)
    begin(engine)


@when(parsers.parse('{account} begins to keep {many:d} requests in the air'))
def _begins(engine, account, many):
    engine.flood(account, many)


@then(parsers.parse('over {seconds:d} s each gets its share within 5%'))
def _shared(engine, seconds):
    engine.run(seconds)
    total = sum(weight for weight, _ in engine.shares.values())
    for account, (weight, _) in engine.shares.items():
        part = engine.seen.served[account] / (seconds * engine.capacity)
        assert part == pytest.approx(weight / total, rel=0.05)


@then(parsers.parse('after {seconds:d} s {account} uses {slots:d} slots'))
def _uses(engine, seconds, account, slots):
    engine.run(seconds)
    assert in_use(engine, account) == slots


@then(parsers.parse('over {seconds:d} s the limits were never exceeded'))
def _never(engine, seconds):
    engine.run(seconds)
    for account, (_, limit) in engine.shares.items():
        assert 0 < engine.seen.peaks[account] <= limit


@when(
    parsers.parse(
        'the owner dies after {seconds:d} s and another host takes over '
        '{after:g} s later',
    ),
)
def _dies(engine, seconds, after):
    engine.run(seconds)
    engine.before = set(engine.granted)
    engine.lose_owner()
    engine.run(after)
    engine.take_over()


@then(
    parsers.parse(
        'over {seconds:d} s the limits were exceeded for at most {most:d} s',
    ),
)
def _exceeded(engine, seconds, most):
    engine.seen.excess_s.clear()
    engine.run(seconds)
    assert max(engine.seen.excess_s.values(), default=0) <= most


@then('no running request was lost')
def _none_lost(engine):
    assert engine.before
    assert not engine.before & set(engine.granted)


@then(parsers.parse('after {seconds:d} s the slots are in use'))
def _busy(engine, seconds):
    engine.run(seconds)
    assert engine.running.total() == engine.capacity


@when(parsers.parse('two owners grant for {seconds:d} s'))
def _disagree(engine, seconds):
    engine.add_owner()
    begin(engine)
    engine.run(seconds)


@then(
    parsers.parse(
        'the limits were exceeded by at most {slots:d} slots '
        'and on average by at most 2%',
    ),
)
def _bounded(engine, slots):
    for account, (_, limit) in engine.shares.items():
        assert engine.seen.peaks[account] <= limit + slots
        used = 100 * engine.seen.served[account] / (10 * limit)
        assert 80 <= used <= 102


@when('they agree again')
def _agree(engine):
    engine.owners.pop()


@when(parsers.parse('requests arrive at {times:d} times its capacity'))
def _arrive(engine, times):
    rate = times * engine.capacity / engine.hold_s / len(engine.shares)
    for account in engine.shares:
        engine.arrive(account, rate)
    begin(engine)
    engine.seen.refusals.clear()


@then(
    parsers.parse(
        'over {seconds:d} s at least {part:d}% of its capacity did useful work',
    ),
)
def _useful(engine, seconds, part):
    engine.seen.useful_s = 0
    engine.run(seconds)
    assert engine.seen.useful_s >= part / 100 * seconds * engine.capacity


@then('nothing granted waited beyond its deadline')
def _in_time(engine):
    assert engine.seen.outcomes['granted']
    assert not engine.seen.late


@then('most refusals came at once and with a time to come back')
def _at_once(engine):
    late = [waited_s for _, waited_s, _ in engine.seen.refusals if waited_s]
    assert len(late) < len(engine.seen.refusals) / 10
    at_once = [one for one in engine.seen.refusals if not one[1]]
    assert all(due_s > ticket.deadline_s - 5 for ticket, _, due_s in at_once)


@when(
    parsers.parse(
        'the arrivals end after {seconds:d} s '
        'and the refused come back as told',
    ),
)
def _come_back(engine, seconds):
    engine.run(seconds)
    engine.open = False
    engine.seen.outcomes.clear()
    back = [one for one in engine.seen.refusals if one[2] > engine.now]
    for ticket, _, due_s in back:
        engine.at(due_s - engine.now, engine.ask, ticket.client_account)
    engine.returning = len(back)
    engine.seen.refusals.clear()
    engine.run(60)


@then(parsers.parse('at least {part:d}% of them are granted'))
def _granted(engine, part):
    granted = engine.returning - len(engine.seen.refusals)
    assert engine.returning
    assert granted >= part / 100 * engine.returning


@when('a queues low, high and resumed requests behind a running one')
def _queues(engine):
    engine.run(1)
    engine.ask('a')
    wishes = {
        'low': {'priority': 0},
        'high': {'priority': 5},
        'resumed': {'resume': True},
    }
    engine.wanted = {
        engine.ask('a', **fields).id: name for name, fields in wishes.items()
    }


@then(parsers.parse('they are granted in the order {order}'))
def _order(engine, order):
    seen = []
    for _ in range(100):
        engine.run(0.05)
        seen.extend(name for name in engine.granted if name not in seen)
    named = [engine.wanted[name] for name in seen if name in engine.wanted]
    assert named == order.split(', ')


@when('a asks for one request')
def _asks(engine):
    engine.run(1)
    engine.ask('a')


@then(parsers.parse('it is refused at once for {reason}'))
def _refused(engine, reason):
    assert engine.seen.outcomes == {reason: 1}
    assert engine.seen.refusals[0][1] == 0


@when(parsers.parse('no report comes for {seconds:d} s'))
def _silent(engine, seconds):
    begin(engine)
    engine.hold_s = 100
    engine.mute = True
    for _ in range(engine.capacity + 1):
        engine.ask('a', deadline_s=engine.now + 100)
    engine.run(seconds)


@then('what waits is refused as unreachable')
def _unreachable(engine):
    assert engine.seen.outcomes[tickets.Refusal.unreachable] == 1


@then(
    '0, then 4, then 10, then 16 slots are usable '
    'after 0, 0, 5 and 10 s of reports',
)
def _ramp(engine):
    load = engine.owners[0].load
    usable = [load.usable(engine.now)]
    engine.mute = False
    engine.poll()
    for seconds in (0, 5, 5.1):
        engine.run(seconds)
        usable.append(load.usable(engine.now))
    assert usable == [0, 4, 10, 16]
