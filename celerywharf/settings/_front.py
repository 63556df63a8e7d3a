"""Sections and keys of the settings of a front."""

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


def _parse_pairs(value: object) -> object:
    if not isinstance(value, str):
        return value
    pairs = [pair for pair in re.split(r'[,\s]+', value) if pair]
    return dict(pair.split('=', 1) for pair in pairs)


ZoneMap = Annotated[dict[str, str], BeforeValidator(_parse_pairs)]


class FrontSection(Section):
    """``[front]``: identity and addresses of this front."""

    name: Name = Field(description='unique name of this front')
    availability_zone: Name = Field(
        description='availability zone of this front'
    )
    listen: AddressField = Field(description='address for callers, ip:port')
    health: AddressField = Field(
        description='address of the health check, ip:port'
    )
    metrics: AddressField | None = Field(
        default=None,
        description=(
            'address of the metrics, ip:port; '
            'the health address serves them too'
        ),
    )
    peers: AddressField | None = Field(
        default=None,
        description=(
            'address for other fronts of the zone, ip:port; one front reads '
            'the store for all of them; if unset, this front reads it itself'
        ),
    )
    relay: AddressField | None = Field(
        default=None,
        description=(
            'address at which other fronts pass requests on while they reach '
            'no backend server, ip:port; needs an address for other fronts; '
            'if unset, requests are neither passed on nor taken in'
        ),
    )


class ZoneSection(Section):
    """``[zones]``: regions of the availability zones."""

    regions: ZoneMap = Field(
        default_factory=dict,
        description='zone=region zone=region ...',
    )


class StoreSection(Section):
    """``[store]``: the platform's metadata store."""

    address: AddressField = Field(description='address of the store, ip:port')


class BoundSection(Section):
    """``[bounds]``: limits that the users of the system set."""

    revoke_ms: Milliseconds = Field(
        default=5000,
        description=(
            'milliseconds within which a revoked key stops being accepted'
        ),
    )
    grace_s: Seconds = Field(
        default=8,
        description='seconds from SIGTERM to SIGKILL',
    )
    retry_ratio: float = Field(
        default=0.8,
        gt=0,
        description=(
            'largest ratio of retries to requests of a service, over all hosts'
        ),
    )
    retry_window_s: Seconds = Field(
        default=10,
        description='seconds over which retries and requests are counted',
    )
    retry_slack: float = Field(
        default=150,
        ge=0,
        description='retries allowed beyond the ratio, over all hosts',
    )
    exposure_share: float | None = Field(
        default=None,
        gt=0,
        le=1,
        description=(
            'largest share of the requests to a service that a software '
            'version on trial gets until the deadline of its roll-out, over '
            'all hosts; if unset, services are not rolled out by order'
        ),
    )
    exposure_slack: float = Field(
        default=0,
        ge=0,
        description='requests allowed beyond that share, over all hosts',
    )
    rollback_ms: Milliseconds = Field(
        default=5000,
        description=(
            'milliseconds after the 50th bad answer of a software version on '
            'trial within which all hosts stop sending to it'
        ),
    )


class BackendSection(Section):
    """``[backends]``: how backend servers are used."""

    recovery_windows: bool = Field(
        default=False,
        description=(
            'limit what all hosts together have in progress at a backend '
            'server that has just started or recovered, until its answers '
            'are sound, at engines that grant leases only after an ejection; '
            'if not, each host limits its own requests after an ejection'
        ),
    )


class FrontSettings(Section):
    """All settings of a front."""

    front: FrontSection
    store: StoreSection
    zones: ZoneSection = Field(default_factory=ZoneSection)
    bounds: BoundSection = Field(default_factory=BoundSection)
    backends: BackendSection = Field(default_factory=BackendSection)
    log: LogSection = Field(default_factory=LogSection)
