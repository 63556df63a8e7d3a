"""Signals that end a process."""

from __future__ import annotations

import asyncio
from typing import Any, Protocol


class Stoppable(Protocol):
    """A process that can end with and without its requests."""

    async def drain(self) -> Any:
        """Finish requests, then stop."""

    async def stop(self) -> Any:
        """Stop at once."""


class Signals:
    """First signal drains, second stops."""

    def __init__(self, process: Stoppable) -> None:
        self.process = process
        self.task: asyncio.Task | None = None

    def received(self) -> None:
        """Take a signal."""
        stop = (
            self.process.drain() if self.task is None else self.process.stop()
        )
        self.task = asyncio.get_running_loop().create_task(stop)
