"""Calls to plain services: one attempt on one backend server.

The outer protocol is described in ``docs/PROTOCOLS.md``.  An attempt ends in
an answer, or in an error whose verdict says whether it can have run.
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
PRIVATE = frozenset(('authorization', 'host', NOT_RUN_HEADER))


@dataclass(frozen=True, slots=True)
class Call:
    """What a caller asks of an application.

    Attributes:
        service: name of the application service.
        client_account: name of the account that asks.
        request_id: id that is passed on and recorded.
        method: HTTP method.
        path: path and query below the service, beginning with a slash.
        headers: the caller's headers.
        body: content, may be empty.
        key: idempotency key, empty for none.
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
    """What the application answered; header names are in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class RefusedCallError(NotRunError):
    """The backend server refused the call by contract, before any effect."""

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
            forbid_resend: nothing below may send it a second time.

        Raises:
            RefusedCallError: not run, by contract.
            TransportError: no answer; its verdict tells whether a byte left.
        """
        response = await self.transport.fetch(
            HttpRequest(
                method=call.method,
                url=url.rstrip('/') + call.path,
                headers=_headers(call),
                body=call.body or _empty_body(call.method),
                timeout_s=timeout_s,
                fresh_connection=forbid_resend,
            ),
        )
        if _refused(response.status, response.headers):
            raise RefusedCallError('the backend server refused the call')
        return Answer(
            response.status,
            forwardable_headers(response.headers),
            response.body,
        )


def forwardable_headers(headers: Mapping[str, str]) -> dict[str, str]:
    """Return the headers that go through, names in lower case."""
    names = {name.lower(): text for name, text in headers.items()}
    return {
        name: text
        for name, text in names.items()
        if name not in HOP_BY_HOP and name not in PRIVATE
    }


def _headers(call: Call) -> dict[str, str]:
    return {
        **forwardable_headers(call.headers),
        'request-id': call.request_id,
        'celerywharf-client-account': call.client_account,
    }


def _empty_body(method: str) -> bytes | None:
    return b'' if method in {'POST', 'PUT', 'PATCH'} else None


def _refused(status: int, headers: Mapping[str, str]) -> bool:
    if status != HTTPStatus.SERVICE_UNAVAILABLE:
        return False
    return headers.get(NOT_RUN_HEADER) == NOT_RUN_VALUE
