"""Forwards callers' requests to backend servers and returns the answers."""

from celerywharf.forwarding._caller import Caller
from celerywharf.forwarding._context import ForwardingContext
from celerywharf.forwarding._forwarder import Forwarder
from celerywharf.forwarding._leases import Leases
from celerywharf.forwarding._reports import Reports
from celerywharf.forwarding._requests import IncomingRequest

__all__ = (
    'Caller',
    'Forwarder',
    'ForwardingContext',
    'IncomingRequest',
    'Leases',
    'Reports',
)
