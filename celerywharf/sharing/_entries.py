"""Encoding of the row that names a zone's reader."""

from __future__ import annotations

import json
from typing import Annotated

from pydantic import BaseModel, BeforeValidator, ConfigDict, ValidationError

from celerywharf.platform import Row
from celerywharf.sharing._election import Reader
from celerywharf.structures import Address

READER_TABLE = 'readers'  # one row per zone; the key is the zone's name


def _parse_address(value: object) -> object:
    return Address.parse(value) if isinstance(value, str) else value


class _ReaderEntry(BaseModel):
    model_config = ConfigDict(arbitrary_types_allowed=True, extra='forbid')

    host: str
    address: Annotated[Address, BeforeValidator(_parse_address)]
    key: str
    settled_era: int = 0


def encode_reader(host: str, reader: Reader) -> bytes:
    """Return the content of the row as JSON."""
    entry = {
        'host': host,
        'address': str(reader.address),
        'key': reader.key.hex(),
        'settled_era': reader.settled_era,
    }
    return json.dumps(entry).encode()


def decode_reader(row: Row | None) -> Reader | None:
    """Return the reader named by a row; None if missing or unreadable."""
    if row is None or row.content is None:
        return None
    try:
        entry = _ReaderEntry.model_validate_json(row.content)
        key = bytes.fromhex(entry.key)
    except (ValidationError, ValueError):
        return None
    return Reader(entry.address, key, row.version, entry.settled_era)
