"""A front that froze as it started accepts a revoked key for too long."""

from __future__ import annotations

import asyncio
import signal
import time
from dataclasses import dataclass
from pathlib import Path

from rig_2.callers import KEY, Call, Caller
from rig_2.platforms import Front, Platform, configuration, finish
from rig_2.servers import BackendServer, Pace
from rig_2.stores import Door

OTHER_KEY = 'another-key'
FROZEN_S = 0.85  # `node_freeze`, for_s of at most 4.0
CALM_S = 5.0
SETTLED_S = 0.1
OUTAGE_S = 9.0  # `platform_down`, how = "nodes reset revoke", for_s = 9.0
PERIOD_S = 0.05
REVOKE_S = 5.0
DEADLINE_MS = 4000


@dataclass(slots=True)
class Purchase:
    """A purchase with the revoked key.

    Attributes:
        front: name of the front.
        sent_s: when it was sent, seconds after the acknowledgement.
        call: the request.
    """

    front: str
    sent_s: float
    call: Call


class Case:
    """Two fronts of a zone, the second of which freezes as it starts.

    Attributes:
        doors: the ways of the fronts to the store.
        purchases: all that were sent after the key was taken away.
    """

    def __init__(self) -> None:
        self.platform = Platform(Path(__file__).parent)
        self.desk = BackendServer('i-desk', 'indexdesk', Pace())
        self.doors: list[Door] = []
        self.purchases: list[Purchase] = []

    async def run(self) -> None:
        """Run the case and end with its exit code."""
        platform = self.platform
        await platform.start([self.desk])
        platform.store.put('op', 'config', configuration(2, (KEY, OTHER_KEY)))
        fronts = [await self.add_front('front-glw-a-1')]
        fronts.append(await self.add_front('front-glw-a-2', freezes=True))
        await asyncio.sleep(CALM_S)
        # Both fronts have an answer of the store that is just as old.
        platform.store.put('op', 'config', configuration(3, (KEY, OTHER_KEY)))
        await asyncio.sleep(SETTLED_S)
        if platform.has_trouble:
            platform.write('the store turns both fronts away')
            for door in self.doors:
                door.refuse()
        platform.store.put('op', 'config', configuration(4, (OTHER_KEY,)))
        platform.write('the key is taken away; the store has acknowledged it')
        await asyncio.gather(*(self.buy(front) for front in fronts))
        finish(platform, self.judge())

    async def add_front(self, name: str, *, freezes: bool = False) -> Front:
        """Start a front and wait until it is ready.

        Args:
            name: name of the front.
            freezes: whether it freezes as the answer to its first call of the
                store is on its way.
        """
        door = Door(self.platform.store)
        self.doors.append(door)
        await door.server.start()
        front = self.platform.add_front(name, door.server.address)
        if freezes and self.platform.has_trouble:
            door.on_first_call = lambda: self.freeze(front)
        await front.wait_until_ready()
        self.platform.write(f'{name} is ready')
        return front

    def freeze(self, front: Front) -> None:
        """Stop a front, and let it go on later."""
        self.platform.write(f'{front.name} freezes')
        front.signal(signal.SIGSTOP)
        loop = asyncio.get_running_loop()
        loop.call_later(FROZEN_S, front.signal, signal.SIGCONT)

    async def buy(self, front: Front) -> None:
        """Send purchases with the revoked key for the time of the outage."""
        acknowledged_s = time.monotonic()
        sent_s: float = 0
        while sent_s < OUTAGE_S:
            caller = Caller(front.listen)
            sent_s = time.monotonic() - acknowledged_s
            call = Call('/buy/a', deadline_ms=DEADLINE_MS)
            self.purchases.append(Purchase(front.name, sent_s, call))
            await caller.send(call)
            caller.close()
            await asyncio.sleep(PERIOD_S)

    def judge(self) -> str:
        """Return how the rule CONFIG was broken; empty if it held."""
        late = 0
        for purchase in self.purchases:
            ran = purchase.call.attempt in self.desk.runs
            late += ran and purchase.sent_s > REVOKE_S
            self.platform.write(
                f'{purchase.front}: sent {purchase.sent_s:.2f} s after the '
                f'acknowledgement, {purchase.call.status}'
                f'{", has run" if ran else ""}'
            )
        if late:
            return f'CONFIG: {late} requests with a revoked key ran too late'
        return ''


asyncio.run(Case().run())
