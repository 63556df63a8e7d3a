"""The protocol of model engines.

Every event of a stream must name exactly the generation, epoch and attempt it
was asked for.  One that does not, or that cannot be read, ends the connection,
because nothing after it can be trusted.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, Protocol

from celerywharf.adapters.transports import HttpRequest, Transfer, Transport
from celerywharf.exceptions import CelerywharfError, TransportError
from celerywharf.structures import Verdict

CANCEL_TIMEOUT_S = 1.0
EVENT_LIMIT_BYTES = 1024 * 1024
DATA = b'data: '
DATA_LENGTH = len(DATA)
EVENT_END = b'\n\n'
PLAIN_TOKEN = b',"t":"'
PLAIN_END = b'"}\n\n'
UNREADABLE = (ValueError, KeyError, TypeError, StopIteration, RecursionError)

_scan = json.JSONDecoder().scan_once


@dataclass(frozen=True, slots=True)
class AttemptId:
    """Names one run of one engine on a generation."""

    generation: str
    epoch: int
    attempt: int


@dataclass(frozen=True, slots=True)
class EngineWork:
    """What an engine is asked to generate.

    Attributes:
        attempt: names the run.
        model: model to use, empty for the engine's only one.
        prompt: text to start from.
        prefix: tokens that follow the prompt already.
        max_tokens: offset at which the generation ends.
        seed: passed on.
        priority: higher first.
        client_account: who pays.
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
    """Why a stream ended before its end event.

    Attributes:
        kind: ``reset``, ``truncated``, ``mismatched``, ``malformed``,
            ``refused``, ``stale_epoch``, ``unknown_attempt`` or ``status``.
        verdict: whether the engine may have worked.
        message: one sentence for a person.
    """

    kind: str
    verdict: Verdict
    message: str


class EngineListener(Protocol):
    """Hears what a stream brings."""

    def on_tokens(self, attempt: int, offset: int, tokens: list[str]) -> None:
        """Take consecutive tokens, the first at ``offset``."""

    def on_finished(self, attempt: int, total: int, reason: str) -> None:
        """Take the end event."""

    def on_failure(self, attempt: int, failure: StreamFailure) -> None:
        """Take the end of a stream that had no end event."""


class EngineStream:
    """One attempt's event stream.

    Attributes:
        attempt: the run every event must name.
        transfer: the exchange, to pause, resume or cancel.
        received_bytes: size of the answer so far.
    """

    transfer: Transfer

    def __init__(self, attempt: AttemptId, listener: EngineListener) -> None:
        self.attempt = attempt
        self.listener = listener
        self.status = 0
        self.rest = b''
        self.ended = False
        self.received_bytes = 0
        self.head = _head(attempt)

    def cancel(self) -> None:
        """Close the connection; the listener hears nothing more."""
        self.ended = True
        self.transfer.cancel()

    def on_headers(self, status: int, headers: Mapping[str, str]) -> None:
        """Take the status."""
        self.status = status

    def on_chunk(self, chunk: bytes) -> None:
        """Read whole events; keep the rest of a broken one."""
        if self.ended:
            return
        self.received_bytes += len(chunk)
        if self.rest:
            chunk = self.rest + chunk
            self.rest = b''
        if self.status != HTTPStatus.OK:
            self.rest = chunk[:EVENT_LIMIT_BYTES]
            return
        try:
            self._read_plain(chunk) or self._read(chunk)
        except UNREADABLE as error:
            self._fail('malformed', f'unreadable event: {error!r}')

    def on_end(self, error: TransportError | None) -> None:
        """Judge a stream that ended by itself."""
        if self.ended:
            return
        self.ended = True
        failure = self._judge_end(error)
        self.listener.on_failure(self.attempt.attempt, failure)

    def _read_plain(self, chunk: bytes) -> bool:
        """Read a chunk that is one event in the usual spelling.

        The head names generation, epoch and attempt byte by byte; without a
        quote or backslash the token's bytes are its text, and no second event
        can follow.
        """
        if not (chunk.startswith(self.head) and chunk.endswith(PLAIN_END)):
            return False
        content = chunk[len(self.head) : -len(PLAIN_END)]
        offset, separator, token = content.partition(PLAIN_TOKEN)
        if not separator or b'"' in token or b'\\' in token:
            return False
        self.listener.on_tokens(
            self.attempt.attempt,
            int(offset),
            [token.decode()],
        )
        return True

    def _read(self, chunk: bytes) -> None:
        events = chunk.split(EVENT_END)
        self.rest = events.pop()
        expected = self.attempt
        tokens: list[str] = []
        first = -1
        following = -1
        for event in events:
            content = _content(event)
            if content is None:
                continue
            if (
                content['a'] != expected.attempt
                or content['g'] != expected.generation
                or content['e'] != expected.epoch
            ):
                self._tell(first, tokens)
                self._fail('mismatched', 'event of another attempt')
                return
            offset = content['o']
            token = content.get('t')
            if token.__class__ is not str:
                self._tell(first, tokens)
                self._finish(offset, content['end'])
                return
            if offset != following:
                self._tell(first, tokens)
                tokens = []
                first = offset
            tokens.append(token)
            following = offset + 1
        self._tell(first, tokens)
        if len(self.rest) > EVENT_LIMIT_BYTES:
            self._fail('malformed', 'event without end')

    def _tell(self, offset: int, tokens: list[str]) -> None:
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

    def _judge_end(self, error: TransportError | None) -> StreamFailure:
        match self.status:
            case HTTPStatus.OK:
                kind = 'truncated' if self.rest else 'reset'
                return StreamFailure(kind, Verdict.may_have_run, str(error))
            case HTTPStatus.CONFLICT:
                kind = _code(self.rest)
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
            return StreamFailure('reset', error.verdict, error.message)
        return StreamFailure(
            'status',
            Verdict.may_have_run,
            f'unexpected status {self.status}',
        )


class EngineClient:
    """Speaks with engines through a transport."""

    def __init__(self, transport: Transport) -> None:
        self.transport = transport

    def generate(
        self,
        url: str,
        work: EngineWork,
        listener: EngineListener,
    ) -> EngineStream:
        """Start a run, from its prefix."""
        content = {
            **_names(work.attempt),
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
        """Continue a run under a new name, from a token it produced."""
        content = {
            **_names(old),
            'new_epoch': new.epoch,
            'new_attempt': new.attempt,
            'offset': offset,
        }
        stream = EngineStream(new, listener)
        return self._stream(f'{url}/v1/reattach', content, stream)

    async def cancel(self, url: str, attempt: AttemptId) -> None:
        """End a run; an engine that cannot be reached is left alone."""
        request = HttpRequest.with_json(
            'POST',
            f'{url}/v1/cancel',
            _names(attempt),
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


def _content(event: bytes) -> dict[str, Any] | None:
    if not event.startswith(DATA):
        if event.startswith(b':') or not event.strip():
            return None
        raise ValueError('no data field')
    return _scan(event.decode(), DATA_LENGTH)[0]


def _head(attempt: AttemptId) -> bytes:
    generation = json.dumps(attempt.generation)
    names = f'"g":{generation},"e":{attempt.epoch},"a":{attempt.attempt}'
    return f'data: {{{names},"o":'.encode()


def _names(attempt: AttemptId) -> dict[str, Any]:
    return {
        'generation': attempt.generation,
        'epoch': attempt.epoch,
        'attempt': attempt.attempt,
    }


def _code(body: bytes) -> str:
    try:
        return str(json.loads(body)['code'])
    except (ValueError, KeyError, TypeError):
        return 'status'
