"""Checks rows at the border; bad ones are refused by row and column."""

from __future__ import annotations

import ipaddress
from collections.abc import Iterator, Mapping
from typing import Annotated, Any, Literal
from urllib.parse import urlsplit

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    ValidationError,
    model_validator,
)

from celerywharf.exceptions import InvalidRowError
from celerywharf.tables.rows import BackendState, Policy, RowKind, ServiceKind

SECRET_COLUMN = 'key_digest'
NAME_PATTERN = '^[a-z0-9][a-z0-9_.-]{0,62}$'
BACKEND_PATTERN = r'^([a-z0-9][a-z0-9_.-]{0,62}|\*)$'
DIGEST_PATTERN = '^[0-9a-f]{64}$'
PRIORITY_LIMIT = 100
WEIGHT_LIMIT = 1e6
LIMIT_LIMIT = 1_000_000
DEADLINE_LIMIT_S = 3600
DEADLINE_S = 30.0
MODEL_LIMIT_CHARACTERS = 128

Name = Annotated[str, Field(pattern=NAME_PATTERN)]
Model = Annotated[str, Field(pattern=r'^\S{1,128}$')]
Method = Literal['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE', 'POST', 'PATCH']


def _url(value: str) -> str:
    parts = urlsplit(value)
    if parts.scheme not in {'http', 'https'} or parts.path not in {'', '/'}:
        raise ValueError('must be written http://ip:port')
    ipaddress.ip_address(parts.hostname or '')
    if not parts.port:
        raise ValueError('the port is missing')
    return value.rstrip('/')


class _Fields(BaseModel):
    model_config = ConfigDict(extra='forbid', allow_inf_nan=False)


class ClientAccountFields(_Fields):
    """Columns of a client account."""

    name: Name
    key_digest: str = Field(pattern=DIGEST_PATTERN)
    priority: int = Field(default=0, ge=-PRIORITY_LIMIT, le=PRIORITY_LIMIT)


class ServiceFields(_Fields):
    """Columns of a service."""

    name: Name
    kind: ServiceKind
    model: str = Field(default='', max_length=MODEL_LIMIT_CHARACTERS)
    policy: Policy = Policy.patient
    idempotent_methods: tuple[Method, ...] = ('GET', 'HEAD', 'OPTIONS')
    idempotent_paths: tuple[Annotated[str, Field(pattern='^/')], ...] = ()
    deadline_s: float = Field(default=DEADLINE_S, gt=0, le=DEADLINE_LIMIT_S)

    @model_validator(mode='after')
    def has_model(self) -> ServiceFields:
        """Demand a model of services that generate."""
        if self.kind is ServiceKind.generation and not self.model:
            raise ValueError('model: a service that generates needs one')
        return self


class BackendServerFields(_Fields):
    """Columns of a backend server."""

    name: Name
    url: Annotated[str, AfterValidator(_url)]
    region: Name
    availability_zone: Name
    service: Name
    checks_fencing: bool = True
    state: BackendState = BackendState.active
    models: tuple[Model, ...] = ()
    role: str = Field(default='', max_length=MODEL_LIMIT_CHARACTERS)
    model_version: str = Field(default='', max_length=MODEL_LIMIT_CHARACTERS)


class ShareFields(_Fields):
    """Columns of a share."""

    backend_server: str = Field(pattern=BACKEND_PATTERN)
    client_account: Name
    weight: float = Field(gt=0, le=WEIGHT_LIMIT)
    limit: int = Field(ge=0, le=LIMIT_LIMIT)
    cross_region: bool = False


MODELS: Mapping[RowKind, type[_Fields]] = {
    RowKind.client_account: ClientAccountFields,
    RowKind.service: ServiceFields,
    RowKind.backend_server: BackendServerFields,
    RowKind.share: ShareFields,
}


def check_fields(
    kind: RowKind,
    fields: Mapping[str, Any],
    label: str = '',
) -> dict[str, Any]:
    """Return the checked columns of a row as a JSON object.

    Args:
        kind: kind of the row.
        fields: the columns as given.
        label: how the row is named in errors, by default its key.

    Raises:
        InvalidRowError: one line for each wrong column.
    """
    try:
        model = MODELS[kind].model_validate(dict(fields))
    except ValidationError as error:
        row = label or f'{kind.value} {key_of(kind, fields)}'
        raise InvalidRowError(
            '\n'.join(_complaints(row, error)),
        ) from None
    return model.model_dump(mode='json')


def key_of(kind: RowKind, fields: Mapping[str, Any]) -> str:
    """Return the key of a row from its columns."""
    if kind is RowKind.share:
        backend = fields.get('backend_server', '?')
        account = fields.get('client_account', '?')
        return f'{backend}:{account}'
    return str(fields.get('name', '?'))


def columns_of(kind: RowKind) -> tuple[str, ...]:
    """Return the names of the columns of a kind."""
    return tuple(MODELS[kind].model_fields)


def _complaints(row: str, error: ValidationError) -> Iterator[str]:
    for details in error.errors():
        column = '.'.join(map(str, details['loc']))
        if not column:
            yield f'{row}: {details["msg"]}'
            continue
        shown = repr(details['input'])
        if details['type'] == 'missing':
            shown = 'missing'
        elif column == SECRET_COLUMN:
            # An operator may have given the key itself.
            shown = '[redacted]'
        yield f'{row}: column {column} = {shown}: {details["msg"]}'
