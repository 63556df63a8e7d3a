"""Comparison of an engine's state with its row in the table."""

from __future__ import annotations

from celerywharf.adapters.orders import EngineState, Order, OrderKind
from celerywharf.tables import BackendServer, BackendState


def has_desired_state(desired: BackendServer) -> bool:
    """Return whether the row sets models, role or model version."""
    return bool(desired.models or desired.role or desired.model_version)


def next_order(desired: BackendServer, state: EngineState) -> Order | None:
    """Return the next order that brings an engine closer to its row.

    Returns None when there is nothing to order now.

    Missing models are loaded before others are unloaded, so that the engine
    continues to serve.  Models are unloaded only while the engine has no
    work, so that no request is interrupted.  A stopped server unloads all
    models.
    """
    if desired.state is BackendState.stopped:
        return _unload(state, set()) if desired.models else None
    if desired.model_version not in {'', state.version}:
        return Order(OrderKind.version, desired.model_version)
    if desired.role not in {'', state.role}:
        return Order(OrderKind.role, desired.role)
    if not desired.models:
        return None
    missing = [model for model in desired.models if model not in state.models]
    if missing:
        return Order(OrderKind.load, missing[0])
    return _unload(state, set(desired.models))


def _unload(state: EngineState, kept: set[str]) -> Order | None:
    extra_models = state.models - kept
    if state.busy or not extra_models:
        return None
    return Order(OrderKind.unload, min(extra_models))
