"""Signal handling that stops a process."""

from __future__ import annotations

import asyncio
import signal
from typing import Any, Protocol

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


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
        is_patient: a repeated SIGTERM changes nothing; whoever sends it kills
            the process when it has waited long enough.
        task: the running drain or stop, None before the first signal.
    """

    def __init__(self, process: Stoppable, *, is_patient: bool = False) -> None:
        self.process = process
        self.is_patient = is_patient
        self.task: asyncio.Task | None = None

    def subscribe(self) -> None:
        """Handle SIGTERM and SIGINT on the running event loop."""
        loop = asyncio.get_running_loop()
        for number in STOP_SIGNALS:
            loop.add_signal_handler(number, self.handle_signal, number)

    def ignore(self, *others: int) -> None:
        """Ignore further signals while the stopped process exits.

        Closing the event loop would restore their default actions.

        Args:
            others: signals that the event loop handles besides those
                subscribed to.
        """
        loop = asyncio.get_running_loop()
        for number in (*STOP_SIGNALS, *others):
            loop.remove_signal_handler(number)
            signal.signal(number, signal.SIG_IGN)

    def handle_signal(self, number: int) -> None:
        """Start to drain, or to stop if draining has already begun.

        Args:
            number: the signal.
        """
        if self.task is None:
            stop = self.process.drain()
        elif number == signal.SIGTERM and self.is_patient:
            return
        else:
            stop = self.process.stop()
        self.task = asyncio.get_running_loop().create_task(stop)
