"""Documents of the store and of engines, checked and turned into our types."""

from __future__ import annotations

from typing import Any, Literal, TypeVar

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from pydantic.alias_generators import to_camel

from celerywharf.backends import BackendServer, EngineReport
from celerywharf.exceptions import ProtocolError
from celerywharf.routing import (
    ClientLimits,
    Configuration,
    EngineMemory,
    Idempotent,
    NonIdempotent,
    Policy,
    ResumableStream,
    Route,
    Service,
    SingleStream,
    WeightedService,
    by_host,
)
from celerywharf.structures import Address

MILLISECONDS = 1000
UNKNOWN_CAPACITY_TOKENS = 0


class _Document(BaseModel):
    model_config = ConfigDict(
        alias_generator=to_camel,
        populate_by_name=True,
        extra='ignore',
    )


Model = TypeVar('Model', bound=_Document)


class _Split(_Document):
    service: str
    weight: float


class _Route(_Document):
    name: str
    host: str
    prefix: str
    kind: Literal['idempotent', 'non_idempotent', 'streaming']
    timeout_ms: float
    latency_target_ms: float = 0
    priority: int = 0
    service: str | None = None
    split: list[_Split] = Field(default_factory=list)
    max_attempts: int = 1
    public: bool = False
    stream_resume: bool = False
    gap_target_ms: float = 0

    def policy(self) -> Policy:
        """Return what may be repeated."""
        if self.kind == 'idempotent':
            return Idempotent()
        if self.kind == 'non_idempotent':
            return NonIdempotent()
        if self.stream_resume:
            return ResumableStream(self.gap_target_ms / MILLISECONDS)
        return SingleStream()

    def services(self) -> tuple[WeightedService, ...]:
        """Return where the requests go; ``split`` replaces ``service``."""
        if self.split:
            return tuple(
                WeightedService(part.service, part.weight)
                for part in self.split
            )
        return (WeightedService(self.service or '', 1),)

    def route(self) -> Route:
        """Return the route in our form."""
        return Route(
            name=self.name,
            host=self.host.lower(),
            prefix=self.prefix,
            policy=self.policy(),
            timeout_s=self.timeout_ms / MILLISECONDS,
            latency_target_s=self.latency_target_ms / MILLISECONDS,
            priority=self.priority,
            services=self.services(),
            max_attempts=self.max_attempts,
            public=self.public,
        )


class _Engine(_Document):
    kv_capacity: int = UNKNOWN_CAPACITY_TOKENS
    backups: bool = False


class _Service(_Document):
    name: str
    health_path: str = '/'
    engine: _Engine | None = None

    def service(self) -> Service:
        """Return the service in our form."""
        memory = self.engine and EngineMemory(
            self.engine.kv_capacity,
            self.engine.backups,
        )
        return Service(self.name, self.health_path, memory)


class _Limits(_Document):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class _Tenant(_Document):
    name: str
    api_keys: list[str] = Field(default_factory=list)


class _Configuration(_Document):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits
    tenants: list[_Tenant] | None = None


class _BackendServer(_Document):
    model_config = ConfigDict(
        alias_generator=to_camel,
        extra='ignore',
        strict=True,
    )

    service: str
    address: str
    zone: str
    state: Literal['ready', 'draining']
    slots: int
    seq: int = 0
    born: int = 0
    cold_left_ms: float = 0


class _Report(_Document):
    queued: int
    running: int
    kv_used: int
    kv_total: int
    born: int = 0
    # Only runs that have made an event are listed.
    runs: list[list[Any]] = Field(default_factory=list)


def decode_configuration(text: bytes) -> Configuration:
    """Read the operator's configuration.

    Raises:
        ProtocolError: it is not one.
    """
    document = _validated(_Configuration, text)
    routes = [part.route() for part in document.routes]
    return Configuration(
        version=document.version,
        routes=by_host(routes),
        services={one.name: one.service() for one in document.services},
        accounts={
            key: tenant.name
            for tenant in document.tenants or ()
            for key in tenant.api_keys
        },
        keys_required=document.tenants is not None,
        limits=_limits(document.limits),
    )


def decode_backend_server(name: str, text: bytes) -> BackendServer:
    """Read what a backend server says of itself in the store.

    Raises:
        ProtocolError: it names no backend server to use.
    """
    document = _validated(_BackendServer, text)
    try:
        address = Address.parse(document.address)
    except ValueError as error:
        raise ProtocolError(f'backend server {name}: {error}') from None
    return BackendServer(
        name=name,
        service=document.service,
        address=address,
        availability_zone=document.zone,
        slots=document.slots,
        draining=document.state == 'draining',
        born_ms=document.born,
        sequence=document.seq,
        warm_up_left_s=document.cold_left_ms / MILLISECONDS,
    )


def decode_report(text: bytes) -> EngineReport:
    """Read an engine's report of its load.

    Raises:
        ProtocolError: it is not one.
    """
    document = _validated(_Report, text)
    return EngineReport(
        waiting=document.queued,
        running=document.running,
        prefilling=max(0, document.running - len(document.runs)),
        used_tokens=document.kv_used,
        capacity_tokens=document.kv_total,
        born_ms=document.born,
        answering=frozenset(str(run[0]) for run in document.runs if run),
    )


def _limits(document: _Limits) -> ClientLimits:
    return ClientLimits(
        header_bytes=document.max_header_bytes,
        body_bytes=document.max_body_bytes,
        header_timeout_s=document.header_timeout_ms / MILLISECONDS,
        idle_timeout_s=document.idle_timeout_ms / MILLISECONDS,
    )


def _validated(model: type[Model], text: bytes) -> Model:
    try:
        return model.model_validate_json(text)
    except ValidationError as error:
        raise ProtocolError(f'{model.__name__}: {error}') from None
