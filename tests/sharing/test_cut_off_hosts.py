"""Hosts that reach few services, as they announce themselves."""

from random import Random
from types import SimpleNamespace

import pytest

from celerywharf.peers import PeerHost
from celerywharf.platform import boot_time_s
from celerywharf.sharing._peer_exchange import PeerExchange
from celerywharf.structures import Address


def exchange_of(own):
    shared_store = SimpleNamespace(
        inquiries=SimpleNamespace(announcer=None),
        server=SimpleNamespace(subscribe=lambda *_: None),
    )
    readers = SimpleNamespace(own_zone='north-1')
    return PeerExchange(
        shared_store, readers, lambda: own, ['north-1'], Random(1)
    )


@pytest.mark.parametrize('services', [1, 64, 65, 3000])
def test_a_host_is_not_chosen_for_a_service_that_it_does_not_reach(services):
    cut_off = frozenset(f'service-{number}' for number in range(services))
    address = Address('127.0.0.1', 1)
    host = PeerHost('f1', 'north-1', address, b'key', 0, cut_off)
    reader = exchange_of(None)
    reader.on_announced(exchange_of(host).announcement())
    chosen = {
        service
        for service in cut_off
        if reader.directory.choose(service, (), boot_time_s())
    }
    assert not chosen
