"""Large entries that name no usable backend server."""

from __future__ import annotations

from dataclasses import replace

from celerywharf.exceptions import ProtocolError
from celerywharf.platform._documents import decode_backend_server
from celerywharf.platform._store import Row
from celerywharf.units import KIBIBYTE

# Usable entries have a few hundred bytes; smaller ones cost little to keep.
MIN_BYTES = KIBIBYTE


def without_unusable_content(row: Row) -> Row:
    """Return an entry of a backend server without content that is of no use.

    Without its content the entry counts as unreadable, as it did with it.
    """
    if row.content is None or len(row.content) < MIN_BYTES:
        return row
    try:
        decode_backend_server(row.key, row.content)
    except ProtocolError as error:
        return replace(row, content=None, fault=error.message)
    return row
