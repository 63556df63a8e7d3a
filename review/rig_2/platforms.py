"""Starts fronts as the deploy file says, beside a store and its operator."""

from __future__ import annotations

import asyncio
import atexit
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from rig_2.callers import HOST, KEY
from rig_2.messages import read_head, write_head
from rig_2.servers import BackendServer
from rig_2.stores import Store

ROOT = Path(__file__).resolve().parents[2]
RUN = ('python3', '-m', 'celerywharf', 'front')
READY = 200
READY_TIMEOUT_S = 20
POLL_S = 0.05
KIBIBYTE = 1024
# The bounds of the site file lakeshore-rent.toml.
BOUNDS = (
    'revoke_ms = 5000',
    'grace_s = 8',
    'retry_ratio = 0.8',
    'retry_window_s = 10',
    'retry_slack = 150',
)
STREAM = {
    'timeoutMs': 25000,
    'latencyTargetMs': 4500,
    'gapTargetMs': 700,
    'maxAttempts': 5,
    'streamResume': True,
}
CALL = {'timeoutMs': 2000, 'latencyTargetMs': 250, 'maxAttempts': 1}
LIMITS = {
    'maxHeaderBytes': 16384,
    'maxBodyBytes': 4194304,
    'headerTimeoutMs': 3000,
    'idleTimeoutMs': 15000,
}


def free_address() -> str:
    """Return an address that nobody listens on."""
    with socket.create_server(('127.0.0.1', 0)) as server:
        return f'127.0.0.1:{server.getsockname()[1]}'


def route(prefix: str, service: str, kind: str, **more: Any) -> dict[str, Any]:
    """Return a route of the configuration."""
    return {
        'name': f'r{prefix.strip("/")}',
        'host': HOST,
        'prefix': prefix,
        'kind': kind,
        'service': service,
        'public': False,
        **(STREAM if kind == 'streaming' else CALL),
        **more,
    }


def configuration(version: int, keys: Sequence[str] = (KEY,)) -> dict[str, Any]:
    """Return the operator's configuration."""
    return {
        'version': version,
        'routes': [
            route('/narrate/', 'narrator', 'streaming'),
            route('/buy/', 'indexdesk', 'non_idempotent'),
        ],
        'services': [
            {'name': 'narrator', 'healthPath': '/healthz'},
            {'name': 'indexdesk', 'healthPath': '/healthz'},
        ],
        'limits': LIMITS,
        'tenants': [{'name': 'lakeshore', 'apiKeys': list(keys)}],
    }


class Front:
    """A process of the system.

    Attributes:
        listen: ``ip:port`` for callers.
        process: the running process; None before the start.
    """

    def __init__(self, name: str, folder: Path, store: str) -> None:
        self.name = name
        self.folder = folder
        self.listen = free_address()
        self.health = free_address()
        self.process: subprocess.Popen[bytes] | None = None
        lines = (
            '[front]',
            f'name = {name}',
            'availability_zone = glw-a',
            f'listen = {self.listen}',
            f'health = {self.health}',
            f'relay = {free_address()}',
            f'peers = {free_address()}',
            '[zones]',
            'regions = glw-a=glw',
            '[store]',
            f'address = {store}',
            '[bounds]',
            *BOUNDS,
        )
        self.path = folder / f'{name}.ini'
        self.path.write_text('\n'.join(lines))

    def start(self) -> None:
        """Start the process."""
        environment = {
            'PATH': os.environ['PATH'],
            'HOME': str(self.folder),
            'CELERYWHARF_BOOT': str(self.path),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
        }
        with (self.folder / f'{self.name}.log').open('ab') as log:
            self.process = subprocess.Popen(
                RUN, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            os.kill(self.process.pid, number)

    def memory_mb(self) -> float:
        """Return the memory of the process that is its own."""
        path = Path(f'/proc/{self.process.pid}/status')
        for line in path.read_text().splitlines():
            if line.startswith('RssAnon:'):
                return int(line.split()[1]) / KIBIBYTE
        return 0

    async def wait_until_ready(self) -> None:
        """Wait until the front says that it is ready.

        Raises:
            TimeoutError: it is not in time.
        """
        ends_s = time.monotonic() + READY_TIMEOUT_S
        status = await self.ready_status()
        while status != READY:
            if time.monotonic() > ends_s:
                raise TimeoutError(f'{self.name} is not ready')
            await asyncio.sleep(POLL_S)
            status = await self.ready_status()

    async def ready_status(self) -> int | None:
        """Return the status of the health check; None without an answer."""
        ip, _, port = self.health.partition(':')
        try:
            reader, writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            return None
        try:
            head = write_head('GET /api/ready HTTP/1.1', {'Host': ip})
            writer.write(head)
            return int((await read_head(reader)).start[1])
        except (asyncio.IncompleteReadError, OSError):
            return None
        finally:
            writer.close()


class Platform:
    """A store, backend servers and fronts, and the record of the case.

    Attributes:
        record_path: the file ``record.txt`` of the case.
        has_trouble: whether the disruption takes place.
    """

    def __init__(self, case: Path) -> None:
        self.record_path = case / 'record.txt'
        self.record_path.write_text('')
        self.has_trouble = os.environ.get('TROUBLE', '1') != '0'
        self.folder = Path(tempfile.mkdtemp(prefix='celerywharf-review-'))
        self.store = Store()
        self.fronts: list[Front] = []
        self.began_s = time.monotonic()
        atexit.register(self.close)
        signal.signal(signal.SIGTERM, _exit)

    def write(self, text: str) -> None:
        """Write a line to the record."""
        at_s = time.monotonic() - self.began_s
        with self.record_path.open('a') as record:
            record.write(f'{at_s:8.3f} s  {text}\n')

    async def start(self, servers: Sequence[BackendServer]) -> None:
        """Start the store and backend servers; write the configuration."""
        await self.store.server.start()
        self.store.put('op', 'config', configuration(1))
        for server in servers:
            await server.server.start()
            self.store.put('servers', server.name, server.entry())

    def add_front(self, name: str, store: str = '') -> Front:
        """Start a front.

        Args:
            name: name of the front.
            store: ``ip:port`` at which it reaches the store; empty for that of
                the store itself.
        """
        store = store or self.store.server.address
        front = Front(name, self.folder, store)
        front.start()
        self.fronts.append(front)
        return front

    def close(self) -> None:
        """Kill all fronts and remove their files."""
        for front in self.fronts:
            front.signal(signal.SIGKILL)
            if front.process is not None:
                front.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def _exit(_number: int, _frame: Any) -> None:
    """End with the code for a case that could not run."""
    sys.exit(2)


def finish(platform: Platform, broken: str) -> None:
    """Write the result to the record and end with the exit code.

    Args:
        platform: whose record it is.
        broken: how the rule was broken; empty if it held.
    """
    platform.close()
    verdict = f'BROKEN: {broken}' if broken else 'the rule held'
    platform.write(verdict)
    sys.stdout.write(f'{verdict}\n')
    sys.stdout.flush()
    # The tasks of the stand-ins are not awaited.
    os._exit(1 if broken else 0)
