"""State that engines report to the holder of their lease."""

import asyncio
import json

import pytest

from celerywharf.adapters.orders import OrderClient
from celerywharf.adapters.transports import HttpResponse, Transport
from celerywharf.exceptions import BackendServerError

STATE = {
    'models': ['m'],
    'role': 'both',
    'version': '1',
    'running': 0,
    'waiting': 0,
    'report_age_s': 0.1,
}


class FixedTransport(Transport):
    """Answers each request with the same body."""

    def __init__(self, content):
        self.body = json.dumps(content).encode()

    async def fetch(self, request):
        """Return the answer."""
        return HttpResponse(200, {}, self.body)

    def stream(self, request, sink):
        """Fail, because no stream is expected."""
        raise AssertionError('unexpected stream')

    def close(self):
        """Do nothing."""


def read_state(content):
    client = OrderClient(FixedTransport(content))
    return asyncio.run(client.read_state('http://127.0.0.1:1'))


def test_a_complete_state_is_read():
    assert read_state(STATE).models == {'m'}


@pytest.mark.parametrize('missing', sorted(STATE))
def test_a_state_without_a_field_is_an_error_of_the_engine(missing):
    content = {name: text for name, text in STATE.items() if name != missing}
    with pytest.raises(BackendServerError):
        read_state(content)


@pytest.mark.parametrize('content', [[], 'state', 1, None, {'models': 3}])
def test_another_document_is_an_error_of_the_engine(content):
    with pytest.raises(BackendServerError):
        read_state(content)
