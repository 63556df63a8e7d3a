"""HTTP handlers for callers of generations."""

from __future__ import annotations

import secrets
import socket
from typing import Any

import xxhash
from pydantic import BaseModel, ConfigDict, Field, StrictBool, ValidationError
from tornado.iostream import StreamClosedError

from celerywharf.edge import EdgeHandler
from celerywharf.exceptions import (
    BadRequestError,
    GenerationLostError,
    NotFoundError,
    ShuttingDownError,
)
from celerywharf.generations._readers import EventReader, Reader, TextReader
from celerywharf.generations.journals import Position
from celerywharf.tables import ServiceKind
from celerywharf.wire.journals import JournalSpec

SEED_BITS = 62
MAX_SEED = (1 << SEED_BITS) - 1
DEFAULT_MAX_TOKENS = 256
MAX_TOKENS_LIMIT = 200_000
MAX_KEY_CHARACTERS = 255
RETRY_AFTER_S = 1.0
UNCHUNKED_VERSION = 'HTTP/1.0'


class CompletionRequest(BaseModel):
    """Body of ``POST /v1/completions``."""

    model_config = ConfigDict(extra='ignore')

    model: str = Field(min_length=1)
    prompt: str
    max_tokens: int = Field(
        default=DEFAULT_MAX_TOKENS,
        ge=1,
        le=MAX_TOKENS_LIMIT,
    )
    stream: StrictBool = False
    seed: int | None = Field(default=None, ge=0, le=MAX_SEED)


class ReaderHandler(EdgeHandler):
    """Base of the handlers that send a reader's events to the caller.

    Attributes:
        reader: receives the generation for this caller, None until created.
    """

    def initialize(self, host: Any) -> None:
        """Set up the handler; called by Tornado."""
        super().initialize(host)
        self.reader: Reader | None = None

    def on_connection_close(self) -> None:
        """Disconnect the reader because the caller has disconnected."""
        if self.reader is not None:
            self.reader.disconnect()
            self.reader.abort()

    async def send_events(self, reader: EventReader) -> None:
        """Send the headers, then hand the connection to the reader."""
        await reader.opening
        self.set_header('Content-Type', 'text/event-stream')
        self.set_header('Cache-Control', 'no-store')
        self.set_header('Generation-Id', reader.generation)
        # The connection closes with the stream, so that a caller notices when
        # it is cut.
        self.set_header('Connection', 'close')
        try:
            await self.flush()
        except StreamClosedError:
            reader.disconnect()
            return
        chunked = self.request.version != UNCHUNKED_VERSION
        stream = self.detach()
        if stream.closed():
            reader.disconnect()
            return
        # Bound the kernel's buffer too, since its data also counts as buffered
        # for the caller.
        stream.socket.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_SNDBUF,
            self.host.settings.limits.caller_buffer_bytes,
        )
        reader.connect(stream, chunked=chunked)

    def event_reader(self, position: Position) -> EventReader:
        """Create the reader for this caller's position."""
        reader = EventReader(
            position.generation,
            position.epoch,
            position.offset,
            self.request_id,
        )
        self.reader = reader
        return reader


class CompletionHandler(ReaderHandler):
    """``POST /v1/completions``."""

    async def post(self) -> None:
        """Start a generation, or join that of the idempotency key."""
        account = self.client_account()
        completion = self._parse_request()
        if self.host.leaving:
            raise ShuttingDownError(
                'this host is leaving',
                retry_after_s=RETRY_AFTER_S,
            )
        generations = self.host.generations
        generation = generations.reserve()
        try:
            await self._respond(generation, account.name, completion)
        finally:
            generations.release(generation)

    async def _respond(
        self,
        generation: str,
        client_account: str,
        completion: CompletionRequest,
    ) -> None:
        reader = await self._attach_reader(
            generation, client_account, completion
        )
        self.host.recorder.record(
            'request_accepted',
            request=self.request_id,
            generation=reader.generation,
            client_account=client_account,
            service=completion.model,
        )
        if isinstance(reader, EventReader):
            await self.send_events(reader)
            return
        parts, reason = await reader.done
        choice = {'index': 0, 'text': ''.join(parts), 'finish_reason': reason}
        self.set_header('Generation-Id', reader.generation)
        self.write_json(
            {
                'id': reader.generation,
                'object': 'text_completion',
                'model': completion.model,
                'choices': [choice],
                'usage': {'completion_tokens': len(parts)},
            },
        )

    async def _attach_reader(
        self,
        generation: str,
        client_account: str,
        completion: CompletionRequest,
    ) -> Any:
        generations = self.host.generations
        joined = await self._join(generation, client_account, completion)
        if joined != generation:
            reader = self._create_reader(joined, completion)
            try:
                await generations.attachments.attach(
                    Position(joined), client_account, reader
                )
            except GenerationLostError:
                await self._join(generation, client_account, completion, joined)
            else:
                return reader
        reader = self._create_reader(generation, completion)
        generations.begin(
            _journal_spec(generation, client_account, completion), reader
        )
        return reader

    async def _join(
        self,
        generation: str,
        client_account: str,
        completion: CompletionRequest,
        lost: str = '',
    ) -> str:
        key = self.request.headers.get('Idempotency-Key', '')
        if not key:
            return generation
        if len(key) > MAX_KEY_CHARACTERS:
            raise BadRequestError('Idempotency-Key is too long')
        content = completion.model_dump_json(exclude={'stream'})
        return await self.host.generations.idempotency_keys.join(
            client_account,
            key,
            xxhash.xxh128_hexdigest(content.encode()),
            generation,
            lost,
        )

    def _create_reader(
        self, generation: str, completion: CompletionRequest
    ) -> Reader:
        if not completion.stream:
            self.reader = TextReader(generation)
            self.reader.request_id = self.request_id
            return self.reader
        reader = self.event_reader(Position(generation))
        reader.service = completion.model
        return reader

    def _parse_request(self) -> CompletionRequest:
        try:
            completion = CompletionRequest.model_validate(self.json_body())
        except ValidationError as error:
            first = error.errors()[0]
            field = '.'.join(str(part) for part in first['loc'])
            raise BadRequestError(f'{field}: {first["msg"]}') from None
        service = self.host.catalogue.services.get(completion.model)
        if service is None or service.kind is not ServiceKind.generation:
            raise NotFoundError(f'no generation service {completion.model!r}')
        return completion


class GenerationHandler(ReaderHandler):
    """``GET /v1/generations/<id>``: resume reading a generation."""

    async def get(self, generation: str) -> None:
        """Send the events after the caller's ``Last-Event-ID``."""
        account = self.client_account()
        position = self._position(generation)
        reader = self.event_reader(position)
        await self.host.generations.attachments.attach(
            position, account.name, reader
        )
        await self.send_events(reader)

    def _position(self, generation: str) -> Position:
        text = self.request.headers.get('Last-Event-ID', '')
        if not text:
            return Position(generation)
        position = Position.parse(text)
        if position.generation != generation:
            raise BadRequestError('Last-Event-ID belongs to another generation')
        return position


GENERATION_ROUTES = (
    ('/v1/completions', CompletionHandler),
    (r'/v1/generations/([A-Za-z0-9_-]{1,200})', GenerationHandler),
)


def _journal_spec(
    generation: str,
    client_account: str,
    completion: CompletionRequest,
) -> JournalSpec:
    seed = completion.seed
    return JournalSpec(
        generation,
        completion.model,
        client_account,
        completion.prompt,
        completion.max_tokens,
        secrets.randbits(SEED_BITS) if seed is None else seed,
    )
