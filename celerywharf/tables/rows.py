"""Typed rows that operators edit, and rows as they are stored and sent."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any


class RowKind(enum.StrEnum):
    """Kind of a row."""

    client_account = 'client_account'
    service = 'service'
    backend_server = 'backend_server'
    share = 'share'


class ServiceKind(enum.StrEnum):
    """Whether a service generates tokens or forwards calls."""

    generation = 'generation'
    application = 'application'


class Policy(enum.StrEnum):
    """How long an engine may send nothing before its generations move.

    Settings ``patient_silence_s`` and ``eager_silence_s``.
    """

    patient = 'patient'
    eager = 'eager'


class BackendState(enum.StrEnum):
    """Whether a backend server is given new work; only active ones are."""

    active = 'active'
    leaving = 'leaving'
    stopped = 'stopped'


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account, identified by its bearer key.

    Attributes:
        name: unique name, the row's key.
        key_digest: SHA-256 digest of the bearer key, in hexadecimal.
        priority: priority of the account's requests, passed to engines;
            higher comes first.
    """

    name: str
    key_digest: str
    priority: int = 0


@dataclass(frozen=True, slots=True)
class Service:
    """A model or an application that callers name.

    Attributes:
        name: unique name, the row's key.
        kind: generation or application.
        model: model the engines must have loaded; empty for applications.
        policy: how long a silent engine is waited for.
        idempotent_methods: HTTP methods that may be repeated.
        idempotent_paths: path prefixes that may be repeated whatever the
            method.
        deadline_s: longest wait of a caller for admission or an answer, in
            seconds.
    """

    name: str
    kind: ServiceKind
    model: str = ''
    policy: Policy = Policy.patient
    idempotent_methods: tuple[str, ...] = ('GET', 'HEAD', 'OPTIONS')
    idempotent_paths: tuple[str, ...] = ()
    deadline_s: float = 30.0


@dataclass(frozen=True, slots=True)
class BackendServer:
    """A server that generates tokens or runs an application.

    Attributes:
        name: unique name, the row's key.
        url: base URL with an IP address.
        region: region of the server.
        availability_zone: availability zone of the server.
        service: name of the service that it belongs to.
        checks_fencing: whether it refuses orders with an outdated fencing
            number.
        state: whether it is given new work.
        models: the models to have loaded, and no others; empty to leave them
            unchanged.
        role: role to have; empty to leave it unchanged.
        model_version: version to run; empty to leave it unchanged.
    """

    name: str
    url: str
    region: str
    availability_zone: str
    service: str
    checks_fencing: bool = True
    state: BackendState = BackendState.active
    models: tuple[str, ...] = ()
    role: str = ''
    model_version: str = ''


@dataclass(frozen=True, slots=True)
class Share:
    """How much of a backend server a client account may use.

    Attributes:
        backend_server: name of the backend server, or ``*`` for all those
            without a share of their own for the account.
        client_account: name of the client account.
        weight: weight among accounts that compete for the server, above 0.
        limit: largest number of requests running at once.
        cross_region: whether hosts of other regions may use the server for
            the account.
    """

    backend_server: str
    client_account: str
    weight: float
    limit: int
    cross_region: bool = False

    @property
    def key(self) -> str:
        """Return the row's key."""
        return f'{self.backend_server}:{self.client_account}'


@dataclass(frozen=True, slots=True)
class Row:
    """A row of any kind as it is stored and sent between hosts.

    Attributes:
        kind: kind of the row.
        key: key of the row, unique within its kind.
        version: number of times that the row was written or deleted; an
            operator sees 0 for a deleted row.
        revision: revision of the whole table that last changed the row.
        fields: the row's fields as a JSON object, None if it is deleted.
    """

    kind: RowKind
    key: str
    version: int
    revision: int
    fields: Mapping[str, Any] | None
