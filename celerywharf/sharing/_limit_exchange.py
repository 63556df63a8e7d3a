"""Grants requests to servers within limits, for the fronts of all zones."""

from __future__ import annotations

import logging

from celerywharf.exceptions import CelerywharfError, PeerUnreachableError
from celerywharf.limits import (
    Grant,
    LimitLender,
    LimitPool,
    LimitStatement,
    StatedLimits,
)
from celerywharf.platform import boot_time_s
from celerywharf.sharing._limit_messages import from_message, to_message
from celerywharf.sharing._readers import ZoneReaders
from celerywharf.sharing._store import SharedStore
from celerywharf.wire import Sender
from celerywharf.wire.sharing import LimitAnswer, LimitNotice, LimitQuestion

logger = logging.getLogger(__name__)

# Round trips: two in the zone, and one to another region in between.
READER_TIMEOUT_S = 0.2
HOME_TIMEOUT_S = 0.12
# Parts of a limit that all zones together, or all hosts, use while they do not
# reach the host that grants it.
ZONES_FRACTION = 0.5
HOSTS_FRACTION = 0.25
REFUSAL_WAIT_S = 0.5


class LimitExchange(LimitLender):
    """Asks the reader of the server's zone, through that of the own zone.

    So each limit is granted by one host, whichever hosts need it.  A zone that
    does not reach the granting host uses an equal part of half of the limit,
    a host that does not reach its reader an equal part of a quarter.

    Attributes:
        stated: what servers have stated.
        shared_store: tells who the reader is.
        readers: links to the readers of other zones.
        pool: grants limits of servers in the own zone.
        zone_pool: used by a reader that does not reach the granting host.
        host_pool: used by this host without a reader.
    """

    def __init__(
        self,
        stated: StatedLimits,
        shared_store: SharedStore,
        readers: ZoneReaders,
    ) -> None:
        self.stated = stated
        self.shared_store = shared_store
        self.readers = readers
        self.pool = LimitPool()
        self.zone_pool = LimitPool(ZONES_FRACTION / readers.zones)
        self.host_pool = LimitPool()
        shared_store.server.subscribe(LimitQuestion, self._answer)
        shared_store.server.subscribe(LimitNotice, self._on_notice)

    async def ask(
        self, statement: LimitStatement, *, in_progress: bool
    ) -> Grant:
        """Ask for one request to a server."""
        if self.shared_store.is_reader:
            return await self._decide(statement, in_progress=in_progress)
        reader = self.shared_store.election.reader
        client = self.shared_store.client
        if reader is not None and client is not None:
            question = LimitQuestion(to_message(statement), in_progress)
            try:
                reply = await client.request(
                    reader.address, question, READER_TIMEOUT_S
                )
            except CelerywharfError:
                # The reader may have granted it, so nothing is taken here.
                return Grant(granted=False, wait_s=REFUSAL_WAIT_S)
            return Grant(reply.granted, reply.wait_s)
        return self._take_alone(statement, in_progress=in_progress)

    def tell(self, statement: LimitStatement) -> None:
        """Tell the reader of the zone what a server has stated."""
        reader = self.shared_store.election.reader
        client = self.shared_store.client
        if reader is not None and client is not None:
            client.send(reader.address, LimitNotice(to_message(statement)))

    async def _answer(self, _: Sender, question: LimitQuestion) -> LimitAnswer:
        """Answer another front of the zone, or another zone's reader.

        Raises:
            PeerUnreachableError: this front is not a reader.
        """
        if not self.shared_store.is_reader:
            raise PeerUnreachableError('this front is not the reader')
        statement = from_message(question.limit)
        if statement is None or statement.per_s is None:
            return LimitAnswer(granted=False, wait_s=REFUSAL_WAIT_S)
        self.stated.merge(statement)
        newest = self.stated.statements[statement.incarnation]
        if newest.per_s is None:
            return LimitAnswer(granted=True, wait_s=0)
        grant = await self._decide(newest, in_progress=question.in_progress)
        return LimitAnswer(grant.granted, grant.wait_s)

    def _on_notice(self, _: Sender, notice: LimitNotice) -> None:
        statement = from_message(notice.limit)
        if statement is not None:
            self.stated.merge(statement)

    async def _decide(
        self, statement: LimitStatement, *, in_progress: bool
    ) -> Grant:
        """Decide as a reader, by asking that of the server's zone."""
        zone = statement.availability_zone
        if zone == self.readers.own_zone:
            return self.pool.take(
                statement, boot_time_s(), in_progress=in_progress
            )
        question = LimitQuestion(to_message(statement), in_progress)
        try:
            reply = await self.readers.request(zone, question, HOME_TIMEOUT_S)
        except CelerywharfError as error:
            logger.info(
                'limit granted by this zone',
                extra={
                    'backend_server': statement.incarnation,
                    'reason': error.message,
                },
            )
            return self.zone_pool.take(
                statement, boot_time_s(), in_progress=in_progress
            )
        return Grant(reply.granted, reply.wait_s)

    def _take_alone(
        self, statement: LimitStatement, *, in_progress: bool
    ) -> Grant:
        hosts = self.shared_store.lending.share.zone_hosts
        zones = self.readers.zones
        self.host_pool.fraction = HOSTS_FRACTION / (zones * max(hosts, 1))
        return self.host_pool.take(
            statement, boot_time_s(), in_progress=in_progress
        )
