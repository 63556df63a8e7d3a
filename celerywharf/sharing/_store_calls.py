"""A host's own calls of the store for tables that the hosts of a zone share."""

from __future__ import annotations

from collections.abc import Awaitable
from random import Random

from celerywharf.exceptions import (
    CelerywharfError,
    PlatformUnavailableError,
    TransportError,
)
from celerywharf.platform import (
    HistoryGoneError,
    Position,
    ReadResult,
    StoreClient,
    boot_time_s,
)
from celerywharf.sharing._freshness import (
    IMMEDIATE_POLL,
    Poll,
    plan_poll,
)
from celerywharf.sharing._store_backoff import StoreBackoff

# Long-poll time of a reader. Short, because the other fronts rely on it to know
# that the store still answers.
STORE_POLL_S = 1.0
STORE_ANSWER_SLACK_S = 0.5  # answers normally take a few milliseconds
# What is left of the time in which other hosts rely on the answers.
FOLLOWERS_S = 0.5
ALONE_ANSWER_SLACK_S = 0.8  # without followers


class StoreCalls:
    """Polls the store within the time that a table may be relied on.

    Attributes:
        store: client of the store.
        reachable: the store answered the last call.
        backoff: spaces calls to a store that does not answer.
    """

    def __init__(self, store: StoreClient, random: Random) -> None:
        self.store = store
        self.reachable = True
        self.backoff = StoreBackoff(random)

    def check_due(self) -> None:
        """Raise if the store failed and must not be called again yet."""
        if not self.backoff.due(boot_time_s()):
            raise PlatformUnavailableError('the store is not called again yet')

    async def watch(
        self,
        table: str,
        after: Position,
        wait_s: float,
        left_s: float,
        *,
        has_followers: bool,
    ) -> ReadResult:
        """Poll the store; without an answer, once more on a new connection.

        A connection may be silent for good while the store answers on others.

        Args:
            table: name of the table.
            after: position after which changes are requested.
            wait_s: longest wait for a change.
            left_s: how long the table may still be relied on.
            has_followers: whether other hosts rely on the answers.

        Raises:
            HistoryGoneError: the whole table must be read.
            PlatformUnavailableError: the store refused the call.
            TransportError: the store did not answer.
        """
        slack_s = ALONE_ANSWER_SLACK_S
        if has_followers:
            # An answer that took long to arrive is old already.
            wait_s = min(wait_s, STORE_POLL_S, left_s - FOLLOWERS_S)
            slack_s = STORE_ANSWER_SLACK_S
        poll = plan_poll(left_s, wait_s, slack_s)
        try:
            return await self._poll(table, after, poll)
        except TransportError:
            if poll.fresh_connection or not self.reachable:
                raise
        return await self._poll(table, after, IMMEDIATE_POLL)

    async def finish(
        self, call: Awaitable[ReadResult], zone_hosts: int, *, has_reader: bool
    ) -> ReadResult:
        """Return the result of a call; space the next ones if it fails.

        Args:
            call: the call of the store.
            zone_hosts: number of hosts in the zone that call; 0 not to space
                the calls.
            has_reader: whether another front is the reader and answers.
        """
        try:
            reading = await call
        except HistoryGoneError:
            raise
        except CelerywharfError:
            self.reachable = False
            if zone_hosts:
                self.backoff.failed(
                    boot_time_s(), zone_hosts, has_reader=has_reader
                )
            raise
        self.reachable = True
        self.backoff.answered()
        return reading

    async def _poll(
        self, table: str, after: Position, poll: Poll
    ) -> ReadResult:
        return await self.store.watch(
            table,
            after,
            poll.wait_s,
            poll.slack_s,
            fresh_connection=poll.fresh_connection,
        )
