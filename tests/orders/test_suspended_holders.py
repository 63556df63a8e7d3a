"""Leases of orders whose holder's machine is suspended."""

import time
from types import SimpleNamespace

from celerywharf.orders import _leases as leases
from celerywharf.orders._reconciler import Reconciler
from celerywharf.timers import TimerService

LEASE_S = 6


def test_a_lease_lapses_while_its_holder_is_suspended(monkeypatch):
    machine = SimpleNamespace(suspended_s=0)
    monkeypatch.setattr(time, 'monotonic', lambda: 1000.0)
    monkeypatch.setattr(
        time, 'clock_gettime', lambda _: 1000.0 + machine.suspended_s
    )
    host = SimpleNamespace(
        timers=TimerService(),
        transport=None,
        identity=SimpleNamespace(name='h'),
        settings=SimpleNamespace(
            orders=SimpleNamespace(lease_s=LEASE_S, margin_s=1, flight_s=3)
        ),
    )
    engine = SimpleNamespace(name='e', checks_fencing=False)
    reconciler = Reconciler(host, None, engine)
    for message in (
        leases.LeaseNeeded('g'),
        leases.LeaseRead(leases.StoredLease(0, None)),
        leases.LeaseWritten(7),
    ):
        reconciler.lease.decide(message, reconciler._now())
    assert reconciler._may_send_order()
    machine.suspended_s = 10 * LEASE_S
    assert not reconciler._may_send_order()
