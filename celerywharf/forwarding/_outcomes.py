"""Outcomes of a send to a backend server."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus

from celerywharf.adapters.transports import HttpResponse
from celerywharf.platform import AnswerHeaders


@dataclass(frozen=True, slots=True)
class Answered:
    """The backend server ran the request and answered completely.

    Attributes:
        response: its answer.
        headers: the parsed headers.
        leaving: its incarnation, if it says that it leaves; else empty.
    """

    response: HttpResponse
    headers: AnswerHeaders
    leaving: str = ''


@dataclass(frozen=True, slots=True)
class Refused:
    """The request certainly did not run.

    Attributes:
        reason: for the log.
        reached: whether a backend server refused it; otherwise none was
            reached.
        replaced: whether another backend server now uses the address.
        late: none was reached in time only because this host did not run for
            a while.
    """

    reason: str
    reached: bool
    replaced: bool = False
    late: bool = False


@dataclass(frozen=True, slots=True)
class Lost:
    """The request may have run, but there is no usable answer.

    Attributes:
        reason: for the log.
        broken: whether the connection broke, so that the server may be dead.
        silent: whether the server had stopped responding when the connection
            was closed; it may be dead, or go on.
        begun: whether the server was at work on the request itself when the
            connection broke, so that it may have crashed the server: the
            answer had just begun, or it was a call.
        resumable: whether the request may be sent again; False if what the
            caller already has cannot be part of a correct answer.
    """

    reason: str
    broken: bool = False
    resumable: bool = True
    begun: bool = False
    silent: bool = False


@dataclass(frozen=True, slots=True)
class Recalled:
    """This host closed the connection before an answer had begun.

    Attributes:
        reason: for the log.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class Finished:
    """A stream ended normally and the caller has all of its events."""


@dataclass(frozen=True, slots=True)
class PeerAnswered:
    """Another host returned a backend server's final answer."""

    response: HttpResponse
    headers: AnswerHeaders


@dataclass(frozen=True, slots=True)
class PeerFailed:
    """Another host has tried to serve the request and has given up.

    Attributes:
        status: its error; 503 guarantees that the request did not run there.
        reason: for the log and the caller.
        retry_after_s: when the caller should retry; None for the default.
    """

    status: HTTPStatus
    reason: str
    retry_after_s: float | None = None


Outcome = (
    Answered | Refused | Lost | Recalled | Finished | PeerAnswered | PeerFailed
)

SILENCE = Lost('silence', silent=True)
