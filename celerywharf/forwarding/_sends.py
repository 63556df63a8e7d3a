"""Sends a request to a backend server and classifies the answer."""

from __future__ import annotations

import asyncio
import math
from dataclasses import replace
from http import HTTPStatus

from celerywharf.adapters.transports import HttpRequest, HttpResponse
from celerywharf.backends import BackendServer
from celerywharf.exceptions import ResponseTooLargeError, TransportError
from celerywharf.forwarding._admission import engine_admission
from celerywharf.forwarding._context import ForwardingContext
from celerywharf.forwarding._outcomes import (
    Answered,
    Finished,
    Lost,
    Outcome,
    Refused,
)
from celerywharf.forwarding._requests import IncomingRequest
from celerywharf.forwarding._statements import HeadRecorder
from celerywharf.peers import PeerHost
from celerywharf.platform import (
    AnswerHeaders,
    EngineAdmission,
    Resumption,
    read_answer_headers,
    server_headers,
)
from celerywharf.structures import Address, Verdict

MIN_CONNECT_TIMEOUT_S = 0.01  # curl interprets zero as no time-out
CONNECT_TIMEOUT_S = 0.3  # a round trip between regions takes 40 ms
# Of the requests that a brittle server can refuse in a second.
REFUSAL_FRACTION = 0.3
# A host leaves a brittle server that refused a request alone for this long.
REFUSAL_PAUSE_S = 1.0
REFUSING_STATUSES = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    ),
)


def build_request(
    request: IncomingRequest,
    server: BackendServer,
    remaining_s: float,
    backup: Address | None = None,
    resumption: Resumption | None = None,
    admission: EngineAdmission | None = None,
) -> HttpRequest:
    """Build the HTTP request to a backend server.

    It uses a new connection: on a reused one, curl might resend the request by
    itself, and a late second answer to an earlier request could be mistaken
    for the answer to this one.
    """
    return HttpRequest(
        request.method,
        f'http://{server.address}/',
        headers=server_headers(
            request.headers,
            account=request.account,
            instance=server.name,
            remaining_s=remaining_s,
            backup=backup,
            resumption=resumption,
            admission=admission,
        ),
        body=request.body,
        target=request.target,
        timeout_s=None,
        connect_timeout_s=min(
            CONNECT_TIMEOUT_S, max(remaining_s, MIN_CONNECT_TIMEOUT_S)
        ),
        fresh_connection=True,
    )


def refusal(
    request: IncomingRequest,
    status: int,
    headers: AnswerHeaders,
) -> Refused | None:
    """Return the outcome if the answer states that the request did not run.

    A refusal that names another request says nothing about this one.
    """
    if headers.request_id not in {None, request.headers.request_id}:
        return None
    replaced = status == HTTPStatus.MISDIRECTED_REQUEST
    if headers.not_run or replaced:
        reason = f'backend server refused with {status}'
        return Refused(reason, reached=True, replaced=replaced)
    return None


def is_from_server(outcome: Outcome) -> bool:
    """Return whether an answer came from the server that was meant."""
    match outcome:
        case Answered():
            return True
        case Refused(reached=reached, replaced=replaced):
            return reached and not replaced
        case _:
            return False


def leaving_incarnation(server: BackendServer, headers: AnswerHeaders) -> str:
    """Return the incarnation of a server that leaves; empty if it does not."""
    return server.incarnation if headers.leaving else ''


def record_stated_load(
    context: ForwardingContext, server: BackendServer, headers: AnswerHeaders
) -> None:
    """Record the load that a server states, as far as it is sound."""
    if not headers.has_sound_load:
        context.metrics.count('malformed_loads', service=server.service)
    if headers.load is not None:
        context.loads.reported(server, headers.load, context.timers.now())


def record_first_event(
    context: ForwardingContext, server: BackendServer | PeerHost, took_s: float
) -> None:
    """Record that a prompt has been read, and how long that took."""
    context.loads.prefilled(server.name)
    if isinstance(server, BackendServer):
        now_s = context.timers.now()
        context.health.windows.answered(server, took_s, now_s)


def states_load(
    request: IncomingRequest, status: int, headers: AnswerHeaders
) -> bool:
    """Return whether the load in an answer is that of the server meant.

    An answer that can't be passed on may state it as well.
    """
    if status == HTTPStatus.MISDIRECTED_REQUEST:
        return False
    if headers.request_id is None:
        return headers.not_run
    return headers.request_id == request.headers.request_id


def record_limit(
    context: ForwardingContext,
    server: BackendServer,
    headers: AnswerHeaders,
    sent_s: float,
) -> None:
    """Record the limit that a server states.

    Args:
        context: components of the host.
        server: the backend server, which has been identified.
        headers: headers of its answer.
        sent_s: when the request was sent, monotonic seconds.
    """
    limit_per_s = headers.limit_per_s
    if headers.has_limit and limit_per_s is None:
        return
    if headers.not_run and headers.refusals_per_s is not None:
        # Until it takes a request again, all hosts together send it fewer than
        # it can refuse.
        limit_per_s = min(
            headers.refusals_per_s * REFUSAL_FRACTION,
            math.inf if limit_per_s is None else limit_per_s,
        )
        context.limits.pause(server.incarnation, REFUSAL_PAUSE_S)
    context.limits.record_answer(
        server.incarnation,
        server.availability_zone,
        limit_per_s,
        sent_s,
    )


