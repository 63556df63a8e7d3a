"""Places the sends of a stream in turn with other waiting requests."""

from __future__ import annotations

import asyncio
import functools
from dataclasses import replace

from celerywharf.backends import BackendServer, Demand, Loads
from celerywharf.forwarding._outcomes import Finished, Outcome, Refused
from celerywharf.forwarding._plans import Fail, PassOn
from celerywharf.forwarding._stream_placer import RoomCheck
from celerywharf.forwarding._stream_sender import StreamSender
from celerywharf.forwarding._stream_sends import StreamPlacement, StreamSend
from celerywharf.waiting import Reason, WaitingTicket
from celerywharf.waiting import Refused as WaitRefused

# An engine with fewer unread prompts has room: it would soon be idle.
MIN_UNREAD_PROMPTS = 2
# A host learns this late that another engine has room: by a report that is
# 0.15 s old, reused for 0.2 s and asked for each 0.25 s.
LEARNS_ROOM_S = 0.6
# Refusals of one stream after which engines are taken to lack room.
MIN_REFUSALS = 2
# Part of the time until a request is late that it may wait for an engine with
# room.  It then queues at the best engine, which admits by urgency.
WAIT_SHARE = 0.25
# A stream that must not wait for room any longer, but fits on no engine, is
# tried again this often.
RETRY_PERIOD_S = 0.25
MILLISECONDS = 1000


def has_room(
    reading_s: float,
    loads: Loads,
    server: BackendServer,
    demand: Demand,
    now_s: float,
) -> bool:
    """Estimate whether an engine has room for a stream now.

    By its late report and by what this host has sent it since.  An engine on
    which nothing is known to run has room for a stream of any size.

    Args:
        reading_s: how long an engine reads a prompt; 0 if that is unknown.
        loads: the load of the engines.
        server: the engine.
        demand: what the stream needs.
        now_s: monotonic seconds.
    """
    name = server.name
    running = loads.running(name, now_s)
    prompts = loads.prompts(name, now_s)
    if not running and not prompts:
        return True
    reads_soon = (
        prompts < MIN_UNREAD_PROMPTS or prompts * reading_s <= LEARNS_ROOM_S
    )
    used_tokens = loads.tokens(name, now_s)
    fits = used_tokens + demand.tokens <= demand.capacity_tokens
    return reads_soon and fits and running < server.slots


