"""A TCP proxy that can cut, delay or throttle its connections."""

import asyncio
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from tornado.iostream import IOStream, StreamClosedError
from tornado.locks import Condition
from tornado.tcpclient import TCPClient
from tornado.tcpserver import TCPServer

from standins import control, serving

CHUNK_BYTES = 65536
MAX_QUEUED_CHUNKS = 64


@dataclass(slots=True)
class LinkSwitches(control.Switches):
    """Failure switches of a link; `refuse` resets new connections.

    Attributes:
        cut: hold all bytes back without closing connections, as a lost route
            does; they arrive when it is false again.
        cut_sources: IPs of clients whose connections are cut.
        cut_back: cut only what the target sends.
        close: reset all open connections, once.
        delay_ms: delay in each direction.
        bytes_per_s: limit for all connections and directions together;
            0 for none.
    """

    cut: bool = False
    cut_sources: list[str] = field(default_factory=list)
    cut_back: bool = False
    close: bool = False
    delay_ms: float = 0
    bytes_per_s: float = 0


class Link(TCPServer):
    """Forwards each connection to one target and counts bytes."""

    def __init__(self, target: str) -> None:
        super().__init__()
        self.target = target
        self.switches = LinkSwitches()
        self.sent: Counter[str] = Counter()
        self.received: Counter[str] = Counter()
        self.open_streams: set[IOStream] = set()
        self.connections = 0
        self.free_s = time.monotonic()
        self.changed = Condition()

    async def handle_stream(self, stream: IOStream, address: Any) -> None:
        """Forward one connection both ways until either side closes."""
        source = address[0]
        self.connections += 1
        if self.switches.refuse:
            control.reset(stream)
            return
        await self._wait_while_cut(source)
        host, port = serving.split_address(self.target)
        try:
            target_stream = await TCPClient().connect(host, port)
        except OSError:
            control.reset(stream)
            return
        self.open_streams.update((stream, target_stream))
        await asyncio.gather(
            self._forward(stream, target_stream, source, self.sent),
            self._forward(target_stream, stream, source, self.received),
        )
        self.open_streams.difference_update((stream, target_stream))

    def on_switches_changed(self) -> None:
        """Reset open connections if `close` is set, and clear it."""
        if self.switches.close:
            self.switches.close = False
            for stream in tuple(self.open_streams):
                control.reset(stream)

    def record(self) -> dict[str, Any]:
        """Return bytes sent to and received from the target, by client IP."""
        return {
            'target': self.target,
            'connections': self.connections,
            'sent_bytes': self.sent,
            'received_bytes': self.received,
        }

    async def _forward(
        self,
        reader: IOStream,
        writer: IOStream,
        source: str,
        counter: Counter[str],
    ) -> None:
        chunks: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(
            MAX_QUEUED_CHUNKS,
        )
        writing = asyncio.ensure_future(
            self._write_delayed(chunks, writer, source, counter),
        )
        reader.set_nodelay(True)
        try:
            while True:
                chunk = await reader.read_bytes(CHUNK_BYTES, partial=True)
                await chunks.put((time.monotonic(), chunk))
        except StreamClosedError:
            await chunks.put((time.monotonic(), b''))
        await writing

    async def _write_delayed(
        self,
        chunks: asyncio.Queue[tuple[float, bytes]],
        writer: IOStream,
        source: str,
        counter: Counter[str],
    ) -> None:
        while True:
            arrived_s, chunk = await chunks.get()
            due = arrived_s + self.switches.delay_ms / control.MS_PER_S
            await asyncio.sleep(max(0, due - time.monotonic()))
            await self._wait_while_cut(source, back=counter is self.received)
            if not chunk or writer.closed():
                writer.close()
                return
            await self._limit_rate(len(chunk))
            counter[source] += len(chunk)
            writer.write(chunk)

    async def _wait_while_cut(self, source: str, *, back: bool = False) -> None:
        while self._is_cut(source, back=back):
            await self.changed.wait()

    def _is_cut(self, source: str, *, back: bool) -> bool:
        switches = self.switches
        if switches.cut or source in switches.cut_sources:
            return True
        return back and switches.cut_back

    async def _limit_rate(self, size: int) -> None:
        if self.switches.bytes_per_s <= 0:
            return
        now = time.monotonic()
        duration_s = size / self.switches.bytes_per_s
        self.free_s = max(self.free_s, now) + duration_s
        await asyncio.sleep(self.free_s - now)