def invalid_answer(
    request: IncomingRequest,
    status: int,
    headers: AnswerHeaders,
) -> Lost | None:
    """Return the outcome if the answer must not be forwarded to the caller."""
    if not headers.is_answer_to(request.headers.request_id):
        return Lost('answer to another request')
    if status < HTTPStatus.MULTIPLE_CHOICES and not headers.signed:
        return Lost('answer without signature')
    if headers.encoded:
        return Lost('answer with an encoded body')
    if status in REFUSING_STATUSES:
        return Lost(f'backend server failed with {status}')
    return None


async def send_call(
    context: ForwardingContext,
    request: IncomingRequest,
    server: BackendServer,
    remaining_s: float,
    answer_timeout_s: float,
) -> Outcome:
    """Send a plain call and wait for its complete answer.

    Args:
        context: components of the host.
        request: the caller's request.
        server: the backend server.
        remaining_s: time limit that is passed to the backend server.
        answer_timeout_s: how long to wait for the answer.
    """
    started_s = context.timers.now()
    recorder = HeadRecorder(context.health, context.limits, server)
    context.loads.started(server.name, 0, started_s)
    context.health.started(server)
    try:
        outcome = await _fetch(
            context,
            replace(
                build_request(
                    request,
                    server,
                    remaining_s,
                    admission=engine_admission(context, request, server),
                ),
                on_headers=recorder.on_headers,
            ),
            answer_timeout_s,
        )
    finally:
        context.loads.ended(server.name, 0)
        context.health.ended(server)
    match outcome:
        case HttpResponse():
            outcome = _classify(context, request, server, outcome, started_s)
        case Lost() if recorder.head is not None:
            # A refusal holds without its body.
            stated = _classify(
                context, request, server, recorder.head, started_s
            )
            if isinstance(stated, Refused):
                outcome = stated
    record_outcome(context, server, outcome)
    if isinstance(outcome, Answered):
        took_s = context.timers.now() - started_s
        context.metrics.observe('backend_answer', took_s)
        context.health.windows.answered(server, took_s, context.timers.now())
        region = context.placement.regions.get(server.availability_zone, '')
        context.loads.paces.answered(
            server, region, took_s, context.timers.now()
        )
    return outcome


def record_outcome(
    context: ForwardingContext,
    server: BackendServer,
    outcome: Outcome,
) -> None:
    """Update metrics and the server's health with the outcome of a send."""
    now_s = context.timers.now()
    context.metrics.count(
        'sends',
        service=server.service,
        outcome=type(outcome).__name__,
    )
    if is_from_server(outcome) or isinstance(outcome, Finished):
        context.health.reached(server)
    match outcome:
        case Refused(replaced=True):
            context.health.replaced(server, now_s)
        case Refused(reached=False, late=True):
            pass  # this host was late, which says nothing about the server
        case Refused(reached=False):
            context.health.unreachable(server, now_s)
        case Lost(broken=True):
            context.health.lost(server, now_s)
        case Lost(silent=True):
            context.health.silent(server, now_s)
        case Refused():
            context.health.refused(server, now_s)
        case Lost():
            context.health.failed(server, now_s)
        case Answered() | Finished():
            context.health.succeeded(server, now_s)


def failed_send(error: TransportError) -> Refused | Lost:
    """Return the outcome of a send that failed in the transport."""
    if error.verdict is Verdict.not_run:
        return Refused(error.message, reached=False, late=error.late)
    broken = not isinstance(error, ResponseTooLargeError)
    return Lost(error.message, broken=broken, begun=error.answer_begun)


async def _fetch(
    context: ForwardingContext,
    request: HttpRequest,
    answer_timeout_s: float,
) -> HttpResponse | Refused | Lost:
    try:
        async with asyncio.timeout(answer_timeout_s):
            return await context.transport.fetch(request)
    except TimeoutError:
        return Lost('answer timed out')
    except TransportError as error:
        outcome = failed_send(error)
        # A server that breaks off a call is likely to have been at work on it.
        if isinstance(outcome, Lost) and outcome.broken:
            return replace(outcome, begun=True)
        return outcome


def _classify(
    context: ForwardingContext,
    request: IncomingRequest,
    server: BackendServer,
    response: HttpResponse,
    sent_s: float,
) -> Outcome:
    headers = read_answer_headers(response.headers)
    outcome = (
        refusal(request, response.status, headers)
        or invalid_answer(request, response.status, headers)
        or Answered(response, headers, leaving_incarnation(server, headers))
    )
    if states_load(request, response.status, headers):
        record_stated_load(context, server, headers)
    if is_from_server(outcome):
        record_limit(context, server, headers, sent_s)
    return outcome
