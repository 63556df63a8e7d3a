"""Random malformed requests and request-smuggling attempts, from a seed."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from standins.fronts import CALL_PATH, request_headers

MAX_HEADER_BYTES = 200_000
MAX_PADDING_BYTES = 400
REQUEST_LINE = f'POST {CALL_PATH} HTTP/1.1'
OVERSIZED_CHUNK = 'ffffffffffffffff'  # chunk size in hexadecimal
LAST_CHUNK = b'0\r\n\r\n'


@dataclass(frozen=True, slots=True)
class Input:
    """Bytes to send on one connection.

    Attributes:
        kind: description, a key of `MALFORMED`, `VALID` or `EXTENDED`.
        content: the bytes.
        request_id: id of the request at the start.
        hidden_id: id of a request inside the body, which must never run.
        may_run: whether the request at the start is valid and may run.
    """

    kind: str
    content: bytes
    request_id: str
    hidden_id: str
    may_run: bool = False


@dataclass(frozen=True, slots=True)
class _RequestParts:
    request_id: str
    hidden: bytes
    random: Random

    def build(
        self,
        *header_lines: str,
        body: bytes = b'',
        request_line: str = REQUEST_LINE,
        line_end: str = '\r\n',
    ) -> bytes:
        """Return a request with additional header lines."""
        headers = request_headers(Attempt_Id=self.request_id)
        head_lines = [
            request_line,
            *(f'{name}: {text}' for name, text in headers.items()),
        ]
        head = line_end.join([*head_lines, *header_lines, '', ''])
        return b''.join((head.encode('latin-1'), body))

    def sized(self, size: str) -> bytes:
        """Return a request with the given Content-Length, valid or not."""
        return self.build(f'Content-Length: {size}', body=self.hidden)

    def chunked(self, transfer_coding: str, size: str | None = None) -> bytes:
        """Return a request with one chunk.

        Args:
            transfer_coding: text of the Transfer-Encoding header.
            size: text sent as the size of the chunk, valid or not; None sends
                the right one.
        """
        if size is None:
            size = f'{len(self.hidden):x}'
        body = b'\r\n'.join((size.encode(), self.hidden, LAST_CHUNK))
        return self.build(f'Transfer-Encoding: {transfer_coding}', body=body)


Builder = Callable[[_RequestParts], bytes]

MALFORMED: dict[str, Builder] = {
    'two lengths': lambda parts: parts.build(
        'Content-Length: 0',
        f'Content-Length: {len(parts.hidden)}',
        body=parts.hidden,
    ),
    'a list of lengths': lambda parts: parts.sized(f'0, {len(parts.hidden)}'),
    'a length and chunks': lambda parts: parts.build(
        f'Content-Length: {len(parts.hidden) + 5}',
        'Transfer-Encoding: chunked',
        body=b''.join((LAST_CHUNK, parts.hidden)),
    ),
    'a negative length': lambda parts: parts.sized('-1'),
    'a length with a plus sign': lambda parts: parts.sized(
        f'+{len(parts.hidden)}'
    ),
    'a length in hexadecimal': lambda parts: parts.sized('0x10'),
    'a length that is not a number': lambda parts: parts.sized('many'),
    'an unknown transfer coding': lambda parts: parts.chunked('xchunked'),
    'a transfer coding after chunked': lambda parts: parts.chunked(
        'chunked, identity'
    ),
    'a chunk with a negative size': lambda parts: parts.chunked(
        'chunked', '-5'
    ),
    'a chunk size that is not a number': lambda parts: parts.chunked(
        'chunked', 'zz'
    ),
    'a chunk without a size': lambda parts: parts.chunked('chunked', ''),
    'a chunk size over any limit': lambda parts: parts.chunked(
        'chunked', OVERSIZED_CHUNK
    ),
    'a header name with a space': lambda parts: parts.build(
        'Content-Length : 5'
    ),
    'a header line without a colon': lambda parts: parts.build('nothing'),
    'a header name with a control character': lambda parts: parts.build(
        'a\x01b: 1'
    ),
    'headers over the size limit': lambda parts: parts.build(
        'X: '
        + 'a' * parts.random.randint(MAX_HEADER_BYTES // 2, MAX_HEADER_BYTES),
    ),
    'a request without a version': lambda parts: parts.build(
        request_line=f'POST {CALL_PATH}'
    ),
    'another protocol': lambda parts: parts.build(
        request_line='PRI * HTTP/2.0'
    ),
    'a body that ends early': lambda parts: parts.build(
        f'Content-Length: {len(parts.hidden) + 100}',
        body=parts.hidden,
    ),
    'random bytes': lambda parts: (
        b'%b\r\n\r\n' % parts.random.randbytes(MAX_PADDING_BYTES)
    ),
}
VALID: dict[str, Builder] = {
    'a complete request': lambda parts: parts.sized(str(len(parts.hidden))),
    'complete chunks': lambda parts: parts.chunked('chunked'),
    'a repeated header': lambda parts: parts.build('X: 1', 'X: 2'),
    'a header name in capitals': lambda parts: parts.build('X-UPPER: 1'),
}

# RFC 9112, 7.1.1, has recipients ignore chunk extensions.  Tornado refuses
# them, because they have been used to smuggle requests.
EXTENDED: dict[str, Builder] = {
    'a chunk with an extension': lambda parts: parts.chunked(
        'chunked',
        f'{len(parts.hidden):x};a=b',
    ),
}


def draw_input(kind: str, seed: int) -> Input:
    """Return one input of a kind; the same seed gives the same input."""
    return _build_input(Random(seed), kind, f'{seed:016x}')


def draw_inputs(seed: int, count: int) -> list[Input]:
    """Return inputs of a seed, cycling through the kinds in random order.

    Args:
        seed: the same seed gives the same inputs.
        count: number of inputs.
    """
    random = Random(seed)
    kinds = [*MALFORMED, *VALID]
    random.shuffle(kinds)
    return [
        _build_input(
            random, kinds[number % len(kinds)], f'{seed:08x}{number:08x}'
        )
        for number in range(count)
    ]


def _build_input(random: Random, kind: str, request_id: str) -> Input:
    hidden_id = f'hidden-{request_id}'
    inner = _RequestParts(hidden_id, b'', random).build('Content-Length: 0')
    padding = random.randbytes(random.randint(0, MAX_PADDING_BYTES))
    hidden = random.choice((inner, b''.join((inner, padding))))
    parts = _RequestParts(request_id, hidden, random)
    builder = {**MALFORMED, **VALID, **EXTENDED}[kind]
    return Input(
        kind, builder(parts), request_id, hidden_id, kind not in MALFORMED
    )
