"""Decisions about stated limits, without a network."""

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from celerywharf.limits import (
    Clocks,
    FixedShare,
    LimitPool,
    LimitStatement,
    ServerLimiter,
    StatedLimits,
)
from celerywharf.platform import read_answer_headers
from tests.limits.fleets import Fleet

scenarios('limits.feature')

NAME = 's1'
ZONE = 'z1'
SPAN_S = 60
MIN_SPREAD_S = 0.05
SEEDS = range(3)


class Host:
    """A limiter with a clock that is set."""

    def __init__(self):
        self.now_s = 0
        clocks = Clocks(self.now, self.now)
        self.limiter = ServerLimiter(StatedLimits(), FixedShare(1), clocks)

    def now(self):
        """Return the time."""
        return self.now_s

    def answer(self, text, sent_s, at_s, name=NAME):
        """Record an answer with the limit in a text, empty for none."""
        self.now_s = at_s
        headers = read_answer_headers({'server-limit': text} if text else {})
        if headers.has_limit and headers.limit_per_s is None:
            return
        self.limiter.record_answer(name, ZONE, headers.limit_per_s, sent_s)


@pytest.fixture
def host():
    return Host()


@given(
    parsers.parse('a server with a limit of {limit:g} a second'),
    target_fixture='statement',
)
def _server(limit):
    return LimitStatement(NAME, ZONE, limit, 0)


@pytest.fixture
def pool():
    return LimitPool()


@when(
    parsers.parse('it is asked for {per_s:g} times a second for 60 s'),
    target_fixture='granted',
)
def _asked(statement, pool, per_s):
    times = [number / per_s for number in range(int(SPAN_S * per_s))]
    return [at_s for at_s in times if pool.take(statement, at_s).granted]


@then(parsers.parse('between {least:d} and {most:d} requests are granted'))
def _granted(granted, least, most):
    assert least <= len(granted) <= most


@then(parsers.parse('at most {limit:d} of them within 4 s'))
def _window(granted, limit):
    assert limit >= max(
        sum(at_s <= other < at_s + 4 for other in granted) for at_s in granted
    )


@when(parsers.parse('{count:d} hosts ask at once'), target_fixture='grants')
def _ask_at_once(statement, pool, count):
    return [pool.take(statement, 1) for _ in range(count)]


@then('the waits of those refused differ by at least 0.05 s')
def _different(grants):
    waits = sorted(grant.wait_s for grant in grants if not grant.granted)
    assert len(waits) > 2
    assert all(
        later - earlier >= MIN_SPREAD_S
        for earlier, later in zip(waits, waits[1:], strict=False)
    )


@then('a stream in progress is granted and a new request is not')
def _progress(statement, pool):
    assert not pool.take(statement, 1).granted
    assert pool.take(statement, 1, in_progress=True).granted


@given(parsers.re(r'an answer with the limit "(?P<text>[^"]*)" at 10 s'))
def _first(host, text):
    host.answer(text, 9.5, 10)


@when(
    parsers.re(
        r'a request sent at (?P<sent>\d+) s is answered with the limit '
        r'"(?P<text>[^"]*)" at 12 s'
    )
)
def _second(host, sent, text):
    host.answer(text, float(sent), 12)


@when(
    parsers.parse(
        'another host tells of the limit {per_s:g} stated at {at:g} s'
    )
)
def _told(host, per_s, at):
    host.limiter.stated.merge(LimitStatement(NAME, ZONE, per_s, at))


@then(parsers.re(r'the limit at (?P<now>\d+) s is "(?P<text>[^"]*)"'))
def _limit(host, now, text):
    statement = host.limiter.stated.limit(NAME, float(now))
    expected = float(text) if text else None
    assert (statement and statement.per_s) == expected


@when('20000 servers state limits and are asked for')
def _many(host):
    for number in range(20_000):
        name = f's{number}'
        host.answer('0.1', number, number, name)
        coroutine = host.limiter.acquire(name)
        with pytest.raises(StopIteration):
            coroutine.send(None)


@then(parsers.parse('fewer than {limit:d} statements and waits are kept'))
def _bounded(host, limit):
    limiter = host.limiter
    assert len(limiter.stated.statements) < limit
    assert len(limiter.waits) < limit


@then(parsers.parse('fewer than {limit:d} buckets are kept'))
def _bounded_buckets(host, limit):
    assert len(host.limiter.lender.pool.buckets) < limit


@given(
    parsers.parse(
        '{hosts:d} hosts in {zones:d} zones and a server with a limit of '
        '{limit:g} a second'
    ),
    target_fixture='fleets',
)
def _fleets(hosts, zones, limit):
    return [Fleet(hosts, zones, limit, seed) for seed in SEEDS]


@when(
    parsers.parse('they have 50 requests a second for it, {skew}, and {fault}'),
)
def _play(fleets, skew, fault):
    for fleet in fleets:
        chosen = range(1 if skew == 'all in one' else len(fleet.hosts))
        fleet.repeat(50, chosen)
        match fault:
            case 'the granting host is replaced':
                fleet.at(20, fleet.replace_grantor)
                fleet.at(22, fleet.replace_grantor)
            case 'all zones are cut from it':
                fleet.at(20, fleet.cut_zones.update, range(1, fleet.zones))
            case 'all hosts lose their readers':
                fleet.at(20, fleet.lost_readers.update, range(fleet.zones))
                fleet.at(30, fleet.lost_readers.clear)
        fleet.run(SPAN_S)


@then(
    'the server gets at most one and a half times its limit and 5 in any 4 s',
)
def _within(fleets):
    for fleet in fleets:
        allowed = 1.5 * fleet.statement.per_s * 4 + 5
        assert fleet.most_within(4) <= allowed


@then('at least half of its limit while it can be reached')
def _used(fleets):
    for fleet in fleets:
        early = [at_s for at_s in fleet.arrivals if at_s < 20]
        assert len(early) >= fleet.statement.per_s * 20 / 2, len(early)
