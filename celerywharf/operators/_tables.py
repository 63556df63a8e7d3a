"""The operators' calls on the table."""

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
ABSENT_AGE_S = 1e8


class TableHandler(OperatorHandler):
    """Base of the operators' calls on the table."""

    async def commit(self, edits: tuple[Edit, ...]) -> None:
        """Commit edits and answer with the change."""
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
        """Return the rows in force here."""
        return self.host.tables.replica.live_rows(kind)


class RowsHandler(TableHandler):
    """``GET /operator/table?kind=K``: rows in force at this host."""

    def get(self) -> None:
        """List rows as JSON, or as a sheet when asked for CSV."""
        wanted = self.get_query_argument('kind', '')
        kind = read_kind(wanted) if wanted else None
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
        """Answer with the row in force at this host."""
        replica = self.host.tables.replica
        row = replica.rows.get((read_kind(kind), key))
        if row is None or row.fields is None:
            raise NotFoundError(f'no {kind} {key}')
        self.set_header('Etag', f'"{row.version}"')
        self.write_json(row_document(row))

    async def put(self, kind: str, key: str) -> None:
        """Write the row: ``{"version", "fields"}``."""
        content = self.json_body()
        fields = content.get('fields')
        if not isinstance(fields, dict):
            raise BadRequestError('fields is not a JSON object')
        version = self._version(content.get('version'))
        await self.commit((read_edit(read_kind(kind), key, version, fields),))

    async def delete(self, kind: str, key: str) -> None:
        """Delete the row at the version in ``If-Match`` or the query."""
        given = self._version(self.get_query_argument('version', None))
        version = read_version(given, required=True)
        if not version:
            raise NotFoundError(f'no {kind} {key} at version 0')
        await self.commit((Edit(read_kind(kind), key, version, None),))

    def _version(self, given: Any) -> Any:
        return self.request.headers.get('If-Match', given)


class ImportHandler(TableHandler):
    """``POST /operator/table/import``: many rows in one change."""

    async def post(self) -> None:
        """Take ``{"rows"}`` as JSON, or a sheet with ``?kind=``."""
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
            raise BadRequestError('the sheet is not UTF-8') from None


class HistoryHandler(TableHandler):
    """``GET /operator/table/history?after=N&limit=N``: changes in order."""

    async def get(self) -> None:
        """Read the change records from the platform; by default the last."""
        given = self.get_query_argument('limit', None)
        limit = read_version(given, required=False) or HISTORY_LIMIT
        limit = min(limit, HISTORY_LIMIT)
        last = max(0, self.host.tables.replica.revision - limit)
        given = self.get_query_argument('after', None)
        after = read_version(given, required=False)
        changes = await self.host.tables.history(
            last if after is None else after,
            limit,
        )
        self.write_json({'changes': [change_document(one) for one in changes]})


class TableStatusHandler(TableHandler):
    """``GET /operator/table/status``: which host has which revision."""

    async def get(self) -> None:
        """Ask all known hosts, some at a time."""
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
                'platform_age_s': _age(digest.platform_age_s),
            }
            for address, digest in answers.items()
        ]
        self.write_json({'hosts': hosts}, HTTPStatus.OK)


def _age(age_s: float) -> float | None:
    return round(age_s, 3) if age_s < ABSENT_AGE_S else None


TABLE_ROUTES = (
    ('/operator/table', RowsHandler),
    ('/operator/table/import', ImportHandler),
    ('/operator/table/history', HistoryHandler),
    ('/operator/table/status', TableStatusHandler),
    ('/operator/table/([a-z_]+)/([^/]+)', RowHandler),
)
