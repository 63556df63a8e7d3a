"""Stores the usage of a host in the object store, in batches."""

from __future__ import annotations

import dataclasses
import json
import logging
from collections.abc import Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from celerywharf.exceptions import CelerywharfError
from celerywharf.tasks import Part
from celerywharf.usage.ledgers import (
    Batch,
    EngineUse,
    IdleTime,
    Ledger,
    RegionTransfer,
    UsageLine,
)

if TYPE_CHECKING:
    from celerywharf.hosts import Host

logger = logging.getLogger(__name__)

STORE_PERIOD_S = 10.0
# Length of the period whose batches share a name prefix.
SLOT_S = 3600


@dataclass(frozen=True, slots=True)
class Tick:
    """Posted every ``STORE_PERIOD_S``."""


@dataclass(frozen=True, slots=True)
class Stored:
    """The batch with this number has been stored."""

    number: int


@dataclass(frozen=True, slots=True)
class NotStored:
    """A batch is not known to be stored; it is sent again at a later tick."""


class UsageKeeper(Part):
    """Owns the ledger of a host and stores its batches periodically.

    Attributes:
        ledger: the usage that is not yet stored.
        object_names: object name by batch number.  A batch that is sent
            again must have the same name, so that it is stored only once.
        storing: whether a batch is being stored.
    """

    def __init__(self, host: Host) -> None:
        super().__init__()
        self.host = host
        self.ledger = Ledger()
        self.object_names: dict[int, str] = {}
        self.storing = False

    def start(self) -> None:
        """Start storing batches periodically."""
        super().start()
        self.host.timers.every(STORE_PERIOD_S, self.post, Tick())

    def handle(self, message: Any) -> None:
        """Add usage, store a batch at a tick, or apply its outcome."""
        match message:
            case EngineUse() | IdleTime() | RegionTransfer():
                self.ledger.add(message)
            case Tick() if not self.storing:
                self._start_storing()
            case Stored(number):
                self.storing = False
                self.ledger.discard(number)
                self.object_names.pop(number, None)
            case NotStored():
                self.storing = False

    async def stop(self) -> None:
        """Stop, then store the remaining usage."""
        await super().stop()
        await self.flush()

    async def flush(self) -> None:
        """Store the remaining usage; give up when a batch is not stored."""
        while self.mailbox:
            self.handle(self.mailbox.popleft())
        while batch := self.ledger.next_batch():
            if not await self._store(batch):
                return
            self.ledger.discard(batch.number)

    def _start_storing(self) -> None:
        batch = self.ledger.next_batch()
        if batch is not None:
            self.storing = True
            self.spawn(self._store_and_post(batch))

    async def _store_and_post(self, batch: Batch) -> None:
        stored = await self._store(batch)
        self.post(Stored(batch.number) if stored else NotStored())

    async def _store(self, batch: Batch) -> bool:
        name = self.object_names.setdefault(
            batch.number, self._object_name(batch)
        )
        content = pack(batch)
        try:
            await self.host.platform.put_object(
                name,
                content,
                only_if_absent=True,
            )
        except CelerywharfError as error:
            logger.info('usage batch not stored: %s', error)
            return False
        return True

    def _object_name(self, batch: Batch) -> str:
        identity = self.host.identity
        slot = int(self.host.timers.wall()) // SLOT_S * SLOT_S
        run_name = f'{identity.name}.{identity.incarnation}.{batch.number:08d}'
        return f'usage/{slot}/{run_name}'


def pack(batch: Batch) -> bytes:
    """Return a batch as a JSON document."""
    return json.dumps(
        [dataclasses.asdict(line) for line in batch.lines]
    ).encode()


def unpack(content: bytes) -> Iterator[UsageLine]:
    """Yield the lines of a stored batch."""
    for fields in json.loads(content):
        yield UsageLine(**fields)
