"""State machine that commits a change with compare-and-set on the platform.

One platform row holds the revision of the whole table.  Every commit has the
version of that row as a condition, so changes are serialised and no revision
is used twice.  When the answer to a commit is lost, the change record stored
under the revision shows which change was committed there.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from celerywharf.adapters import StoredRow
from celerywharf.exceptions import (
    CelerywharfError,
    OverloadedError,
    PlatformAmbiguousError,
    PlatformUnavailableError,
    RowConflictError,
)
from celerywharf.tables import _storage, documents
from celerywharf.tables._references import missing_references, references
from celerywharf.tables.changes import Change, ChangeRequest, Edit
from celerywharf.tables.rows import Row

CHANGE_TIMEOUT_S = 8.0
RETRY_DELAY_S = 0.01
RETRY_DELAY_LIMIT_S = 0.5
RETRY_AFTER_S = 1.0


@dataclass(frozen=True, slots=True)
class RowsRead:
    """The rows that the platform returned for the last read."""

    rows: Mapping[str, StoredRow]


@dataclass(frozen=True, slots=True)
class Committed:
    """The platform accepted the last commit."""


@dataclass(frozen=True, slots=True)
class Refused:
    """A condition of the last commit did not hold."""


@dataclass(frozen=True, slots=True)
class Unanswered:
    """The last commit has no answer; it may or may not have taken effect."""


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The last call to the platform failed and had no effect."""

    error: CelerywharfError


PlatformResult = RowsRead | Committed | Refused | Unanswered | Unavailable


@dataclass(frozen=True, slots=True)
class ReadRows:
    """Read platform rows after a random delay.

    Attributes:
        keys: keys in the platform's table.
        delay_s: upper bound of the delay in seconds; the delay is uniform
            between 0 and this bound.
    """

    keys: tuple[str, ...]
    delay_s: float = 0


@dataclass(frozen=True, slots=True)
class Commit:
    """Commit a change on the platform.

    Attributes:
        change: the change to be written.
        conditions: platform version that each key must have, 0 for absent.
    """

    change: Change
    conditions: Mapping[str, int]

    def puts(self) -> dict[str, dict]:
        """Return the values to be written, by platform key."""
        change = self.change
        puts = {
            _storage.row_key(row.kind, row.key): {
                **documents.row_document(row),
                'change_id': change.change_id,
            }
            for row in change.rows
        }
        record = _storage.change_key(change.revision)
        puts[record] = documents.change_document(change)
        puts[_storage.REVISION_KEY] = {'revision': change.revision}
        return puts

    def deletes(self) -> tuple[str, ...]:
        """Return the key of the change record that is no longer retained."""
        outdated = self.change.revision - _storage.RETAINED_CHANGES
        return (_storage.change_key(outdated),) if outdated > 0 else ()


@dataclass(frozen=True, slots=True)
class Accept:
    """End of the attempt: the change is committed."""

    change: Change


@dataclass(frozen=True, slots=True)
class Fail:
    """End of the attempt: the operator gets an error."""

    error: CelerywharfError


Action = ReadRows | Commit | Accept | Fail


