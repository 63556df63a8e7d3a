"""Decides how a change is committed: compare-and-set on rows and revision.

One platform row holds the revision of the whole table.  Every commit names
its version as a condition, so changes are serialised and each revision is
taken once.  The change record at that revision tells, after a lost answer,
whose commit took it.
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

DEADLINE_S = 8.0
FIRST_DELAY_S = 0.01
DELAY_LIMIT_S = 0.5
RETRY_AFTER_S = 1.0


@dataclass(frozen=True, slots=True)
class RowsRead:
    """The platform answered a read."""

    rows: Mapping[str, StoredRow]


@dataclass(frozen=True, slots=True)
class Committed:
    """The platform accepted the last commit."""


@dataclass(frozen=True, slots=True)
class Refused:
    """A condition of the last commit did not hold."""


@dataclass(frozen=True, slots=True)
class Unanswered:
    """The last commit may or may not have taken effect."""


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The last call took no effect."""

    error: CelerywharfError


Message = RowsRead | Committed | Refused | Unanswered | Unavailable


@dataclass(frozen=True, slots=True)
class ReadRows:
    """Read these keys after a delay with full jitter.

    Attributes:
        keys: keys in the platform's table.
        delay_s: upper bound of the delay in seconds.
    """

    keys: tuple[str, ...]
    delay_s: float = 0


@dataclass(frozen=True, slots=True)
class Commit:
    """Commit a change.

    Attributes:
        change: what it makes.
        conditions: version that each key must have.
    """

    change: Change
    conditions: Mapping[str, int]

    def puts(self) -> dict[str, dict]:
        """Return the values to be written by key."""
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
        """Return the change record that is too old to be kept."""
        outdated = self.change.revision - _storage.KEPT_CHANGES
        return (_storage.change_key(outdated),) if outdated > 0 else ()


@dataclass(frozen=True, slots=True)
class Accept:
    """Answer the operator: the change is committed."""

    change: Change


@dataclass(frozen=True, slots=True)
class Fail:
    """Answer the operator with an error."""

    error: CelerywharfError


Action = ReadRows | Commit | Accept | Fail


class ChangeAttempt:
    """Takes one request through to its answer.

    Attributes:
        request: what the operator asked for.
        floor: revision known to be committed; a platform below it has lost
            rows, and what it commits would come in force nowhere.
        deadline_s: monotonic time after which nothing is tried again.
        submitted: the last commit that was sent.
        unresolved: True while the fate of ``submitted`` is unknown.
    """

    def __init__(
        self,
        request: ChangeRequest,
        now: float,
        floor: int = 0,
    ) -> None:
        self.request = request
        self.floor = floor
        self.deadline_s = now + DEADLINE_S
        self.submitted: Commit | None = None
        self.unresolved = False
        self.tries = 0

    def start(self) -> Action:
        """Begin with reading the rows and the revision."""
        return ReadRows(self._keys())

    def advance(self, message: Message, now: float) -> Action:
        """Decide what follows."""
        match message:
            case RowsRead(rows):
                return self._plan(rows)
            case Committed():
                return Accept(self.submitted.change)
            case Unavailable(error) if not self.unresolved:
                return Fail(error)
            case Unanswered():
                self.unresolved = True
        return self._read_again(now)

    def _keys(self) -> tuple[str, ...]:
        keys = [_storage.REVISION_KEY]
        for edit in self.request.edits:
            keys.append(_storage.row_key(edit.kind, edit.key))
        keys.extend(references(self.request.edits))
        if self.submitted is not None:
            revision = self.submitted.change.revision
            keys.append(_storage.change_key(revision))
        return tuple(dict.fromkeys(keys))

    def _read_again(self, now: float) -> Action:
        if now < self.deadline_s:
            delay_s = min(DELAY_LIMIT_S, FIRST_DELAY_S * 2**self.tries)
            self.tries += 1
            return ReadRows(self._keys(), delay_s)
        change_id = self.request.change_id
        if self.unresolved:
            return Fail(
                PlatformAmbiguousError(
                    f'change {change_id} may have been committed; '
                    'look for it in the history of the table',
                ),
            )
        return Fail(
            OverloadedError(
                f'change {change_id} lost to other changes until its deadline',
                retry_after_s=RETRY_AFTER_S,
            ),
        )

    def _plan(self, rows: Mapping[str, StoredRow]) -> Action:
        if self.unresolved:
            settled = self._resolve(rows)
            if settled is not None:
                return settled
        earlier = self._applied_earlier(rows)
        if earlier is not None:
            return Accept(earlier)
        refusal = self._loss(rows) or self._refusal(rows)
        if refusal is not None:
            return Fail(refusal)
        self.submitted = self._commit(rows)
        return self.submitted

    def _resolve(self, rows: Mapping[str, StoredRow]) -> Action | None:
        submitted = self.submitted
        change = submitted.change
        record = rows.get(_storage.change_key(change.revision))
        if record is not None:
            if record.value['change_id'] == change.change_id:
                return Accept(change)
            self.unresolved = False
            return None
        if _revision(rows) >= change.revision:
            return Fail(
                PlatformAmbiguousError(
                    f'the record of change {change.change_id} is gone',
                ),
            )
        # The lost commit may still be under way; repeating it is harmless
        # because only one of the two can find the revision unchanged.
        return submitted

    def _applied_earlier(self, rows: Mapping[str, StoredRow]) -> Change | None:
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

    def _loss(
        self,
        rows: Mapping[str, StoredRow],
    ) -> CelerywharfError | None:
        found = _revision(rows)
        if found >= self.floor:
            return None
        return PlatformUnavailableError(
            f'the platform has the table at revision {found}, but '
            f'{self.floor} is in force; its rows have to be restored',
        )

    def _refusal(
        self,
        rows: Mapping[str, StoredRow],
    ) -> CelerywharfError | None:
        for edit in self.request.edits:
            stored = rows.get(_storage.row_key(edit.kind, edit.key))
            if not _matches(edit, stored):
                current = stored and documents.row_of(stored.value)
                return RowConflictError(
                    f'{edit.kind.value} {edit.key} is not at version '
                    f'{edit.version} but at {_version(stored)}',
                    current=current and documents.row_document(current),
                )
        return missing_references(self.request.edits, rows)

    def _commit(self, rows: Mapping[str, StoredRow]) -> Commit:
        revision = _revision(rows) + 1
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


def _revision(rows: Mapping[str, StoredRow]) -> int:
    stored = rows.get(_storage.REVISION_KEY)
    return stored.value['revision'] if stored else 0


def _stored_version(stored: StoredRow | None) -> int:
    return stored.value['version'] if stored else 0


def _version(stored: StoredRow | None) -> int:
    """Return the version an operator sees: 0 once the row is deleted."""
    if stored is None or stored.value['fields'] is None:
        return 0
    return stored.value['version']


def _matches(edit: Edit, stored: StoredRow | None) -> bool:
    return edit.version is None or edit.version == _version(stored)
