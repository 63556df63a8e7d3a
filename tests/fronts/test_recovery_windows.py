"""Windows of a front: which servers get one when they start."""

from random import Random
from types import SimpleNamespace

import pytest

from celerywharf import settings
from celerywharf.fronts._context import build_context
from celerywharf.routing import ConfigurationCache, EngineMemory, Service
from tests.backends.test_directory import SERVICE, make_server
from tests.routing.test_configuration_cache import make_configuration

START_S = 100.0
SETTINGS = """
[front]
name = f
availability_zone = north-1
listen = 127.0.0.1:1
health = 127.0.0.1:2
relay = 127.0.0.1:3
[zones]
regions = north-1=north
[store]
address = 127.0.0.1:4
[bounds]
revoke_ms = 5000
grace_s = 8
[backends]
recovery_windows = {windows}
"""
LEASING = EngineMemory(88_000, backups=True, lease_s=2)
WITHOUT_LEASES = EngineMemory(88_000, backups=True)


def _started(memory, *, windows='yes'):
    """Return the windows of a front after a server has started."""
    cache = ConfigurationCache(5)
    if memory is not None:
        service = Service(SERVICE, '/health', memory)
        cache.configuration = make_configuration(1, services={SERVICE: service})
    timers = SimpleNamespace(now=lambda: START_S)
    context = build_context(
        settings.loads(
            SETTINGS.format(windows=windows), model=settings.FrontSettings
        ),
        SimpleNamespace(),
        timers,
        cache,
        Random(1),
    )
    directory = context.placement.directory
    directory.replace_all([], START_S - 50)
    directory.update(make_server('new'), START_S)
    return set(context.health.windows.windows)


@pytest.mark.parametrize(
    ('memory', 'names'),
    [(None, {'new'}), (WITHOUT_LEASES, {'new'}), (LEASING, set())],
)
def test_engines_that_grant_leases_get_no_window_at_their_start(memory, names):
    assert _started(memory) == names


def test_no_server_gets_a_window_unless_settings_ask_for_it():
    assert not _started(WITHOUT_LEASES, windows='no')
