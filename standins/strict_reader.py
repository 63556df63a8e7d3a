"""Reads an HTTP/1.1 response strictly, independent of the code under test."""

from __future__ import annotations

import re
from dataclasses import dataclass

STATUS_LINE = re.compile(
    rb'HTTP/1\.[01] ([1-5]\d\d)(?: [\t \x21-\x7e\x80-\xff]*)?'
)
FIELD = re.compile(
    rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+)[ \t]*:[ \t]*"
    rb'((?:[\x21-\x7e\x80-\xff](?:[\t \x21-\x7e\x80-\xff]*'
    rb'[\x21-\x7e\x80-\xff])?)?)[ \t]*'
)
# A line that continues a field line; RFC 9112, 5.2, has a proxy join them.
FOLD = re.compile(rb'[ \t]*\r\n[ \t]+')
CHUNK_SIZE = re.compile(rb'([0-9A-Fa-f]{1,8})(?:[ \t]*;[\t \x21-\x7e]*)?')
LINE_END = b'\r\n'
HEXADECIMAL = 16
FIRST_FINAL_STATUS = 200
NO_CONTENT = 204
BODILESS_STATUSES = (NO_CONTENT, 304)


class NotHttpError(Exception):
    """The bytes are no complete response of HTTP."""


@dataclass(frozen=True, slots=True)
class StrictResponse:
    """A response that is valid in each byte.

    Attributes:
        status: its status.
        fields: name in lower case and value of each line of the final head.
        body: its content.
        excess: bytes received after it.
    """

    status: int
    fields: tuple[tuple[str, str], ...]
    body: bytes
    excess: bytes = b''

    def values(self, name: str) -> list[str]:
        """Return the values of a field, in order of its lines."""
        return [value for key, value in self.fields if key == name]


def read_strictly(received: bytes) -> StrictResponse:
    """Return the final response of a connection that has been closed.

    Args:
        received: all bytes of the connection.

    Raises:
        NotHttpError: a byte of it is not allowed, or it is not complete.
    """
    status, fields, rest = _read_head(received)
    while status < FIRST_FINAL_STATUS:
        status, fields, rest = _read_head(rest)
    response = StrictResponse(status, fields, rest)
    lengths = set(response.values('content-length'))
    codings = response.values('transfer-encoding')
    if status in BODILESS_STATUSES:
        _check_bodiless(response, lengths, codings)
        return StrictResponse(status, fields, b'', rest)
    if codings:
        if lengths or [coding.lower() for coding in codings] != ['chunked']:
            raise NotHttpError('two ways to read the length')
        body, excess = _read_chunks(rest)
    elif lengths:
        body, excess = _read_counted(rest, lengths)
    else:
        body, excess = rest, b''
    return StrictResponse(status, fields, body, excess)


def _read_head(
    received: bytes,
) -> tuple[int, tuple[tuple[str, str], ...], bytes]:
    head, end, rest = received.partition(LINE_END * 2)
    status_line, _, lines = head.partition(LINE_END)
    start = STATUS_LINE.fullmatch(status_line)
    unfolded = FOLD.sub(b' ', lines).split(LINE_END) if lines else []
    fields = [FIELD.fullmatch(line) for line in unfolded]
    if not end or start is None or None in fields:
        raise NotHttpError('no head')
    return (
        int(start[1]),
        tuple(
            (field[1].decode().lower(), field[2].decode('latin-1'))
            for field in fields
            if field
        ),
        rest,
    )


def _check_bodiless(
    response: StrictResponse, lengths: set[str], codings: list[str]
) -> None:
    if response.status == NO_CONTENT and (codings or lengths - {'0'}):
        raise NotHttpError('a body that the status does not allow')


def _read_counted(rest: bytes, lengths: set[str]) -> tuple[bytes, bytes]:
    length = lengths.pop()
    if lengths or not length.isdecimal() or int(length) > len(rest):
        raise NotHttpError('no length, or not all of the body')
    return rest[: int(length)], rest[int(length) :]


def _read_chunks(rest: bytes) -> tuple[bytes, bytes]:
    body = b''
    while True:
        line, end, rest = rest.partition(LINE_END)
        size = CHUNK_SIZE.fullmatch(line)
        if not end or size is None:
            raise NotHttpError('no chunk')
        count = int(size[1], HEXADECIMAL)
        if not count:
            return body, _after_trailers(rest)
        if rest[count : count + len(LINE_END)] != LINE_END:
            raise NotHttpError('a chunk does not end')
        body += rest[:count]
        rest = rest[count + len(LINE_END) :]


def _after_trailers(rest: bytes) -> bytes:
    while True:
        line, end, rest = rest.partition(LINE_END)
        if not end or (line and not FIELD.fullmatch(line)):
            raise NotHttpError('no trailer')
        if not line:
            return rest
