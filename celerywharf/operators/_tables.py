"""Operator API of the shared table."""

from __future__ import annotations

import secrets
from http import HTTPStatus
from typing import Any

from celerywharf.exceptions import BadRequestError, NotFoundError
from celerywharf.operators._handlers import OperatorHandler
from celerywharf.tables.changes import ChangeRequest, Edit
from celerywharf.tables.documents import change_document, row_document
from celerywharf.tables.edits import (
    read_edit,
    read_edits,
    read_kind,
    read_version,
)
from celerywharf.tables.rows import Row, RowKind
from celerywharf.tables.sheets import read_sheet, write_sheet

CHANGE_ID_BYTES = 12
CHANGE_ID_LIMIT_CHARACTERS = 64
CSV = 'text/csv'
HISTORY_LIMIT = 200
# A replica that was never confirmed by the platform has a greater age.
ABSENT_AGE_S = 1e8


class TableHandler(OperatorHandler):
    """Base of the handlers of the table."""

    async def commit(self, edits: tuple[Edit, ...]) -> None:
        """Commit edits as one change and respond with it.

        The header ``Change-Id`` makes a retry safe: a change is committed
        once per ID.

        Raises:
            BadRequestError: the ID is too long.
        """
        change_id = self.request.headers.get('Change-Id', '')
        if len(change_id) > CHANGE_ID_LIMIT_CHARACTERS:
            raise BadRequestError('Change-Id is too long')
        request = ChangeRequest(
            change_id=change_id or secrets.token_hex(CHANGE_ID_BYTES),
            edits=edits,
            host=self.host.identity.name,
            at_s=self.host.timers.wall(),
        )
        change = await self.host.tables.change(request)
        self.write_json(change_document(change))

    def rows(self, kind: RowKind | None) -> list[Row]:
        """Return the rows in force at this host, of all kinds if None."""
        return self.host.tables.replica.live_rows(kind)


class RowsHandler(TableHandler):
    """``GET /operator/table?kind=K``: rows in force at this host."""

    def get(self) -> None:
        """Respond with the rows as JSON, or as CSV if accepted."""
        kind_name = self.get_query_argument('kind', '')
        kind = read_kind(kind_name) if kind_name else None
        if CSV in self.request.headers.get('Accept', '') and kind:
            self.set_header('Content-Type', CSV)
            self.write(write_sheet(kind, self.rows(kind)))
            return
        self.write_json(
            {
                'revision': self.host.tables.replica.revision,
                'rows': [row_document(row) for row in self.rows(kind)],
            },
        )


class RowHandler(TableHandler):
    """``/operator/table/KIND/KEY``: one row."""

    def get(self, kind: str, key: str) -> None:
        """Respond with the row in force at this host.

        Raises:
            NotFoundError: there is no such row.
        """
        replica = self.host.tables.replica
        row = replica.rows.get((read_kind(kind), key))
        if row is None or row.fields is None:
            raise NotFoundError(f'no {kind} {key}')
        self.set_header('Etag', f'"{row.version}"')
        self.write_json(row_document(row))

    async def put(self, kind: str, key: str) -> None:
        """Write the row from the body ``{"version", "fields"}``.

        Raises:
            BadRequestError: ``fields`` is not a JSON object.
        """
        content = self.json_body()
        fields = content.get('fields')
        if not isinstance(fields, dict):
            raise BadRequestError('fields is not a JSON object')
        version = self._version(content.get('version'))
        await self.commit((read_edit(read_kind(kind), key, version, fields),))

    async def delete(self, kind: str, key: str) -> None:
        """Delete the row if it has the version in ``If-Match`` or the query.

        Raises:
            NotFoundError: the version is 0, which stands for no row.
        """
        version_text = self._version(self.get_query_argument('version', None))
        version = read_version(version_text, required=True)
        if not version:
            raise NotFoundError(f'no {kind} {key} at version 0')
        await self.commit((Edit(read_kind(kind), key, version, None),))

    def _version(self, default: Any) -> Any:
        return self.request.headers.get('If-Match', default)


class ImportHandler(TableHandler):
    """``POST /operator/table/import``: many rows in one change."""

    async def post(self) -> None:
        """Write all rows of ``{"rows"}``, or of a CSV body with ``?kind=``."""
        if self.request.headers.get('Content-Type', '').startswith(CSV):
            kind = read_kind(self.get_query_argument('kind', ''))
            rows = read_sheet(kind, self._text())
        else:
            rows = self.json_body().get('rows')
        await self.commit(read_edits(rows))

    def _text(self) -> str:
        try:
            return self.body.decode()
        except UnicodeDecodeError:
            raise BadRequestError('the CSV body is not UTF-8') from None


class HistoryHandler(TableHandler):
    """``GET /operator/table/history?after=N&limit=N``: changes in order."""

    async def get(self) -> None:
        """Respond with change records read from the platform.

        Without ``after`` these are the latest changes.
        """
        number = self.get_query_argument('limit', None)
        limit = read_version(number, required=False) or HISTORY_LIMIT
        limit = min(limit, HISTORY_LIMIT)
        default = max(0, self.host.tables.replica.revision - limit)
        number = self.get_query_argument('after', None)
        after = read_version(number, required=False)
        changes = await self.host.tables.history(
            default if after is None else after,
            limit,
        )
        self.write_json(
            {'changes': [change_document(change) for change in changes]},
        )


class TableStatusHandler(TableHandler):
    """``GET /operator/table/status``: revision in force at each host."""

    async def get(self) -> None:
        """Query all known hosts, a limited number at a time."""
        answers = await self.host.tables.ask_hosts()
        hosts = [
            {'inner': address, 'reachable': False}
            if digest is None
            else {
                'inner': address,
                'reachable': True,
                'host': digest.host,
                'availability_zone': digest.availability_zone,
                'revision': digest.revision,
                'ready': digest.ready,
                'platform_age_s': _rounded_age(digest.platform_age_s),
            }
            for address, digest in answers.items()
        ]
        self.write_json({'hosts': hosts}, HTTPStatus.OK)


def _rounded_age(age_s: float) -> float | None:
    return round(age_s, 3) if age_s < ABSENT_AGE_S else None


TABLE_ROUTES = (
    ('/operator/table', RowsHandler),
    ('/operator/table/import', ImportHandler),
    ('/operator/table/history', HistoryHandler),
    ('/operator/table/status', TableStatusHandler),
    ('/operator/table/([a-z_]+)/([^/]+)', RowHandler),
)
