"""Reads and edits of single rows, shared by the commands."""

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
    """Return the row in force at the host, None if there is none."""
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
    """Write all fields of a row and return the change.

    Args:
        client: client of any host.
        kind: kind of the row.
        key: key of the row.
        fields: value of each column.
        version: version that the row must have, 0 for a new row.

    Raises:
        RowConflictError: the row has another version.
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

    The row must have ``version``, or by default the version that is in force
    at the host.

    Raises:
        RowConflictError: the row has another version.
    """
    row = read_row(client, kind, key)
    merged = {**key_fields(kind, key), **(row['fields'] if row else {})}
    merged.update(fields)
    current_version = row['version'] if row else 0
    return write_row(client, kind, key, merged, version or current_version)


def remove_row(
    client: OperatorClient,
    kind: RowKind,
    key: str,
    version: str | None = None,
) -> Record:
    """Delete a row and return the change.

    The row must have ``version``, or by default the version that is in force
    at the host.

    Raises:
        NotFoundError: there is no such row.
        RowConflictError: the row has another version.
    """
    row = read_row(client, kind, key)
    if row is None and version is None:
        raise NotFoundError(f'no {kind.value} {key}')
    expected_version = version or row['version']
    path = f'{row_path(kind.value, key)}?version={expected_version}'
    return client.call('DELETE', path)


def list_rows(client: OperatorClient, kind: RowKind, *, as_json: bool) -> None:
    """Print all rows of a kind that are in force at the host."""
    answer = client.call('GET', f'/table?kind={kind.value}')
    if as_json:
        print_json(answer)
        return
    print_kind(kind, answer['rows'])


def print_kind(kind: RowKind, rows: Iterable[Record]) -> None:
    """Print the rows that have the given kind."""
    columns = [name for name in columns_of(kind) if name not in HIDDEN_COLUMNS]
    print_rows(columns, [row for row in rows if row['kind'] == kind.value])


def parse_assignments(assignments: Iterable[str]) -> dict[str, Any]:
    """Parse ``COLUMN=VALUE`` arguments; list values are separated by commas.

    Raises:
        BadRequestError: an argument does not have this form.
    """
    fields: dict[str, Any] = {}
    for assignment in assignments:
        column, separator, text = assignment.partition('=')
        if not separator:
            raise BadRequestError(f'{assignment!r}: expected COLUMN=VALUE')
        fields[column] = _split(text) if column in LIST_COLUMNS else text
    return fields


def key_fields(kind: RowKind, key: str) -> dict[str, str]:
    """Return the columns that make up the key of a row.

    Raises:
        BadRequestError: the key of a share contains no colon.
    """
    if kind is not RowKind.share:
        return {'name': key}
    backend_server, separator, client_account = key.partition(':')
    if not separator:
        raise BadRequestError(
            f'{key!r}: expected BACKEND_SERVER:CLIENT_ACCOUNT',
        )
    return {
        'backend_server': backend_server,
        'client_account': client_account,
    }


def _split(text: str) -> list[str]:
    return [part for part in text.split(',') if part]
