"""Requests that are malformed, or hide another request, drawn from a seed."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from standins.fronts import CALL_PATH, request_headers

MOST_HEADER_BYTES = 200_000
LONGEST_BODY = 400
REQUEST_LINE = f'POST {CALL_PATH} HTTP/1.1'
TOO_LARGE = 'ffffffffffffffff'  # a chunk's size, in hexadecimal
END_OF_CHUNKS = b'0\r\n\r\n'


@dataclass(frozen=True, slots=True)
class Input:
    """Bytes for one connection.

    Attributes:
        kind: what is wrong with them.
        content: the bytes.
        request_id: of the request that they begin with.
        hidden_id: of a request inside its body, which nobody sent.
        may_run: whether the first request may run.
    """

    kind: str
    content: bytes
    request_id: str
    hidden_id: str
    may_run: bool = False


@dataclass(frozen=True, slots=True)
class _Parts:
    request_id: str
    hidden: bytes
    random: Random

    def build(
        self,
        *more: str,
        body: bytes = b'',
        line: str = REQUEST_LINE,
        end: str = '\r\n',
    ) -> bytes:
        """Return a request with extra header lines."""
        headers = request_headers(Attempt_Id=self.request_id)
        lines = [line, *(f'{name}: {text}' for name, text in headers.items())]
        head = end.join([*lines, *more, '', ''])
        return b''.join((head.encode('latin-1'), body))

    def sized(self, size: str) -> bytes:
        """Return a request that states its length in some way."""
        return self.build(f'Content-Length: {size}', body=self.hidden)

    def chunked(self, coding: str, size: str | None = None) -> bytes:
        """Return a request with one chunk, whose size is written as told."""
        if size is None:
            size = f'{len(self.hidden):x}'
        body = b'\r\n'.join((size.encode(), self.hidden, END_OF_CHUNKS))
        return self.build(f'Transfer-Encoding: {coding}', body=body)


Build = Callable[[_Parts], bytes]

BAD: dict[str, Build] = {
    'two lengths': lambda one: one.build(
        'Content-Length: 0',
        f'Content-Length: {len(one.hidden)}',
        body=one.hidden,
    ),
    'a list of lengths': lambda one: one.sized(f'0, {len(one.hidden)}'),
    'a length and chunks': lambda one: one.build(
        f'Content-Length: {len(one.hidden) + 5}',
        'Transfer-Encoding: chunked',
        body=b''.join((END_OF_CHUNKS, one.hidden)),
    ),
    'a negative length': lambda one: one.sized('-1'),
    'a length with a sign': lambda one: one.sized(f'+{len(one.hidden)}'),
    'a length in hexadecimal': lambda one: one.sized('0x10'),
    'a length that is no number': lambda one: one.sized('many'),
    'an unknown coding': lambda one: one.chunked('xchunked'),
    'chunks that are not last': lambda one: one.chunked('chunked, identity'),
    'a chunk with a sign': lambda one: one.chunked('chunked', '-5'),
    'a chunk of no number': lambda one: one.chunked('chunked', 'zz'),
    'a chunk of no size': lambda one: one.chunked('chunked', ''),
    'a chunk beyond any limit': lambda one: one.chunked('chunked', TOO_LARGE),
    'a name with a space': lambda one: one.build('Content-Length : 5'),
    'a line without a colon': lambda one: one.build('nothing'),
    'a name of control characters': lambda one: one.build('a\x01b: 1'),
    'headers without end': lambda one: one.build(
        'X: '
        + 'a' * one.random.randint(MOST_HEADER_BYTES // 2, MOST_HEADER_BYTES),
    ),
    'no version': lambda one: one.build(line=f'POST {CALL_PATH}'),
    'another protocol': lambda one: one.build(line='PRI * HTTP/2.0'),
    'a body that ends early': lambda one: one.build(
        f'Content-Length: {len(one.hidden) + 100}',
        body=one.hidden,
    ),
    'noise': lambda one: b'%b\r\n\r\n' % one.random.randbytes(LONGEST_BODY),
}
HARMLESS: dict[str, Build] = {
    'a whole request': lambda one: one.sized(str(len(one.hidden))),
    'whole chunks': lambda one: one.chunked('chunked'),
    'a header that is repeated': lambda one: one.build('X: 1', 'X: 2'),
    'names in capitals': lambda one: one.build('X-UPPER: 1'),
}

# Extensions of chunks are to be ignored by whoever does not know them.
EXTENDED: dict[str, Build] = {
    'a chunk with an extension': lambda one: one.chunked(
        'chunked',
        f'{len(one.hidden):x};a=b',
    ),
}


def draw_input(kind: str, seed: int) -> Input:
    """Return one input of a kind."""
    return _draw(Random(seed), kind, f'{seed:016x}')


def draw_inputs(seed: int, count: int) -> list[Input]:
    """Return inputs of a seed, of all kinds in turn.

    Args:
        seed: same seed, same inputs.
        count: how many.
    """
    random = Random(seed)
    kinds = [*BAD, *HARMLESS]
    random.shuffle(kinds)
    return [
        _draw(random, kinds[number % len(kinds)], f'{seed:08x}{number:08x}')
        for number in range(count)
    ]


def _draw(random: Random, kind: str, request_id: str) -> Input:
    hidden_id = f'hidden-{request_id}'
    inner = _Parts(hidden_id, b'', random).build('Content-Length: 0')
    padding = random.randbytes(random.randint(0, LONGEST_BODY))
    hidden = random.choice((inner, b''.join((inner, padding))))
    parts = _Parts(request_id, hidden, random)
    build = {**BAD, **HARMLESS, **EXTENDED}[kind]
    return Input(kind, build(parts), request_id, hidden_id, kind not in BAD)
