"""Backend servers: discovery, load, health and placement of requests."""

from celerywharf.backends._directory import Directory
from celerywharf.backends._health import ServerHealth
from celerywharf.backends._loads import Loads
from celerywharf.backends._loss_checks import (
    LossCheck,
    LossChecks,
    Suspicion,
)
from celerywharf.backends._placement import Demand, Placement
from celerywharf.backends._reachability import Reachability
from celerywharf.backends._servers import (
    BackendServer,
    EngineReport,
    ServerLoad,
)
from celerywharf.backends._software_versions import (
    VERSIONS_KEPT_S,
    SoftwareVersions,
)
from celerywharf.backends._windows import WindowChange

__all__ = (
    'VERSIONS_KEPT_S',
    'BackendServer',
    'Demand',
    'Directory',
    'EngineReport',
    'Loads',
    'LossCheck',
    'LossChecks',
    'Placement',
    'Reachability',
    'ServerHealth',
    'ServerLoad',
    'SoftwareVersions',
    'Suspicion',
    'WindowChange',
)
