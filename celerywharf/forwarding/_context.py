"""Components of the host that forwarding depends on."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from celerywharf.adapters.transports import Transport
from celerywharf.backends import Loads, Placement, ServerHealth
from celerywharf.forwarding._leases import Leases
from celerywharf.forwarding._reports import Reports
from celerywharf.limits import ServerLimiter
from celerywharf.metrics import Metrics
from celerywharf.origins import StreamOrigins
from celerywharf.peers import PeerPaths
from celerywharf.quarantine import QuarantineGate
from celerywharf.retries import RetryLimiter
from celerywharf.rollouts import RolloutRegister
from celerywharf.routing import ConfigurationCache
from celerywharf.timers import TimerService
from celerywharf.waiting import WaitingRequests


@dataclass(frozen=True, slots=True)
class ForwardingContext:
    """Components of the host, shared by all requests.

    Attributes:
        leases: leases of room at engines; None if this host takes none.
    """

    transport: Transport
    timers: TimerService
    configuration_cache: ConfigurationCache
    loads: Loads
    health: ServerHealth
    placement: Placement
    reports: Reports
    retries: RetryLimiter
    quarantine: QuarantineGate
    limits: ServerLimiter
    origins: StreamOrigins
    peers: PeerPaths
    waiting: WaitingRequests
    metrics: Metrics
    random: Random
    rollouts: RolloutRegister
    leases: Leases | None = None
