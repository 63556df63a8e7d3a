"""The interface of HTTP transports."""

from __future__ import annotations

import abc
import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol

from celerywharf.exceptions import TransportError

CONNECT_TIMEOUT_S = 1.0
TIMEOUT_S = 5.0
# Headers that concern one connection; whoever passes a message on leaves them.
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


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """One HTTP request.

    Attributes:
        method: HTTP method.
        url: absolute URL with an IP address.
        headers: header names and values.
        body: content, None for none.
        timeout_s: for the whole exchange; None for streams without end.
        connect_timeout_s: for the TCP connection.
        fresh_connection: use a new connection and close it afterwards, so
            that nothing below can send the request twice.
        target: request target in place of the URL's path, sent unchanged.
        guard: asked right before the body is written; False aborts the
            exchange, so that the server never has the whole request.
    """

    method: str
    url: str
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes | None = None
    timeout_s: float | None = TIMEOUT_S
    connect_timeout_s: float = CONNECT_TIMEOUT_S
    fresh_connection: bool = False
    target: str | None = None
    guard: Callable[[], bool] | None = None

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
    """One HTTP answer; header names are in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the body read as JSON.

        Raises:
            ValueError: the body is not JSON.
        """
        return json.loads(self.body)


class StreamSink(Protocol):
    """Receives the parts of a streamed answer, on the event loop."""

    def on_headers(self, status: int, headers: Mapping[str, str]) -> None:
        """Take status and headers (lower-case names)."""

    def on_chunk(self, chunk: bytes) -> None:
        """Take bytes of the body as they arrived."""

    def on_end(self, error: TransportError | None) -> None:
        """Take the end: None when the answer was complete."""


class Transfer(abc.ABC):
    """A streamed exchange under way."""

    @abc.abstractmethod
    def cancel(self) -> None:
        """Close the connection; the sink hears nothing more."""

    @abc.abstractmethod
    def pause(self) -> None:
        """Stop reading from the socket until ``resume``."""

    @abc.abstractmethod
    def resume(self) -> None:
        """Read on after ``pause``."""


class Transport(abc.ABC):
    """Sends HTTP requests."""

    @abc.abstractmethod
    async def fetch(self, request: HttpRequest) -> HttpResponse:
        """Send a request and return its whole answer.

        Raises:
            TransportError: with verdict ``not_run`` only when no byte of the
                request can have left.
        """

    @abc.abstractmethod
    def stream(self, request: HttpRequest, sink: StreamSink) -> Transfer:
        """Send a request whose answer goes to ``sink`` as it arrives."""

    @abc.abstractmethod
    def close(self) -> None:
        """Cancel everything."""
