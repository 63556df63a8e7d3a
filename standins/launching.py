"""Starts stand-ins, entry hosts and fronts for tests and benches.

celerywharf itself starts no processes; tests and benches start them through
`Fleet`, which ends all of its processes when it is closed.
"""

import fcntl
import functools
import json
import random
import select
import socket
import subprocess
import tempfile
import time
from collections import deque
from collections.abc import Callable, Mapping
from configparser import ConfigParser
from http import HTTPStatus
from pathlib import Path
from typing import Any, TextIO

from standins.calls import call
from standins.processes import ManagedProcess, ProcessGroup
from standins.records import rebuild_runs

START_TIMEOUT_S = 10
POLL_S = 0.02
FIRST_PORT = 15_000
LAST_PORT = 32_000
PORT_TRIES = 100
# More than the processes of one test listen on.
RECENT_PORTS = 1000
RESERVATIONS = Path(tempfile.gettempdir()) / 'celerywharf-test-ports'

SettingsMapping = Mapping[str, Mapping[str, Any]]


class Fleet(ProcessGroup):
    """Named processes of stand-ins and hosts; stops them all on exit.

    Attributes:
        runs_before_kill: runs of killed engines, as of just before the kill,
            by nonce.
        modules: the module that runs a front, by its name.
    """

    def __init__(self) -> None:
        super().__init__()
        self.runs_before_kill: dict[str, dict[str, Any]] = {}
        self.modules: dict[str, str] = {}

    def start_platform(
        self, name: str = 'platform', **options: Any
    ) -> ManagedProcess:
        """Start a platform.

        The options are those of the command line, with underscores.
        """
        return self._start_standin('platform', name, options)

    def start_engine(self, name: str, **options: Any) -> ManagedProcess:
        """Start an engine, with options such as `token_interval_ms=5`."""
        record_path = self.folder / f'{name}.runs'
        named = {'name': name, 'record': record_path, **options}
        started = self._start_standin('engine', name, named)
        started.record_path = record_path
        return started

    def start_application(self, name: str, **options: Any) -> ManagedProcess:
        """Start a plain service."""
        return self._start_standin(
            'application', name, {'name': name, **options}
        )

    def start_link(self, name: str, to: str, **options: Any) -> ManagedProcess:
        """Start a link to an address.

        The `address` of the returned process is the one to connect to.
        """
        return self._start_standin('link', name, {'to': to, **options})

    def start_store(self, name: str = 'store') -> ManagedProcess:
        """Start a metadata store."""
        return self._start_standin('store', name, {})

    def start_model_server(self, name: str, **options: Any) -> ManagedProcess:
        """Start a backend server of the users' platform."""
        named = {'name': name, **options}
        return self._start_standin('model-server', name, named)

    def start_front(
        self,
        name: str,
        settings: SettingsMapping,
        health: str,
        module: str = 'celerywharf',
    ) -> ManagedProcess:
        """Start a front and wait until it is ready.

        Args:
            name: name of the process in the fleet.
            settings: options by section.
            health: ``ip:port`` of its health check.
            module: the module that runs it; `standins.cut_fronts` for a front
                whose paths to backend servers can be cut.
        """
        self.modules[name] = module
        started = self._spawn_host(name, settings, health, 'front')
        _wait_until(
            lambda: self._health(started, '/api/ready') == HTTPStatus.OK,
            f'{name} to be ready',
        )
        return started

    def restart_front(self, name: str) -> None:
        """Restart a front that has ended, with its previous settings."""
        address = self.members[name].address
        settings = (self.folder / f'{name}.ini').read_text()
        self._spawn_host(name, settings, address, 'front')

    def cut(self, name: str, how: str, servers: list[str]) -> None:
        """Cut a front of `standins.cut_fronts` off and wait until it is.

        Args:
            name: name of the front.
            how: see `standins.cut_fronts`.
            servers: their ``ip:port``; none restores all paths.

        Raises:
            TimeoutError: the front does not follow the cut.
        """
        path = self.folder / f'{name}.cut'
        whole = path.with_suffix('.new')
        content = json.dumps({'how': how, 'servers': servers})
        whole.write_text(content)
        whole.replace(path)
        applied = path.with_suffix('.applied')
        _wait_until(
            lambda: applied.exists() and applied.read_text() == content,
            f'{name} to follow its cut',
        )

    def start_host(
        self,
        name: str,
        settings: str | SettingsMapping,
        address: str,
        timeout_s: float = START_TIMEOUT_S,
    ) -> ManagedProcess:
        """Start an entry host and wait until it is ready.

        Args:
            name: name of the process in the fleet.
            settings: text of the INI file, or options by section.
            address: ``ip:port`` of its `/healthz`, 200 when it is ready.
            timeout_s: seconds to wait until it is ready.

        Raises:
            ChildProcessError: it has ended.
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
    ) -> ManagedProcess:
        """Start an entry host and wait for any answer of `/healthz`."""
        started = self._spawn_host(name, settings, address)
        _wait_until(
            lambda: self._health(started) is not None,
            f'{name} to answer',
        )
        return started

    def control(self, name: str, **switches: Any) -> dict[str, Any]:
        """Set switches of a stand-in; return all its switches.

        Raises:
            KeyError: the stand-in has no such switch.
        """
        address = self.members[name].control
        status, body = call(address, 'POST', '/control', switches)
        if status != HTTPStatus.OK:
            raise KeyError(body)
        return body

    def record(self, name: str) -> dict[str, Any]:
        """Return the record of a stand-in, the ground truth of what it did.

        The record of an engine also has the runs from before a kill, even
        after a restart. These runs have all the tokens they could have
        generated, and the work counts from just before the kill.

        Raises:
            ProcessLookupError: it has ended or is paused, and is no engine.
        """
        member = self.members[name]
        # Read before the record: a run that begins in between is in the record
        # only.
        rebuilt = self._rebuild_runs(member.record_path)
        if member.is_running and not member.is_paused:
            record = call(member.control, 'GET', '/record')[1]
        elif member.record_path:
            record = {'name': name, 'runs': []}
        else:
            raise ProcessLookupError(name)
        live = {run.get('nonce') for run in record.get('runs', [])}
        missing = [run for run in rebuilt if run['nonce'] not in live]
        if missing:
            record['runs'] += missing
        return record

    def kill(self, name: str) -> None:
        """Kill a process; `record` still returns the runs of an engine."""
        member = self.members[name]
        if member.record_path and member.is_running and not member.is_paused:
            runs = call(member.control, 'GET', '/record')[1]['runs']
            self.runs_before_kill.update({run['nonce']: run for run in runs})
        super().kill(name)

    def _rebuild_runs(self, path: Path | None) -> list[dict[str, Any]]:
        if path is None:
            return []
        with path.open() as lines:
            rebuilt = rebuild_runs(lines)
        return [
            {**self.runs_before_kill.get(run['nonce'], {}), **run}
            for run in rebuilt
        ]

    def _start_standin(
        self,
        kind: str,
        name: str,
        options: Mapping[str, Any],
    ) -> ManagedProcess:
        arguments = ['standins', kind, *format_options(options)]
        process = self.spawn(name, arguments, subprocess.PIPE)
        line = _read_announcement(process, name)
        address = line['listening']
        control = line.get('control', address)
        started = ManagedProcess(name, process, address, control)
        self.members[name] = started
        return started

    def _spawn_host(
        self,
        name: str,
        settings: str | SettingsMapping,
        address: str,
        command: str = 'serve',
    ) -> ManagedProcess:
        path = self.folder / f'{name}.ini'
        if isinstance(settings, str):
            path.write_text(settings)
        else:
            _write_ini(path, settings)
        module = self.modules.get(name, 'celerywharf')
        arguments = [module, command, '--config', str(path)]
        with (self.folder / f'{name}.out').open('a') as output:
            process = self.spawn(name, arguments, output)
        started = ManagedProcess(name, process, address, '')
        started.killed_at_close = command == 'front'
        self.members[name] = started
        return started

    def _is_ready(self, started: ManagedProcess) -> bool:
        return self._health(started) == HTTPStatus.OK

    def _health(
        self,
        started: ManagedProcess,
        path: str = '/healthz',
    ) -> int | None:
        if not started.is_running:
            raise ChildProcessError(f'{started.name}: {self.log(started.name)}')
        try:
            return call(started.address, 'GET', path)[0]
        except OSError:
            return None


def format_options(options: Mapping[str, Any]) -> list[str]:
    """Return command line options; True gives a bare flag, False none."""
    arguments: list[str] = []
    for name, setting in options.items():
        flag = '--{}'.format(name.replace('_', '-'))
        if setting is True:
            arguments.append(flag)
        elif setting is not False:
            arguments.extend((flag, str(setting)))
    return arguments


def find_free_port(ip: str = '127.0.0.1') -> int:
    """Return a port that is free now.

    It lies below the ports that the kernel gives to outgoing connections, and
    no other test run of this machine is given it.

    Raises:
        OSError: no port was found to be free.
    """
    for _ in range(PORT_TRIES):
        port = random.randrange(FIRST_PORT, LAST_PORT)
        if not _reserve_port(port):
            continue
        with socket.socket() as probe:
            # A port on which a server has just closed connections is free.
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((ip, port))
            except OSError:
                continue
        return port
    raise OSError('no free port found')


def _reserve_port(port: int) -> bool:
    """Reserve a port among the test runs of this machine.

    Between the check of a port and its use by a started process another run,
    or this one, could choose it.  The reservation ends with this process.

    Returns:
        False if the port is reserved.
    """
    if port in _recent_ports():
        return False
    try:
        fcntl.lockf(_reservations(), fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
    except OSError:
        return False
    _recent_ports().append(port)
    return True


@functools.cache
def _recent_ports() -> deque[int]:
    """Return ports given out lately, which this process may lock again."""
    return deque(maxlen=RECENT_PORTS)


@functools.cache
def _reservations() -> TextIO:
    """Return the file in which the byte at each reserved port is locked."""
    return RESERVATIONS.open('a')


def _read_announcement(
    process: subprocess.Popen[str], name: str
) -> dict[str, Any]:
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
    with path.open('w') as ini_file:
        parser.write(ini_file)
