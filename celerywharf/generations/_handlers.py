"""HTTP for callers of generations."""

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
LARGEST_SEED = (1 << SEED_BITS) - 1
DEFAULT_MAX_TOKENS = 256
LARGEST_MAX_TOKENS = 200_000
KEY_LIMIT_CHARACTERS = 255
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
        le=LARGEST_MAX_TOKENS,
    )
    stream: StrictBool = False
    seed: int | None = Field(default=None, ge=0, le=LARGEST_SEED)


class ReadingHandler(EdgeHandler):
    """What both handlers share: sending a reader's events to the caller.

    Attributes:
        reader: receives the generation for this caller, None before.
    """

    def initialize(self, host: Any) -> None:
        """Take what the route passes."""
        super().initialize(host)
        self.reader: Reader | None = None

    def on_connection_close(self) -> None:
        """Let the reader go with its caller."""
        if self.reader is not None:
            self.reader.leave()
            self.reader.give_up()

    async def send_events(self, reader: EventReader) -> None:
        """Send headers, then leave the connection to the reader."""
        await reader.opening
        self.set_header('Content-Type', 'text/event-stream')
        self.set_header('Cache-Control', 'no-store')
        self.set_header('Generation-Id', reader.generation)
        # The connection ends with the stream, so that a cut shows.
        self.set_header('Connection', 'close')
        try:
            await self.flush()
        except StreamClosedError:
            reader.leave()
            return
        chunked = self.request.version != UNCHUNKED_VERSION
        stream = self.detach()
        if stream.closed():
            reader.leave()
            return
        # What the kernel buffers counts as buffered for the caller too.
        stream.socket.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_SNDBUF,
            self.host.settings.limits.caller_buffer_bytes,
        )
        reader.connect(stream, chunked=chunked)

    def event_reader(self, position: Position) -> EventReader:
        """Return a reader for this caller's position."""
        reader = EventReader(
            position.generation,
            position.epoch,
            position.offset,
            self.request_id,
        )
        self.reader = reader
        return reader


class CompletionHandler(ReadingHandler):
    """``POST /v1/completions``."""

    async def post(self) -> None:
        """Start a generation, or join the one of the idempotency key."""
        account = self.client_account()
        wanted = self._wanted()
        if self.host.leaving:
            raise ShuttingDownError(
                'this host is leaving',
                retry_after_s=RETRY_AFTER_S,
            )
        part = self.host.generations
        generation = part.reserve()
        try:
            await self._run(generation, account.name, wanted)
        finally:
            part.release(generation)

    async def _run(
        self,
        generation: str,
        client_account: str,
        wanted: CompletionRequest,
    ) -> None:
        reader = await self._read(generation, client_account, wanted)
        self.host.recorder.record(
            'request_accepted',
            request=self.request_id,
            generation=reader.generation,
            client_account=client_account,
            service=wanted.model,
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
                'model': wanted.model,
                'choices': [choice],
                'usage': {'completion_tokens': len(parts)},
            },
        )

    async def _read(
        self,
        generation: str,
        client_account: str,
        wanted: CompletionRequest,
    ) -> Any:
        part = self.host.generations
        joined = await self._join(generation, client_account, wanted)
        if joined != generation:
            reader = self._reader(joined, wanted)
            try:
                await part.entrance.attach(
                    Position(joined), client_account, reader
                )
            except GenerationLostError:
                await self._join(generation, client_account, wanted, joined)
            else:
                return reader
        reader = self._reader(generation, wanted)
        part.begin(_spec(generation, client_account, wanted), reader)
        return reader

    async def _join(
        self,
        generation: str,
        client_account: str,
        wanted: CompletionRequest,
        lost: str = '',
    ) -> str:
        key = self.request.headers.get('Idempotency-Key', '')
        if not key:
            return generation
        if len(key) > KEY_LIMIT_CHARACTERS:
            raise BadRequestError('Idempotency-Key is too long')
        content = wanted.model_dump_json(exclude={'stream'})
        return await self.host.generations.keys.join(
            client_account,
            key,
            xxhash.xxh128_hexdigest(content.encode()),
            generation,
            lost,
        )

    def _reader(self, generation: str, wanted: CompletionRequest) -> Reader:
        if not wanted.stream:
            self.reader = TextReader(generation)
            self.reader.request_id = self.request_id
            return self.reader
        reader = self.event_reader(Position(generation))
        reader.service = wanted.model
        return reader

    def _wanted(self) -> CompletionRequest:
        try:
            wanted = CompletionRequest.model_validate(self.json_body())
        except ValidationError as error:
            first = error.errors()[0]
            field = '.'.join(str(part) for part in first['loc'])
            raise BadRequestError(f'{field}: {first["msg"]}') from None
        service = self.host.catalogue.services.get(wanted.model)
        if service is None or service.kind is not ServiceKind.generation:
            raise NotFoundError(f'no generation service {wanted.model!r}')
        return wanted


class GenerationHandler(ReadingHandler):
    """``GET /v1/generations/<id>``: read on after a lost connection."""

    async def get(self, generation: str) -> None:
        """Send events from the caller's position on."""
        account = self.client_account()
        position = self._position(generation)
        reader = self.event_reader(position)
        await self.host.generations.entrance.attach(
            position, account.name, reader
        )
        await self.send_events(reader)

    def _position(self, generation: str) -> Position:
        text = self.request.headers.get('Last-Event-ID', '')
        if not text:
            return Position(generation)
        position = Position.parse(text)
        if position.generation != generation:
            raise BadRequestError('Last-Event-ID names another generation')
        return position


GENERATION_ROUTES = (
    ('/v1/completions', CompletionHandler),
    (r'/v1/generations/([A-Za-z0-9_-]{1,200})', GenerationHandler),
)


def _spec(
    generation: str,
    client_account: str,
    wanted: CompletionRequest,
) -> JournalSpec:
    seed = wanted.seed
    return JournalSpec(
        generation,
        wanted.model,
        client_account,
        wanted.prompt,
        wanted.max_tokens,
        secrets.randbits(SEED_BITS) if seed is None else seed,
    )
