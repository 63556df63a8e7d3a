"""The part that owns, replicates and hands over generations."""

from __future__ import annotations

import asyncio
import secrets
from typing import TYPE_CHECKING, Any

from celerywharf.adapters.engines import EngineClient
from celerywharf.exceptions import NotFoundError, OverloadedError
from celerywharf.generations._channels import Channel
from celerywharf.generations._entrance import Entrance
from celerywharf.generations._follows import Follows
from celerywharf.generations._keys import Keys
from celerywharf.generations._logic import Bounds, GenerationLogic
from celerywharf.generations._paces import Paces
from celerywharf.generations._readers import Reader
from celerywharf.generations._replica_service import Replicas
from celerywharf.generations._running import Running
from celerywharf.generations.journals import Journal, Position, next_epoch
from celerywharf.generations.messages import Begin, Message, TakenOver, Tick
from celerywharf.membership import Peer
from celerywharf.tables import Policy
from celerywharf.tasks import Part
from celerywharf.wire.journals import JournalLine, JournalSpec

if TYPE_CHECKING:
    from celerywharf.hosts import Host

TICK_S = 0.05
UPKEEP_TICKS = 20
RANDOM_BYTES = 9
RESERVED_WAIT_S = 1.0
DRAIN_POLL_S = 0.1
OVERLOADED_RETRY_AFTER_S = 1.0
DEFAULT_DEADLINE_S = 30.0


class Generations(Part):
    """Owner of some generations and replica of others.

    Attributes:
        now: monotonic clock, seconds.
        buffer_bytes: how far the best caller may lag.
        running: generations owned here by id, finished ones for a while.
        replicas: journals held for other owners.
        entrance: finds owners for callers.
        engines: the engines' protocol.
        paces: histories of the engines used here.
    """

    def __init__(self, host: Host) -> None:
        super().__init__()
        self.host = host
        self.now = host.timers.now
        self.buffer_bytes = host.settings.limits.caller_buffer_bytes
        self.settings = host.settings.generations
        self.engines = EngineClient(host.transport)
        self.paces = Paces(
            self.settings.patient_silence_s,
            self.settings.eager_silence_s,
        )
        self.replicas = Replicas(self)
        self.running: dict[str, Running] = {}
        self.reserved: dict[str, asyncio.Future] = {}
        self.channels: dict[tuple[str, int], Channel] = {}
        self.follows = Follows(self)
        self.entrance = Entrance(self)
        self.keys = Keys(self, self.settings.keep_s)
        self.ticks = 0

    def start(self) -> None:
        """Begin to let time pass."""
        super().start()
        self.host.timers.every(TICK_S, self.post, Tick())

    async def drain(self) -> None:
        """Wait until no caller reads a generation through this host."""
        while self.busy():  # noqa: ASYNC110
            await asyncio.sleep(DRAIN_POLL_S)

    def busy(self) -> bool:
        """Say whether callers read through this host."""
        owned = any(one.readers for one in self.running.values())
        return owned or bool(self.follows.by_id)

    def record(self, name: str, journal: Journal, **details: Any) -> None:
        """Put an event of a generation on the time line."""
        self.host.recorder.record(
            name,
            generation=journal.spec.generation,
            epoch=journal.epoch,
            length=len(journal.tokens),
            **details,
        )

    def reserve(self) -> str:
        """Return a new id; hosts that ask for it wait for ``begin``."""
        random = secrets.token_hex(RANDOM_BYTES)
        generation = f'g-{self.host.identity.name}-{random}'
        self.reserved[generation] = asyncio.get_running_loop().create_future()
        return generation

    def release(self, generation: str) -> None:
        """Let those go on who wait for a reserved id."""
        waiting = self.reserved.pop(generation, None)
        if waiting is not None and not waiting.done():
            waiting.set_result(None)

    def begin(self, spec: JournalSpec, reader: Reader) -> None:
        """Start a generation and deliver it to a caller.

        Raises:
            OverloadedError: this host owns all it may.
        """
        if len(self.running) >= self.host.settings.limits.generations:
            raise OverloadedError(
                'this host owns all generations it may',
                retry_after_s=OVERLOADED_RETRY_AFTER_S,
            )
        identity = self.host.identity
        epoch = next_epoch(0, identity.name, identity.incarnation)
        journal = Journal(spec, [JournalLine(epoch, 0)])
        self.record('generation_accepted', journal, service=spec.service)
        running = self.own(journal, Begin())
        running.attach(reader, Position(spec.generation))
        self.release(spec.generation)

    async def owned(self, generation: str) -> Running:
        """Return a generation owned here, also one about to begin.

        Raises:
            NotFoundError: this host does not own it.
        """
        waiting = self.reserved.get(generation)
        if waiting is not None:
            await asyncio.wait((waiting,), timeout=RESERVED_WAIT_S)
        running = self.running.get(generation)
        if running is None:
            raise NotFoundError(f'{generation} is not owned here')
        return running

    def channel(self, peer: Peer) -> Channel:
        """Return the way to a replica."""
        key = (peer.name, peer.incarnation)
        channel = self.channels.get(key)
        if channel is None:
            channel = Channel(self, peer)
            self.channels[key] = channel
        return channel

    def forget(self, running: Running) -> None:
        """Drop a generation that ended here without success."""
        if self.running.get(running.generation) is running:
            self.running.pop(running.generation)

    def handle(self, message: Message) -> None:
        """Let time pass."""
        now = self.now()
        for running in tuple(self.running.values()):
            running.tick(now)
        self.ticks += 1
        if self.ticks % UPKEEP_TICKS == 0:
            self._keep_up(now)

    def _keep_up(self, now: float) -> None:
        self.replicas.logic.tick(now)
        self.keys.logic.tick(now)
        oldest = now - self.settings.keep_s
        expired = [
            running
            for running in self.running.values()
            if not running.readers and _last_use(running, now) < oldest
        ]
        for running in expired:
            self.forget(running)

    def own(self, journal: Journal, message: Message) -> Running:
        """Begin or go on with a generation as its owner."""
        service = self.host.catalogue.services.get(journal.spec.service)
        bounds = Bounds(
            self.settings.replicate_bound_s,
            self.settings.keep_s,
            service.deadline_s if service else DEFAULT_DEADLINE_S,
        )
        logic = GenerationLogic(
            journal,
            service.policy if service else Policy.patient,
            self.paces,
            bounds,
            self.now(),
        )
        running = Running(self, journal, logic)
        self.running[running.generation] = running
        if isinstance(message, TakenOver) and message.replica:
            peer = self.host.membership.peer(message.replica)
            running.channel = self.channel(peer) if peer else None
        running.hear(message)
        return running


def _last_use(running: Running, now: float) -> float:
    moments = (running.ended_s, running.logic.gone_s)
    return max((one for one in moments if one is not None), default=now)
