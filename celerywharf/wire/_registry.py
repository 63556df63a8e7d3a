"""Lists the message modules of the protocol."""

from __future__ import annotations

import functools
from types import ModuleType

from celerywharf.wire import (
    admissions,
    basics,
    claims,
    idempotency,
    journals,
    membership,
    orders,
    origins,
    peers,
    quarantine,
    rollouts,
    sharing,
    tables,
    timelines,
)
from celerywharf.wire._codec import Codec

MODULES: tuple[ModuleType, ...] = (
    admissions,
    basics,
    claims,
    membership,
    orders,
    origins,
    peers,
    quarantine,
    sharing,
    tables,
    timelines,
    idempotency,
    journals,
    rollouts,
)


@functools.cache
def default_codec() -> Codec:
    """Return the codec of all messages, the same object at each call."""
    codec = Codec()
    for module in MODULES:
        codec.register(module)
    return codec
