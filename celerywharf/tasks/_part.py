"""Base class of tasks with a mailbox."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from dataclasses import dataclass, field
from typing import Any

from celerywharf.exceptions import OverloadedError

logger = logging.getLogger(__name__)

MAILBOX_LIMIT_MESSAGES = 100_000
OVERLOADED_RETRY_AFTER_S = 1.0


@dataclass(slots=True)
class Ask:
    """A message whose sender waits for a reply.

    Attributes:
        message: the request, a dataclass.
        reply: future that the part completes with a result or an error.
    """

    message: Any
    reply: asyncio.Future = field(
        default_factory=lambda: asyncio.get_running_loop().create_future(),
    )

    def answer(self, value: Any) -> None:
        """Complete the reply unless the sender has stopped waiting."""
        if not self.reply.done():
            self.reply.set_result(value)

    def fail(self, error: Exception) -> None:
        """Fail the reply unless the sender has stopped waiting."""
        if not self.reply.done():
            self.reply.set_exception(error)


class Part:
    """A task with a mailbox; subclasses implement ``handle``.

    Messages are handled one at a time in order of arrival.  Work that waits
    for I/O is started with ``spawn`` and posts its result as a message, so
    that it does not block the mailbox.

    Attributes:
        mailbox: messages not yet handled.
        wakeup: set when a message is added to the mailbox.
        children: running tasks started with ``spawn``.
        task: the task that handles messages, None before ``start``.
    """

    def __init__(self) -> None:
        self.mailbox: deque[Any] = deque()
        self.wakeup = asyncio.Event()
        self.children: set[asyncio.Task] = set()
        self.task: asyncio.Task | None = None

    def start(self) -> None:
        """Start handling messages on the running event loop."""
        self.task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        """Cancel the task and its children; wait until they have ended."""
        tasks = list(self.children)
        if self.task is not None:
            tasks.append(self.task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def post(self, message: Any) -> None:
        """Add a message to the mailbox.

        Raises:
            OverloadedError: the mailbox is full; the message was not added.
        """
        if len(self.mailbox) >= MAILBOX_LIMIT_MESSAGES:
            raise OverloadedError(
                f'{type(self).__name__} is overloaded',
                retry_after_s=OVERLOADED_RETRY_AFTER_S,
            )
        self.mailbox.append(message)
        self.wakeup.set()

    async def ask(self, message: Any) -> Any:
        """Post a message and return the reply.

        Raises:
            OverloadedError: the mailbox is full.
            Exception: the error that the part replied with.
        """
        request = Ask(message)
        self.post(request)
        return await request.reply

    def spawn(self, coroutine: Any) -> asyncio.Task:
        """Run a coroutine as a child task, cancelled by ``stop``."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.children.add(task)
        task.add_done_callback(self._on_child_done)
        return task

    def handle(self, message: Any) -> None:
        """Handle one message without blocking."""
        raise NotImplementedError

    async def _run(self) -> None:
        while True:
            await self.wakeup.wait()
            self.wakeup.clear()
            while self.mailbox:
                self._handle_safely(self.mailbox.popleft())

    def _handle_safely(self, message: Any) -> None:
        try:
            self.handle(message)
        except Exception as error:
            if isinstance(message, Ask):
                message.fail(error)
                return
            logger.exception('message failed', extra={'part': type(self)})

    def _on_child_done(self, task: asyncio.Task) -> None:
        self.children.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            logger.error('spawned work failed', exc_info=error)
