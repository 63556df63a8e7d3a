"""Messages about idempotency keys of generations."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class KeyJoin:
    """Question for the generation of an idempotency key.

    Attributes:
        key: digest of client account and key.
        request: digest of the request's content.
        generation: id to remember when the key is new.
        lost: id of a generation found lost, to be replaced; or empty.
    """

    key: str
    request: str
    generation: str
    lost: str


@dataclass(frozen=True, slots=True)
class KeyJoined:
    """The generation of a key, and the digest of its request."""

    generation: str
    request: str
