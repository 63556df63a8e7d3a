"""What a backend server still has to be told."""

from __future__ import annotations

from celerywharf.adapters.orders import EngineState, Order, OrderKind
from celerywharf.tables import BackendServer, BackendState


def has_wishes(desired: BackendServer) -> bool:
    """Tell whether the table wants anything of the engine's state."""
    return bool(desired.models or desired.role or desired.model_version)


def next_order(desired: BackendServer, state: EngineState) -> Order | None:
    """Return the order that brings an engine nearer to its row.

    Models are loaded before others are given up, so that the engine goes on
    serving, and given up only while it has no work, so that none is cut.
    A stopped server gives up all models.
    """
    if desired.state is BackendState.stopped:
        return _unload(state, set()) if desired.models else None
    if desired.model_version not in {'', state.version}:
        return Order(OrderKind.version, desired.model_version)
    if desired.role not in {'', state.role}:
        return Order(OrderKind.role, desired.role)
    if not desired.models:
        return None
    missing = [one for one in desired.models if one not in state.models]
    if missing:
        return Order(OrderKind.load, missing[0])
    return _unload(state, set(desired.models))


def _unload(state: EngineState, kept: set[str]) -> Order | None:
    surplus = state.models - kept
    if state.busy or not surplus:
        return None
    return Order(OrderKind.unload, min(surplus))
