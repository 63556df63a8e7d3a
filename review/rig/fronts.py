"""Starts fronts with the command and the settings of the deploy file."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from http import HTTPStatus
from pathlib import Path
from typing import Any
from urllib.error import URLError
from urllib.request import urlopen

from standins.launching import find_free_port

ROOT = Path(__file__).resolve().parent.parent.parent
LOOPBACK = '127.0.0.1'
START_TIMEOUT_S = 25
POLL_S = 0.1
STOP_TIMEOUT_S = 3
# The bounds of the two small deployments.
BOUNDS = {
    'revoke_ms': 5000,
    'grace_s': 8,
    'retry_ratio': 0.8,
    'retry_window_s': 10,
    'retry_slack': 150,
}
ZONES = {'glw-a': 'glw', 'glw-b': 'glw', 'gle-a': 'gle'}


class NotRunnableError(Exception):
    """The case could not be run."""


@dataclass(slots=True)
class Front:
    """A front process.

    Attributes:
        name: name of the front.
        zone: its availability zone.
        listen: ``ip:port`` for clients.
        ready: ``ip:port`` of the health check.
        settings: path of its settings file.
        process: the process, None before the first start.
    """

    name: str
    zone: str
    listen: str
    ready: str
    settings: Path
    process: subprocess.Popen[bytes] | None = None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)


@dataclass(slots=True)
class FrontGroup:
    """The fronts of a case, and the folder with their settings and output."""

    folder: Path = field(
        default_factory=lambda: Path(tempfile.mkdtemp(prefix='review-'))
    )
    members: dict[str, Front] = field(default_factory=dict)

    def add(self, name: str, zone: str, store: str) -> Front:
        """Write the settings of a front as the deploy file's template does."""
        addresses = {key: free_address() for key in ('listen', 'health')}
        peers = {key: free_address() for key in ('relay', 'peers')}
        settings = self.folder / f'{name}.ini'
        settings.write_text(
            _sections(
                {
                    'front': {
                        'name': name,
                        'availability_zone': zone,
                        **addresses,
                        **peers,
                    },
                    'zones': {
                        'regions': ' '.join(
                            f'{key}={region}' for key, region in ZONES.items()
                        )
                    },
                    'store': {'address': store},
                    'bounds': BOUNDS,
                }
            )
        )
        front = Front(
            name, zone, addresses['listen'], addresses['health'], settings
        )
        self.members[name] = front
        return front

    def start(self, front: Front) -> None:
        """Start a front that does not run."""
        with (self.folder / f'{front.name}.out').open('ab') as output:
            front.process = subprocess.Popen(
                _command(),
                cwd=ROOT,
                env={**os.environ, 'CELERYWHARF_BOOT': str(front.settings)},
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    async def wait_until_ready(self) -> None:
        """Wait until all fronts answer the platform's question with 200.

        Raises:
            NotRunnableError: one of them does not.
        """
        deadline_s = time.monotonic() + START_TIMEOUT_S
        waiting = list(self.members.values())
        while waiting:
            if time.monotonic() > deadline_s:
                raise NotRunnableError(f'{waiting[0].name} is not ready')
            await asyncio.sleep(POLL_S)
            answers = await asyncio.gather(
                *(asyncio.to_thread(_is_ready, front) for front in waiting)
            )
            waiting = [
                front
                for front, ready in zip(waiting, answers, strict=True)
                if not ready
            ]

    def log_lines(self, front: Front) -> list[dict[str, Any]]:
        """Return what a front has logged."""
        path = self.folder / f'{front.name}.out'
        return [
            json.loads(line)
            for line in path.read_text(errors='replace').splitlines()
            if line.startswith('{')
        ]

    def close(self) -> None:
        """End all processes of the group."""
        for front in self.members.values():
            front.signal(signal.SIGCONT)
            front.signal(signal.SIGKILL)
        for front in self.members.values():
            if front.process is not None:
                front.process.wait(STOP_TIMEOUT_S)


def free_address() -> str:
    """Return a loopback address whose port is free now.

    It is below the ports of outgoing connections, which might take it.
    """
    return f'{LOOPBACK}:{find_free_port(LOOPBACK)}'


def _command() -> list[str]:
    deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
    return deploy['roles']['front']['run'].split()


def _sections(settings: dict[str, dict[str, Any]]) -> str:
    lines = []
    for name, options in settings.items():
        lines.append(f'[{name}]')
        lines.extend(f'{key} = {option}' for key, option in options.items())
    return '\n'.join((*lines, ''))


def _is_ready(front: Front) -> bool:
    try:
        with urlopen(f'http://{front.ready}/api/ready', timeout=1) as answer:
            return answer.status == HTTPStatus.OK
    except (URLError, OSError):
        return False
