"""Conversion of stated limits to messages and back."""

from __future__ import annotations

import math

from celerywharf.limits import LimitStatement
from celerywharf.units import MAX_NAME_CHARACTERS
from celerywharf.wire.sharing import ServerLimit


def to_message(statement: LimitStatement) -> ServerLimit:
    """Convert a statement to a message."""
    return ServerLimit(
        statement.incarnation,
        statement.availability_zone,
        statement.per_s is not None,
        statement.per_s or 0,
        statement.at_s,
    )


def from_message(limit: ServerLimit) -> LimitStatement | None:
    """Convert a message to a statement; None if it exceeds a bound."""
    names = (limit.incarnation, limit.availability_zone)
    numbers = (limit.at_s, limit.per_s)
    acceptable = (
        max(map(len, names)) <= MAX_NAME_CHARACTERS
        and all(map(math.isfinite, numbers))
        and limit.per_s >= 0
    )
    if not acceptable:
        return None
    return LimitStatement(
        limit.incarnation,
        limit.availability_zone,
        limit.per_s if limit.has_limit else None,
        limit.at_s,
    )
