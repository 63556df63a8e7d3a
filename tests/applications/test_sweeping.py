"""Sweeping against a real platform stand-in."""

import asyncio
import time
from types import SimpleNamespace

from pytest_bdd import given, scenarios, then, when

from celerywharf.adapters import CurlTransport, Platform
from celerywharf.applications._rows import ClaimRow
from celerywharf.applications._sweeping import Sweeper
from celerywharf.timers import TimerService

scenarios('sweeping.feature')

HOUR_S = 3600


async def with_platform(fleet, act):
    transport = CurlTransport()
    address = fleet.members['platform'].address
    try:
        return await act(Platform(transport, f'http://{address}', 2))
    finally:
        transport.close()


def put_rows(platform):
    now = time.time()
    ends = {'claims/aa1': -1, 'claims/aa2': HOUR_S, 'claims/ab1': -1}
    rows = {
        key: ClaimRow('a', 'h', 1, 'd', now + end_s).to_json()
        for key, end_s in ends.items()
    }
    return platform.commit({}, rows)


def sweep(platform):
    host = SimpleNamespace(
        identity=SimpleNamespace(incarnation=1),
        platform=platform,
        timers=TimerService(),
    )
    return Sweeper(host).sweep('claims/aa')


@given('a platform with claims that expired, that did not, and of another part')
def fill(fleet):
    fleet.start_platform()
    asyncio.run(with_platform(fleet, put_rows))


@when('a host sweeps the part')
def run_sweep(fleet):
    asyncio.run(with_platform(fleet, sweep))


@then('only the expired claim is gone')
def verify(fleet):
    rows = fleet.record('platform')['rows']
    assert sorted(rows) == ['claims/aa2', 'claims/ab1']
