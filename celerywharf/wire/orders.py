"""Messages about weights that backend servers wait for."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WeightQuestion:
    """Asks the host that keeps a zone's queue whether a model may be loaded.

    Repeating it keeps the place in the queue.
    """

    model: str
    backend_server: str
    availability_zone: str


@dataclass(frozen=True, slots=True)
class WeightVerdict:
    """The answer: the weights are in the zone, or not yet."""

    ready: bool
