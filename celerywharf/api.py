"""Functions to check settings and to run an entry host."""

from __future__ import annotations

import asyncio
from pathlib import Path

from celerywharf import logs, settings
from celerywharf.hosts import Host
from celerywharf.settings import HostSettings
from celerywharf.signals import Signals


def check(path: str | Path) -> HostSettings:
    """Load and validate a settings file.

    Raises:
        SettingsError: the file is invalid; the message has one line per error.
    """
    return settings.load(path)


def serve(path: str | Path) -> None:
    """Run an entry host until it is stopped by a signal.

    SIGTERM or SIGINT lets it finish its streams; a second signal stops it at
    once.

    Args:
        path: settings file in INI format.

    Raises:
        SettingsError: the settings are invalid or a port is in use.
    """
    host_settings = check(path)
    logs.configure(
        host_settings.log.level,
        secrets=(
            host_settings.keys.inner.get_secret_value(),
            host_settings.keys.operator.get_secret_value(),
        ),
        host=host_settings.host.name,
        availability_zone=host_settings.host.availability_zone,
    )
    asyncio.run(_serve(host_settings))


async def _serve(host_settings: HostSettings) -> None:
    host = Host(host_settings)
    Signals(host).subscribe()
    try:
        await host.start()
    except BaseException:
        await host.stop()
        raise
    await host.stopped.wait()
