"""Signals that end a process."""

from __future__ import annotations

import asyncio
import signal
from typing import Any, Protocol


class Stoppable(Protocol):
    """A process that can end with and without its requests."""

    async def drain(self) -> Any:
        """Finish requests, then stop."""

    async def stop(self) -> Any:
        """Stop at once."""


class Signals:
    """Lets the first signal drain a process and the second stop it."""

    def __init__(self, process: Stoppable) -> None:
        self.process = process
        self.task: asyncio.Task | None = None

    def subscribe(self) -> None:
        """Take the signals from now on, on the running loop."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.received)

    def received(self) -> None:
        """Take a signal."""
        stop = (
            self.process.drain() if self.task is None else self.process.stop()
        )
        self.task = asyncio.get_running_loop().create_task(stop)
