"""Runs a front as a process."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

from celerywharf import logs, settings
from celerywharf.fronts._front import Front
from celerywharf.settings import FrontSettings
from celerywharf.signals import Signals


def serve_front(path: str | Path) -> None:
    """Run a front until a signal stops it.

    Args:
        path: the settings file, in INI format.

    Raises:
        SettingsError: the settings are invalid or a port is in use.
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
    signals = Signals(front, is_patient=True)
    signals.subscribe()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, front.reload)
    await front.start()
    await front.stopped.wait()
    signals.ignore(signal.SIGHUP)
