"""Precedence between states received for the same host."""

from __future__ import annotations

import enum
from dataclasses import replace

from celerywharf.wire.membership import PeerState


class Status(enum.StrEnum):
    """Health of a host as determined by failure detection."""

    alive = 'alive'
    suspect = 'suspect'
    dead = 'dead'


STATUS_RANKS = {Status.alive: 0, Status.suspect: 1, Status.dead: 2}


def _precedence(state: PeerState) -> tuple[int, int, int]:
    rank = STATUS_RANKS.get(Status(state.status), 0)
    return state.incarnation, state.serial, rank


def is_newer(state: PeerState, known: PeerState) -> bool:
    """Return whether ``state`` supersedes ``known``.

    Compares incarnation, then serial, then status.
    """
    return _precedence(state) > _precedence(known)


def is_live(state: PeerState | None) -> bool:
    """Return whether a host counts as live; suspected hosts do."""
    return state is not None and state.status != Status.dead


def with_status(state: PeerState, status: Status) -> PeerState:
    """Return a copy of a state with another status."""
    return replace(state, status=status.value)
