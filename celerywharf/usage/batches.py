"""Batches of use in the object store."""

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
    Line,
    RegionTransfer,
)

if TYPE_CHECKING:
    from celerywharf.hosts import Host

logger = logging.getLogger(__name__)

STORE_PERIOD_S = 10.0
SLOT_S = 3600


@dataclass(frozen=True, slots=True)
class Tick:
    """It is time to store a batch."""


@dataclass(frozen=True, slots=True)
class Stored:
    """A batch is in the object store."""

    number: int


@dataclass(frozen=True, slots=True)
class NotStored:
    """It is not known to be; the same batch is stored again later."""


class UsageKeeper(Part):
    """Owns the ledger of a host."""

    def __init__(self, host: Host) -> None:
        super().__init__()
        self.host = host
        self.ledger = Ledger()
        self.names: dict[int, str] = {}
        self.busy = False

    def start(self) -> None:
        """Subscribe to time and begin."""
        super().start()
        self.host.timers.every(STORE_PERIOD_S, self.post, Tick())

    def handle(self, message: Any) -> None:
        """Add use, or store a batch."""
        match message:
            case EngineUse() | IdleTime() | RegionTransfer():
                self.ledger.add(message)
            case Tick() if not self.busy:
                self._begin()
            case Stored(number):
                self.busy = False
                self.ledger.stored(number)
                self.names.pop(number, None)
            case NotStored():
                self.busy = False

    async def stop(self) -> None:
        """Store what is left, then stop."""
        await super().stop()
        await self.flush()

    async def flush(self) -> None:
        """Store what is left."""
        while self.mailbox:
            self.handle(self.mailbox.popleft())
        while batch := self.ledger.cut():
            if not await self._store(batch):
                return
            self.ledger.stored(batch.number)

    def _begin(self) -> None:
        batch = self.ledger.cut()
        if batch is not None:
            self.busy = True
            self.spawn(self._store_and_post(batch))

    async def _store_and_post(self, batch: Batch) -> None:
        stored = await self._store(batch)
        self.post(Stored(batch.number) if stored else NotStored())

    async def _store(self, batch: Batch) -> bool:
        name = self.names.setdefault(batch.number, self._name(batch))
        content = pack(batch)
        try:
            await self.host.platform.put_object(
                name,
                content,
                only_if_absent=True,
            )
        except CelerywharfError as error:
            logger.info('use not stored: %s', error)
            return False
        return True

    def _name(self, batch: Batch) -> str:
        identity = self.host.identity
        slot = int(self.host.timers.wall()) // SLOT_S * SLOT_S
        run = f'{identity.name}.{identity.incarnation}.{batch.number:08d}'
        return f'usage/{slot}/{run}'


def pack(batch: Batch) -> bytes:
    """Return a batch as a JSON document."""
    return json.dumps(
        [dataclasses.asdict(line) for line in batch.lines]
    ).encode()


def unpack(content: bytes) -> Iterator[Line]:
    """Yield the lines of a stored batch."""
    for fields in json.loads(content):
        yield Line(**fields)
