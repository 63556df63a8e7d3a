"""Parses and builds the headers of platform requests and responses."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from celerywharf.adapters.transports import (
    FIELD_SEPARATOR,
    HOP_BY_HOP,
    list_members,
)
from celerywharf.backends import ServerLoad
from celerywharf.platform._prompts import shared_parts
from celerywharf.platform._server_loads import read_server_load
from celerywharf.structures import Address
from celerywharf.units import MAX_EXACT_INTEGER

READY_PATH = '/api/ready'
PROBE_PATH = '/api/report'
MS_PER_S = 1000
BEARER = 'bearer '

HOST = 'host'
MODEL = 'model'
REQUEST_ID = 'attempt-id'
DEADLINE = 'deadline-ms'
TOKENS = 'token-count'
PROMPT_PARTS = 'prompt-prefix'
LAST_EVENT = 'last-event-id'
RESUMED_REQUEST = 'resumes'
CONNECTION = 'connection'
AUTHORIZATION = 'authorization'
ACCOUNT = 'tenant'
INSTANCE = 'expect-instance'
SERVER_STAMP = 'server-stamp'
NOT_RUN = 'not-run'
LOAD = 'engine-load'
LIMIT = 'server-limit'
LEAVING = 'server-leaving'
BRITTLE = 'server-brittle'
RETRY_AFTER = 'retry-after'
BACKUP = 'kv-backup'
RESUME_FROM = 'kv-from'
URGENCY = 'request-urgency'
LEASE = 'hold'

# Headers that only this system may set; dropped from callers' requests.
RESERVED = frozenset(
    (
        AUTHORIZATION,
        ACCOUNT,
        INSTANCE,
        BACKUP,
        RESUME_FROM,
        DEADLINE,
        LEASE,
        'pin-ms',
        'kv-fetch',
        URGENCY,
        'expect-version',
    )
)
# Callers' headers that backend servers need as they are.
END_TO_END = frozenset(
    (
        HOST,
        MODEL,
        REQUEST_ID,
        TOKENS,
        PROMPT_PARTS,
        LAST_EVENT,
        RESUMED_REQUEST,
    )
)
# Those that a request may have once.
SINGLE = END_TO_END - {PROMPT_PARTS}
# curl adds these headers unless they are set to an empty value.
ADDED_BY_CURL = ('accept', 'user-agent', 'content-type')


@dataclass(frozen=True, slots=True)
class RequestHeaders:
    """Parsed headers of a caller's request.

    Attributes:
        request_id: id of this attempt of the caller, empty if missing.
        deadline_s: how long the caller waits; None if not given.
        key: the bearer key; None if missing.
        prompt_tokens: length of the prompt; 0 if not given.
        output_tokens: maximum length of the output; 0 if not given.
        shared_parts: names of the prompt's parts in order, without the last,
            which no other request has.
        last_event: id of the last event that the caller received; None if
            the request does not resume a stream.
        resumed_request: id of the attempt that brought the first event of the
            stream that is resumed; empty if it is not given.
        forwarded: headers sent to the backend server unchanged.
    """

    request_id: str
    deadline_s: float | None
    key: str | None
    prompt_tokens: int
    output_tokens: int
    shared_parts: tuple[str, ...]
    last_event: int | None
    resumed_request: str
    forwarded: dict[str, str]


@dataclass(frozen=True, slots=True)
class AnswerHeaders:
    """Parsed headers of a backend server's response.

    Attributes:
        request_id: id of the request that was answered; None if missing.
        signed: ``Server-Stamp`` is set once, so a backend server produced
            the response, and is forwarded.
        not_run: the backend server guarantees that it did not run the request.
        encoded: a Content-Encoding other than ``identity`` is set, so the
            body is not as the backend server sent it.
        load: what is sound of the load it states; None if nothing is.
        has_sound_load: no part of the stated load is malformed or absurd.
        has_limit: the backend server states a request limit.
        limit_per_s: requests a second that it takes from all hosts together;
            None if it states none or a malformed one.
        leaving: the backend server is leaving and takes no new requests.
        pause_s: how long it wants nothing from this host; None if it does not
            say, or not in plain seconds.
        refusals_per_s: refused requests a second, of all hosts, above which it
            falls over; None if it is not brittle or states no number.
        forwarded: headers sent to the caller unchanged; see ``HttpResponse``.
    """

    request_id: str | None
    signed: bool
    not_run: bool
    encoded: bool
    load: ServerLoad | None
    has_sound_load: bool
    has_limit: bool
    limit_per_s: float | None
    leaving: bool
    pause_s: float | None
    refusals_per_s: float | None
    forwarded: dict[str, str]

    def is_answer_to(self, request_id: str) -> bool:
        """Return whether the caller sees that its request was answered."""
        return self.forwarded.get(REQUEST_ID) == request_id


@dataclass(frozen=True, slots=True)
class EngineAdmission:
    """How an engine is to admit a request.

    Attributes:
        urgency: from 0, the most urgent, to 9; None if all are equal.
        lease: name of the lease of room for the request; empty if there is
            none.
    """

    urgency: int | None = None
    lease: str = ''


@dataclass(frozen=True, slots=True)
class Resumption:
    """Where to resume an interrupted stream.

    Attributes:
        last_event: id of the last event that the caller received.
        copy_at: address of the backend server that holds a copy of the run's
            KV cache.
    """

    last_event: int | None = None
    copy_at: Address | None = None


def read_request_headers(
    headers: Iterable[tuple[str, str]],
) -> RequestHeaders:
    """Parse the headers of a caller's request.

    Raises:
        ValueError: a number in ``Deadline-Ms``, ``Token-Count`` or
            ``Last-Event-Id`` is malformed, negative or not finite; a header of
            ``SINGLE`` is repeated; or ``Connection`` names one of
            ``END_TO_END``.
    """
    joined = _joined(headers)
    connection_options = list_members(joined, CONNECTION)
    if not END_TO_END.isdisjoint(connection_options):
        raise ValueError('Connection names a header of the request itself')
    prompt, output = _token_counts(joined.get(TOKENS))
    last_event = joined.get(LAST_EVENT)
    return RequestHeaders(
        request_id=joined.get(REQUEST_ID, ''),
        deadline_s=_deadline_s(joined.get(DEADLINE)),
        key=_bearer_key(joined.get(AUTHORIZATION, '')),
        prompt_tokens=prompt,
        output_tokens=output,
        shared_parts=shared_parts(joined.get(PROMPT_PARTS)),
        last_event=_count(last_event) if last_event else None,
        resumed_request=joined.get(RESUMED_REQUEST, ''),
        forwarded={
            name: text
            for name, text in joined.items()
            if name not in HOP_BY_HOP
            and name not in RESERVED
            and name not in connection_options
        },
    )


def read_answer_headers(headers: Mapping[str, str]) -> AnswerHeaders:
    """Parse a backend server's headers; see ``HttpResponse``."""
    connection_options = list_members(headers, CONNECTION)
    codings = list_members(headers, 'content-encoding')
    load, has_sound_load = read_server_load(headers.get(LOAD))
    forwarded = {
        name: text
        for name, text in headers.items()
        if name not in HOP_BY_HOP and name not in connection_options
    }
    stamp = forwarded.get(SERVER_STAMP, '')
    return AnswerHeaders(
        request_id=headers.get(REQUEST_ID),
        signed=bool(stamp) and FIELD_SEPARATOR not in stamp,
        not_run=NOT_RUN in headers,
        encoded=not codings <= {'identity'},
        load=load,
        has_sound_load=has_sound_load,
        has_limit=LIMIT in headers,
        limit_per_s=_number(headers.get(LIMIT, '')),
        leaving=headers.get(LEAVING, '').strip() == '1',
        pause_s=_number(headers.get(RETRY_AFTER, '')),
        refusals_per_s=_number(headers.get(BRITTLE, '')),
        forwarded=forwarded,
    )


