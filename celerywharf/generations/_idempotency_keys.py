"""Idempotency keys: a repeated POST joins the first one's generation."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import xxhash

from celerywharf.exceptions import BadRequestError, CelerywharfError
from celerywharf.utils import rendezvous_order
from celerywharf.wire import Sender
from celerywharf.wire.idempotency import KeyJoin, KeyJoined

if TYPE_CHECKING:
    from celerywharf.generations._generations import Generations

JOIN_TIMEOUT_S = 0.3


@dataclass(slots=True)
class KeyEntry:
    """The generation of a key.

    Attributes:
        joined: the answer to every request with the key.
        used_s: when the key was last used.
    """

    joined: KeyJoined
    used_s: float


class IdempotencyKeyLogic:
    """Maps keys to generations, in memory only.

    If a key is lost with its host, a repeated POST starts a new generation:
    engine work is repeated, but texts of two generations are never mixed.
    """

    def __init__(self, keep_s: float) -> None:
        self.keep_s = keep_s
        self.entries: dict[str, KeyEntry] = {}

    def join(self, message: KeyJoin, now: float) -> KeyJoined:
        """Return the key's generation.

        A new key, or one whose generation is lost, gets the generation of
        the message.
        """
        entry = self.entries.get(message.key)
        if entry is None or entry.joined.generation == message.lost:
            joined = KeyJoined(message.generation, message.request)
            entry = KeyEntry(joined, now)
            self.entries[message.key] = entry
        entry.used_s = now
        return entry.joined

    def tick(self, now: float) -> None:
        """Remove keys that were not used for ``keep_s`` seconds."""
        oldest = now - self.keep_s
        expired = [
            key for key, entry in self.entries.items() if entry.used_s < oldest
        ]
        for key in expired:
            self.entries.pop(key)


class IdempotencyKeys:
    """Resolves keys at the host of the zone that a key hashes to.

    When that host does not answer, this host resolves the key itself.
    """

    def __init__(self, generations: Generations, keep_s: float) -> None:
        self.generations = generations
        self.logic = IdempotencyKeyLogic(keep_s)
        generations.host.links.subscribe(KeyJoin, self._on_join)

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
        joined = await self._join_at_key_host(message)
        if joined.request != request:
            raise BadRequestError(
                'the Idempotency-Key belongs to a different request',
            )
        return joined.generation

    async def _join_at_key_host(self, message: KeyJoin) -> KeyJoined:
        host = self.generations.host
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
        return self.logic.join(message, self.generations.now())

    def _on_join(self, sender: Sender, message: KeyJoin) -> KeyJoined:
        return self.logic.join(message, self.generations.now())
