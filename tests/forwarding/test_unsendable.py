"""Requests that HTTP cannot carry."""

import asyncio

import pytest

from celerywharf.adapters import CurlTransport
from celerywharf.adapters.transports import HttpRequest
from celerywharf.exceptions import TransportError
from celerywharf.structures import Verdict

URL = 'http://127.0.0.1:9/'


@pytest.mark.parametrize(
    'unsendable',
    [
        HttpRequest('GET', 'http://127.0.0.1\x00:9/'),
        HttpRequest('GET', 'http://127.0.0.é:9/'),
        HttpRequest('GET', URL, {'X': 'a\r\nY: b'}),
        HttpRequest('GET', URL, {'X': 'a\x00'}),
        HttpRequest('GET', URL, {'X': '\u20ac'}),
        HttpRequest('GET', URL, target='/\u20ac'),
        HttpRequest('GET', URL, target='/a\nb'),
        HttpRequest('G\nT', URL),
    ],
)
def test_a_request_that_cannot_be_sent_fails_as_not_run(unsendable):
    async def fetch():
        transport = CurlTransport()
        try:
            await transport.fetch(unsendable)
        finally:
            transport.close()

    with pytest.raises(TransportError) as failure:
        asyncio.run(fetch())
    assert failure.value.verdict is Verdict.not_run
