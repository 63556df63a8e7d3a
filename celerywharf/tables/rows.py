"""What operators edit: typed rows and the envelope they travel in."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any


class RowKind(enum.StrEnum):
    """The four kinds of rows."""

    client_account = 'client_account'
    service = 'service'
    backend_server = 'backend_server'
    share = 'share'


class ServiceKind(enum.StrEnum):
    """What a service does."""

    generation = 'generation'
    application = 'application'


class Policy(enum.StrEnum):
    """What is done when an engine falls silent."""

    patient = 'patient'
    eager = 'eager'


class BackendState(enum.StrEnum):
    """Whether a backend server gets new work."""

    active = 'active'
    leaving = 'leaving'
    stopped = 'stopped'


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account.

    Attributes:
        name: unique name, the row's key.
        key_digest: SHA-256 of the bearer key, hexadecimal.
        priority: passed to engines, higher first.
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
        policy: what is done when an engine falls silent.
        idempotent_methods: HTTP methods that may be repeated.
        idempotent_paths: path prefixes that may be repeated whatever the
            method.
        deadline_s: seconds a caller waits for admission or an answer.
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
    """A backend server.

    Attributes:
        name: unique name, the row's key.
        url: base URL with an IP address.
        region: where it stands.
        availability_zone: where it stands.
        service: name of the service it serves.
        checks_fencing: refuses orders with an old fencing number.
        state: whether it gets new work.
        models: models to keep loaded, and no others; empty leaves them be.
        role: role to have; empty leaves it be.
        model_version: version to run; empty leaves it be.
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
    """How much of a backend server a client account may claim.

    Attributes:
        backend_server: name, or ``*`` for all that have no row of their own.
        client_account: name.
        weight: share among accounts that want more, above 0.
        limit: most requests running at once.
        cross_region: may be used from another region.
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
    """A row as it is stored and spread.

    Attributes:
        kind: which table it belongs to.
        key: unique within the kind.
        version: rises with each change of this row; 0 means never written.
        revision: revision of the whole table that set it.
        fields: the row's fields as a JSON object, None when deleted.
    """

    kind: RowKind
    key: str
    version: int
    revision: int
    fields: Mapping[str, Any] | None
