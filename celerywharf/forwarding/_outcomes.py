"""How one send to a backend server ended."""

from __future__ import annotations

from dataclasses import dataclass

from celerywharf.adapters.transports import HttpResponse
from celerywharf.platform import AnswerHeaders


@dataclass(frozen=True, slots=True)
class Answered:
    """The backend server ran the request and this is its whole answer."""

    response: HttpResponse
    headers: AnswerHeaders


@dataclass(frozen=True, slots=True)
class Refused:
    """It is certain that the request did not run.

    Attributes:
        reason: for the log.
        reached: a backend server said so; otherwise none was reached.
        replaced: another backend server has its address now.
    """

    reason: str
    reached: bool
    replaced: bool = False


@dataclass(frozen=True, slots=True)
class Lost:
    """The request may have run and its answer will not come.

    Attributes:
        reason: for the log.
        broken: the connection broke or went silent; the server may be dead.
    """

    reason: str
    broken: bool = False


@dataclass(frozen=True, slots=True)
class Finished:
    """A stream reached its end and the caller has all of it."""


Outcome = Answered | Refused | Lost | Finished
