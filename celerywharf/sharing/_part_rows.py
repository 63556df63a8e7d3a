"""Encoding of prompt parts, for rows of the store and for messages."""

from __future__ import annotations

import json
import math
from dataclasses import asdict

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from celerywharf.platform import Row, StoreClient
from celerywharf.quarantine import MAX_LOSSES, Loss, PartRecord
from celerywharf.wire.quarantine import PartLoss, PartState

PART_TABLE = 'prompt-parts'  # one row per part; the key is its name
MAX_NAME = 100
MAX_GENERATION = 1_000_000_000


class _Loss(BaseModel):
    model_config = ConfigDict(extra='ignore')

    at_s: float = Field(allow_inf_nan=False)
    instance: str = Field(max_length=MAX_NAME)
    availability_zone: str = Field(max_length=MAX_NAME)
    begun: bool


class _Part(BaseModel):
    model_config = ConfigDict(extra='ignore')

    generation: int = Field(ge=0, le=MAX_GENERATION)
    losses: list[_Loss] = Field(max_length=MAX_LOSSES)


def encode_part(record: PartRecord) -> bytes:
    """Return the content of a part's row as JSON."""
    losses = [asdict(loss) for loss in record.losses]
    content = {'generation': record.generation, 'losses': losses}
    return json.dumps(content).encode()


def decode_part(row: Row) -> PartRecord | None:
    """Return the part that a row describes; None if it is unreadable."""
    if row.content is None or len(row.key) > MAX_NAME:
        return None
    try:
        entry = _Part.model_validate_json(row.content)
    except ValidationError:
        return None
    losses = (Loss(**loss.model_dump()) for loss in entry.losses)
    return PartRecord(row.key, entry.generation, tuple(sorted(losses)))


def to_state(record: PartRecord) -> PartState:
    """Convert a record to a message."""
    losses = [PartLoss(**asdict(loss)) for loss in record.losses]
    return PartState(record.part, record.generation, losses)


def from_state(state: PartState) -> PartRecord | None:
    """Convert a message to a record; None if it exceeds a bound."""
    acceptable = (
        len(state.part) <= MAX_NAME
        and 0 <= state.generation <= MAX_GENERATION
        and len(state.losses) <= MAX_LOSSES
        and all(
            math.isfinite(loss.at_s)
            and len(loss.instance) <= MAX_NAME
            and len(loss.availability_zone) <= MAX_NAME
            for loss in state.losses
        )
    )
    if not acceptable:
        return None
    losses = (Loss(**asdict(loss)) for loss in state.losses)
    return PartRecord(state.part, state.generation, tuple(sorted(losses)))


async def read_parts(store: StoreClient) -> list[PartRecord]:
    """Read what all hosts have written.

    Raises:
        PlatformUnavailableError: the store did not answer.
    """
    reading = await store.read(PART_TABLE)
    parts = (decode_part(row) for row in reading.rows)
    return [part for part in parts if part is not None]


async def release_part(store: StoreClient, part: str) -> bool:
    """Forget the losses under a part; return whether there were any.

    Raises:
        PlatformUnavailableError: the store did not answer.
    """
    reading = await store.read_row(PART_TABLE, part)
    row = next(iter(reading.rows), None)
    while row is not None:
        record = decode_part(row) or PartRecord(part)
        written = await store.write(
            PART_TABLE, part, encode_part(record.cleared()), row.version
        )
        if written.version is not None:
            return True
        row = written.current
    return False
