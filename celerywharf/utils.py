"""Small helpers shared by several packages."""

from __future__ import annotations

import xxhash

PREFIX_CHARACTERS = 64


def prefix_hash(prompt: str) -> str:
    """Return the hash engines publish for the start of a prompt."""
    return xxhash.xxh64_hexdigest(prompt[:PREFIX_CHARACTERS].encode())


def rendezvous_order(key: str, names: list[str]) -> list[str]:
    """Sort names by their hash with ``key``, best first.

    Each name's place depends on no other name, so losing one moves only the
    keys it was first for.
    """
    return sorted(
        names,
        key=lambda name: (
            xxhash.xxh64_intdigest(f'{key}\0{name}'.encode()),
            name,
        ),
        reverse=True,
    )
