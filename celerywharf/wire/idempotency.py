"""Messages about idempotency keys of generations."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class KeyJoin:
    """Asks for the generation that belongs to an idempotency key.

    Attributes:
        key: digest of client account and idempotency key.
        request: digest of the request's content.
        generation: id to store when the key is new.
        lost: id of a lost generation to replace, or empty.
    """

    key: str
    request: str
    generation: str
    lost: str


@dataclass(frozen=True, slots=True)
class KeyJoined:
    """The reply to ``KeyJoin``.

    Attributes:
        generation: id of the generation that belongs to the key.
        request: digest of the content of the request that started it.
    """

    generation: str
    request: str