class StreamTurns:
    """Lets a stream wait at its host while no engine has room.

    Answers a load under which engines fill their own queues: a request that
    waits here goes to the engine that is best when room comes.

    Attributes:
        sender: carries out the sends.
        room: the requests that wait for the service.
        number: of the stream among those that wait here.
        waited_s: how long the stream has waited, over all its sends.
        latest: its latest send, except successors of silent ones.
        sent_s: when that send began, monotonic seconds.
        prompts_ahead: prompts that the engine had to read then, its own too.
    """

    def __init__(self, sender: StreamSender) -> None:
        waiting = sender.context.waiting
        self.sender = sender
        self.room = waiting.room(sender.service)
        self.number = next(waiting.numbers)
        self.waited_s: float = 0
        self.latest: StreamSend | None = None
        self.sent_s: float = 0
        self.prompts_ahead = 1

    async def place(self) -> StreamPlacement | WaitRefused | None:
        """Choose an engine for the next send, after waiting for room.

        Returns:
            The placement, with the stream's load added to the engine; why the
            stream is refused; None if there is no engine.
        """
        placer = self.sender.placer
        if not placer.demand.capacity_tokens:
            return await self.sender.place()
        if placer.copy_holder is not None:
            placement = await self.sender.place()
            if placement is not None or not placer.lacks_room:
                return placement
        ticket = self._ticket(self._now())
        placement = None
        try:
            placement = await self._place_in_turn(ticket)
        finally:
            placer.require_room(None)
            self.waited_s += self.room.end(
                ticket, placed=isinstance(placement, StreamPlacement)
            )
        return placement

    def details(self) -> dict[str, int]:
        """Return the log fields of the waits; none if there was none."""
        if not self.waited_s:
            return {}
        return {'waited_ms': round(self.waited_s * MILLISECONDS)}

    def refuse(self, refused: WaitRefused) -> PassOn | Fail:
        """Return the final step of a stream that waited in vain."""
        sender = self.sender
        sender.request_log.log_waited_in_vain(
            refused.reason, self._now(), refused.wait_s
        )
        sender.context.metrics.count(
            'waiting_refusals',
            service=sender.service,
            reason=refused.reason.name,
        )
        if sender.remaining_s() <= 0:
            return sender.plan.timed_out()
        return sender.plan.give_up(refused.reason.value, refused.retry_after_s)

    def sent(self, send: StreamSend) -> None:
        """Record that a send has begun."""
        self.latest = send
        self.sent_s = self._now()
        loads = self.sender.context.loads
        prompts = loads.prompts(send.server.name, self.sent_s)
        self.prompts_ahead = max(prompts, 1)

    def ended(self, send: StreamSend, outcome: Outcome) -> None:
        """Record that a send has ended, which makes room or shows the lack."""
        # The successor of a silent send began at another time.
        if send is self.latest:
            self._measure(send, outcome)
        match outcome:
            case Refused(reached=True, replaced=False):
                self._record_refusal(send)
            case _:
                self.room.room_came()

    def _record_refusal(self, send: StreamSend) -> None:
        refusals = self.sender.plan.refusals
        copy_at = send.placement.resumption.copy_at
        if copy_at is None and refusals >= MIN_REFUSALS:
            self.room.refused()

    def _measure(self, send: StreamSend, outcome: Outcome) -> None:
        resumption = send.placement.resumption
        begun_at_s = send.relay.begun_at_s
        if begun_at_s is not None and resumption.copy_at is None:
            reading_s = (begun_at_s - self.sent_s) / self.prompts_ahead
            self.room.reading.record_hold(reading_s)
        if isinstance(outcome, Finished) and resumption.last_event is None:
            self.room.queue.stream_ended(self._now() - self.sent_s)

    async def _place_in_turn(
        self, ticket: WaitingTicket
    ) -> StreamPlacement | WaitRefused | None:
        placer = self.sender.placer
        while True:
            refused = await self.room.wait(ticket)
            if refused is not None and not self._must_go_on(refused):
                return refused
            may_wait = refused is None and self._now() < ticket.latest_turn_s
            placer.require_room(self._room_check() if may_wait else None)
            placement = await self.sender.place()
            if placement is not None or self._gives_up(ticket):
                return placement
            ticket = await self._lacked(ticket, may_wait=may_wait)

    async def _lacked(
        self, ticket: WaitingTicket, *, may_wait: bool
    ) -> WaitingTicket:
        """Record that no engine had room; return the ticket to wait with."""
        if self.sender.placer.is_restricted:
            # Other requests may go to engines that this one may not.
            self.room.step_aside(ticket)
            await asyncio.sleep(RETRY_PERIOD_S)
            return ticket
        self.room.lacked(ticket)
        if may_wait:
            return ticket
        return replace(ticket, latest_turn_s=self._now() + RETRY_PERIOD_S)

    def _gives_up(self, ticket: WaitingTicket) -> bool:
        """Return whether a stream without an engine does not wait any more."""
        placer = self.sender.placer
        if not placer.lacks_room:
            return True
        ends_s = ticket.deadline_s if ticket.begun else ticket.on_time_until_s
        return placer.is_restricted and self._now() >= ends_s

    def _room_check(self) -> RoomCheck:
        return functools.partial(has_room, self.room.reading.mean_held_s)

    def _must_go_on(self, refused: WaitRefused) -> bool:
        """Return whether a stream goes on although this host stops."""
        is_begun = self.sender.in_progress() or self.sender.plan.may_have_run
        return refused.reason is Reason.leaving and is_begun

    def _ticket(self, now_s: float) -> WaitingTicket:
        request = self.sender.request
        deadline_s = request.deadline_at_s()
        target_s = request.route.latency_target_s or request.route.timeout_s
        urgency = self._urgency()
        begun = bool(self.sender.progress.last_event)
        patience_s = max(min(target_s, deadline_s - now_s), 0)
        if begun or urgency == 0:
            # The caller of a stream that has begun waits for its next event,
            # and engines admit what is most urgent before all that wait there.
            patience_s = 0
        return WaitingTicket(
            number=self.number,
            client_account=request.account or '',
            rank=urgency or 0,
            begun=begun,
            tokens=self.sender.placer.demand.tokens,
            arrived_s=request.arrived_s,
            on_time_until_s=min(request.arrived_s + target_s, deadline_s),
            latest_turn_s=now_s + patience_s * WAIT_SHARE,
            deadline_s=deadline_s,
        )

    def _urgency(self) -> int | None:
        sender = self.sender
        request = sender.request
        urgencies = sender.context.configuration_cache.configuration.urgencies
        priority = urgencies.priority(request.route, request.account)
        return urgencies.urgency(sender.service, priority)

    def _now(self) -> float:
        return self.sender.context.timers.now()
