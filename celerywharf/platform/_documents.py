"""Decodes and validates JSON documents of the store and of engines."""

from __future__ import annotations

import asyncio
import functools
import re
from collections.abc import Callable, Mapping, Sequence
from typing import Annotated, Any, Literal, TypeVar

from pydantic import (
    BaseModel,
    ConfigDict,
    Field,
    StrictInt,
    TypeAdapter,
    ValidationError,
    WrapValidator,
    create_model,
)
from pydantic.alias_generators import to_camel

from celerywharf.backends import BackendServer, EngineReport
from celerywharf.exceptions import ProtocolError
from celerywharf.platform._json import (
    is_syntax_error,
    parse_json_in_steps,
    validate_json,
)
from celerywharf.platform._store import CONFIGURATION_KEY, Row
from celerywharf.routing import (
    ClientAccount,
    ClientLimits,
    Configuration,
    ConfigurationListing,
    EngineMemory,
    Idempotent,
    NonIdempotent,
    Policy,
    ResumableStream,
    Route,
    Service,
    SingleStream,
    WeightedService,
)
from celerywharf.structures import Address
from celerywharf.units import MAX_EXACT_INTEGER

MS_PER_S = 1000
UNKNOWN_CAPACITY_TOKENS = 0
MAX_NAME = 200
ROUTES_AT_ONCE = 100  # about a millisecond
MAX_ERRORS = 3  # named for a malformed document
MAX_SLOTS = 1_000_000
MAX_WARM_UP_MS = 86_400_000
MAX_LEASE_MS = 86_400_000
# The name of a backend server is sent to it in a header.
SERVER_NAME = re.compile('[!-~]+')

MALFORMED = object()


def _drop_malformed(given: Any, validate: Callable[[Any], Any]) -> Any:
    try:
        return validate(given)
    except ValidationError:
        return MALFORMED


Priority = Annotated[StrictInt | None, WrapValidator(_drop_malformed)]
Name = Annotated[str, Field(max_length=MAX_NAME)]
Count = Annotated[int, Field(ge=0, le=MAX_EXACT_INTEGER)]


