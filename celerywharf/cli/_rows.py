"""Edits of single rows, shared by the commands."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from celerywharf.cli._client import OperatorClient, row_path
from celerywharf.cli._printing import print_json, print_rows
from celerywharf.exceptions import BadRequestError, NotFoundError
from celerywharf.tables import RowKind
from celerywharf.tables.sheets import LIST_COLUMNS
from celerywharf.tables.validation import columns_of

Record = Mapping[str, Any]

HIDDEN_COLUMNS = frozenset(('key_digest',))


def read_row(client: OperatorClient, kind: RowKind, key: str) -> Record | None:
    """Return the row in force at the host, None when absent."""
    try:
        return client.call('GET', row_path(kind.value, key))
    except NotFoundError:
        return None


def write_row(
    client: OperatorClient,
    kind: RowKind,
    key: str,
    fields: Record,
    version: Any = 0,
) -> Record:
    """Write a row that must be at ``version`` and return the change.

    Raises:
        RowConflictError: it is at another version.
    """
    content = {'version': version, 'fields': fields}
    return client.call('PUT', row_path(kind.value, key), content)


def update_row(
    client: OperatorClient,
    kind: RowKind,
    key: str,
    fields: Record,
    version: str | None = None,
) -> Record:
    """Change some columns of a row, or create it; return the change.

    Raises:
        RowConflictError: the row changed since it was read.
    """
    row = read_row(client, kind, key)
    merged = {**key_fields(kind, key), **(row['fields'] if row else {})}
    merged.update(fields)
    found = row['version'] if row else 0
    return write_row(client, kind, key, merged, version or found)


def remove_row(
    client: OperatorClient,
    kind: RowKind,
    key: str,
    version: str | None = None,
) -> Record:
    """Delete a row and return the change.

    Raises:
        NotFoundError: there is no such row.
        RowConflictError: it is at another version.
    """
    row = read_row(client, kind, key)
    if row is None and version is None:
        raise NotFoundError(f'no {kind.value} {key}')
    wanted = version or row['version']
    path = f'{row_path(kind.value, key)}?version={wanted}'
    return client.call('DELETE', path)


def list_rows(client: OperatorClient, kind: RowKind, *, as_json: bool) -> None:
    """Print all rows of a kind."""
    answer = client.call('GET', f'/table?kind={kind.value}')
    if as_json:
        print_json(answer)
        return
    print_kind(kind, answer['rows'])


def print_kind(kind: RowKind, rows: Iterable[Record]) -> None:
    """Print those of the rows that are of a kind."""
    columns = [name for name in columns_of(kind) if name not in HIDDEN_COLUMNS]
    print_rows(columns, [row for row in rows if row['kind'] == kind.value])


def read_assignments(words: Iterable[str]) -> dict[str, Any]:
    """Read ``COLUMN=VALUE`` words; lists are separated by commas.

    Raises:
        BadRequestError: a word is not written so.
    """
    fields: dict[str, Any] = {}
    for word in words:
        column, separator, text = word.partition('=')
        if not separator:
            raise BadRequestError(f'{word!r} is not written COLUMN=VALUE')
        fields[column] = _list(text) if column in LIST_COLUMNS else text
    return fields


def key_fields(kind: RowKind, key: str) -> dict[str, str]:
    """Return the columns that a key stands for.

    Raises:
        BadRequestError: the key of a share lacks its colon.
    """
    if kind is not RowKind.share:
        return {'name': key}
    backend_server, separator, client_account = key.partition(':')
    if not separator:
        raise BadRequestError(
            f'{key!r} is not written BACKEND_SERVER:CLIENT_ACCOUNT',
        )
    return {
        'backend_server': backend_server,
        'client_account': client_account,
    }


def _list(text: str) -> list[str]:
    return [word for word in text.split(',') if word]