def server_headers(
    request: RequestHeaders,
    *,
    account: str | None,
    instance: str,
    remaining_s: float,
    backup: Address | None = None,
    resumption: Resumption | None = None,
    admission: EngineAdmission | None = None,
) -> dict[str, str]:
    """Return the headers of a request to a backend server.

    Args:
        request: headers of the caller's request.
        account: the client account of the caller's key; None if the route
            needs no key.
        instance: name of the intended backend server; any other refuses.
        remaining_s: time left until the caller's deadline.
        backup: where to keep a copy of the run's KV cache.
        resumption: given when an interrupted stream is resumed.
        admission: how an engine is to admit it; None if it is told nothing.
    """
    headers = dict.fromkeys(ADDED_BY_CURL, '')
    headers.update(request.forwarded)
    headers[DEADLINE] = str(max(1, int(remaining_s * MS_PER_S)))
    headers[INSTANCE] = instance
    if account is not None:
        headers[ACCOUNT] = account
    if admission is not None and admission.urgency is not None:
        headers[URGENCY] = str(admission.urgency)
    if admission is not None and admission.lease:
        headers[LEASE] = admission.lease
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
        previous = joined.get(lowered)
        if previous is not None and lowered in SINGLE:
            raise ValueError(f'{lowered} is repeated')
        joined[lowered] = text if previous is None else f'{previous}, {text}'
    return joined


def _bearer_key(header: str) -> str | None:
    if not header.lower().startswith(BEARER):
        return None
    return header[len(BEARER) :].strip() or None


def _token_counts(text: str | None) -> tuple[int, int]:
    if not text:
        return 0, 0
    prompt, _, output = text.partition(',')
    return _count(prompt), _count(output or '0')


def _deadline_s(text: str | None) -> float | None:
    if not text:
        return None
    deadline_ms = float(text)
    if not math.isfinite(deadline_ms) or deadline_ms < 0:
        raise ValueError(f'{text!r} is not a duration')
    return deadline_ms / MS_PER_S


def _count(text: str) -> int:
    if not text.isascii():
        raise ValueError('a number has other digits')
    count = int(text)
    if not 0 <= count <= MAX_EXACT_INTEGER:
        raise ValueError('a number is out of range')
    return count


def _number(text: str) -> float | None:
    """Return a finite number of at least 0; None for anything else."""
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0 else None
