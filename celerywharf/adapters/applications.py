"""Client of application services: one attempt on one backend server.

The protocol is described in ``docs/PROTOCOLS.md``.  An attempt ends with an
answer, or with an error whose verdict says whether the call may have run.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from http import HTTPStatus

from celerywharf.adapters.transports import (
    HOP_BY_HOP,
    HttpRequest,
    Transport,
)
from celerywharf.exceptions import NotRunError

NOT_RUN_HEADER = 'celerywharf-not-run'
NOT_RUN_VALUE = '1'
NEVER_FORWARDED = frozenset(('authorization', 'host', NOT_RUN_HEADER))


@dataclass(frozen=True, slots=True)
class Call:
    """A caller's request to an application service.

    Attributes:
        service: name of the application service.
        client_account: name of the caller's account.
        request_id: id that is forwarded and recorded.
        method: HTTP method.
        path: path and query below the service, beginning with a slash.
        headers: the caller's headers.
        body: content, may be empty.
        key: idempotency key; empty if there is none.
    """

    service: str
    client_account: str
    request_id: str
    method: str
    path: str
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b''
    key: str = ''


@dataclass(frozen=True, slots=True)
class Answer:
    """Response of an application; header names are in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class RefusedCallError(NotRunError):
    """The backend server refused the call and guarantees it had no effect."""

    code = 'refused_call'
    http_status = HTTPStatus.SERVICE_UNAVAILABLE


class ApplicationClient:
    """Sends calls to backend servers over a transport."""

    def __init__(self, transport: Transport) -> None:
        self.transport = transport

    async def send(
        self,
        url: str,
        call: Call,
        *,
        timeout_s: float,
        forbid_resend: bool,
    ) -> Answer:
        """Make one attempt.

        Args:
            url: base URL of the backend server.
            call: what to send.
            timeout_s: seconds for the whole exchange.
            forbid_resend: use a new connection, so that curl cannot send
                the call a second time.

        Raises:
            RefusedCallError: the backend server refused without running it.
            TransportError: no response; the verdict says whether any byte of
                the request may have been sent.
        """
        response = await self.transport.fetch(
            HttpRequest(
                method=call.method,
                url=url.rstrip('/') + call.path,
                headers=_request_headers(call),
                body=call.body or _empty_body(call.method),
                timeout_s=timeout_s,
                fresh_connection=forbid_resend,
            ),
        )
        if _is_refusal(response.status, response.headers):
            raise RefusedCallError('the backend server refused the call')
        return Answer(
            response.status,
            forwardable_headers(response.headers),
            response.body,
        )


def forwardable_headers(headers: Mapping[str, str]) -> dict[str, str]:
    """Return the headers that may be forwarded, names in lower case."""
    lowered = {name.lower(): text for name, text in headers.items()}
    return {
        name: text
        for name, text in lowered.items()
        if name not in HOP_BY_HOP and name not in NEVER_FORWARDED
    }


def _request_headers(call: Call) -> dict[str, str]:
    return {
        **forwardable_headers(call.headers),
        'request-id': call.request_id,
        'celerywharf-client-account': call.client_account,
    }


def _empty_body(method: str) -> bytes | None:
    return b'' if method in {'POST', 'PUT', 'PATCH'} else None


def _is_refusal(status: int, headers: Mapping[str, str]) -> bool:
    if status != HTTPStatus.SERVICE_UNAVAILABLE:
        return False
    return headers.get(NOT_RUN_HEADER) == NOT_RUN_VALUE
