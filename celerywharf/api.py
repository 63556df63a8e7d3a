"""The common calls, one line each."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

from celerywharf import logs, settings
from celerywharf.fronts import Front
from celerywharf.hosts import Host
from celerywharf.settings import FrontSettings, HostSettings


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


def serve_front(path: str | Path) -> None:
    """Run a front until it is told to stop.

    Args:
        path: settings in INI.

    Raises:
        SettingsError: the settings are wrong or a port is in use.
    """
    loaded = settings.load(path, FrontSettings)
    logs.configure_bounded(
        loaded.log.level,
        sys.stdout.fileno(),
        host=loaded.front.name,
        availability_zone=loaded.front.availability_zone,
    )
    asyncio.run(_serve_front(loaded, path))


async def _serve_front(loaded: FrontSettings, path: str | Path) -> None:
    front = Front(loaded, Path(path))
    loop = asyncio.get_running_loop()
    signals = _Signals(front)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, signals.received)
    loop.add_signal_handler(signal.SIGHUP, front.reload)
    await front.start()
    await front.stopped.wait()


async def _serve(loaded: HostSettings) -> None:
    host = Host(loaded)
    signals = _Signals(host)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, signals.received)
    try:
        await host.start()
    except BaseException:
        await host.stop()
        raise
    await host.stopped.wait()


class _Signals:
    """First signal drains, second stops."""

    def __init__(self, host: Host | Front) -> None:
        self.host = host
        self.task: asyncio.Task | None = None

    def received(self) -> None:
        """Take a signal."""
        stop = self.host.drain() if self.task is None else self.host.stop()
        self.task = asyncio.get_running_loop().create_task(stop)
