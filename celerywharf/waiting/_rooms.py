"""Lets requests wait at their host until engines have room."""

from __future__ import annotations

import asyncio
import itertools
from random import Random

from celerywharf.metrics import Metrics
from celerywharf.timers import TimerService
from celerywharf.waiting._estimates import DrainRate
from celerywharf.waiting._host_queue import HostQueue
from celerywharf.waiting._tickets import Refused, WaitingTicket

# Reports of engines are some 100 ms old and reused for 200 ms.
ROOM_CHECK_S = 0.25


class ServiceRoom:
    """Gives the requests to one service their turns to look for an engine.

    While engines have room, each request looks for one at once.  After one
    has found none, requests take turns, one at a time.

    Attributes:
        queue: decides about the order.
        reading: average time in which engines read a prompt.
        turns: completed when it is a request's turn, by number.
        searching: number of the request whose turn it is; None if there is
            none.
        lacks_until_s: until then no engine is expected to have room.
        timer: checks the queue again; None if nothing waits.
        began_s: when requests began to wait, by number, monotonic seconds.
    """

    def __init__(
        self,
        service: str,
        timers: TimerService,
        metrics: Metrics,
        random: Random,
    ) -> None:
        self.service = service
        self.timers = timers
        self.metrics = metrics
        self.queue = HostQueue(random)
        self.reading = DrainRate()
        self.turns: dict[int, asyncio.Future[Refused | None]] = {}
        self.searching: int | None = None
        self.lacks_until_s = float('-inf')
        self.timer: asyncio.TimerHandle | None = None
        self.began_s: dict[int, float] = {}

    @property
    def is_open(self) -> bool:
        """Return whether a new request may look for an engine at once."""
        return not self.turns and self.timers.now() >= self.lacks_until_s

    async def wait(self, ticket: WaitingTicket) -> Refused | None:
        """Wait for the turn of a request; return why it is refused, if so."""
        if self.is_open or self.timers.now() >= ticket.latest_turn_s:
            return None
        refused = self.queue.enqueue(ticket, self.timers.now())
        if ticket.number not in self.began_s:
            self.began_s[ticket.number] = self.timers.now()
            self.metrics.count('waits', service=self.service)
        if refused is not None:
            return refused
        turn = asyncio.get_running_loop().create_future()
        self.turns[ticket.number] = turn
        self._check_later()
        try:
            return await turn
        finally:
            self.turns.pop(ticket.number, None)

    def lacked(self, ticket: WaitingTicket) -> None:
        """Record that no engine had room for a request, which waits on."""
        self.queue.lacked(ticket)
        if self.searching == ticket.number:
            self.searching = None
        # A smaller request may fit.
        self.lacks_until_s = float('-inf')
        self._grant()
        if self.searching is None:
            self.lacks_until_s = self.timers.now() + ROOM_CHECK_S

    def step_aside(self, ticket: WaitingTicket) -> None:
        """Let others have their turns; the request comes back by itself."""
        self.queue.discard(ticket.number)
        if self.searching == ticket.number:
            self.searching = None
        self._grant()

    def refused(self) -> None:
        """Record that several engines have refused a request."""
        self.lacks_until_s = self.timers.now() + ROOM_CHECK_S

    def end(self, ticket: WaitingTicket, *, placed: bool) -> float:
        """Forget a request that is placed, refused or gone.

        Args:
            ticket: the request.
            placed: whether it has got an engine.

        Returns:
            How long it waited, seconds; 0 if it did not.
        """
        if placed and ticket.number in self.queue.waiting:
            self.queue.placed(ticket, self.timers.now())
            self.lacks_until_s = float('-inf')
        self.queue.discard(ticket.number)
        waited_s: float = 0
        began_s = self.began_s.pop(ticket.number, None)
        if began_s is not None:
            waited_s = self.timers.now() - began_s
            self.metrics.count('waits_ended', service=self.service)
            self.metrics.observe('room_wait', waited_s)
        if self.searching == ticket.number:
            self.searching = None
        self._grant()
        return waited_s

    def room_came(self) -> None:
        """Record that an engine has completed a request of this host."""
        self.lacks_until_s = float('-inf')
        self.queue.room_came()
        self._grant()

    def stop(self) -> None:
        """Refuse all waiting requests whose callers have nothing yet."""
        for refused in self.queue.refuse_all(self.timers.now()):
            self._answer(refused.ticket.number, refused)

    def _grant(self) -> None:
        now = self.timers.now()
        if self.searching is not None or now < self.lacks_until_s:
            return
        ticket = self.queue.next(now)
        if ticket is not None:
            self.searching = ticket.number
            self._answer(ticket.number, None)

    def _check(self) -> None:
        self.timer = None
        now = self.timers.now()
        for refused in self.queue.refuse_late(now):
            self._answer(refused.ticket.number, refused)
        for ticket in self.queue.past_latest_turn(now):
            self.queue.discard(ticket.number)
            self._answer(ticket.number, None)
        self.queue.room_came()
        self._grant()
        if self.turns:
            self._check_later()

    def _check_later(self) -> None:
        if self.timer is None:
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(ROOM_CHECK_S, self._check)

    def _answer(self, number: int, answer: Refused | None) -> None:
        turn = self.turns.get(number)
        if turn is not None and not turn.done():
            turn.set_result(answer)


class WaitingRequests:
    """The requests that wait at this host, by service.

    Attributes:
        rooms: by name of the service.
    """

    def __init__(
        self, timers: TimerService, metrics: Metrics, random: Random
    ) -> None:
        self.timers = timers
        self.metrics = metrics
        self.random = random
        self.rooms: dict[str, ServiceRoom] = {}
        self.numbers = itertools.count()

    def room(self, service: str) -> ServiceRoom:
        """Return the requests that wait for one service."""
        room = self.rooms.get(service)
        if room is None:
            room = ServiceRoom(service, self.timers, self.metrics, self.random)
            self.rooms[service] = room
        return room

    def stop(self) -> None:
        """Refuse all waiting requests; they have not run."""
        for room in self.rooms.values():
            room.stop()
