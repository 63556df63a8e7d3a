"""Sound answers with one wrong byte: answers that HTTP allows, or failures.

A head with one bare line feed had its remaining lines taken for the body.
"""

import asyncio
import os
import re
from random import Random

import pytest

from celerywharf.adapters import CurlTransport
from celerywharf.adapters.transports import HttpRequest, field_lines
from celerywharf.exceptions import TransportError
from celerywharf.platform import read_answer_headers
from standins.strict_reader import FIELD, NotHttpError, read_strictly

SEED = int(os.environ.get('SPOILED_SEED', '1'))
# Values tried at each position beside those that delimit; up to 255.
COUNT = int(os.environ.get('SPOILED_VALUES', '6'))
DELIMITERS = b'\r\n\t :0'
TIMEOUT_S = 3
CONCURRENT = 50
REQUEST_ID = 'r1'
NUMBER = re.compile(rb'\d+')
SIGNED = 'Attempt-Id: r1\r\nServer-Stamp: 3e1b.07\r\n'
CHUNKS = '12\r\n{"a": "b c", "d":1\r\n1\r\n}\r\n0\r\nX-T: y\r\n\r\n'
EVENTS = 'id: 1\ndata: word-1\n\nid: 2\ndata: word-2\n\n'
SUCCESS = f'HTTP/1.1 200 OK\r\n{SIGNED}'
BUSY = f'HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n{SIGNED}Retry-After: 0.5\r\n'
ANSWERS = {
    'length': f'{SUCCESS}Content-Length: 12\r\n\r\n{{"a": "b c"}}',
    'stream': f'{SUCCESS}Content-Type: text/event-stream\r\n\r\n{EVENTS}',
    'refusal': f'{BUSY}Content-Length: 2\r\n\r\n{{}}',
    'interim': (
        'HTTP/1.1 103 Hints\r\nX-A: b\r\n\r\n'
        f'{SUCCESS}Content-Length: 2\r\n\r\n{{}}'
    ),
    'chunks': f'{SUCCESS}Transfer-Encoding: chunked\r\n\r\n{CHUNKS}',
}


class Spoiler:
    """Answers the request for path ``/N`` with the N-th of its answers."""

    def __init__(self, answers):
        self.answers = answers

    async def on_connection(self, reader, writer):
        try:
            head = await reader.readuntil(b'\r\n\r\n')
            await reader.readexactly(len(b'{}'))
            writer.write(self.answers[int(NUMBER.search(head)[0])])
        except (asyncio.IncompleteReadError, OSError):
            return
        finally:
            writer.close()


async def fetch_all(answers):
    """Return the response to each request; None for a failed one."""
    server = await asyncio.start_server(
        Spoiler(answers).on_connection, '127.0.0.1', 0
    )
    port = server.sockets[0].getsockname()[1]
    transport = CurlTransport()
    limit = asyncio.Semaphore(CONCURRENT)

    async def fetch(number):
        request = HttpRequest(
            'POST',
            f'http://127.0.0.1:{port}/{number}',
            {'Attempt-Id': REQUEST_ID},
            b'{}',
            fresh_connection=True,
            timeout_s=TIMEOUT_S,
        )
        async with limit:
            try:
                return await transport.fetch(request)
            except TransportError:
                return None

    try:
        return await asyncio.gather(*map(fetch, range(len(answers))))
    finally:
        transport.close()
        server.close()


def spoil(sound):
    """Return copies of an answer, each with one wrong byte."""
    random = Random(SEED)
    answers = []
    for place, right in enumerate(sound):
        values = set(random.sample(range(256), COUNT)).union(DELIMITERS)
        answers += [
            sound[:place] + bytes([value]) + sound[place + 1 :]
            for value in values - {right}
        ]
    return answers


def read_or_none(received):
    try:
        return read_strictly(received)
    except NotHttpError:
        return None


def is_sound(response, spoiled, sound):
    """Return whether a caller may get a response, or does not get it."""
    headers = response and read_answer_headers(response.headers)
    if not headers or headers.encoded or not headers.signed:
        return True
    for name, value in field_lines(headers.forwarded):
        if not FIELD.fullmatch(f'{name}: {value}'.encode('latin-1')):
            return False
    strict = read_or_none(spoiled)
    if strict is None:
        return response.body == read_strictly(sound).body
    return (response.status, response.body) == (strict.status, strict.body)


@pytest.mark.parametrize('kind', ANSWERS)
def test_an_answer_with_a_wrong_byte_is_as_a_strict_reader_reads_it(kind):
    sound = ANSWERS[kind].encode()
    answers = spoil(sound)
    responses = asyncio.run(fetch_all([sound, *answers]))
    assert responses[0].body == read_strictly(sound).body
    assert any(responses[1:])
    unsound = [
        (spoiled, response)
        for spoiled, response in zip(answers, responses[1:], strict=True)
        if not is_sound(response, spoiled, sound)
    ]
    assert not unsound
