"""Servers that fall silent under a call."""

from random import Random
from types import SimpleNamespace

from celerywharf.forwarding._calls import CallForwarding
from celerywharf.forwarding._outcomes import Lost
from celerywharf.quarantine import LossRegister, QuarantineGate
from tests.backends.test_directory import make_server
from tests.forwarding.test_relays import _make_request

SILENCED = 5


def _blocking_trait(outcome):
    """Let sends of a call end so, each after the whole time of a call."""
    now_s = 0
    gate = QuarantineGate(LossRegister(Random(1)), lambda: now_s)
    context = SimpleNamespace(quarantine=gate)
    for number in range(SILENCED):
        call = CallForwarding(context, _make_request(), 'desk', None)
        now_s += call.request.route.timeout_s
        call.record_end(make_server(f's{number}'), outcome)
    return gate.blocking_trait(_make_request().traits)


def test_a_call_that_silences_its_servers_is_kept_from_others():
    assert _blocking_trait(Lost('answer timed out'))


# At a clock that stood still only the first loss of a zone was counted.
def test_a_call_that_crashes_its_servers_is_kept_from_others():
    assert _blocking_trait(Lost('reset', broken=True, begun=True))
