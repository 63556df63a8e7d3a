"""Interface to what grants requests within limits that all hosts share."""

from __future__ import annotations

import abc

from celerywharf.limits._pool import Grant
from celerywharf.limits._statements import LimitStatement


class LimitLender(abc.ABC):
    """Grants requests to servers that state a limit for all hosts."""

    @abc.abstractmethod
    async def ask(
        self, statement: LimitStatement, *, in_progress: bool
    ) -> Grant:
        """Ask for one request to a server.

        Args:
            statement: what the server has stated; it has a limit.
            in_progress: whether the caller already has a part of the answer.
        """

    @abc.abstractmethod
    def tell(self, statement: LimitStatement) -> None:
        """Pass on what a server has stated in an answer to this host."""
