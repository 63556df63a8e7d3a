"""Claims and answers as inner messages."""

from __future__ import annotations

from celerywharf.applications._rows import (
    ClaimRow,
    ClaimState,
    RecordedAnswer,
)
from celerywharf.wire.claims import AnswerFields, ClaimFields, HeaderField


def to_answer_fields(answer: RecordedAnswer | None) -> AnswerFields:
    """Return the message of an answer."""
    if answer is None:
        return AnswerFields()
    headers = [HeaderField(name, text) for name, text in answer.headers.items()]
    complete = answer.body is not None
    return AnswerFields(answer.status, headers, answer.body or b'', complete)


def from_answer_fields(fields: AnswerFields) -> RecordedAnswer | None:
    """Read the message of an answer."""
    if not fields.status:
        return None
    headers = {header.name: header.value for header in fields.headers}
    body = fields.body if fields.complete else None
    return RecordedAnswer(fields.status, headers, body)


def to_claim_fields(row: ClaimRow) -> ClaimFields:
    """Return the message of a claim."""
    return ClaimFields(
        attempt=row.attempt,
        host=row.host,
        incarnation=row.incarnation,
        digest=row.digest,
        state=row.state.value,
        answer=to_answer_fields(row.answer),
    )


def from_claim_fields(fields: ClaimFields) -> ClaimRow:
    """Read the message of a claim."""
    return ClaimRow(
        attempt=fields.attempt,
        host=fields.host,
        incarnation=fields.incarnation,
        digest=fields.digest,
        expires_s=0,
        state=ClaimState(fields.state),
        answer=from_answer_fields(fields.answer),
    )
