"""Collects events from live hosts and from batches in the object store."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from typing import TYPE_CHECKING

from celerywharf.edge import EdgeHandler
from celerywharf.exceptions import BadRequestError, CelerywharfError
from celerywharf.membership import Peer
from celerywharf.timeline._clock import MICROS_PER_SECOND
from celerywharf.timeline._recorder import Event
from celerywharf.timeline.records import (
    from_record,
    matches,
    to_json,
    to_record,
    unpack,
)
from celerywharf.timeline.shipping import SLOT_S
from celerywharf.wire import Sender
from celerywharf.wire.timelines import TimelineAnswer, TimelineQuery

if TYPE_CHECKING:
    from celerywharf.hosts import Host

CONCURRENT_HOSTS = 16
LINKED_GENERATION_LIMIT = 8
ANSWER_LIMIT_EVENTS = 5000
DEFAULT_SINCE_S = 900.0
MAX_SINCE_S = 86_400.0

EventsByIdentity = dict[tuple[str, int, int], Event]


class TimelineService:
    """Answers peers from memory and operators from all sources."""

    def __init__(self, host: Host) -> None:
        self.host = host
        host.links.subscribe(TimelineQuery, self.answer)

    def answer(
        self, _sender: Sender | None, query: TimelineQuery
    ) -> TimelineAnswer:
        """Return the matching events in this host's memory."""
        recorder = self.host.recorder
        found = [
            to_record(event)
            for event in recorder.events
            if matches(event, query)
        ]
        kept_all = recorder.recorded == len(recorder.events)
        complete = kept_all and len(found) <= query.limit
        return TimelineAnswer(found[-query.limit :], complete)

    async def collect(
        self, query: TimelineQuery
    ) -> tuple[list[Event], list[str]]:
        """Collect events from all sources.

        Returns:
            The events in order of time, at most ``query.limit``, and the
            names of live hosts that did not answer.
        """
        answer = self.answer(None, query)
        events = {
            event.identity: event for event in map(from_record, answer.events)
        }
        silent_hosts = await self._query_peers(query, events)
        await self._read_store(query, events)
        ordered = sorted(events.values(), key=lambda event: event.stamp)
        return ordered[-query.limit :], silent_hosts

    def _dead_hosts(self, events: list[Event]) -> set[str]:
        live = {peer.name for peer in self.host.membership.live()}
        return {event.host for event in events} - live

    async def collect_linked(
        self,
        query: TimelineQuery,
    ) -> tuple[list[Event], list[str]]:
        """Collect the events of a request and of its generations.

        At most ``LINKED_GENERATION_LIMIT`` generations are followed.

        Returns:
            The events in order of time, and the names of hosts that did not
            answer or that have events but are not alive.
        """
        events, silent_hosts = await self.collect(query)
        found = {event.identity: event for event in events}
        generations = {event.generation for event in events} - {''}
        if query.request:
            for generation in sorted(generations)[:LINKED_GENERATION_LIMIT]:
                linked = dataclasses.replace(
                    query,
                    request='',
                    generation=generation,
                )
                more, _ = await self.collect(linked)
                found.update({event.identity: event for event in more})
        ordered = sorted(found.values(), key=lambda event: event.stamp)
        dead = self._dead_hosts(ordered)
        return ordered, sorted({*silent_hosts, *dead})

    async def _query_peers(
        self, query: TimelineQuery, events: EventsByIdentity
    ) -> list[str]:
        semaphore = asyncio.Semaphore(CONCURRENT_HOSTS)
        own_name = self.host.identity.name
        requests = [
            self._query_peer(peer, query, events, semaphore)
            for peer in self.host.membership.live()
            if peer.name != own_name
        ]
        silent_hosts = await asyncio.gather(*requests)
        return [name for name in silent_hosts if name]

    async def _query_peer(
        self,
        peer: Peer,
        query: TimelineQuery,
        events: EventsByIdentity,
        semaphore: asyncio.Semaphore,
    ) -> str:
        async with semaphore:
            try:
                answer = await self.host.links.request(peer.inner, query)
            except CelerywharfError:
                return peer.name
        for event in map(from_record, answer.events):
            events[event.identity] = event
        return ''

    async def _read_store(
        self, query: TimelineQuery, events: EventsByIdentity
    ) -> None:
        platform = self.host.platform
        slot = query.since_micros // MICROS_PER_SECOND // SLOT_S * SLOT_S
        last = int(time.time())
        try:
            while slot <= last:
                for name in await platform.list_objects(f'timeline/{slot}/'):
                    batch = await platform.get_object(name)
                    for event in unpack(batch or b''):
                        if matches(event, query):
                            events.setdefault(event.identity, event)
                slot += SLOT_S
        except CelerywharfError as error:
            self.host.recorder.record('timeline_store_unread', code=error.code)


class TimelineHandler(EdgeHandler):
    """``GET /operator/timeline?request=&generation=&since=SECONDS``."""

    async def get(self) -> None:
        """Answer with events and the hosts whose memory could not be read."""
        self.require_operator()
        try:
            since_s = float(
                self.get_query_argument('since', str(DEFAULT_SINCE_S))
            )
        except ValueError:
            raise BadRequestError('since is not a number of seconds') from None
        since_s = min(max(since_s, 0), MAX_SINCE_S)
        query = TimelineQuery(
            self.get_query_argument('request', ''),
            self.get_query_argument('generation', ''),
            int((time.time() - since_s) * MICROS_PER_SECOND),
            ANSWER_LIMIT_EVENTS,
        )
        events, silent_hosts = await self.host.timelines.collect_linked(query)
        self.write_json(
            {
                'events': [to_json(event) for event in events],
                'silent_hosts': silent_hosts,
            }
        )


TIMELINE_ROUTES = (('/operator/timeline', TimelineHandler),)
