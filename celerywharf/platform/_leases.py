"""Calls that reserve room at an engine."""

from __future__ import annotations

from urllib.parse import quote

LEASE_PATH = '/api/hold-take'
RELEASE_PATH = '/api/hold-drop/'
MS_PER_S = 1000


def lease_demand(tokens: int, term_s: float) -> dict[str, int]:
    """Return the document that asks an engine for a lease."""
    return {'tokens': tokens, 'ttlMs': int(term_s * MS_PER_S)}


def lease_release_path(lease: str) -> str:
    """Return the path at an engine that releases a lease."""
    return RELEASE_PATH + quote(lease, safe='')
