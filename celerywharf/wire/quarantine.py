"""Messages among the fronts of a zone about lost servers."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PartLoss:
    """The loss of a backend server under requests with a trait.

    Attributes:
        at_s: when it was noticed, on the store's clock, seconds.
        instance: the incarnation of the backend server.
        availability_zone: zone of the backend server.
        begun: the server was at work on the request itself.
    """

    at_s: float
    instance: str
    availability_zone: str
    begun: bool


@dataclass(frozen=True, slots=True)
class PartState:
    """What a front knows of a trait.

    Attributes:
        part: name of the trait.
        generation: increases when earlier losses no longer count.
        losses: the newest losses.
    """

    part: str
    generation: int
    losses: list[PartLoss]


@dataclass(frozen=True, slots=True)
class PartQuestion:
    """Tells the reader what changed and asks for changes.

    The reply is a ``PartAnswer``.

    Attributes:
        parts: what the reader may not know.
        after: number of the reader's change after which changes are asked
            for; 0 for everything.
        wait_s: longest wait for the first change, seconds.
    """

    parts: list[PartState]
    after: int
    wait_s: float


@dataclass(frozen=True, slots=True)
class PartAnswer:
    """Changes at the reader.

    Attributes:
        parts: the changed parts.
        serial: number to use as ``after`` in the next question.
    """

    parts: list[PartState]
    serial: int
