"""Headers of requests and answers: the platform's names and our types."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from celerywharf.adapters.transports import HOP_BY_HOP
from celerywharf.structures import Address

READY_PATH = '/api/ready'
PROBE_PATH = '/api/report'
MILLISECONDS = 1000
BEARER = 'bearer '

REQUEST_ID = 'attempt-id'
DEADLINE = 'deadline-ms'
TOKENS = 'token-count'
LAST_EVENT = 'last-event-id'
AUTHORIZATION = 'authorization'
ACCOUNT = 'tenant'
INSTANCE = 'expect-instance'
SIGNATURE = 'server-stamp'
NOT_RUN = 'not-run'
LOAD = 'engine-load'
BACKUP = 'kv-backup'
RESUME_FROM = 'kv-from'

# A caller must not choose what only this system may set.
SET_HERE = frozenset(
    (
        AUTHORIZATION,
        ACCOUNT,
        INSTANCE,
        BACKUP,
        RESUME_FROM,
        DEADLINE,
        'hold',
        'pin-ms',
        'kv-fetch',
        'request-urgency',
        'expect-version',
    )
)
# curl adds these by itself unless told not to.
ADDED_BY_CURL = ('accept', 'user-agent', 'content-type')


@dataclass(frozen=True, slots=True)
class RequestHeaders:
    """What the headers of a caller's request say.

    Attributes:
        request_id: of this attempt of the caller.
        deadline_s: how long the caller waits; None if it does not say.
        key: the bearer key, None if there is none.
        prompt_tokens: length of the prompt.
        output_tokens: longest output.
        last_event: id of the last event that the caller has.
        forwarded: all headers that go to the backend server unchanged.
    """

    request_id: str
    deadline_s: float | None
    key: str | None
    prompt_tokens: int
    output_tokens: int
    last_event: int | None
    forwarded: dict[str, str]


@dataclass(frozen=True, slots=True)
class AnswerHeaders:
    """What the headers of a backend server's answer say.

    Attributes:
        request_id: of the request that it answers.
        signed: a backend server made the answer.
        not_run: the backend server promises that it did not run the request.
        encoded: the body is not the backend server's own.
        load: requests it runs and keeps waiting, over its slots.
        forwarded: all headers that go to the caller unchanged.
    """

    request_id: str | None
    signed: bool
    not_run: bool
    encoded: bool
    load: float | None
    forwarded: dict[str, str]


@dataclass(frozen=True, slots=True)
class Resumption:
    """Where a stream goes on.

    Attributes:
        last_event: id of the last event that the caller has.
        copy_at: the backend server that holds a copy of the run's memory.
    """

    last_event: int | None = None
    copy_at: Address | None = None


def read_request_headers(
    headers: Iterable[tuple[str, str]],
) -> RequestHeaders:
    """Read what a caller sent.

    Raises:
        ValueError: a header that matters is malformed.
    """
    given = _joined(headers)
    named = _named_by_connection(given)
    prompt, output = _tokens(given.get(TOKENS))
    deadline = given.get(DEADLINE)
    last_event = given.get(LAST_EVENT)
    return RequestHeaders(
        request_id=given.get(REQUEST_ID, ''),
        deadline_s=float(deadline) / MILLISECONDS if deadline else None,
        key=_bearer(given.get(AUTHORIZATION, '')),
        prompt_tokens=prompt,
        output_tokens=output,
        last_event=int(last_event) if last_event else None,
        forwarded={
            name: text
            for name, text in given.items()
            if name not in HOP_BY_HOP
            and name not in SET_HERE
            and name not in named
        },
    )


def read_answer_headers(headers: Mapping[str, str]) -> AnswerHeaders:
    """Read what a backend server sent; names are in lower case."""
    named = _named_by_connection(headers)
    return AnswerHeaders(
        request_id=headers.get(REQUEST_ID),
        signed=bool(headers.get(SIGNATURE)),
        not_run=NOT_RUN in headers,
        encoded=headers.get('content-encoding', 'identity') != 'identity',
        load=_load(headers.get(LOAD)),
        forwarded={
            name: text
            for name, text in headers.items()
            if name not in HOP_BY_HOP and name not in named
        },
    )


def server_headers(
    request: RequestHeaders,
    *,
    account: str | None,
    instance: str,
    remaining_s: float,
    backup: Address | None = None,
    resumption: Resumption | None = None,
) -> dict[str, str]:
    """Return the headers of a request to a backend server.

    Args:
        request: what the caller sent.
        account: the client account that holds the caller's key.
        instance: the backend server that is meant; others refuse.
        remaining_s: what is left of the caller's deadline.
        backup: keep a copy of the run's memory there.
        resumption: set for a stream that goes on.
    """
    headers = dict.fromkeys(ADDED_BY_CURL, '')
    headers.update(request.forwarded)
    headers[DEADLINE] = str(max(1, int(remaining_s * MILLISECONDS)))
    headers[INSTANCE] = instance
    if account is not None:
        headers[ACCOUNT] = account
    if backup is not None:
        headers[BACKUP] = str(backup)
    if resumption is not None:
        if resumption.last_event is not None:
            headers[LAST_EVENT] = str(resumption.last_event)
        if resumption.copy_at is not None:
            headers[RESUME_FROM] = f'{resumption.copy_at}/{request.request_id}'
    return headers


def _joined(headers: Iterable[tuple[str, str]]) -> dict[str, str]:
    joined: dict[str, str] = {}
    for name, text in headers:
        lowered = name.lower()
        before = joined.get(lowered)
        joined[lowered] = text if before is None else f'{before}, {text}'
    return joined


def _named_by_connection(headers: Mapping[str, str]) -> frozenset[str]:
    words = headers.get('connection', '').lower().split(',')
    return frozenset(word.strip() for word in words)


def _bearer(header: str) -> str | None:
    if not header.lower().startswith(BEARER):
        return None
    return header[len(BEARER) :].strip() or None


def _tokens(text: str | None) -> tuple[int, int]:
    if not text:
        return 0, 0
    prompt, _, output = text.partition(',')
    return int(prompt), int(output or 0)


def _load(text: str | None) -> float | None:
    try:
        running, waiting, slots = map(int, (text or '').split(','))
    except ValueError:
        return None
    return (running + waiting) / slots if slots else None
