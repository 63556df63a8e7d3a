"""Which software version of the engines began a stream."""

from celerywharf.origins._register import (
    MAX_LIFETIME_S,
    MAX_ORIGINS,
    OriginRegister,
    StreamOrigin,
)
from celerywharf.origins._streams import OriginSource, StreamOrigins

__all__ = (
    'MAX_LIFETIME_S',
    'MAX_ORIGINS',
    'OriginRegister',
    'OriginSource',
    'StreamOrigin',
    'StreamOrigins',
)
