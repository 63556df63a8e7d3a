"""Moves the requests of a service to another software version.

The operator orders it, and hosts send the new version a small part of the
requests until its answers have been compared with those of the other versions.
Then all requests go there, or none any more.

The decisions are plain classes without sockets and clocks.  ``sharing`` carries
the counts to the one host that decides, and its steps to all hosts.
"""

from celerywharf.rollouts._arrivals import Arrivals
from celerywharf.rollouts._bounds import RolloutBounds
from celerywharf.rollouts._counts import (
    BUCKETS,
    RouteTally,
    ServiceTally,
    bucket_of,
)
from celerywharf.rollouts._decider import (
    COUNTED_S,
    StepDecider,
    View,
    first_step,
)
from celerywharf.rollouts._evidence import Verdict, judge
from celerywharf.rollouts._register import ANY_VERSION, Choice, RolloutRegister
from celerywharf.rollouts._sends import VersionSend
from celerywharf.rollouts._steps import RolloutOrder, RolloutStep, Stage

__all__ = (
    'ANY_VERSION',
    'Arrivals',
    'BUCKETS',
    'COUNTED_S',
    'Choice',
    'RolloutBounds',
    'RolloutOrder',
    'RolloutRegister',
    'RolloutStep',
    'RouteTally',
    'ServiceTally',
    'Stage',
    'StepDecider',
    'Verdict',
    'VersionSend',
    'View',
    'bucket_of',
    'first_step',
    'judge',
)
