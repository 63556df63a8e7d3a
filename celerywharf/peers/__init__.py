"""Passing requests through another host to a service that this one lacks.

A host that has lost every path to a service, while callers still reach it,
relays their requests to a host that has one.  A request takes one such hop at
most.
"""

from celerywharf.peers._admission import RelayAdmission
from celerywharf.peers._directory import PeerDirectory, PeerHost
from celerywharf.peers._paths import PeerPaths, PeerSource
from celerywharf.peers._relays import (
    RELAY_HEADER,
    Relay,
    RelayReport,
    RelayResult,
    key_digest,
    read_relay,
    read_report,
    write_relay,
    write_report,
)

__all__ = (
    'RELAY_HEADER',
    'PeerDirectory',
    'PeerHost',
    'PeerPaths',
    'PeerSource',
    'Relay',
    'RelayAdmission',
    'RelayReport',
    'RelayResult',
    'key_digest',
    'read_relay',
    'read_report',
    'write_relay',
    'write_report',
)
