"""Listening sockets, and serving HTTP until a signal."""

import asyncio
import json
import signal
import socket

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

MAX_BODY_BYTES = 64_000_000
IDLE_TIMEOUT_S = 3600


def split_address(address: str) -> tuple[str, int]:
    """Return IP and port of ``ip:port``."""
    host, _, port = address.rpartition(':')
    return host, int(port)


def open_sockets(address: str) -> list[socket.socket]:
    """Listen on ``ip:port``; port 0 picks a free port."""
    host, port = split_address(address)
    return bind_sockets(port, host, family=socket.AF_INET)


def announce(sockets: list[socket.socket], **more: str) -> None:
    """Print the address that a stand-in listens on as a line of JSON."""
    host, port = sockets[0].getsockname()
    line = {'listening': f'{host}:{port}', **more}
    print(json.dumps(line), flush=True)


async def wait_for_signal() -> None:
    """Wait for SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()


async def serve(application: Application, address: str) -> None:
    """Announce the address and serve until SIGTERM or SIGINT."""
    server = HTTPServer(
        application,
        max_buffer_size=MAX_BODY_BYTES,
        idle_connection_timeout=IDLE_TIMEOUT_S,
    )
    sockets = open_sockets(address)
    server.add_sockets(sockets)
    announce(sockets)
    await wait_for_signal()
    server.stop()
