"""Slots of a stand-in engine, which go to the most urgent request first."""

import asyncio
import heapq
import itertools

URGENCY = 'Request-Urgency'
DEFAULT_URGENCY = 5


class UrgentSlots:
    """Lets at most as many requests run as there are slots.

    Attributes:
        running: requests that have a slot.
        queue: waiting requests, the most urgent first, then by arrival.
    """

    def __init__(self) -> None:
        self.running = 0
        self.queue: list[tuple[int, int, asyncio.Future[None]]] = []
        self.numbers = itertools.count()

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait for a slot."""
        return sum(not entry[2].done() for entry in self.queue)

    async def enter(
        self, urgency: int, slots: int, gone: asyncio.Future[None]
    ) -> bool:
        """Wait for a slot; return whether it came before the caller left.

        Args:
            urgency: 0 is the most urgent.
            slots: how many requests may run; 0 if there is no limit.
            gone: completed when the caller leaves.
        """
        if not slots or self.running < slots:
            self.running += 1
            return True
        turn = asyncio.get_running_loop().create_future()
        heapq.heappush(self.queue, (urgency, next(self.numbers), turn))
        await asyncio.wait({turn, gone}, return_when=asyncio.FIRST_COMPLETED)
        if turn.done():
            return True
        turn.cancel()
        return False

    def leave(self) -> None:
        """Hand the slot of a request that has ended to the next one."""
        while self.queue:
            turn = heapq.heappop(self.queue)[2]
            if not turn.done():
                turn.set_result(None)
                return
        self.running -= 1
