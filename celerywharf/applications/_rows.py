"""Claims as they are stored in the platform's table."""

from __future__ import annotations

import base64
import enum
import hashlib
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

from celerywharf.adapters.applications import Answer, Call

KEY_PREFIX = 'claims/'


class ClaimState(enum.StrEnum):
    """What is known about the attempt that holds a claim.

    ``claimed``: it may have been sent.  ``answered``: it was sent and
    answered.  ``released``: it was not run and will not be.
    """

    claimed = 'claimed'
    answered = 'answered'
    released = 'released'


@dataclass(frozen=True, slots=True)
class RecordedAnswer:
    """An answer kept for repeats of a call.

    Attributes:
        status: HTTP status.
        headers: header names in lower case.
        body: content, None when it is in the object store or was not kept.
        object_name: name in the object store, empty for none.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes | None
    object_name: str = ''

    @classmethod
    def of(cls, answer: Answer) -> RecordedAnswer:
        """Return a recorded answer that holds the whole body."""
        return cls(answer.status, answer.headers, answer.body)

    def to_json(self) -> dict[str, Any]:
        """Return it as a JSON object."""
        body = self.body
        return {
            'status': self.status,
            'headers': dict(self.headers),
            'body': None if body is None else base64.b64encode(body).decode(),
            'object_name': self.object_name,
        }

    @classmethod
    def from_json(cls, document: Mapping[str, Any]) -> RecordedAnswer:
        """Read what ``to_json`` wrote."""
        body = document['body']
        return cls(
            status=document['status'],
            headers=document['headers'],
            body=None if body is None else base64.b64decode(body),
            object_name=document['object_name'],
        )


@dataclass(frozen=True, slots=True)
class ClaimRow:
    """The claim of one attempt on one idempotency key.

    Attributes:
        attempt: unique id of the attempt.
        host: name of the host that made it.
        incarnation: incarnation of that host, new with each start.
        digest: digest of the call, see ``call_digest``.
        expires_s: seconds since 1970 after which the row may be removed.
        state: what is known about the attempt.
        answer: the answer, None until the state is ``answered``.
    """

    attempt: str
    host: str
    incarnation: int
    digest: str
    expires_s: float
    state: ClaimState = ClaimState.claimed
    answer: RecordedAnswer | None = None

    def answered(self, answer: RecordedAnswer) -> ClaimRow:
        """Return the row with an answer, in state ``answered``."""
        return replace(self, state=ClaimState.answered, answer=answer)

    def released(self) -> ClaimRow:
        """Return the row in state ``released``."""
        return replace(self, state=ClaimState.released)

    def to_json(self) -> dict[str, Any]:
        """Return it as a JSON object."""
        return {
            'attempt': self.attempt,
            'host': self.host,
            'incarnation': self.incarnation,
            'digest': self.digest,
            'expires_s': self.expires_s,
            'state': self.state.value,
            'answer': self.answer and self.answer.to_json(),
        }

    @classmethod
    def from_json(cls, document: Mapping[str, Any]) -> ClaimRow:
        """Read what ``to_json`` wrote."""
        answer = document['answer']
        return cls(
            attempt=document['attempt'],
            host=document['host'],
            incarnation=document['incarnation'],
            digest=document['digest'],
            expires_s=document['expires_s'],
            state=ClaimState(document['state']),
            answer=answer and RecordedAnswer.from_json(answer),
        )


@dataclass(eq=False, slots=True)
class Change:
    """A claim row to be written.

    Attributes:
        key: key of the row.
        row: what to write.
        deadline_s: monotonic time at which the change is given up.
        version: version the stored row must have; 0 means absent.
        in_doubt: an earlier transaction may have written the row, or may
            still do so.
    """

    key: str
    row: ClaimRow
    deadline_s: float
    version: int = 0
    in_doubt: bool = False

    @property
    def is_claim(self) -> bool:
        """Whether this claims a key, so that a call waits for the write."""
        return self.row.state is ClaimState.claimed


@dataclass(frozen=True, slots=True)
class VersionedRow:
    """A stored row with its version."""

    version: int
    row: ClaimRow


@dataclass(frozen=True, slots=True)
class Written:
    """The change is stored.

    Attributes:
        version: new version of the row, 0 for a minted key.
    """

    version: int


@dataclass(frozen=True, slots=True)
class Taken:
    """The stored row does not allow the change.

    Attributes:
        found: the stored row, usually the claim of another attempt.
    """

    found: VersionedRow


@dataclass(frozen=True, slots=True)
class NotWritten:
    """The change was given up.

    Attributes:
        in_doubt: it may be stored nevertheless, or may still be.
    """

    in_doubt: bool = False


@dataclass(frozen=True, slots=True)
class Undetermined:
    """Whether the key was used cannot be determined any more.

    The host that minted it has restarted or cannot be reached, or the key
    has expired.
    """


WriteOutcome = Written | Taken | NotWritten | Undetermined


def row_key(call: Call) -> str:
    """Return the table key under which a call's claim is stored."""
    return KEY_PREFIX + _digest(call.client_account, call.key)


def call_digest(call: Call) -> str:
    """Return a digest that is equal only for repeats of the same call."""
    return _digest(call.service, call.method, call.path, call.body)


def _digest(*parts: str | bytes) -> str:
    digest = hashlib.sha256()
    for part in parts:
        encoded = part.encode() if isinstance(part, str) else part
        digest.update(len(encoded).to_bytes(8))
        digest.update(encoded)
    return digest.hexdigest()
