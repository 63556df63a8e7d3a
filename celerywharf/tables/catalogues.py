"""Typed view of all rows in force, indexed for look-ups."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from typing import Any

from celerywharf.tables.rows import (
    BackendServer,
    BackendState,
    ClientAccount,
    Policy,
    Row,
    RowKind,
    Service,
    ServiceKind,
    Share,
)

ANY_BACKEND_SERVER = '*'  # that has no share of its own
DEFAULT_SHARE_WEIGHT = 1.0
DEFAULT_SHARE_LIMIT = 1000


class Catalogue:
    """Typed rows by kind and key, changed only by ``apply``.

    The indexes spare each request a search of all rows.

    Attributes:
        revision: highest revision of the rows applied.
        client_accounts: accounts by name.
        services: services by name.
        backend_servers: backend servers by name.
        shares: shares by key.
        accounts_by_digest: accounts by key digest, then by name.
        active_by_service: active backend servers by service, then by name.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.client_accounts: dict[str, ClientAccount] = {}
        self.services: dict[str, Service] = {}
        self.backend_servers: dict[str, BackendServer] = {}
        self.shares: dict[str, Share] = {}
        self.accounts_by_digest: dict[str, dict[str, ClientAccount]] = {}
        self.active_by_service: dict[str, dict[str, BackendServer]] = {}

    def apply(self, rows: Iterable[Row]) -> None:
        """Apply rows; states of the same row must be in order of revision."""
        for row in rows:
            self.revision = max(self.revision, row.revision)
            table = self._table(row.kind)
            self._remove_from_indexes(table.get(row.key))
            if row.fields is None:
                table.pop(row.key, None)
            else:
                table[row.key] = build(row.kind, row.fields)
                self._add_to_indexes(table[row.key])

    def account_of_key(self, key: str) -> ClientAccount | None:
        """Return the client account of a bearer key, None if there is none.

        If several accounts have the key, the first by name is returned, so
        that all hosts return the same.
        """
        accounts = self.accounts_by_digest.get(digest_key(key))
        return accounts[min(accounts)] if accounts else None

    def backends_of(self, service: str) -> list[BackendServer]:
        """Return the active backend servers of a service."""
        return list(self.active_by_service.get(service, {}).values())

    def share_of(self, backend_server: str, client_account: str) -> Share:
        """Return the share of an account on a backend server.

        A share of the backend server itself takes precedence over one for
        all servers.  An account without either gets the default share.
        """
        for name in (backend_server, ANY_BACKEND_SERVER):
            share = self.shares.get(f'{name}:{client_account}')
            if share is not None:
                return share
        return Share(
            backend_server,
            client_account,
            DEFAULT_SHARE_WEIGHT,
            DEFAULT_SHARE_LIMIT,
        )

    def _add_to_indexes(self, typed: Any) -> None:
        match typed:
            case ClientAccount(key_digest=digest):
                same = self.accounts_by_digest.setdefault(digest, {})
                same[typed.name] = typed
            case BackendServer(service=service, state=BackendState.active):
                active = self.active_by_service.setdefault(service, {})
                active[typed.name] = typed

    def _remove_from_indexes(self, typed: Any) -> None:
        match typed:
            case ClientAccount(key_digest=digest):
                same = self.accounts_by_digest[digest]
                same.pop(typed.name)
                if not same:
                    self.accounts_by_digest.pop(digest)
            case BackendServer(service=service, state=BackendState.active):
                self.active_by_service[service].pop(typed.name)

    def _table(self, kind: RowKind) -> dict[str, Any]:
        match kind:
            case RowKind.client_account:
                return self.client_accounts
            case RowKind.service:
                return self.services
            case RowKind.backend_server:
                return self.backend_servers
        return self.shares


def digest_key(key: str) -> str:
    """Return the SHA-256 digest of a bearer key, in hexadecimal."""
    return hashlib.sha256(key.encode()).hexdigest()


def build(kind: RowKind, fields: Any) -> Any:
    """Return the typed row of a JSON object that has been validated."""
    match kind:
        case RowKind.client_account:
            return ClientAccount(**fields)
        case RowKind.service:
            return _service(**fields)
        case RowKind.backend_server:
            return _backend_server(**fields)
    return Share(**fields)


def _service(
    *,
    kind: str,
    policy: str = Policy.patient.value,
    idempotent_methods: Iterable[str] = ('GET', 'HEAD', 'OPTIONS'),
    idempotent_paths: Iterable[str] = (),
    **fields: Any,
) -> Service:
    return Service(
        kind=ServiceKind(kind),
        policy=Policy(policy),
        idempotent_methods=tuple(idempotent_methods),
        idempotent_paths=tuple(idempotent_paths),
        **fields,
    )


def _backend_server(
    *,
    state: str = 'active',
    models: Iterable[str] = (),
    **fields: Any,
) -> BackendServer:
    return BackendServer(
        state=BackendState(state),
        models=tuple(models),
        **fields,
    )