class _Document(BaseModel):
    model_config = ConfigDict(
        alias_generator=to_camel,
        populate_by_name=True,
        extra='ignore',
        allow_inf_nan=False,
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
    priority: Priority = None
    service: str | None = None
    split: list[_Split] = Field(default_factory=list)
    max_attempts: int = 1
    public: bool = False
    stream_resume: bool = False
    gap_target_ms: float = 0

    def policy(self) -> Policy:
        """Return which requests may be sent again after a failure."""
        if self.kind == 'idempotent':
            return Idempotent()
        if self.kind == 'non_idempotent':
            return NonIdempotent()
        if self.stream_resume:
            return ResumableStream(self.gap_target_ms / MS_PER_S)
        return SingleStream()

    def services(self) -> tuple[WeightedService, ...]:
        """Return the weighted targets; ``split`` takes precedence if set."""
        if self.split:
            return tuple(
                WeightedService(part.service, part.weight)
                for part in self.split
            )
        return (WeightedService(self.service or '', 1),)

    def route(self) -> Route:
        """Convert to a ``Route``."""
        return Route(
            name=self.name,
            host=self.host.lower(),
            prefix=self.prefix,
            policy=self.policy(),
            timeout_s=self.timeout_ms / MS_PER_S,
            latency_target_s=self.latency_target_ms / MS_PER_S,
            priority=_sound(self.priority) or 0,
            services=self.services(),
            max_attempts=self.max_attempts,
            public=self.public,
        )


class _Engine(_Document):
    kv_capacity: int = UNKNOWN_CAPACITY_TOKENS
    backups: bool = False
    hold_ms: float = Field(default=0, ge=0, le=MAX_LEASE_MS)


class _Service(_Document):
    name: str
    health_path: str = '/'
    engine: _Engine | None = None

    def service(self) -> Service:
        """Convert to a ``Service``."""
        memory = self.engine and EngineMemory(
            self.engine.kv_capacity,
            self.engine.backups,
            self.engine.hold_ms / MS_PER_S,
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
    priority: Priority = None

    def account(self) -> ClientAccount:
        """Convert to a ``ClientAccount``."""
        return ClientAccount(
            self.name, tuple(self.api_keys), _sound(self.priority)
        )


class _Configuration(_Document):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits
    tenants: list[_Tenant] | None = None


class _KeyHolders(_Document):
    tenants: list[_Tenant] | None = None


class _Versioned(_Document):
    version: int


class _BackendServer(_Document):
    model_config = ConfigDict(strict=True)

    service: Name
    address: Name
    zone: Name
    state: Literal['ready', 'draining']
    slots: int = Field(ge=1, le=MAX_SLOTS)
    seq: Count = 0
    born: Count = 0
    cold_left_ms: float = Field(default=0, ge=0, le=MAX_WARM_UP_MS)
    version: Name | Count = ''


class _Lease(_Document):
    hold: Name


class _Report(_Document):
    queued: Count
    running: Count
    kv_used: Count
    kv_total: Count
    born: Count = 0
    # Lists only the runs that have produced an event.
    runs: list[list[Any]] = Field(default_factory=list)


ROUTES = TypeAdapter(list[_Route])


def decode_configuration(text: bytes) -> Configuration:
    """Decode the operator's configuration.

    Raises:
        ProtocolError: the document is malformed.
    """
    return list_configuration(text).configuration()


def list_configuration(text: bytes) -> ConfigurationListing:
    """Decode the entries of the operator's configuration, in their order.

    Raises:
        ProtocolError: the document is malformed.
    """
    try:
        document = validate_json(_Configuration, text)
    except ValidationError as error:
        raise _malformed(_Configuration, error) from None
    return _listing(document, document.routes)


async def decode_large_configuration(text: bytes) -> Configuration:
    """Decode a configuration of many routes between other work.

    Raises:
        ProtocolError: the document is malformed.
    """
    decoded: list[_Route] = []
    try:
        document, routes = _split(await parse_json_in_steps(text))
        for start in range(0, len(routes), ROUTES_AT_ONCE):
            batch = routes[start : start + ROUTES_AT_ONCE]
            decoded += ROUTES.validate_python(batch)
            await asyncio.sleep(0)
    except ValueError:
        # It tells what is wrong.
        return decode_configuration(text)
    return _listing(document, decoded).configuration()


def _split(members: Any) -> tuple[_Configuration, list[Any]]:
    """Return a configuration without routes, and the routes undecoded.

    Raises:
        ValueError: it is malformed.
    """
    if not isinstance(members, dict):
        raise ValueError('not an object')
    routes = members.pop('routes', None)
    if not isinstance(routes, list):
        raise ValueError('no list of routes')
    members['routes'] = []
    return _Configuration.model_validate(members), routes


def _listing(
    document: _Configuration, routes: Sequence[_Route]
) -> ConfigurationListing:
    accounts = document.tenants
    prioritized = (*routes, *(accounts or ()))
    return ConfigurationListing(
        version=document.version,
        routes=tuple(route.route() for route in routes),
        services=tuple(service.service() for service in document.services),
        accounts=None
        if accounts is None
        else tuple(account.account() for account in accounts),
        limits=_limits(document.limits),
        malformed_priorities=sum(
            entry.priority is MALFORMED for entry in prioritized
        ),
    )


def configuration_errors(text: bytes) -> list[tuple[str, str]]:
    """Return why a configuration cannot be decoded.

    Returns:
        The place and the description of each error; empty if it can.

    Raises:
        ProtocolError: the text is not JSON.
    """
    try:
        validate_json(_Configuration, text)
    except ValidationError as error:
        if is_syntax_error(error):
            raise ProtocolError(f'configuration: {_reason(error)}') from None
        return [
            (_place(details), details['msg'][:MAX_NAME])
            for details in error.errors()
        ]
    return []


def outlives_copy(row: Row, copied: Row | None) -> bool:
    """Return whether a known configuration is newer than that of a copy.

    The operator writes again what an older copy of the store lacks.
    """
    if row.key != CONFIGURATION_KEY or row.content is None:
        return False
    if copied is None or copied.content is None:
        return True
    return _version(row.content) > _version(copied.content)


def read_api_keys(text: bytes) -> frozenset[str] | None:
    """Return the API keys of a configuration; None if it requires none.

    Also None if it is malformed.
    """
    try:
        tenants = validate_json(_KeyHolders, text).tenants
    except ValidationError:
        return None
    if tenants is None:
        return None
    return frozenset(key for tenant in tenants for key in tenant.api_keys)


def _version(text: bytes) -> int:
    try:
        return validate_json(_Versioned, text).version
    except ValidationError:
        return 0


def decode_backend_server(name: str, text: bytes) -> BackendServer:
    """Decode the entry that a backend server keeps in the store.

    Raises:
        ProtocolError: the name, the document or its address is malformed.
    """
    if len(name) > MAX_NAME or not SERVER_NAME.fullmatch(name):
        raise ProtocolError('malformed name of a backend server')
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
        warm_up_left_s=document.cold_left_ms / MS_PER_S,
        software_version=str(document.version),
    )


def decode_report(text: bytes) -> EngineReport:
    """Decode an engine's load report.

    Raises:
        ProtocolError: the document is malformed.
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
        events=_events_by_run(document.runs),
    )


def _sound(priority: Any) -> int | None:
    """Return a priority; None if it is missing or malformed."""
    return None if priority is MALFORMED else priority


def decode_lease(text: bytes) -> str:
    """Return the name of a lease that an engine has granted.

    Raises:
        ProtocolError: the document is malformed, or the name is not fit for a
            header.
    """
    name = _validated(_Lease, text).hold
    if not SERVER_NAME.fullmatch(name):
        raise ProtocolError('malformed name of a lease')
    return name


def _events_by_run(runs: list[list[Any]]) -> dict[str, int]:
    return {
        str(run[0]): run[2]
        for run in runs
        if len(run) > 2 and isinstance(run[2], int)
    }


def _limits(document: _Limits) -> ClientLimits:
    return ClientLimits(
        header_bytes=document.max_header_bytes,
        body_bytes=document.max_body_bytes,
        header_timeout_s=document.header_timeout_ms / MS_PER_S,
        idle_timeout_s=document.idle_timeout_ms / MS_PER_S,
    )


def _validated(model: type[Model], text: bytes) -> Model:
    # Members that the model does not have cost no more than their parsing, and
    # an error converts nothing: pydantic's own parser converts the whole text.
    try:
        known = _members_of(model).model_validate_json(text)
        return model.model_validate(
            {name: getattr(known, name) for name in known.model_fields_set}
        )
    except ValidationError as error:
        raise _malformed(model, error) from None


@functools.cache
def _members_of(model: type[Model]) -> type[BaseModel]:
    """Return a model that takes any values for the members of another."""
    names = (field.alias for field in model.model_fields.values())
    return create_model(
        f'{model.__name__}Members', **dict.fromkeys(names, (Any, None))
    )


def _malformed(model: type[Model], error: ValidationError) -> ProtocolError:
    return ProtocolError(f'{model.__name__}: {_reason(error)}')


def _reason(error: ValidationError) -> str:
    # The input would be converted once for each error.
    errors = error.errors(include_input=False)
    return '; '.join(map(_describe, errors[:MAX_ERRORS]))


def _describe(error: Mapping[str, Any]) -> str:
    return f'{_place(error)}: {error["msg"][:MAX_NAME]}'


def _place(error: Mapping[str, Any]) -> str:
    return '.'.join(map(str, error['loc']))[:MAX_NAME]
