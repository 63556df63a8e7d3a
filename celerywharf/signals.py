"""Signal handling that stops a process."""

from __future__ import annotations

import asyncio
import signal
from typing import Any, Protocol


class Stoppable(Protocol):
    """A process that can stop gracefully or at once."""

    async def drain(self) -> Any:
        """Finish running requests, then stop."""

    async def stop(self) -> Any:
        """Stop at once."""


class Signals:
    """Drains a process on the first signal and stops it on the next.

    Attributes:
        process: the process to be stopped.
        task: the running drain or stop, None before the first signal.
    """

    def __init__(self, process: Stoppable) -> None:
        self.process = process
        self.task: asyncio.Task | None = None

    def subscribe(self) -> None:
        """Handle SIGTERM and SIGINT on the running event loop."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.handle_signal)

    def handle_signal(self) -> None:
        """Start to drain, or to stop if draining has already begun."""
        stop = (
            self.process.drain() if self.task is None else self.process.stop()
        )
        self.task = asyncio.get_running_loop().create_task(stop)
