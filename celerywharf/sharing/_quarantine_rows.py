"""Encoding of loss records, for rows of the store and for messages."""

from __future__ import annotations

import json
import math
from dataclasses import asdict

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from celerywharf.platform import Row, StoreClient
from celerywharf.quarantine import MAX_LOSSES, Loss, LossRecord
from celerywharf.units import MAX_NAME_CHARACTERS
from celerywharf.wire.quarantine import PartLoss, PartState

# One row per trait, which is the key.  Running fleets know this name.
LOSS_TABLE = 'prompt-parts'
MAX_GENERATION = 1_000_000_000


class _Loss(BaseModel):
    model_config = ConfigDict(extra='ignore')

    at_s: float = Field(allow_inf_nan=False)
    instance: str = Field(max_length=MAX_NAME_CHARACTERS)
    availability_zone: str = Field(max_length=MAX_NAME_CHARACTERS)
    begun: bool


class _Record(BaseModel):
    model_config = ConfigDict(extra='ignore')

    generation: int = Field(ge=0, le=MAX_GENERATION)
    losses: list[_Loss] = Field(max_length=MAX_LOSSES)


def encode_record(record: LossRecord) -> bytes:
    """Return the content of a trait's row as JSON."""
    losses = [asdict(loss) for loss in record.losses]
    content = {'generation': record.generation, 'losses': losses}
    return json.dumps(content).encode()


def decode_record(row: Row) -> LossRecord | None:
    """Return the record in a row; None if it is unreadable."""
    if row.content is None or len(row.key) > MAX_NAME_CHARACTERS:
        return None
    try:
        entry = _Record.model_validate_json(row.content)
    except ValidationError:
        return None
    losses = (Loss(**loss.model_dump()) for loss in entry.losses)
    return LossRecord(row.key, entry.generation, tuple(sorted(losses)))


def to_state(record: LossRecord) -> PartState:
    """Convert a record to a message."""
    losses = [PartLoss(**asdict(loss)) for loss in record.losses]
    return PartState(record.trait, record.generation, losses)


def from_state(state: PartState) -> LossRecord | None:
    """Convert a message to a record; None if it exceeds a bound."""
    acceptable = (
        len(state.part) <= MAX_NAME_CHARACTERS
        and 0 <= state.generation <= MAX_GENERATION
        and len(state.losses) <= MAX_LOSSES
        and all(
            math.isfinite(loss.at_s)
            and len(loss.instance) <= MAX_NAME_CHARACTERS
            and len(loss.availability_zone) <= MAX_NAME_CHARACTERS
            for loss in state.losses
        )
    )
    if not acceptable:
        return None
    losses = (Loss(**asdict(loss)) for loss in state.losses)
    return LossRecord(state.part, state.generation, tuple(sorted(losses)))


async def read_records(store: StoreClient) -> list[LossRecord]:
    """Read what all hosts have written.

    Raises:
        PlatformUnavailableError: the store did not answer.
    """
    reading = await store.read(LOSS_TABLE)
    records = (decode_record(row) for row in reading.rows)
    return [record for record in records if record is not None]


async def release_trait(store: StoreClient, trait: str) -> bool:
    """Forget the losses of a trait; return whether there were any.

    Raises:
        PlatformUnavailableError: the store did not answer.
    """
    reading = await store.read_row(LOSS_TABLE, trait)
    row = next(iter(reading.rows), None)
    while row is not None:
        record = decode_record(row) or LossRecord(trait)
        written = await store.write(
            LOSS_TABLE, trait, encode_record(record.cleared()), row.version
        )
        if written.version is not None:
            return True
        row = written.current
    return False
