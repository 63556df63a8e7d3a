"""Sweeping of expired claims against the stand-in of the platform."""

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


async def call_platform(fleet, action):
    transport = CurlTransport()
    address = fleet.members['platform'].address
    try:
        return await action(Platform(transport, f'http://{address}', 2))
    finally:
        transport.close()


def put_rows(platform):
    now = time.time()
    expiry_offsets_s = {
        'claims/aa1': -1,
        'claims/aa2': HOUR_S,
        'claims/ab1': -1,
    }
    rows = {
        key: ClaimRow('a', 'h', 1, 'd', now + offset_s).to_json()
        for key, offset_s in expiry_offsets_s.items()
    }
    return platform.commit({}, rows)


def sweep(platform):
    host = SimpleNamespace(
        identity=SimpleNamespace(incarnation=1),
        platform=platform,
        timers=TimerService(),
    )
    return Sweeper(host).sweep('claims/aa')


@given('expired and unexpired claims, some under another key prefix')
def fill(fleet):
    fleet.start_platform()
    asyncio.run(call_platform(fleet, put_rows))


@when('a host sweeps one prefix')
def run_sweep(fleet):
    asyncio.run(call_platform(fleet, sweep))


@then('only the expired claim under the prefix is removed')
def verify(fleet):
    rows = fleet.record('platform')['rows']
    assert sorted(rows) == ['claims/aa2', 'claims/ab1']
