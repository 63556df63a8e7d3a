"""Authenticated links between hosts."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import inspect
import itertools
import logging
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from typing import Any

from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient
from tornado.tcpserver import TCPServer

from celerywharf.exceptions import (
    CelerywharfError,
    PeerUnreachableError,
    ProtocolError,
)
from celerywharf.structures import Address, HostIdentity
from celerywharf.timeline import HybridClock
from celerywharf.wire._codec import Codec, Envelope, Kind
from celerywharf.wire._frames import FRAME_LIMIT_BYTES, FrameReader, frame
from celerywharf.wire._handshake import Handshake, Sender
from celerywharf.wire.basics import Acknowledged, Failure

logger = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 1.0
REQUEST_TIMEOUT_S = 2.0
IDLE_CLOSE_S = 60.0
# A link is closed when its peer reads so slowly that more is unwritten.
WRITE_BUFFER_LIMIT_BYTES = 8 * FRAME_LIMIT_BYTES

Location = tuple[str, str]
Handler = Callable[['Sender', Any], Any | Awaitable[Any]]


@dataclass(slots=True)
class Link:
    """A TCP connection after its handshake.

    Attributes:
        stream: the connection.
        peer: the authenticated host at the other end.
        pending_replies: futures of open requests by correlation.
        last_used_s: time of the last write, monotonic seconds of the loop.
        unwritten_bytes: bytes of frames passed to the stream, not yet
            written.
    """

    stream: IOStream
    peer: Sender
    pending_replies: dict[int, asyncio.Future] = field(default_factory=dict)
    last_used_s: float = 0
    unwritten_bytes: int = 0

    def close(self) -> None:
        """Close the connection and fail its pending requests.

        They raise ``PeerUnreachableError``.
        """
        self.stream.close()
        for reply in self.pending_replies.values():
            if not reply.done():
                reply.set_exception(
                    PeerUnreachableError(f'link to {self.peer.host} closed'),
                )
        self.pending_replies.clear()


class LinkService(TCPServer):
    """Connects to peers on demand and serves their messages.

    A message is passed to the handler subscribed to its class.  If the
    message is a request, the handler's return value is the reply; an
    awaitable is awaited first, None is sent as ``Acknowledged`` and an error
    as ``Failure``.

    Attributes:
        source_ip: local address of outgoing links, None for any.
        outgoing: open links that this host has initiated.
        incoming: connections that peers have opened.
        bytes_sent: content and frame headers sent, by region and availability
            zone of the peer.
        bytes_received: content received, by region and availability zone of
            the peer.
        rejected_links: number of incoming links closed by a protocol error.
        on_link_ended: called with the peer of each incoming link that has
            ended; None if nobody wants to know.
    """

    def __init__(
        self,
        identity: HostIdentity,
        key: bytes,
        codec: Codec,
        clock: HybridClock | None = None,
        source_ip: str | None = None,
    ) -> None:
        super().__init__()
        self.source_ip = source_ip
        self.clock = clock or HybridClock(time.time)
        self.identity = identity
        self.codec = codec
        self.handshake = Handshake(identity, key, codec)
        self.handlers: dict[type, Handler] = {}
        self.outgoing: dict[Address, Link] = {}
        self.connecting: dict[Address, asyncio.Task] = {}
        self.incoming: set[IOStream] = set()
        self.correlations = itertools.count(1)
        self.client = TCPClient()
        self.tasks: set[asyncio.Task] = set()
        self.bytes_sent: dict[Location, int] = {}
        self.bytes_received: dict[Location, int] = {}
        self.rejected_links = 0
        self.on_link_ended: Callable[[Sender], None] | None = None

    def subscribe(self, message_class: type, handler: Handler) -> None:
        """Call ``handler(sender, message)`` for messages of this class."""
        self.handlers[message_class] = handler

    async def request(
        self,
        address: Address,
        message: Any,
        timeout_s: float = REQUEST_TIMEOUT_S,
    ) -> Any:
        """Send a request and return the peer's reply.

        Raises:
            PeerUnreachableError: there is no connection, or no reply within
                ``timeout_s``.
            CelerywharfError: the error with which the peer replied.
        """
        try:
            async with asyncio.timeout(timeout_s):
                return await self._exchange(address, message)
        except TimeoutError:
            raise PeerUnreachableError(
                f'{address} did not answer within {timeout_s} s',
            ) from None

    def send(self, address: Address, message: Any) -> None:
        """Send a message without waiting.

        It may be lost silently; one that cannot be encoded is logged.
        """
        link = self.outgoing.get(address)
        if link is not None and not link.stream.closed():
            try:
                self._write(link, Envelope(Kind.one_way, 0, message))
            except ProtocolError as error:
                _log_unsendable(message, error)
            return
        self._spawn(self._send_later(address, message))

    async def close(self) -> None:
        """Close all links and the listening socket."""
        self.stop()
        for link in tuple(self.outgoing.values()):
            link.close()
        for stream in tuple(self.incoming):
            stream.close()
        for task in tuple(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def close_idle(self) -> None:
        """Close outgoing links that have been idle for ``IDLE_CLOSE_S``.

        It must be called periodically.
        """
        oldest = asyncio.get_running_loop().time() - IDLE_CLOSE_S
        for link in tuple(self.outgoing.values()):
            if link.last_used_s < oldest and not link.pending_replies:
                link.close()

    async def handle_stream(
        self,
        stream: IOStream,
        address: tuple[str, int],
    ) -> None:
        """Serve an incoming connection until it ends."""
        stream.set_nodelay(True)
        self.incoming.add(stream)
        with contextlib.ExitStack() as ended:
            ended.callback(self.incoming.discard, stream)
            ended.callback(stream.close)
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    peer = await self.handshake.exchange(
                        stream, initiator=False
                    )
                if self.on_link_ended is not None:
                    ended.callback(self.on_link_ended, peer)
                await self._read_all(Link(stream, peer))
            except ProtocolError as error:
                self.rejected_links += 1
                logger.warning(
                    'inner link closed after a protocol error',
                    extra={'peer': str(address), 'reason': error.message},
                )
            except (StreamClosedError, TimeoutError):
                logger.debug('inner link ended', extra={'peer': str(address)})

    async def _exchange(self, address: Address, message: Any) -> Any:
        link = await self._link(address)
        correlation = next(self.correlations)
        reply = asyncio.get_running_loop().create_future()
        link.pending_replies[correlation] = reply
        try:
            self._write(link, Envelope(Kind.request, correlation, message))
            reply_body = await reply
        finally:
            link.pending_replies.pop(correlation, None)
        if isinstance(reply_body, Failure):
            raise reply_body.error()
        return reply_body

    async def _send_later(self, address: Address, message: Any) -> None:
        try:
            link = await self._link(address)
        except CelerywharfError:
            return
        self._write(link, Envelope(Kind.one_way, 0, message))

    async def _link(self, address: Address) -> Link:
        link = self.outgoing.get(address)
        if link is not None and not link.stream.closed():
            return link
        task = self.connecting.get(address)
        if task is None:
            task = self._spawn(self._connect(address))
            self.connecting[address] = task
            task.add_done_callback(
                lambda _done: self.connecting.pop(address, None),
            )
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            # Closing the service ends the task, but not those who wait for it.
            if task.cancelled() and not asyncio.current_task().cancelling():
                raise PeerUnreachableError('the link was closed') from None
            raise

    async def _connect(self, address: Address) -> Link:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                stream = await self.client.connect(
                    address.ip,
                    address.port,
                    source_ip=self.source_ip,
                )
                stream.set_nodelay(True)
                peer = await self.handshake.exchange(stream, initiator=True)
        except (OSError, StreamClosedError, TimeoutError, ProtocolError):
            raise PeerUnreachableError(f'cannot connect to {address}') from None
        link = Link(stream, peer)
        link.last_used_s = asyncio.get_running_loop().time()
        self.outgoing[address] = link
        self._spawn(self._serve_outgoing(address, link))
        return link

    async def _serve_outgoing(self, address: Address, link: Link) -> None:
        try:
            await self._read_all(link)
        except (StreamClosedError, ProtocolError):
            logger.debug('inner link ended', extra={'peer': str(address)})
        finally:
            link.close()
            if self.outgoing.get(address) is link:
                self.outgoing.pop(address)

    async def _read_all(self, link: Link) -> None:
        reader = FrameReader(link.stream)
        location = link.peer.location
        while True:
            content = await reader.read()
            received = self.bytes_received.get(location, 0)
            self.bytes_received[location] = received + len(content)
            envelope = self.codec.decode(content)
            self.clock.merge(envelope.stamp)
            self._dispatch(link, envelope)

    def _dispatch(self, link: Link, envelope: Envelope) -> None:
        if envelope.kind is Kind.reply:
            reply = link.pending_replies.get(envelope.correlation)
            if reply is not None and not reply.done():
                reply.set_result(envelope.body)
            return
        handler = self.handlers.get(type(envelope.body))
        if handler is None:
            raise ProtocolError(f'no handler for {type(envelope.body)}')
        self._serve(link, envelope, handler)

    def _serve(self, link: Link, envelope: Envelope, handler: Handler) -> None:
        try:
            outcome = handler(link.peer, envelope.body)
        except CelerywharfError as error:
            outcome = Failure.of(error)
        except Exception:
            outcome = _internal_failure(envelope)
        if inspect.isawaitable(outcome):
            self._spawn(self._reply_later(link, envelope, outcome))
            return
        self._reply(link, envelope, outcome)

    async def _reply_later(
        self,
        link: Link,
        envelope: Envelope,
        outcome: Awaitable[Any],
    ) -> None:
        try:
            reply_body = await outcome
        except CelerywharfError as error:
            reply_body = Failure.of(error)
        except Exception:
            reply_body = _internal_failure(envelope)
        self._reply(link, envelope, reply_body)

    def _reply(self, link: Link, envelope: Envelope, reply_body: Any) -> None:
        if envelope.kind is not Kind.request:
            return
        body = Acknowledged() if reply_body is None else reply_body
        reply = Envelope(Kind.reply, envelope.correlation, body)
        try:
            self._write(link, reply)
        except ProtocolError as error:
            _log_unsendable(body, error)
            failure = Failure.of(CelerywharfError('the reply cannot be sent'))
            self._write(link, replace(reply, body=failure))

    def _write(self, link: Link, envelope: Envelope) -> None:
        if link.stream.closed():
            return
        if link.unwritten_bytes > WRITE_BUFFER_LIMIT_BYTES:
            link.close()
            return
        content = frame(self.codec.encode(envelope, self.clock.tick()))
        location = link.peer.location
        self.bytes_sent[location] = self.bytes_sent.get(location, 0) + len(
            content
        )
        link.last_used_s = asyncio.get_running_loop().time()
        link.unwritten_bytes += len(content)
        written = link.stream.write(content)
        written.add_done_callback(
            functools.partial(_on_written, link, len(content)),
        )

    def _spawn(self, coroutine: Any) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        error = task.exception()
        if not isinstance(error, PeerUnreachableError):
            logger.error('link task failed', exc_info=error)


def _internal_failure(envelope: Envelope) -> Failure:
    name = type(envelope.body).__name__
    logger.exception(
        'handler of inner message failed', extra={'inner_message': name}
    )
    return Failure.of(CelerywharfError(f'{name} failed at the peer'))


def _log_unsendable(message: Any, error: ProtocolError) -> None:
    logger.error(
        'inner message cannot be sent',
        extra={
            'inner_message': type(message).__name__,
            'reason': error.message,
        },
    )


def _on_written(link: Link, size: int, write: asyncio.Future) -> None:
    link.unwritten_bytes -= size
    if not write.cancelled():
        write.exception()
