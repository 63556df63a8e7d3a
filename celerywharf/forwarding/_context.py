"""What forwarding needs of the host."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from celerywharf.adapters.transports import Transport
from celerywharf.backends import Condition, Loads, Placement
from celerywharf.forwarding._budget import RetryBudget
from celerywharf.forwarding._reports import Reports
from celerywharf.metrics import Metrics
from celerywharf.routing import Knowledge
from celerywharf.timers import TimerService


@dataclass(frozen=True, slots=True)
class Services:
    """Parts of the host that forwarding uses."""

    transport: Transport
    timers: TimerService
    knowledge: Knowledge
    loads: Loads
    condition: Condition
    placement: Placement
    reports: Reports
    budget: RetryBudget
    metrics: Metrics
    random: Random
