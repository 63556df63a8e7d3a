"""The common calls, one line each."""

from __future__ import annotations

import asyncio
from pathlib import Path

from celerywharf import logs, settings
from celerywharf.hosts import Host
from celerywharf.settings import HostSettings
from celerywharf.signals import Signals


def check(path: str | Path) -> HostSettings:
    """Read a settings file and return it checked.

    Raises:
        SettingsError: one line for each wrong key.
    """
    return settings.load(path)


def serve(path: str | Path) -> None:
    """Run an entry host until it is told to stop.

    SIGTERM or SIGINT lets it finish its streams; a second one stops it.

    Args:
        path: settings in INI.

    Raises:
        SettingsError: the settings are wrong or a port is in use.
    """
    loaded = check(path)
    logs.configure(
        loaded.log.level,
        secrets=(
            loaded.keys.inner.get_secret_value(),
            loaded.keys.operator.get_secret_value(),
        ),
        host=loaded.host.name,
        availability_zone=loaded.host.availability_zone,
    )
    asyncio.run(_serve(loaded))


async def _serve(loaded: HostSettings) -> None:
    host = Host(loaded)
    Signals(host).subscribe()
    try:
        await host.start()
    except BaseException:
        await host.stop()
        raise
    await host.stopped.wait()
