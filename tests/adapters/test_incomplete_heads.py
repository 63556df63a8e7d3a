"""Answers whose final head is not complete are failed sends."""

import asyncio

import pytest

from celerywharf.adapters import CurlTransport
from celerywharf.adapters.transports import HttpRequest
from celerywharf.exceptions import TransportError
from celerywharf.structures import Verdict
from standins.broken_answers import (
    BROKEN_BODIES,
    BROKEN_HEADS,
    CLOSED,
    RESET,
    WHOLE_ANSWERS,
    BreakingServer,
)

BROKEN = BROKEN_HEADS | BROKEN_BODIES
OK = 200


class RecordingSink:
    """Records the parts of an answer and its end."""

    def __init__(self):
        self.status = 0
        self.body = b''
        self.ended = asyncio.get_running_loop().create_future()

    def on_headers(self, status, _headers):
        """Record the status."""
        assert not self.status
        self.status = status

    def on_chunk(self, chunk):
        """Record a part of the body."""
        self.body += chunk

    def on_end(self, error):
        """Record the end."""
        self.ended.set_result(error)


def _request(address, **options):
    return HttpRequest(
        'POST',
        f'http://{address}/',
        {'Attempt-Id': 'r1'},
        b'{}',
        fresh_connection=True,
        **options,
    )


def _run(act):
    async def run():
        transport = CurlTransport()
        try:
            return await act(transport)
        finally:
            transport.close()

    return asyncio.run(run())


def _stream(address):
    async def act(transport):
        sink = RecordingSink()
        transport.stream(_request(address), sink)
        return await sink.ended, sink

    return _run(act)


def _fetch(address, **options):
    return _run(lambda transport: transport.fetch(_request(address, **options)))


@pytest.mark.parametrize('ending', [CLOSED, RESET])
@pytest.mark.parametrize('cut', BROKEN)
def test_a_fetch_of_an_answer_that_is_cut_is_not_a_response(cut, ending):
    with (
        BreakingServer(BROKEN[cut], ending=ending) as server,
        pytest.raises(TransportError) as failure,
    ):
        _fetch(server.address)
    assert failure.value.verdict is Verdict.may_have_run
    assert failure.value.answer_begun == (cut in BROKEN_BODIES)
    assert server.request_ids == ['r1']


@pytest.mark.parametrize('ending', [CLOSED, RESET])
@pytest.mark.parametrize('cut', BROKEN)
def test_a_stream_that_is_cut_does_not_end_as_complete(cut, ending):
    with BreakingServer(BROKEN[cut], ending=ending) as server:
        error, sink = _stream(server.address)
    assert isinstance(error, TransportError)
    assert error.verdict is Verdict.may_have_run
    has_head = cut in BROKEN_BODIES
    assert bool(sink.status) == has_head
    assert has_head or not sink.body


@pytest.mark.parametrize('whole', WHOLE_ANSWERS)
def test_an_answer_whose_head_ends_properly_is_a_response(whole):
    with BreakingServer(WHOLE_ANSWERS[whole]) as server:
        response = _fetch(server.address)
        error, sink = _stream(server.address)
    assert (response.status, response.body) == (OK, b'{}')
    assert (error, sink.status, sink.body) == (None, OK, b'{}')


def test_a_connection_without_a_request_needs_no_head():
    with BreakingServer('') as server:
        response = _fetch(server.address, connect_only=True)
    assert not response.status
    assert not server.request_ids
