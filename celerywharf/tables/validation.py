"""Validates rows from operators; errors name the row and the column."""

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
REQUESTS_LIMIT = 1_000_000
DEADLINE_LIMIT_S = 3600
DEADLINE_S = 30.0
MODEL_LIMIT_CHARACTERS = 128

Name = Annotated[str, Field(pattern=NAME_PATTERN)]
Model = Annotated[str, Field(pattern=r'^\S{1,128}$')]
Method = Literal['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE', 'POST', 'PATCH']


def _check_url(value: str) -> str:
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
    def require_model(self) -> ServiceFields:
        """Require a model for services of kind generation."""
        if self.kind is ServiceKind.generation and not self.model:
            raise ValueError('model: required for a service of kind generation')
        return self


class BackendServerFields(_Fields):
    """Columns of a backend server."""

    name: Name
    url: Annotated[str, AfterValidator(_check_url)]
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
    limit: int = Field(ge=0, le=REQUESTS_LIMIT)
    cross_region: bool = False


FIELD_MODELS: Mapping[RowKind, type[_Fields]] = {
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
    """Return the validated columns of a row as a JSON object.

    Missing columns get their defaults.

    Args:
        kind: kind of the row.
        fields: the columns as given.
        label: name of the row in errors, by default its kind and key.

    Raises:
        InvalidRowError: with one line for each invalid column.
    """
    try:
        model = FIELD_MODELS[kind].model_validate(dict(fields))
    except ValidationError as error:
        row = label or f'{kind.value} {key_of(kind, fields)}'
        raise InvalidRowError(
            '\n'.join(_error_lines(row, error)),
        ) from None
    return model.model_dump(mode='json')


def key_of(kind: RowKind, fields: Mapping[str, Any]) -> str:
    """Return the key of a row, made of its columns.

    A missing column, as in a row not yet validated, becomes ``?``.
    """
    if kind is RowKind.share:
        backend = fields.get('backend_server', '?')
        account = fields.get('client_account', '?')
        return f'{backend}:{account}'
    return str(fields.get('name', '?'))


def columns_of(kind: RowKind) -> tuple[str, ...]:
    """Return the column names of a kind, in the order of sheets."""
    return tuple(FIELD_MODELS[kind].model_fields)


def _error_lines(row: str, error: ValidationError) -> Iterator[str]:
    for details in error.errors():
        column = '.'.join(map(str, details['loc']))
        if not column:
            yield f'{row}: {details["msg"]}'
            continue
        shown = repr(details['input'])
        if details['type'] == 'missing':
            shown = 'missing'
        elif column == SECRET_COLUMN:
            # The operator may have given the key instead of its digest.
            shown = '[redacted]'
        yield f'{row}: column {column} = {shown}: {details["msg"]}'
