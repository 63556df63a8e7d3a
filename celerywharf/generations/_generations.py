"""Owns, replicates and takes over generations."""

from __future__ import annotations

import asyncio
import secrets
from typing import TYPE_CHECKING, Any

from celerywharf.adapters.engines import EngineClient
from celerywharf.exceptions import NotFoundError, OverloadedError
from celerywharf.generations._attachments import Attachments
from celerywharf.generations._channels import ReplicaChannel
from celerywharf.generations._engine_latencies import EngineLatencies
from celerywharf.generations._followers import Followers
from celerywharf.generations._idempotency_keys import IdempotencyKeys
from celerywharf.generations._logic import Bounds, GenerationLogic
from celerywharf.generations._owned_generation import OwnedGeneration
from celerywharf.generations._readers import Reader
from celerywharf.generations._replica_service import Replicas
from celerywharf.generations.journals import Journal, Position, next_epoch
from celerywharf.generations.messages import Begin, Message, TakenOver, Tick
from celerywharf.membership import Peer
from celerywharf.tables import Policy
from celerywharf.tasks import Part
from celerywharf.wire.journals import JournalLine, JournalSpec

if TYPE_CHECKING:
    from celerywharf.hosts import Host

TICK_S = 0.05
TICKS_PER_CLEANUP = 20
ID_RANDOM_BYTES = 9
RESERVED_WAIT_S = 1.0
DRAIN_POLL_S = 0.1
OVERLOADED_RETRY_AFTER_S = 1.0
DEFAULT_DEADLINE_S = 30.0


class Generations(Part):
    """Generations of this host, as owner or as replica.

    Attributes:
        now: monotonic clock, in seconds.
        buffer_bytes: how far the fastest caller may lag before engines are
            paused.
        owned: generations owned here, by id; finished ones are kept for
            ``keep_s`` seconds.
        reserved: ids whose generation is about to begin.
        replicas: journals held for other owners.
        attachments: attaches callers to owners.
        engines: client of the engines' protocol.
        latencies: latencies of the engines used here.
    """

    def __init__(self, host: Host) -> None:
        super().__init__()
        self.host = host
        self.now = host.timers.now
        self.buffer_bytes = host.settings.limits.caller_buffer_bytes
        self.settings = host.settings.generations
        self.engines = EngineClient(host.transport)
        self.latencies = EngineLatencies(
            self.settings.patient_silence_s,
            self.settings.eager_silence_s,
        )
        self.replicas = Replicas(self)
        self.owned: dict[str, OwnedGeneration] = {}
        self.reserved: dict[str, asyncio.Future] = {}
        self.channels: dict[tuple[str, int], ReplicaChannel] = {}
        self.followers = Followers(self)
        self.attachments = Attachments(self)
        self.idempotency_keys = IdempotencyKeys(self, self.settings.keep_s)
        self.ticks = 0

    def start(self) -> None:
        """Start the periodic ticks."""
        super().start()
        self.host.timers.every(TICK_S, self.post, Tick())

    async def drain(self) -> None:
        """Wait until no caller reads a generation through this host."""
        while self.busy():  # noqa: ASYNC110
            await asyncio.sleep(DRAIN_POLL_S)

    def busy(self) -> bool:
        """Return whether any caller reads through this host."""
        owned = any(entry.readers for entry in self.owned.values())
        return owned or bool(self.followers.by_id)

    def record(self, name: str, journal: Journal, **details: Any) -> None:
        """Record an event of a generation in the timeline."""
        self.host.recorder.record(
            name,
            generation=journal.spec.generation,
            epoch=journal.epoch,
            length=len(journal.tokens),
            **details,
        )

    def reserve(self) -> str:
        """Return a new generation id.

        Requests for this id wait until ``begin`` or ``release`` is called,
        at most ``RESERVED_WAIT_S`` seconds.
        """
        random = secrets.token_hex(ID_RANDOM_BYTES)
        generation = f'g-{self.host.identity.name}-{random}'
        self.reserved[generation] = asyncio.get_running_loop().create_future()
        return generation

    def release(self, generation: str) -> None:
        """End the reservation of an id and wake up those who wait for it."""
        waiting = self.reserved.pop(generation, None)
        if waiting is not None and not waiting.done():
            waiting.set_result(None)

    def begin(self, spec: JournalSpec, reader: Reader) -> None:
        """Start a generation and deliver it to a reader.

        Raises:
            OverloadedError: this host is at its limit of generations.
        """
        if len(self.owned) >= self.host.settings.limits.generations:
            raise OverloadedError(
                'this host is at its limit of generations',
                retry_after_s=OVERLOADED_RETRY_AFTER_S,
            )
        identity = self.host.identity
        epoch = next_epoch(0, identity.name, identity.incarnation)
        journal = Journal(spec, [JournalLine(epoch, 0)])
        self.record('generation_accepted', journal, service=spec.service)
        owned = self.become_owner(journal, Begin())
        owned.attach(reader, Position(spec.generation))
        self.release(spec.generation)

    async def wait_owned(self, generation: str) -> OwnedGeneration:
        """Return a generation owned here, waiting for one about to begin.

        Raises:
            NotFoundError: this host does not own it.
        """
        waiting = self.reserved.get(generation)
        if waiting is not None:
            await asyncio.wait((waiting,), timeout=RESERVED_WAIT_S)
        owned = self.owned.get(generation)
        if owned is None:
            raise NotFoundError(f'{generation} is not owned here')
        return owned

    def channel(self, peer: Peer) -> ReplicaChannel:
        """Return the channel to a replica, a new one if there is none."""
        key = (peer.name, peer.incarnation)
        channel = self.channels.get(key)
        if channel is None:
            channel = ReplicaChannel(self, peer)
            self.channels[key] = channel
        return channel

    def forget(self, owned: OwnedGeneration) -> None:
        """Remove a generation from those owned here."""
        if self.owned.get(owned.generation) is owned:
            self.owned.pop(owned.generation)

    def handle(self, message: Message) -> None:
        """Handle a tick: advance all owned generations and clean up."""
        now = self.now()
        for owned in tuple(self.owned.values()):
            owned.tick(now)
        self.ticks += 1
        if self.ticks % TICKS_PER_CLEANUP == 0:
            self._clean_up(now)

    def _clean_up(self, now: float) -> None:
        self.replicas.logic.tick(now)
        self.idempotency_keys.logic.tick(now)
        oldest = now - self.settings.keep_s
        expired = [
            owned
            for owned in self.owned.values()
            if not owned.readers and _last_used_s(owned, now) < oldest
        ]
        for owned in expired:
            self.forget(owned)

    def become_owner(
        self, journal: Journal, message: Message
    ) -> OwnedGeneration:
        """Start or continue a generation as its owner."""
        service = self.host.catalogue.services.get(journal.spec.service)
        bounds = Bounds(
            self.settings.replicate_bound_s,
            self.settings.keep_s,
            service.deadline_s if service else DEFAULT_DEADLINE_S,
        )
        logic = GenerationLogic(
            journal,
            service.policy if service else Policy.patient,
            self.latencies,
            bounds,
            self.now(),
        )
        owned = OwnedGeneration(self, journal, logic)
        self.owned[owned.generation] = owned
        if isinstance(message, TakenOver) and message.replica:
            peer = self.host.membership.peer(message.replica)
            owned.channel = self.channel(peer) if peer else None
        owned.process(message)
        return owned


def _last_used_s(owned: OwnedGeneration, now: float) -> float:
    moments = (owned.ended_s, owned.logic.no_callers_since_s)
    return max(
        (moment for moment in moments if moment is not None), default=now
    )
