"""Conversion of claims and answers to and from messages between hosts."""

from __future__ import annotations

from celerywharf.applications._rows import (
    ClaimRow,
    ClaimState,
    RecordedAnswer,
)
from celerywharf.wire.claims import AnswerFields, ClaimFields, HeaderField


def to_answer_fields(answer: RecordedAnswer | None) -> AnswerFields:
    """Return the message fields of an answer; status 0 stands for None."""
    if answer is None:
        return AnswerFields()
    headers = [HeaderField(name, text) for name, text in answer.headers.items()]
    complete = answer.body is not None
    return AnswerFields(answer.status, headers, answer.body or b'', complete)


def from_answer_fields(fields: AnswerFields) -> RecordedAnswer | None:
    """Return the answer that fields hold, None when there is none."""
    if not fields.status:
        return None
    headers = {header.name: header.value for header in fields.headers}
    body = fields.body if fields.complete else None
    return RecordedAnswer(fields.status, headers, body)


def to_claim_fields(row: ClaimRow) -> ClaimFields:
    """Return the message fields of a claim, without its expiry."""
    return ClaimFields(
        attempt=row.attempt,
        host=row.host,
        incarnation=row.incarnation,
        digest=row.digest,
        state=row.state.value,
        answer=to_answer_fields(row.answer),
    )


def from_claim_fields(fields: ClaimFields) -> ClaimRow:
    """Return the claim that fields hold, with an expiry of 0."""
    return ClaimRow(
        attempt=fields.attempt,
        host=fields.host,
        incarnation=fields.incarnation,
        digest=fields.digest,
        expires_s=0,
        state=ClaimState(fields.state),
        answer=from_answer_fields(fields.answer),
    )
