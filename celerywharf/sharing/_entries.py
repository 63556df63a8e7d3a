"""The row that names the reader of a zone."""

from __future__ import annotations

import json
from typing import Annotated

from pydantic import BaseModel, BeforeValidator, ConfigDict, ValidationError

from celerywharf.platform import Row
from celerywharf.sharing._choice import Reader
from celerywharf.structures import Address

READER_TABLE = 'readers'  # one row a zone, its key is the zone's name


def _address(value: object) -> object:
    return Address.parse(value) if isinstance(value, str) else value


class _Entry(BaseModel):
    model_config = ConfigDict(arbitrary_types_allowed=True, extra='forbid')

    host: str
    address: Annotated[Address, BeforeValidator(_address)]
    key: str


def encode_reader(host: str, reader: Reader) -> bytes:
    """Return the content of the row."""
    entry = {
        'host': host,
        'address': str(reader.address),
        'key': reader.key.hex(),
    }
    return json.dumps(entry).encode()


def decode_reader(row: Row | None) -> Reader | None:
    """Return whom a row names; None if there is none or it is unreadable."""
    if row is None or row.content is None:
        return None
    try:
        entry = _Entry.model_validate_json(row.content)
        key = bytes.fromhex(entry.key)
    except (ValidationError, ValueError):
        return None
    return Reader(entry.address, key, row.version)
