"""Messages about model weights that backend servers wait for."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WeightQuestion:
    """Asks the host with a zone's weight queue whether a model may be loaded.

    A request that is repeated keeps its place in the queue.
    """

    model: str
    backend_server: str
    availability_zone: str


@dataclass(frozen=True, slots=True)
class WeightVerdict:
    """The reply: whether the weights have arrived in the zone."""

    ready: bool
