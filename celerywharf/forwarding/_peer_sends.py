"""Passes requests through another host that reaches their service."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from http import HTTPStatus
from typing import Any
from urllib.parse import quote

from celerywharf.adapters.transports import (
    HttpRequest,
    HttpResponse,
    is_framed,
)
from celerywharf.exceptions import TransportError
from celerywharf.forwarding._context import ForwardingContext
from celerywharf.forwarding._outcomes import (
    Answered,
    Lost,
    Outcome,
    PeerAnswered,
    PeerFailed,
    Refused,
)
from celerywharf.forwarding._relays import StreamRelay
from celerywharf.forwarding._requests import IncomingRequest
from celerywharf.forwarding._sends import CONNECT_TIMEOUT_S, failed_send
from celerywharf.peers import (
    RELAY_HEADER,
    PeerHost,
    Relay,
    RelayReport,
    RelayResult,
    key_digest,
    read_report,
    write_relay,
)
from celerywharf.platform import (
    AnswerHeaders,
    peer_headers,
    read_answer_headers,
)

MIN_TIMEOUT_S = 0.02
# A host that has not passed an event on for this long is asked whether it is
# still at work.  It resumes a stream elsewhere in less.
PEER_SILENCE_S = 0.6
PEER_ANSWER_TIMEOUT_S = 0.3
NO_REPORT = 'the answer is not one of another host'


def build_peer_request(
    request: IncomingRequest,
    peer: PeerHost,
    relay: Relay,
    remaining_s: float,
    last_event: int | None = None,
) -> HttpRequest:
    """Build the request to another host; it uses a new connection."""
    headers = peer_headers(
        request.headers,
        remaining_s=request.given_up_at_s()
        - request.deadline_at_s()
        + remaining_s,
        last_event=last_event,
    )
    headers[RELAY_HEADER] = write_relay(
        relay, request.method, request.target, peer.key
    )
    return HttpRequest(
        request.method,
        f'http://{peer.address}/',
        headers=headers,
        body=request.body,
        target=request.target,
        timeout_s=None,
        connect_timeout_s=min(
            CONNECT_TIMEOUT_S, max(remaining_s, MIN_TIMEOUT_S)
        ),
        fresh_connection=True,
    )


def make_relay(
    context: ForwardingContext,
    request: IncomingRequest,
    remaining_s: float,
    *,
    attempts: int,
    counted: bool,
) -> Relay:
    """Return what another host is told about a request."""
    return Relay(
        request.headers.request_id,
        version=context.configuration_cache.configuration.version,
        key_digest=key_digest(request.headers.key),
        attempts=attempts,
        timeout_s=max(remaining_s, 0),
        counted=counted,
    )


async def send_call_to_peer(
    context: ForwardingContext,
    request: IncomingRequest,
    peer: PeerHost,
    relay: Relay,
    remaining_s: float,
) -> Outcome:
    """Pass a plain call to another host and wait for the answer."""
    context.peers.started(peer)
    try:
        async with asyncio.timeout(max(remaining_s, MIN_TIMEOUT_S)):
            response = await context.transport.fetch(
                build_peer_request(request, peer, relay, remaining_s)
            )
    except TimeoutError:
        return Lost('answer of a host timed out')
    except TransportError as error:
        return failed_send(error)
    finally:
        context.peers.ended(peer)
    return _outcome_of_call(context, request, response)


def _outcome_of_call(
    context: ForwardingContext,
    request: IncomingRequest,
    response: HttpResponse,
) -> Outcome:
    failure = _failure(response.status, response.headers)
    if failure is not None:
        return failure
    headers = _answer_headers(response.headers)
    if not headers.is_answer_to(request.headers.request_id):
        return Lost('answer to another request')
    _record_leaving(context, read_report(response.headers))
    return PeerAnswered(response, headers)


def _record_leaving(context: ForwardingContext, report: RelayReport) -> None:
    """Record that the server leaves whose answer another host passes on."""
    if report.leaving:
        context.health.leaving(report.leaving)


def _failure(status: int, headers: Mapping[str, str]) -> Outcome | None:
    """Return the outcome unless the answer is a backend server's."""
    report = read_report(headers)
    if report is None:
        return Lost(NO_REPORT)
    match report.result:
        case RelayResult.declined:
            return Refused(f'declined: {report.reason}', reached=False)
        case RelayResult.failed:
            return PeerFailed(
                HTTPStatus(status), report.reason, report.retry_after_s or None
            )
        case RelayResult.served:
            return None


def _answer_headers(headers: Mapping[str, str]) -> AnswerHeaders:
    return read_answer_headers(
        {name: text for name, text in headers.items() if name != RELAY_HEADER}
    )


async def is_serving(
    context: ForwardingContext, peer: PeerHost, request_id: str
) -> bool:
    """Ask another host whether it still serves a request of this one."""
    target = f'/{quote(request_id, safe="")}'
    relay = Relay(request_id, asks=True)
    request = HttpRequest(
        'GET',
        f'http://{peer.address}/',
        headers={RELAY_HEADER: write_relay(relay, 'GET', target, peer.key)},
        target=target,
        timeout_s=PEER_ANSWER_TIMEOUT_S,
        connect_timeout_s=PEER_ANSWER_TIMEOUT_S,
        fresh_connection=True,
    )
    try:
        response = await context.transport.fetch(request)
    except TransportError as error:
        return error.late  # this host was late, which says nothing of the other
    return response.status == HTTPStatus.NO_CONTENT


class PeerStreamRelay(StreamRelay):
    """Receives a stream from another host, which has checked its engine.

    What the engine states of itself is recorded there, and here only that it
    leaves.

    Attributes:
        software_version: of the engine, as the other host states it.
    """

    def __init__(self, *parts: Any) -> None:
        super().__init__(*parts)
        self.software_version = ''

    def on_headers(self, status: int, headers: Mapping[str, str]) -> None:
        """Check status and headers; end the send if they are not usable."""
        if self.headers is not None:
            return
        self.status = status
        self.framed = is_framed(headers)
        self.headers = _answer_headers(headers)
        outcome = _failure(status, headers)
        request_id = self.request.headers.request_id
        if outcome is None and not self.headers.is_answer_to(request_id):
            outcome = Lost('answer to another request')
        if outcome is not None:
            self.settle(outcome)
            return
        report = read_report(headers)
        _record_leaving(self.context, report)
        if status == HTTPStatus.OK:
            self.begun_at_s = self.context.timers.now()
            self.software_version = report.software_version

    def _final_outcome(self, error: TransportError | None) -> Outcome:
        outcome = super()._final_outcome(error)
        match outcome:
            case Answered(response=response, headers=headers):
                return PeerAnswered(response, headers)
            case Lost(reason=reason, resumable=resumable):
                # Of the engines the other host knows more.
                return Lost(reason, resumable=resumable)
            case _:
                return outcome

    def _record_liveness(self, now_s: float) -> None:
        self.detector.record_event(now_s)

    def _record_origin(self) -> None:
        if self.progress.software_version is None:
            self.progress.software_version = self.software_version

    def _leaving(self) -> str:
        return ''

    def _record_progress(self, now_s: float) -> None:
        """Leave the proof that the prompt is harmless to the other host."""
