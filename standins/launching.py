"""Starts stand-ins and entry hosts for tests and benches.

The product starts no process; tests and benches do, through `Fleet`, and
every process that it started ends with it.
"""

import json
import select
import socket
import subprocess
import time
from collections.abc import Callable, Mapping
from configparser import ConfigParser
from http import HTTPStatus
from pathlib import Path
from typing import Any

from standins.calls import call
from standins.processes import ProcessGroup, Started
from standins.records import rebuild_runs

START_TIMEOUT_S = 10
POLL_S = 0.02

SettingsMapping = Mapping[str, Mapping[str, Any]]


class Fleet(ProcessGroup):
    """Processes by name; a context manager that stops them all."""

    def __init__(self) -> None:
        super().__init__()
        self.last_runs: dict[str, dict[str, Any]] = {}

    def start_platform(self, name: str = 'platform', **options: Any) -> Started:
        """Start a platform; options as on the command line."""
        return self._start_standin('platform', name, options)

    def start_engine(self, name: str, **options: Any) -> Started:
        """Start an engine; `token_interval_ms=5` is its option."""
        record_path = self.folder / f'{name}.runs'
        named = {'name': name, 'record': record_path, **options}
        started = self._start_standin('engine', name, named)
        started.record_path = record_path
        return started

    def start_application(self, name: str, **options: Any) -> Started:
        """Start a plain service."""
        return self._start_standin(
            'application', name, {'name': name, **options}
        )

    def start_link(self, name: str, to: str, **options: Any) -> Started:
        """Start a link to an address; `address` is its near end."""
        return self._start_standin('link', name, {'to': to, **options})

    def start_store(self, name: str = 'store') -> Started:
        """Start a metadata store."""
        return self._start_standin('store', name, {})

    def start_model_server(self, name: str, **options: Any) -> Started:
        """Start a backend server of the users' platform."""
        named = {'name': name, **options}
        return self._start_standin('model-server', name, named)

    def start_front(
        self,
        name: str,
        settings: SettingsMapping,
        health: str,
    ) -> Started:
        """Start a front and wait until it is ready.

        Args:
            name: name of the process in the fleet.
            settings: options by section.
            health: ``ip:port`` of its health check.
        """
        started = self._spawn_host(name, settings, health, 'front')
        _wait_until(
            lambda: self._health(started, '/api/ready') == HTTPStatus.OK,
            f'{name} to be ready',
        )
        return started

    def restart_front(self, name: str) -> None:
        """Start a front that has ended again, with the settings it had."""
        address = self.members[name].address
        settings = (self.folder / f'{name}.ini').read_text()
        self._spawn_host(name, settings, address, 'front')

    def start_host(
        self,
        name: str,
        settings: str | SettingsMapping,
        address: str,
        timeout_s: float = START_TIMEOUT_S,
    ) -> Started:
        """Start an entry host and wait until it is ready.

        Args:
            name: name of the process in the fleet.
            settings: text of the INI file, or options by section.
            address: ``ip:port`` at which it must answer `/healthz` with 200.
            timeout_s: seconds to wait for that.

        Raises:
            TimeoutError: it is not ready in time; it stays in the fleet.
        """
        started = self._spawn_host(name, settings, address)
        _wait_until(
            lambda: self._is_ready(started),
            f'{name} to be ready',
            timeout_s,
        )
        return started

    def start_unready_host(
        self,
        name: str,
        settings: SettingsMapping,
        address: str,
    ) -> Started:
        """Start an entry host and wait until it answers, ready or not."""
        started = self._spawn_host(name, settings, address)
        _wait_until(
            lambda: self._health(started) is not None,
            f'{name} to answer',
        )
        return started

    def control(self, name: str, **switches: Any) -> dict[str, Any]:
        """Set switches of a stand-in; return all of them."""
        address = self.members[name].control
        status, body = call(address, 'POST', '/control', switches)
        if status != HTTPStatus.OK:
            raise KeyError(body)
        return body

    def record(self, name: str) -> dict[str, Any]:
        """Return what a stand-in really did.

        Of an engine that was killed, also before a restart, it has the runs
        with all the tokens they could have made, and the counts of work from
        just before the kill.

        Raises:
            ProcessLookupError: it is gone, and is no engine.
        """
        member = self.members[name]
        if member.is_running and not member.is_paused:
            told = call(member.control, 'GET', '/record')[1]
        elif member.record_path:
            told = {'name': name, 'runs': []}
        else:
            raise ProcessLookupError(name)
        if member.record_path:
            told['runs'] += self._rebuild_lost(member.record_path, told['runs'])
        return told

    def kill(self, name: str) -> None:
        """End a process at once; an engine's record stays readable."""
        member = self.members[name]
        if member.record_path and member.is_running and not member.is_paused:
            runs = call(member.control, 'GET', '/record')[1]['runs']
            self.last_runs.update({run['nonce']: run for run in runs})
        super().kill(name)

    def _rebuild_lost(
        self,
        path: Path,
        live: list[dict[str, Any]],
    ) -> list[dict[str, Any]]:
        told = {run['nonce'] for run in live}
        with path.open() as lines:
            rebuilt = rebuild_runs(lines)
        return [
            {**self.last_runs.get(run['nonce'], {}), **run}
            for run in rebuilt
            if run['nonce'] not in told
        ]

    def _start_standin(
        self,
        kind: str,
        name: str,
        options: Mapping[str, Any],
    ) -> Started:
        arguments = ['standins', kind, *format_options(options)]
        process = self.spawn(name, arguments, subprocess.PIPE)
        line = _read_line(process, name)
        address = line['listening']
        control = line.get('control', address)
        started = Started(name, process, address, control)
        self.members[name] = started
        return started

    def _spawn_host(
        self,
        name: str,
        settings: str | SettingsMapping,
        address: str,
        command: str = 'serve',
    ) -> Started:
        path = self.folder / f'{name}.ini'
        if isinstance(settings, str):
            path.write_text(settings)
        else:
            _write_ini(path, settings)
        arguments = ['celerywharf', command, '--config', str(path)]
        with (self.folder / f'{name}.out').open('a') as output:
            process = self.spawn(name, arguments, output)
        started = Started(name, process, address, '')
        started.killed_at_close = command == 'front'
        self.members[name] = started
        return started

    def _is_ready(self, started: Started) -> bool:
        return self._health(started) == HTTPStatus.OK

    def _health(
        self,
        started: Started,
        path: str = '/healthz',
    ) -> int | None:
        if not started.is_running:
            raise ChildProcessError(f'{started.name}: {self.log(started.name)}')
        try:
            return call(started.address, 'GET', path)[0]
        except OSError:
            return None


def format_options(options: Mapping[str, Any]) -> list[str]:
    """Return command line options; true is a bare flag, false is left out."""
    arguments: list[str] = []
    for name, setting in options.items():
        flag = '--{}'.format(name.replace('_', '-'))
        if setting is True:
            arguments.append(flag)
        elif setting is not False:
            arguments.extend((flag, str(setting)))
    return arguments


def find_free_port(ip: str = '127.0.0.1') -> int:
    """Return a port that nothing listens on now."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def _read_line(process: subprocess.Popen[str], name: str) -> dict[str, Any]:
    stdout = process.stdout
    ready, _, _ = select.select([stdout], [], [], START_TIMEOUT_S)
    line = stdout.readline() if ready and stdout else ''
    if not line:
        process.kill()
        process.wait()
        raise ChildProcessError(f'{name} did not start')
    return json.loads(line)


def _wait_until(
    condition: Callable[[], bool],
    what: str,
    timeout_s: float = START_TIMEOUT_S,
) -> None:
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(f'waited for {what}')
        time.sleep(POLL_S)


def _write_ini(path: Path, settings: SettingsMapping) -> None:
    parser = ConfigParser(interpolation=None)
    parser.read_dict(settings)
    with path.open('w') as ini:
        parser.write(ini)
