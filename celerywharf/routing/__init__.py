"""The operator's configuration as a host holds it, and its freshness."""

from celerywharf.routing._configuration_cache import (
    REWRITE_S,
    ConfigurationCache,
)
from celerywharf.routing._configurations import (
    ClientAccount,
    ClientLimits,
    Configuration,
    ConfigurationListing,
    EngineMemory,
    Route,
    Service,
    WeightedService,
    by_host,
)
from celerywharf.routing._policies import (
    Idempotent,
    NonIdempotent,
    Policy,
    ResumableStream,
    SingleStream,
)
from celerywharf.routing._store_clock import (
    AnswerTiming,
    ClockOffset,
    StoreClock,
)
from celerywharf.routing._urgencies import Urgencies, collect_urgencies

__all__ = (
    'REWRITE_S',
    'AnswerTiming',
    'ClientAccount',
    'ClientLimits',
    'ClockOffset',
    'Configuration',
    'ConfigurationCache',
    'ConfigurationListing',
    'EngineMemory',
    'Idempotent',
    'NonIdempotent',
    'Policy',
    'ResumableStream',
    'Route',
    'Service',
    'SingleStream',
    'StoreClock',
    'Urgencies',
    'WeightedService',
    'by_host',
    'collect_urgencies',
)
