"""Configurations that are decoded in steps."""

import asyncio
import json

import pytest

from celerywharf.exceptions import ProtocolError
from celerywharf.platform import (
    decode_configuration,
    decode_large_configuration,
)
from celerywharf.platform._documents import ROUTES_AT_ONCE

ROUTES = 3 * ROUTES_AT_ONCE + 1


def document(**changes):
    members = {
        'version': 7,
        'routes': [route(number) for number in range(ROUTES)],
        'services': [{'name': 'desk'}],
        'limits': {
            'maxHeaderBytes': 1,
            'maxBodyBytes': 1,
            'headerTimeoutMs': 1,
            'idleTimeoutMs': 1,
        },
        'tenants': [{'name': 'account', 'apiKeys': ['key']}],
    }
    return json.dumps({**members, **changes}).encode()


def route(number, **changes):
    return {
        'name': f'r-{number}',
        'host': f'h{number % 9}.example',
        'prefix': f'/{number}/',
        'kind': 'idempotent',
        'timeoutMs': 4000,
        'service': 'desk',
        **changes,
    }


def test_steps_give_the_same_configuration():
    steps = asyncio.run(decode_large_configuration(document()))
    assert steps == decode_configuration(document())


def test_other_work_goes_on_between_the_steps():
    turns = []

    async def work():
        while True:
            turns.append(None)
            await asyncio.sleep(0)

    async def play():
        working = asyncio.ensure_future(work())
        await decode_large_configuration(document())
        working.cancel()

    asyncio.run(play())
    assert len(turns) >= ROUTES // ROUTES_AT_ONCE


@pytest.mark.parametrize(
    'text',
    [
        b'{',
        b'[]',
        b'{"version": 7}',
        document(routes=[route(0, kind='other')]),
        document(routes={}),
        document(limits=None),
    ],
)
def test_malformed_documents_are_refused_alike(text):
    with pytest.raises(ProtocolError) as whole:
        decode_configuration(text)
    with pytest.raises(ProtocolError) as steps:
        asyncio.run(decode_large_configuration(text))
    assert steps.value.message == whole.value.message
