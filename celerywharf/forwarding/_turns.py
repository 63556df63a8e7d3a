"""Places the sends of a stream in turn with other waiting requests."""

from __future__ import annotations

from celerywharf.backends import BackendServer, Demand, Loads
from celerywharf.forwarding._outcomes import Finished, Outcome
from celerywharf.forwarding._plans import Fail, PassOn
from celerywharf.forwarding._stream_sender import StreamSender
from celerywharf.forwarding._stream_sends import StreamPlacement, StreamSend
from celerywharf.waiting import Reason, Refused, WaitingTicket

# Beyond this an engine reads other prompts first for longer than a host needs
# to learn that another engine has room.
MAX_UNREAD_PROMPTS = 2
# Part of the time until a request is late that it may wait for an engine with
# room.  It then queues at the best engine, which admits by urgency.
WAIT_SHARE = 0.25
MILLISECONDS = 1000


def has_room(
    loads: Loads, server: BackendServer, demand: Demand, now_s: float
) -> bool:
    """Estimate whether an engine has room for a stream now.

    By its late report and by what this host has sent it since.  An engine on
    which nothing is known to run has room for a stream of any size.
    """
    name = server.name
    running = loads.running(name, now_s)
    if not running and not loads.prompts(name, now_s):
        return True
    return (
        loads.prompts(name, now_s) < MAX_UNREAD_PROMPTS
        and running < server.slots
        and loads.tokens(name, now_s) + demand.tokens <= demand.capacity_tokens
    )


class StreamTurns:
    """Lets a stream wait at its host while no engine has room.

    Answers a load under which engines fill their own queues: a request that
    waits here goes to the engine that is best when room comes.

    Attributes:
        sender: carries out the sends.
        room: the requests that wait for the service.
        number: of the stream among those that wait here.
        waited_s: how long the stream has waited, over all its sends.
        sent_s: when its latest send began, monotonic seconds.
    """

    def __init__(self, sender: StreamSender) -> None:
        waiting = sender.context.waiting
        self.sender = sender
        self.room = waiting.room(sender.service)
        self.number = next(waiting.numbers)
        self.waited_s: float = 0
        self.sent_s: float = 0

    async def place(self) -> StreamPlacement | Refused | None:
        """Choose an engine for the next send, after waiting for room.

        Returns:
            The placement, with the stream's load added to the engine; why the
            stream is refused; None if there is no engine.
        """
        placer = self.sender.placer
        if not placer.demand.capacity_tokens or placer.copy_holder is not None:
            return await self.sender.place()
        ticket = self._ticket(self._now())
        placement = None
        try:
            placement = await self._place_in_turn(ticket)
        finally:
            placer.needs_room = None
            self.waited_s += self.room.end(
                ticket, placed=isinstance(placement, StreamPlacement)
            )
        return placement

    def details(self) -> dict[str, int]:
        """Return the log fields of the waits; none if there was none."""
        if not self.waited_s:
            return {}
        return {'waited_ms': round(self.waited_s * MILLISECONDS)}

    def refuse(self, refused: Refused) -> PassOn | Fail:
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

    def sent(self) -> None:
        """Record that a send has begun."""
        self.sent_s = self._now()

    def ended(self, send: StreamSend, outcome: Outcome) -> None:
        """Record that a send has ended, which makes room."""
        if isinstance(outcome, Finished) and (
            send.placement.resumption.last_event is None
        ):
            self.room.queue.stream_ended(self._now() - self.sent_s)
        self.room.room_came()

    async def _place_in_turn(
        self, ticket: WaitingTicket
    ) -> StreamPlacement | Refused | None:
        placer = self.sender.placer
        while True:
            refused = await self.room.wait(ticket)
            if refused is not None and not self._must_go_on(refused):
                return refused
            may_wait = refused is None and self._now() < ticket.latest_turn_s
            placer.needs_room = has_room if may_wait else None
            placement = await self.sender.place()
            if placement is not None or not placer.lacks_room:
                return placement
            self.room.lacked(ticket)

    def _must_go_on(self, refused: Refused) -> bool:
        """Return whether a stream goes on although this host stops."""
        return refused.reason is Reason.leaving and self.sender.in_progress()

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
