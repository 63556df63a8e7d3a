"""One send of a request to one backend server."""

from __future__ import annotations

import asyncio
from http import HTTPStatus

from celerywharf.adapters.transports import HttpRequest, HttpResponse
from celerywharf.backends import BackendServer
from celerywharf.exceptions import TransportError
from celerywharf.forwarding._context import Services
from celerywharf.forwarding._outcomes import (
    Answered,
    Finished,
    Lost,
    Outcome,
    Refused,
)
from celerywharf.forwarding._requests import IncomingRequest
from celerywharf.platform import (
    AnswerHeaders,
    Resumption,
    read_answer_headers,
    server_headers,
)
from celerywharf.structures import Address, Verdict

LEAST_CONNECT_S = 0.01  # curl takes zero for no limit
CONNECT_TIMEOUT_S = 0.3  # a round trip between regions takes 40 ms
REFUSING_STATUSES = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    ),
)


def outgoing(
    request: IncomingRequest,
    server: BackendServer,
    remaining_s: float,
    backup: Address | None = None,
    resumption: Resumption | None = None,
) -> HttpRequest:
    """Return the request to a backend server.

    Each uses a fresh connection: on a kept one curl would send it again by
    itself, and a late second answer could be taken for this one's.
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
        ),
        body=request.body,
        target=request.target,
        timeout_s=None,
        connect_timeout_s=min(
            CONNECT_TIMEOUT_S, max(remaining_s, LEAST_CONNECT_S)
        ),
        fresh_connection=True,
    )


def refusal(
    status: int,
    headers: AnswerHeaders,
) -> Refused | None:
    """Return the outcome if the backend server did not run the request."""
    replaced = status == HTTPStatus.MISDIRECTED_REQUEST
    if headers.not_run or replaced:
        reason = f'backend server refused with {status}'
        return Refused(reason, reached=True, replaced=replaced)
    return None


def distrust(
    request: IncomingRequest,
    status: int,
    headers: AnswerHeaders,
) -> Lost | None:
    """Return the outcome if the answer must not reach the caller."""
    if headers.request_id != request.headers.request_id:
        return Lost('answer to another request')
    if status < HTTPStatus.MULTIPLE_CHOICES and not headers.signed:
        return Lost('answer without signature')
    if headers.encoded:
        return Lost('answer with an encoded body')
    if status in REFUSING_STATUSES:
        return Lost(f'backend server failed with {status}')
    return None


async def send_call(
    services: Services,
    request: IncomingRequest,
    server: BackendServer,
    remaining_s: float,
    patience_s: float,
) -> Outcome:
    """Send a plain call and wait for its whole answer.

    Args:
        services: parts of the host.
        request: what the caller sent.
        server: where it goes.
        remaining_s: what the backend server is told.
        patience_s: how long to wait for the answer.
    """
    started_s = services.timers.now()
    services.loads.started(server.name, 0, started_s)
    services.condition.started(server)
    try:
        outcome = await _exchange(
            services,
            outgoing(request, server, remaining_s),
            patience_s,
        )
    finally:
        services.loads.ended(server.name, 0)
        services.condition.ended(server)
    if isinstance(outcome, HttpResponse):
        outcome = _judge(services, request, server, outcome)
    note_outcome(services, server, outcome)
    if isinstance(outcome, Answered):
        took_s = services.timers.now() - started_s
        services.metrics.observe('backend_answer', took_s)
    return outcome


def note_outcome(
    services: Services,
    server: BackendServer,
    outcome: Outcome,
) -> None:
    """Judge a backend server by what a send to it came to."""
    now_s = services.timers.now()
    services.metrics.count(
        'sends',
        service=server.service,
        outcome=type(outcome).__name__,
    )
    match outcome:
        case Refused(replaced=True):
            services.condition.replaced(server, now_s)
        case Refused(reached=False):
            services.condition.unreachable(server, now_s)
        case Lost(broken=True):
            services.condition.lost(server, now_s)
        case Refused() | Lost():
            services.condition.failed(server, now_s)
        case Answered() | Finished():
            services.condition.succeeded(server, now_s)


def failed_send(error: TransportError) -> Refused | Lost:
    """Return the outcome of a send that curl reports as failed."""
    if error.verdict is Verdict.not_run:
        return Refused(error.message, reached=False)
    return Lost(error.message, broken=True)


async def _exchange(
    services: Services,
    request: HttpRequest,
    patience_s: float,
) -> HttpResponse | Refused | Lost:
    try:
        async with asyncio.timeout(patience_s):
            return await services.transport.fetch(request)
    except TimeoutError:
        return Lost('no answer in time')
    except TransportError as error:
        return failed_send(error)


def _judge(
    services: Services,
    request: IncomingRequest,
    server: BackendServer,
    response: HttpResponse,
) -> Outcome:
    headers = read_answer_headers(response.headers)
    if headers.load is not None:
        now_s = services.timers.now()
        services.loads.reported(server.name, headers.load, now_s)
    return (
        refusal(response.status, headers)
        or distrust(request, response.status, headers)
        or Answered(response, headers)
    )
