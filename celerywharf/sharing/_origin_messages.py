"""Converts what fronts tell each other of where streams began."""

from __future__ import annotations

import math

from celerywharf.origins import (
    MAX_LIFETIME_S,
    Evidence,
    OriginKnowledge,
    StreamOrigin,
)
from celerywharf.units import MAX_NAME_CHARACTERS
from celerywharf.wire.origins import OriginAnswer, OriginEntry


def to_entry(origin: StreamOrigin, now_s: float) -> OriginEntry:
    """Convert the origin of a stream to its message.

    Args:
        origin: the origin.
        now_s: time on the clock of ``origin.expires_s``, seconds.
    """
    return OriginEntry(
        origin.request_id,
        origin.service,
        origin.software_version,
        max(origin.expires_s - now_s, 0),
    )


def from_entry(entry: OriginEntry, now_s: float) -> StreamOrigin | None:
    """Convert a message; None if it exceeds a bound.

    Args:
        entry: the message.
        now_s: time on the clock of ``StreamOrigin.expires_s``, seconds.
    """
    names = (entry.request_id, entry.service, entry.software_version)
    if not math.isfinite(entry.lifetime_s) or any(
        len(name) > MAX_NAME_CHARACTERS for name in names
    ):
        return None
    lifetime_s = min(entry.lifetime_s, MAX_LIFETIME_S)
    return StreamOrigin(*names, now_s + lifetime_s)


def to_knowledge(reply: OriginAnswer, now_s: float) -> OriginKnowledge:
    """Convert another front's answer.

    Args:
        reply: the answer.
        now_s: time on the clock of ``StreamOrigin.expires_s``, seconds.
    """
    versions = frozenset(reply.versions)
    if any(len(version) > MAX_NAME_CHARACTERS for version in versions):
        versions = frozenset()
    for entry in reply.origins:
        origin = from_entry(entry, now_s)
        if origin is not None:
            return OriginKnowledge(origin, versions, Evidence.other_host)
    if not versions:
        return OriginKnowledge()
    return OriginKnowledge(None, versions, Evidence.other_hosts_versions)
