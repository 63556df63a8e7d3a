"""The connection back to the caller."""

from __future__ import annotations

import abc
from collections.abc import Mapping
from http import HTTPStatus


class Caller(abc.ABC):
    """Receives the answer to one request.

    Attributes:
        gone: the caller has closed its connection.
        started: status and headers have been written.
    """

    gone: bool = False
    started: bool = False

    @abc.abstractmethod
    def answer(
        self,
        status: int,
        headers: Mapping[str, str],
        body: bytes,
    ) -> None:
        """Write a whole answer."""

    @abc.abstractmethod
    def begin(self, status: int, headers: Mapping[str, str]) -> None:
        """Write status and headers of an answer that is streamed."""

    @abc.abstractmethod
    def write(self, chunk: bytes) -> None:
        """Write a part of a streamed answer."""

    @abc.abstractmethod
    def end(self) -> None:
        """Complete a streamed answer."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Close the connection so that the answer looks incomplete."""

    @abc.abstractmethod
    def fail(
        self,
        status: HTTPStatus,
        reason: str,
        retry_after_s: float | None = None,
    ) -> None:
        """Write an error of ours."""
