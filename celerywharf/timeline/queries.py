"""Answers questions about events over live hosts and shipped batches."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from typing import TYPE_CHECKING

from celerywharf.edge import EdgeHandler
from celerywharf.exceptions import BadRequestError, CelerywharfError
from celerywharf.membership import Peer
from celerywharf.timeline._clock import MICROSECONDS
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

ASKED_AT_ONCE_HOSTS = 16
LINKED_GENERATIONS = 8
ANSWER_LIMIT_EVENTS = 5000
DEFAULT_SINCE_S = 900.0
LONGEST_SINCE_S = 86_400.0

Found = dict[tuple[str, int, int], Event]


class TimelineService:
    """Answers peers from memory, operators from everywhere."""

    def __init__(self, host: Host) -> None:
        self.host = host
        host.links.subscribe(TimelineQuery, self.answer)

    def answer(
        self, _sender: Sender | None, query: TimelineQuery
    ) -> TimelineAnswer:
        """Answer from this host's memory."""
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
        """Gather events and the names of hosts whose memory is missing."""
        answers = self.answer(None, query)
        events = {
            event.identity: event for event in map(from_record, answers.events)
        }
        silent = await self._ask_peers(query, events)
        await self._read_store(query, events)
        ordered = sorted(events.values(), key=lambda event: event.stamp)
        return ordered[-query.limit :], silent

    def _dead_hosts(self, events: list[Event]) -> set[str]:
        live = {peer.name for peer in self.host.membership.live()}
        return {event.host for event in events} - live

    async def collect_linked(
        self,
        query: TimelineQuery,
    ) -> tuple[list[Event], list[str]]:
        """Gather a request's events and those of its generations."""
        events, silent = await self.collect(query)
        found = {event.identity: event for event in events}
        generations = {event.generation for event in events} - {''}
        if query.request:
            for generation in sorted(generations)[:LINKED_GENERATIONS]:
                linked = dataclasses.replace(
                    query,
                    request='',
                    generation=generation,
                )
                more, _ = await self.collect(linked)
                found.update({event.identity: event for event in more})
        ordered = sorted(found.values(), key=lambda event: event.stamp)
        dead = self._dead_hosts(ordered)
        return ordered, sorted({*silent, *dead})

    async def _ask_peers(
        self, query: TimelineQuery, events: Found
    ) -> list[str]:
        gate = asyncio.Semaphore(ASKED_AT_ONCE_HOSTS)
        mine = self.host.identity.name
        asked = [
            self._ask(peer, query, events, gate)
            for peer in self.host.membership.live()
            if peer.name != mine
        ]
        silent = await asyncio.gather(*asked)
        return [name for name in silent if name]

    async def _ask(
        self,
        peer: Peer,
        query: TimelineQuery,
        events: Found,
        gate: asyncio.Semaphore,
    ) -> str:
        async with gate:
            try:
                answer = await self.host.links.request(peer.inner, query)
            except CelerywharfError:
                return peer.name
        for event in map(from_record, answer.events):
            events[event.identity] = event
        return ''

    async def _read_store(self, query: TimelineQuery, events: Found) -> None:
        platform = self.host.platform
        slot = query.since_micros // MICROSECONDS // SLOT_S * SLOT_S
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
        """Answer with events and the hosts that could not be asked."""
        self.require_operator()
        try:
            since_s = float(
                self.get_query_argument('since', str(DEFAULT_SINCE_S))
            )
        except ValueError:
            raise BadRequestError('since is not a number of seconds') from None
        since_s = min(max(since_s, 0), LONGEST_SINCE_S)
        query = TimelineQuery(
            self.get_query_argument('request', ''),
            self.get_query_argument('generation', ''),
            int((time.time() - since_s) * MICROSECONDS),
            ANSWER_LIMIT_EVENTS,
        )
        events, silent = await self.host.timelines.collect_linked(query)
        self.write_json(
            {
                'events': [to_json(event) for event in events],
                'silent_hosts': silent,
            }
        )


TIMELINE_ROUTES = (('/operator/timeline', TimelineHandler),)
