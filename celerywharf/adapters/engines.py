"""Client of model engines and parser of their token streams.

Every event of a stream must name exactly the generation, epoch and attempt
that were requested.  An event that does not, or that cannot be parsed, ends
the connection, because no event after it can be trusted.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, Protocol

from celerywharf.adapters.event_buffers import EventBuffer
from celerywharf.adapters.transports import HttpRequest, Transfer, Transport
from celerywharf.exceptions import CelerywharfError, TransportError
from celerywharf.structures import Verdict
from celerywharf.units import SMALL_MESSAGE_BYTES

CANCEL_TIMEOUT_S = 1.0
# Error bodies hold a code and a sentence.
MAX_ERROR_BODY_BYTES = SMALL_MESSAGE_BYTES

DATA = b'data: '
DATA_LENGTH = len(DATA)
# Bytes after the offset and after the token of an event, as engines usually
# serialize it; see ``EngineStream._read_single``.
TOKEN_SEPARATOR = b',"t":"'
TOKEN_EVENT_END = b'"}\n\n'
PARSE_ERRORS = (ValueError, KeyError, TypeError, StopIteration, RecursionError)

_scan_json = json.JSONDecoder().scan_once


@dataclass(frozen=True, slots=True)
class AttemptId:
    """Identifies one run of one engine on a generation."""

    generation: str
    epoch: int
    attempt: int


@dataclass(frozen=True, slots=True)
class EngineWork:
    """A request to an engine to generate tokens.

    Attributes:
        attempt: identifies the run.
        model: model to use; empty for the engine's only model.
        prompt: text of the prompt.
        prefix: tokens that were already generated after the prompt.
        max_tokens: offset at which the generation ends, prefix included.
        seed: sampling seed.
        priority: higher values are served first.
        client_account: name of the account that is charged.
    """

    attempt: AttemptId
    model: str
    prompt: str
    prefix: list[str]
    max_tokens: int
    seed: int
    priority: int
    client_account: str


@dataclass(frozen=True, slots=True)
class StreamFailure:
    """Why a stream ended without an end event.

    Attributes:
        kind: ``reset``, ``unreachable``, ``truncated``, ``mismatched``,
            ``malformed``, ``refused``, ``stale_epoch``, ``unknown_attempt`` or
            ``status``.
        verdict: whether the engine may have run the attempt.
        message: description for operators.
    """

    kind: str
    verdict: Verdict
    message: str


class EngineListener(Protocol):
    """Receives the tokens and the end of a stream."""

    def on_tokens(self, attempt: int, offset: int, tokens: list[str]) -> None:
        """Receive consecutive tokens, the first at ``offset``."""

    def on_finished(self, attempt: int, total: int, reason: str) -> None:
        """Receive the end event, with the total number of tokens."""

    def on_failure(self, attempt: int, failure: StreamFailure) -> None:
        """Receive the end of a stream without an end event."""


class EngineStream:
    """The event stream of one attempt.

    Attributes:
        attempt: ids that every event must carry.
        transfer: the HTTP transfer, to pause, resume or cancel.
        received_bytes: bytes of the response body received so far.
    """

    transfer: Transfer

    def __init__(self, attempt: AttemptId, listener: EngineListener) -> None:
        self.attempt = attempt
        self.listener = listener
        self.status = 0
        self.events = EventBuffer()
        self.error_body = b''
        self.ended = False
        self.received_bytes = 0
        self.event_head = _event_head(attempt)

    def cancel(self) -> None:
        """Close the connection; the listener receives nothing more."""
        self.ended = True
        self.transfer.cancel()

    def on_headers(self, status: int, headers: Mapping[str, str]) -> None:
        """Store the status."""
        self.status = status

    def on_chunk(self, chunk: bytes) -> None:
        """Parse complete events and buffer an incomplete one."""
        if self.ended:
            return
        self.received_bytes += len(chunk)
        if self.status != HTTPStatus.OK:
            self._read_error(chunk)
            return
        try:
            if self.events.incomplete or not self._read_single(chunk):
                self._read_events(self.events.feed(chunk))
        except PARSE_ERRORS as error:
            self._fail('malformed', f'malformed event: {error!r}')

    def on_end(self, error: TransportError | None) -> None:
        """Report a stream that ended without an end event."""
        if self.ended:
            return
        self.ended = True
        failure = self._end_failure(error)
        self.listener.on_failure(self.attempt.attempt, failure)

    def _read_error(self, chunk: bytes) -> None:
        self.error_body += chunk
        if len(self.error_body) > MAX_ERROR_BODY_BYTES:
            # A refusal needs no body; its status alone is the answer.
            self.transfer.cancel()
            self.error_body = b''
            self.on_end(None)

    def _read_single(self, chunk: bytes) -> bool:
        """Parse a chunk that is a single token event; False if it is not.

        This avoids decoding JSON for the usual serialization.  The head
        matches generation, epoch and attempt byte by byte.  If the token has
        no quote or backslash, its bytes are its text, and no second event can
        follow it.
        """
        if not (
            chunk.startswith(self.event_head)
            and chunk.endswith(TOKEN_EVENT_END)
        ):
            return False
        content = chunk[len(self.event_head) : -len(TOKEN_EVENT_END)]
        offset, separator, token = content.partition(TOKEN_SEPARATOR)
        if not separator or b'"' in token or b'\\' in token:
            return False
        self.listener.on_tokens(
            self.attempt.attempt,
            int(offset),
            [token.decode()],
        )
        return True

    def _read_events(self, events: list[bytes]) -> None:
        expected = self.attempt
        tokens: list[str] = []
        first_offset = -1
        next_offset = -1
        for event in events:
            content = _parse_event(event)
            if content is None:
                continue
            if (
                content['a'] != expected.attempt
                or content['g'] != expected.generation
                or content['e'] != expected.epoch
            ):
                self._deliver(first_offset, tokens)
                self._fail('mismatched', 'event names another attempt')
                return
            offset = content['o']
            token = content.get('t')
            if token.__class__ is not str:
                self._deliver(first_offset, tokens)
                self._finish(offset, content['end'])
                return
            if offset != next_offset:
                self._deliver(first_offset, tokens)
                tokens = []
                first_offset = offset
            tokens.append(token)
            next_offset = offset + 1
        self._deliver(first_offset, tokens)

    def _deliver(self, offset: int, tokens: list[str]) -> None:
        if tokens and not self.ended:
            self.listener.on_tokens(self.attempt.attempt, offset, tokens)

    def _finish(self, total: int, reason: str) -> None:
        if not self.ended:
            self.cancel()
            self.listener.on_finished(self.attempt.attempt, total, reason)

    def _fail(self, kind: str, message: str) -> None:
        if not self.ended:
            self.cancel()
            failure = StreamFailure(kind, Verdict.may_have_run, message)
            self.listener.on_failure(self.attempt.attempt, failure)

    def _end_failure(self, error: TransportError | None) -> StreamFailure:
        match self.status:
            case HTTPStatus.OK:
                kind = 'truncated' if self.events.incomplete else 'reset'
                return StreamFailure(kind, Verdict.may_have_run, str(error))
            case HTTPStatus.CONFLICT:
                kind = _error_code(self.error_body)
                return StreamFailure(kind, Verdict.not_run, 'conflict')
            case HTTPStatus.SERVICE_UNAVAILABLE:
                return StreamFailure('refused', Verdict.not_run, 'refused')
            case HTTPStatus.NOT_FOUND:
                return StreamFailure(
                    'unknown_attempt',
                    Verdict.not_run,
                    'the engine does not have the attempt',
                )
        if error is not None:
            reached = error.verdict is not Verdict.not_run
            kind = 'reset' if reached else 'unreachable'
            return StreamFailure(kind, error.verdict, error.message)
        return StreamFailure(
            'status',
            Verdict.may_have_run,
            f'unexpected status {self.status}',
        )


class EngineClient:
    """Starts, continues and cancels runs on engines."""

    def __init__(self, transport: Transport) -> None:
        self.transport = transport

    def generate(
        self,
        url: str,
        work: EngineWork,
        listener: EngineListener,
    ) -> EngineStream:
        """Start a run that continues after ``work.prefix``."""
        content = {
            **_attempt_fields(work.attempt),
            'prompt': work.prompt,
            'prefix': work.prefix,
            'max_tokens': work.max_tokens,
            'seed': work.seed,
            'priority': work.priority,
            'client_account': work.client_account,
        }
        if work.model:
            content['model'] = work.model
        stream = EngineStream(work.attempt, listener)
        return self._stream(f'{url}/v1/generate', content, stream)

    def reattach(
        self,
        url: str,
        old: AttemptId,
        new: AttemptId,
        offset: int,
        listener: EngineListener,
    ) -> EngineStream:
        """Continue a run under a new attempt id, from ``offset`` on."""
        content = {
            **_attempt_fields(old),
            'new_epoch': new.epoch,
            'new_attempt': new.attempt,
            'offset': offset,
        }
        stream = EngineStream(new, listener)
        return self._stream(f'{url}/v1/reattach', content, stream)

    async def cancel(self, url: str, attempt: AttemptId) -> None:
        """Cancel a run; failures, as of an unreachable engine, are ignored."""
        request = HttpRequest.with_json(
            'POST',
            f'{url}/v1/cancel',
            _attempt_fields(attempt),
            timeout_s=CANCEL_TIMEOUT_S,
        )
        try:
            await self.transport.fetch(request)
        except CelerywharfError:
            return

    def _stream(
        self,
        url: str,
        content: dict[str, Any],
        stream: EngineStream,
    ) -> EngineStream:
        request = HttpRequest.with_json(
            'POST',
            url,
            content,
            timeout_s=None,
            fresh_connection=True,
        )
        stream.transfer = self.transport.stream(request, stream)
        return stream


def _parse_event(event: bytes) -> dict[str, Any] | None:
    if not event.startswith(DATA):
        if event.startswith(b':') or not event.strip():
            return None
        raise ValueError('no data field')
    return _scan_json(event.decode(), DATA_LENGTH)[0]


def _event_head(attempt: AttemptId) -> bytes:
    generation = json.dumps(attempt.generation)
    names = f'"g":{generation},"e":{attempt.epoch},"a":{attempt.attempt}'
    return f'data: {{{names},"o":'.encode()


def _attempt_fields(attempt: AttemptId) -> dict[str, Any]:
    return {
        'generation': attempt.generation,
        'epoch': attempt.epoch,
        'attempt': attempt.attempt,
    }


def _error_code(body: bytes) -> str:
    try:
        return str(json.loads(body)['code'])
    except (ValueError, KeyError, TypeError):
        return 'status'
