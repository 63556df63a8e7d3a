"""Interface of HTTP transports."""

from __future__ import annotations

import abc
import json
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol

from celerywharf.exceptions import TransportError
from celerywharf.units import MEBIBYTE, SMALL_MESSAGE_BYTES

DEFAULT_CONNECT_TIMEOUT_S = 1.0
DEFAULT_TIMEOUT_S = 5.0
# Answers of services are a few KiB.
DEFAULT_MAX_BODY_BYTES = 4 * MEBIBYTE
# Status lines, headers and trailers of one exchange, interim responses
# included.
MAX_HEAD_BYTES = SMALL_MESSAGE_BYTES
# Headers that state where the body ends.
FRAMING_HEADERS = frozenset(('content-length', 'transfer-encoding'))
# Separates the values of several lines of one field; no value contains it.
FIELD_SEPARATOR = '\n'
# Headers that apply to a single connection and must not be forwarded.
HOP_BY_HOP = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)


def field_lines(headers: Mapping[str, str]) -> Iterator[tuple[str, str]]:
    """Yield the name and the value of each line of the headers."""
    for name, text in headers.items():
        for line in text.split(FIELD_SEPARATOR):
            yield name, line


def list_members(headers: Mapping[str, str], name: str) -> frozenset[str]:
    """Return the members of a field that is a list, in lower case.

    Empty if the field is missing.
    """
    if name not in headers:
        return frozenset()
    members = headers[name].replace(FIELD_SEPARATOR, ',').split(',')
    return frozenset(member.strip().lower() for member in members)


def is_framed(headers: Mapping[str, str]) -> bool:
    """Return whether headers state where the body ends.

    Args:
        headers: of a response, names in lower case.
    """
    coding = headers.get('transfer-encoding')
    if coding is None:
        return 'content-length' in headers
    codings = [each.strip() for each in coding.lower().split(',')]
    return [each for each in codings if each][-1:] == ['chunked']


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """One HTTP request.

    Attributes:
        method: HTTP method.
        url: absolute URL with an IP address.
        headers: header names and values.
        body: content; None for a request without a body.
        timeout_s: time-out of the whole exchange; None for unlimited, as for
            long streams.
        connect_timeout_s: time-out of the TCP connection.
        fresh_connection: use a new connection and close it afterwards, so
            that curl cannot send the request a second time.
        target: request target in place of the URL's path, sent unchanged.
        guard: called right before the body is sent; if it returns False, the
            exchange is aborted and the server never receives the whole
            request.
        max_body_bytes: size of a response body above which ``fetch`` closes
            the connection and fails.
        connect_only: open a new connection and close it without a request;
            the response has status 0.
        pooled: count the body against the limit for all unfinished responses
            of the transport; for servers that are not trusted to be sound.
        on_headers: called by ``fetch`` with status and headers, names in lower
            case, when the head of the response has arrived.
        stall_s: once the body has begun, ``fetch`` fails after this time
            without a byte of it instead of after ``timeout_s``; None to keep
            to ``timeout_s``.
        on_progress: called by ``fetch`` with the size of what has been
            received of the body, each time there is more.
    """

    method: str
    url: str
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes | None = None
    timeout_s: float | None = DEFAULT_TIMEOUT_S
    connect_timeout_s: float = DEFAULT_CONNECT_TIMEOUT_S
    fresh_connection: bool = False
    target: str | None = None
    guard: Callable[[], bool] | None = None
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES
    pooled: bool = True
    connect_only: bool = False
    on_headers: Callable[[int, Mapping[str, str]], None] | None = None
    stall_s: float | None = None
    on_progress: Callable[[int], None] | None = None

    @classmethod
    def with_json(
        cls,
        method: str,
        url: str,
        content: Any,
        **options: Any,
    ) -> HttpRequest:
        """Build a request whose body is a JSON document."""
        headers = {'Content-Type': 'application/json'}
        headers.update(options.pop('headers', {}))
        body = json.dumps(content).encode()
        return cls(method, url, headers, body, **options)


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """One HTTP response.

    Attributes:
        status: HTTP status.
        headers: by name in lower case; the values of several lines of a field
            are separated by ``FIELD_SEPARATOR``.
        body: content.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the body decoded as JSON.

        Raises:
            ValueError: the body is not JSON.
        """
        return json.loads(self.body)


class StreamSink(Protocol):
    """Receives the parts of a streamed response, on the event loop."""

    def on_headers(self, status: int, headers: Mapping[str, str]) -> None:
        """Receive status and headers, names in lower case."""

    def on_chunk(self, chunk: bytes) -> None:
        """Receive bytes of the body as they arrive."""

    def on_end(self, error: TransportError | None) -> None:
        """Receive the end; ``error`` is None if the response is complete."""


class Transfer(abc.ABC):
    """A streamed exchange in progress.

    Attributes:
        on_rest: called with the time, in seconds, for which the response is
            not read because it has used more than its share; None if nobody
            wants to know.
    """

    on_rest: Callable[[float], None] | None = None

    @abc.abstractmethod
    def cancel(self) -> None:
        """Close the connection; the sink receives nothing more."""

    @abc.abstractmethod
    def pause(self) -> None:
        """Stop reading from the socket until ``resume``."""

    @abc.abstractmethod
    def resume(self) -> None:
        """Continue reading after ``pause``."""


class Transport(abc.ABC):
    """Sends HTTP requests."""

    @abc.abstractmethod
    async def fetch(self, request: HttpRequest) -> HttpResponse:
        """Send a request and return the complete response.

        Raises:
            TransportError: no complete response; the verdict is ``not_run``
                only if no byte of the request can have been sent.
            ResponseTooLargeError: the response exceeded a size limit.
        """

    @abc.abstractmethod
    def stream(self, request: HttpRequest, sink: StreamSink) -> Transfer:
        """Send a request; ``sink`` receives the response as it arrives."""

    @abc.abstractmethod
    def close(self) -> None:
        """Cancel all transfers and close all connections."""
