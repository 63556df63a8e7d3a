"""Reads the head of a response, line by line."""

from __future__ import annotations

import re
from http import HTTPStatus

from celerywharf.adapters.transports import (
    FIELD_SEPARATOR,
    FRAMING_HEADERS,
    MAX_HEAD_BYTES,
    is_framed,
)

# Status lines, headers and trailers of one exchange; curl keeps each of them,
# with some hundred bytes more.
MAX_HEAD_LINES = 500
FIRST_FINAL_STATUS = 200  # 1xx responses are interim
STATUS_LINE = re.compile(r'HTTP/\d(?:\.\d)? ([1-5]\d\d)(?: [\t -~\x80-\xff]*)?')
# RFC 9110, 5.1 and 5.5.  Blanks before the colon are not part of the name; RFC
# 9112, 5.1, has proxies remove them from responses.
FIELD_LINE = re.compile(
    r"([!#$%&'*+\-.^_`|~0-9A-Za-z]+)([\t ]*):([\t -~\x80-\xff]*)"
)
BLANKS = ' \t'
# Lengths beyond 63 bits are ignored by curl.
LENGTH = re.compile(r'0*\d{1,18}')
BODILESS_STATUSES = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))


class ResponseHead:
    """The head of a response as far as it has been received.

    Attributes:
        status: of the last status line; 0 before the first, and if it is not
            of three digits, 100 to 599.
        headers: by name in lower case, as in ``HttpResponse``.
        size_bytes: size of all status lines, headers and trailers received.
        line_count: number of these lines.
        is_begun: a status line has arrived and the blank line after it has not.
        line_end: of the first line; empty before it.
        is_malformed: the status line or a field line is invalid, lines end
            differently, or the length of the body is stated in a way that
            receivers read differently.
        is_complete: the final headers have arrived; what follows are trailers,
            which are ignored.
    """

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.size_bytes = 0
        self.line_count = 0
        self.is_begun = False
        self.line_end = ''
        self.is_malformed = False
        self.is_complete = False

    def is_too_large(self) -> bool:
        """Return whether the limits of a head are exceeded."""
        return (
            self.size_bytes > MAX_HEAD_BYTES or self.line_count > MAX_HEAD_LINES
        )

    def count(self, line: bytes) -> None:
        """Count a line of a head or a trailer."""
        self.size_bytes += len(line)
        self.line_count += 1

    def add(self, line: bytes) -> None:
        """Read a line of a head that is not complete."""
        text, line_end = _split_line_end(line.decode('latin-1'))
        if line_end != self.line_end:
            # A line feed that took the place of a carriage return would make
            # the rest of the head a part of the body.
            self.is_malformed |= bool(self.line_end)
            self.line_end = line_end
        if text and self.is_begun:
            self._add_header(text)
        elif text:
            self._begin(text)
        else:
            self.is_begun = False
            self.is_complete = self.status >= FIRST_FINAL_STATUS
            self.is_malformed |= self._has_forbidden_body()

    def ends_with_connection(self, method: str) -> bool:
        """Return whether only the end of the connection ends the response.

        Args:
            method: method of the request.
        """
        if method == 'HEAD' or self.status in BODILESS_STATUSES:
            return False
        return not is_framed(self.headers)

    def _begin(self, text: str) -> None:
        match = STATUS_LINE.fullmatch(text)
        self.status = int(match[1]) if match else 0
        self.is_malformed |= match is None
        self.is_begun = True
        self.headers = {}

    def _has_forbidden_body(self) -> bool:
        """Return whether a body is stated that the status does not allow.

        See RFC 9110, 8.6, and RFC 9112, 6.1.
        """
        if self.status != HTTPStatus.NO_CONTENT:
            return False
        length = self.headers.get('content-length', '0')
        return 'transfer-encoding' in self.headers or bool(int(length))

    def _add_header(self, text: str) -> None:
        match = FIELD_LINE.fullmatch(text)
        if match is None:
            self.is_malformed = True
            return
        name, blanks, value = match.groups()
        key, value = name.lower(), value.strip(BLANKS)
        previous = self.headers.get(key)
        if key in FRAMING_HEADERS:
            self.is_malformed |= bool(blanks) or _is_ambiguous(
                key, value, previous
            )
            self.headers[key] = value
        elif previous is None:
            self.headers[key] = value
        else:
            self.headers[key] = f'{previous}{FIELD_SEPARATOR}{value}'


def _is_ambiguous(name: str, value: str, previous: str | None) -> bool:
    """Return whether receivers read a framing header differently.

    Args:
        name: of the header, in lower case.
        value: of this line.
        previous: value of the line before; None if this is the first.
    """
    if name == 'content-length':
        return not LENGTH.fullmatch(value) or previous not in {None, value}
    # Empty members of a list are ignored (RFC 9110, 5.6.1.2).
    members = [part.strip(BLANKS) for part in value.lower().split(',')]
    codings = list(filter(None, members))
    return codings != ['chunked'] or previous is not None


def _split_line_end(line: str) -> tuple[str, str]:
    """Return a line without its end, and the end."""
    text = line.removesuffix('\n').removesuffix('\r')
    return text, line[len(text) :]
