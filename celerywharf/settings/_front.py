"""The sections and keys of the settings of a front."""

from __future__ import annotations

import re
from typing import Annotated

from pydantic import BeforeValidator, Field

from celerywharf.settings._models import (
    AddressField,
    LogSection,
    Name,
    Seconds,
    Section,
)

Milliseconds = Annotated[float, Field(gt=0, le=3_600_000)]


def _pairs(value: object) -> object:
    if not isinstance(value, str):
        return value
    words = [word for word in re.split(r'[,\s]+', value) if word]
    return dict(word.split('=', 1) for word in words)


ZoneMap = Annotated[dict[str, str], BeforeValidator(_pairs)]


class FrontSection(Section):
    """``[front]``: who this front is and where it listens."""

    name: Name = Field(description='unique name of this front')
    availability_zone: Name = Field(description='zone it stands in')
    listen: AddressField = Field(description='callers, ip:port')
    health: AddressField = Field(description='health check, ip:port')
    metrics: AddressField | None = Field(
        default=None,
        description='metrics, ip:port; they are also beside the health check',
    )
    peers: AddressField | None = Field(
        default=None,
        description=(
            'other fronts of the zone, ip:port; one of them reads the store '
            'for the others, without it this front reads for itself'
        ),
    )


class ZoneSection(Section):
    """``[zones]``: where availability zones lie."""

    regions: ZoneMap = Field(
        default_factory=dict,
        description='zone=region zone=region ...',
    )


class StoreSection(Section):
    """``[store]``: the platform's metadata store."""

    address: AddressField = Field(description='ip:port')


class BoundSection(Section):
    """``[bounds]``: what the users of the system allow."""

    revoke_ms: Milliseconds = Field(
        default=5000,
        description='a key that was taken away works no longer than this',
    )
    grace_s: Seconds = Field(
        default=8,
        description='from SIGTERM to SIGKILL',
    )
    retry_ratio: float = Field(
        default=0.8,
        gt=0,
        description='retries over requests of a service, over all hosts',
    )
    retry_window_s: Seconds = Field(
        default=10,
        description='span in which retries are counted',
    )
    retry_slack: float = Field(
        default=150,
        ge=0,
        description='retries allowed beyond the ratio, over all hosts',
    )


class FrontSettings(Section):
    """All settings of a front."""

    front: FrontSection
    store: StoreSection
    zones: ZoneSection = Field(default_factory=ZoneSection)
    bounds: BoundSection = Field(default_factory=BoundSection)
    log: LogSection = Field(default_factory=LogSection)
