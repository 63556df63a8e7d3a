"""A head that a faulty server has spoiled reaches the caller."""

from __future__ import annotations

import asyncio
import re
from pathlib import Path

from rig_2.callers import Call, Caller
from rig_2.platforms import Platform, finish
from rig_2.servers import BackendServer, Pace

REQUESTS = 400
WORK_S = 0.005
DEADLINE_MS = 4000
SPOILED_EACH = 50  # x 0.02
TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")


class SpoilingServer(BackendServer):
    """Spoils one byte of some of its answers.

    Attributes:
        spoiled: number of these answers.
        has_trouble: whether it spoils any.
    """

    def __init__(self, name: str, *, has_trouble: bool) -> None:
        super().__init__(name, 'indexdesk', Pace(work_s=WORK_S))
        self.has_trouble = has_trouble
        self.spoiled = 0

    def answer(self, headers: dict[str, str]) -> bytes:
        """Return an answer; in one of fifty a byte of the head is wrong."""
        text = super().answer({**headers, 'Cache-Control': 'no-store'})
        if not self.has_trouble or len(self.runs) % SPOILED_EACH:
            return text
        self.spoiled += 1
        return text.replace(b'Cache-Control', b'Cache Control')


class StrictCaller(Caller):
    """Checks the head of each answer.

    Attributes:
        malformed: lines of heads that are none of HTTP.
    """

    def __init__(self, address: str) -> None:
        super().__init__(address)
        self.malformed: list[str] = []

    def check(self, call: Call) -> None:
        """Keep the malformed lines of an answer."""
        self.malformed += [
            f'{call.status} {name}: {text}'
            for name, text in call.headers.items()
            if not TOKEN.fullmatch(name)
        ]


async def run() -> None:
    """Send purchases and judge their answers."""
    platform = Platform(Path(__file__).parent)
    servers = [
        SpoilingServer('i-desk-1', has_trouble=platform.has_trouble),
        SpoilingServer('i-desk-2', has_trouble=False),
    ]
    await platform.start(servers)
    front = platform.add_front('front-glw-a-1')
    await front.wait_until_ready()
    caller = StrictCaller(front.listen)
    failures = 0
    for _ in range(REQUESTS):
        call = await caller.send(Call('/buy/a', deadline_ms=DEADLINE_MS))
        caller.check(call)
        failures += not call.is_whole
    platform.write(
        f'{REQUESTS} purchases, {servers[0].spoiled} answers were spoiled, '
        f'{failures} callers got no whole answer'
    )
    for line in caller.malformed:
        platform.write(f'a caller received: {line}')
    broken = f'MIXED: {len(caller.malformed)} answers with a malformed head'
    finish(platform, broken if caller.malformed else '')


asyncio.run(run())
