"""Which software version of the engines began a stream."""

from celerywharf.origins._history import (
    MAX_VERSIONS,
    Recorder,
    VersionEntry,
    VersionHistory,
)
from celerywharf.origins._register import (
    MAX_LIFETIME_S,
    MAX_ORIGINS,
    OriginRegister,
    StreamOrigin,
)
from celerywharf.origins._streams import (
    Evidence,
    OriginKnowledge,
    OriginSource,
    StreamOrigins,
)

__all__ = (
    'MAX_LIFETIME_S',
    'MAX_ORIGINS',
    'MAX_VERSIONS',
    'Evidence',
    'OriginKnowledge',
    'OriginRegister',
    'OriginSource',
    'Recorder',
    'StreamOrigin',
    'StreamOrigins',
    'VersionEntry',
    'VersionHistory',
)
