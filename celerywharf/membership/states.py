"""Which of two statements about a host is the newer one."""

from __future__ import annotations

import enum
from dataclasses import replace

from celerywharf.wire.membership import PeerState


class Status(enum.StrEnum):
    """What is believed of a host, in order of precedence."""

    alive = 'alive'
    suspect = 'suspect'
    dead = 'dead'


RANKS = {Status.alive: 0, Status.suspect: 1, Status.dead: 2}


def precedence(state: PeerState) -> tuple[int, int, int]:
    """Order statements about one host: incarnation, serial, status."""
    rank = RANKS.get(Status(state.status), 0)
    return state.incarnation, state.serial, rank


def is_newer(state: PeerState, known: PeerState) -> bool:
    """Tell whether a statement replaces the one known so far."""
    return precedence(state) > precedence(known)


def is_live(state: PeerState | None) -> bool:
    """Tell whether a host counts as live; a suspected one still does."""
    return state is not None and state.status != Status.dead


def with_status(state: PeerState, status: Status) -> PeerState:
    """Return the same statement with another status."""
    return replace(state, status=status.value)
