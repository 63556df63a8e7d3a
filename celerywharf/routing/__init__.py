"""Routes, client accounts and services, and how old this knowledge is."""

from celerywharf.routing._configurations import (
    ClientLimits,
    Configuration,
    EngineMemory,
    Route,
    Service,
    WeightedService,
    by_host,
)
from celerywharf.routing._knowledge import Knowledge, Sighting
from celerywharf.routing._policies import (
    Idempotent,
    NonIdempotent,
    Policy,
    ResumableStream,
    SingleStream,
)

__all__ = (
    'ClientLimits',
    'Configuration',
    'EngineMemory',
    'Idempotent',
    'Knowledge',
    'NonIdempotent',
    'Policy',
    'ResumableStream',
    'Route',
    'Service',
    'Sighting',
    'SingleStream',
    'WeightedService',
    'by_host',
)
