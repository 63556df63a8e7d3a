"""Idempotency keys: a repeated POST joins the generation of the first."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import xxhash

from celerywharf.exceptions import BadRequestError, CelerywharfError
from celerywharf.utils import rendezvous_order
from celerywharf.wire import Sender
from celerywharf.wire.idempotency import KeyJoin, KeyJoined

if TYPE_CHECKING:
    from celerywharf.generations._part import Generations

JOIN_TIMEOUT_S = 0.3


@dataclass(slots=True)
class Known:
    """The generation of a key and when it was last asked for."""

    joined: KeyJoined
    used_s: float


class KeyLogic:
    """Remembers keys for a while, in memory only.

    A key that is forgotten with its host costs engine work a second time;
    it cannot mix texts, since the repeated POST gets a whole new generation.
    """

    def __init__(self, keep_s: float) -> None:
        self.keep_s = keep_s
        self.known: dict[str, Known] = {}

    def join(self, message: KeyJoin, now: float) -> KeyJoined:
        """Return the key's generation, the asker's own if it is new."""
        known = self.known.get(message.key)
        if known is None or known.joined.generation == message.lost:
            joined = KeyJoined(message.generation, message.request)
            known = Known(joined, now)
            self.known[message.key] = known
        known.used_s = now
        return known.joined

    def tick(self, now: float) -> None:
        """Forget keys that were not used for long."""
        oldest = now - self.keep_s
        expired = [
            key for key, known in self.known.items() if known.used_s < oldest
        ]
        for key in expired:
            self.known.pop(key)


class Keys:
    """Asks the host of the zone that a key hashes to."""

    def __init__(self, part: Generations, keep_s: float) -> None:
        self.part = part
        self.logic = KeyLogic(keep_s)
        part.host.links.subscribe(KeyJoin, self._on_join)

    async def join(
        self,
        client_account: str,
        key: str,
        request: str,
        generation: str,
        lost: str = '',
    ) -> str:
        """Return the generation that a POST with this key belongs to.

        Raises:
            BadRequestError: the key was used for another request.
        """
        digest = xxhash.xxh128_hexdigest(f'{client_account}\0{key}'.encode())
        message = KeyJoin(digest, request, generation, lost)
        joined = await self._ask(message)
        if joined.request != request:
            raise BadRequestError(
                'the Idempotency-Key belongs to a different request',
            )
        return joined.generation

    async def _ask(self, message: KeyJoin) -> KeyJoined:
        host = self.part.host
        zone = host.identity.availability_zone
        peers = {peer.name: peer for peer in host.membership.live(zone)}
        for name in rendezvous_order(message.key, list(peers))[:1]:
            if name == host.identity.name:
                break
            try:
                return await host.links.request(
                    peers[name].inner,
                    message,
                    JOIN_TIMEOUT_S,
                )
            except CelerywharfError:
                break
        return self.logic.join(message, self.part.now())

    def _on_join(self, sender: Sender, message: KeyJoin) -> KeyJoined:
        return self.logic.join(message, self.part.now())