class ChangeAttempt:
    """The attempt to commit one change request.

    Attributes:
        request: the request of the operator.
        minimum_revision: revision known to be committed.  A platform at a
            lower revision has lost rows; replicas would not apply what it
            commits, so the change is refused.
        deadline_s: monotonic time after which there are no retries.
        submitted: the last commit that was sent, None before the first.
        unresolved: True while it is unknown whether ``submitted`` took
            effect.
        retries: number of reads after the first, which sets their delay.
    """

    def __init__(
        self,
        request: ChangeRequest,
        now: float,
        minimum_revision: int = 0,
    ) -> None:
        self.request = request
        self.minimum_revision = minimum_revision
        self.deadline_s = now + CHANGE_TIMEOUT_S
        self.submitted: Commit | None = None
        self.unresolved = False
        self.retries = 0

    def start(self) -> Action:
        """Return the first action: read the rows and the revision."""
        return ReadRows(self._keys())

    def advance(self, result: PlatformResult, now: float) -> Action:
        """Return the action that follows the result of the last one."""
        match result:
            case RowsRead(rows):
                return self._decide(rows)
            case Committed():
                return Accept(self.submitted.change)
            case Unavailable(error) if not self.unresolved:
                return Fail(error)
            case Unanswered():
                self.unresolved = True
        return self._retry(now)

    def _keys(self) -> tuple[str, ...]:
        keys = [_storage.REVISION_KEY]
        for edit in self.request.edits:
            keys.append(_storage.row_key(edit.kind, edit.key))
        keys.extend(references(self.request.edits))
        if self.submitted is not None:
            revision = self.submitted.change.revision
            keys.append(_storage.change_key(revision))
        return tuple(dict.fromkeys(keys))

    def _retry(self, now: float) -> Action:
        if now < self.deadline_s:
            delay_s = min(RETRY_DELAY_LIMIT_S, RETRY_DELAY_S * 2**self.retries)
            self.retries += 1
            return ReadRows(self._keys(), delay_s)
        change_id = self.request.change_id
        if self.unresolved:
            return Fail(
                PlatformAmbiguousError(
                    f'change {change_id} may have been committed; '
                    'check the history of the table',
                ),
            )
        return Fail(
            OverloadedError(
                f'change {change_id} was not committed before its deadline '
                'because of concurrent changes',
                retry_after_s=RETRY_AFTER_S,
            ),
        )

    def _decide(self, rows: Mapping[str, StoredRow]) -> Action:
        if self.unresolved:
            action = self._resolve_submitted(rows)
            if action is not None:
                return action
        committed = self._find_committed(rows)
        if committed is not None:
            return Accept(committed)
        error = self._rollback_error(rows) or self._edit_error(rows)
        if error is not None:
            return Fail(error)
        self.submitted = self._build_commit(rows)
        return self.submitted

    def _resolve_submitted(
        self,
        rows: Mapping[str, StoredRow],
    ) -> Action | None:
        submitted = self.submitted
        change = submitted.change
        record = rows.get(_storage.change_key(change.revision))
        if record is not None:
            if record.value['change_id'] == change.change_id:
                return Accept(change)
            self.unresolved = False
            return None
        if _table_revision(rows) >= change.revision:
            return Fail(
                PlatformAmbiguousError(
                    f'change {change.change_id} may have been committed; '
                    'its record is no longer retained',
                ),
            )
        # The unanswered commit may still be in flight.  Sending it again is
        # safe: only one of the two can find the revision unchanged.
        return submitted

    def _find_committed(self, rows: Mapping[str, StoredRow]) -> Change | None:
        found = [
            rows.get(_storage.row_key(edit.kind, edit.key))
            for edit in self.request.edits
        ]
        change_id = self.request.change_id
        if not all(
            stored is not None and stored.value['change_id'] == change_id
            for stored in found
        ):
            return None
        written = tuple(documents.row_of(stored.value) for stored in found)
        revision = max(row.revision for row in written)
        request = self.request
        return Change(revision, change_id, written, request.host, request.at_s)

    def _rollback_error(
        self,
        rows: Mapping[str, StoredRow],
    ) -> CelerywharfError | None:
        found = _table_revision(rows)
        if found >= self.minimum_revision:
            return None
        return PlatformUnavailableError(
            f'the platform has the table at revision {found}, but revision '
            f'{self.minimum_revision} is in force; restore its rows',
        )

    def _edit_error(
        self,
        rows: Mapping[str, StoredRow],
    ) -> CelerywharfError | None:
        for edit in self.request.edits:
            stored = rows.get(_storage.row_key(edit.kind, edit.key))
            if not _matches(edit, stored):
                current = stored and documents.row_of(stored.value)
                return RowConflictError(
                    f'{edit.kind.value} {edit.key}: expected version '
                    f'{edit.version}, found {_visible_version(stored)}',
                    current=current and documents.row_document(current),
                )
        return missing_references(self.request.edits, rows)

    def _build_commit(self, rows: Mapping[str, StoredRow]) -> Commit:
        revision = _table_revision(rows) + 1
        written = tuple(
            Row(
                kind=edit.kind,
                key=edit.key,
                version=_stored_version(
                    rows.get(_storage.row_key(edit.kind, edit.key)),
                )
                + 1,
                revision=revision,
                fields=edit.fields,
            )
            for edit in self.request.edits
        )
        request = self.request
        change = Change(
            revision,
            request.change_id,
            written,
            request.host,
            request.at_s,
        )
        record = _storage.change_key(revision)
        conditions = {
            key: rows[key].version if key in rows else 0
            for key in self._keys()
            if not key.startswith(_storage.CHANGE_PREFIX)
        }
        return Commit(change, {**conditions, record: 0})


def _table_revision(rows: Mapping[str, StoredRow]) -> int:
    stored = rows.get(_storage.REVISION_KEY)
    return stored.value['revision'] if stored else 0


def _stored_version(stored: StoredRow | None) -> int:
    return stored.value['version'] if stored else 0


def _visible_version(stored: StoredRow | None) -> int:
    """Return the version that operators see, 0 for a deleted row."""
    if stored is None or stored.value['fields'] is None:
        return 0
    return stored.value['version']


def _matches(edit: Edit, stored: StoredRow | None) -> bool:
    return edit.version is None or edit.version == _visible_version(stored)
