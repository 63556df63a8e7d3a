"""celerywharf serve: run an entry host.

Usage:
  celerywharf serve --config=FILE
  celerywharf serve (-h | --help)

Options:
  --config=FILE  Settings in INI; see 'celerywharf config check'.

SIGTERM lets the host finish its streams and leave; a second one stops it.
"""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Sequence

from docopt import docopt

from celerywharf import logs, settings
from celerywharf.cli._exits import ExitCode
from celerywharf.hosts import Host


def run(words: Sequence[str]) -> int:
    """Serve until stopped."""
    options = docopt(__doc__, argv=list(words))
    loaded = settings.load(options['--config'])
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
    return ExitCode.done


async def _serve(loaded: settings.HostSettings) -> None:
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

    def __init__(self, host: Host) -> None:
        self.host = host
        self.task: asyncio.Task | None = None

    def received(self) -> None:
        """Take a signal."""
        stop = self.host.drain() if self.task is None else self.host.stop()
        self.task = asyncio.get_running_loop().create_task(stop)
