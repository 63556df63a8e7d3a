"""Hash functions shared by several packages."""

from __future__ import annotations

import xxhash

PREFIX_CHARACTERS = 64


def prefix_hash(prompt: str) -> str:
    """Return the hash of the first characters of a prompt.

    Engines publish this hash for the prompts in their caches.
    """
    return xxhash.xxh64_hexdigest(prompt[:PREFIX_CHARACTERS].encode())


def rendezvous_order(key: str, names: list[str]) -> list[str]:
    """Return the names by descending hash with ``key`` (rendezvous hashing).

    The hash of a name does not depend on the other names, so the removal of a
    name moves only the keys for which it came first.
    """
    return sorted(
        names,
        key=lambda name: (
            xxhash.xxh64_intdigest(f'{key}\0{name}'.encode()),
            name,
        ),
        reverse=True,
    )
