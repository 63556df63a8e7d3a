"""A test set-up of the users' platform: store, backend servers, fronts."""

from __future__ import annotations

import base64
import json
import secrets
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from http import client
from typing import Any

from standins.calls import call
from standins.launching import Fleet, find_free_port
from standins.serving import split_address

KEY = 'key-of-lakeshore'
ACCOUNT = 'lakeshore'
STREAM_PATH = '/narrate/a'
CALL_PATH = '/buy/a'
LOOKUP_PATH = '/look/a'
ASK_PATH = '/ask/a'
ORDER_PATH = '/order/a'
HOST = 'shop.example'
TIMEOUT_S = 10
READ_BYTES = 65536
CONFIG_SETTLES_S = 0.3
CHECK_PERIOD_S = 0.1
OK = 200


@dataclass(slots=True)
class Answer:
    """The answer that a caller received.

    Attributes:
        status: None if the connection ended before a status.
        headers: by name in lower case; lines of one name are separated by
            line feeds.
        body: all bytes that arrived.
        whole: whether the answer was complete.
        took_s: seconds from the request to the end of the answer.
    """

    status: int | None = None
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''
    whole: bool = False
    took_s: float = 0

    @property
    def events(self) -> list[int]:
        """Ids of the events, in order."""
        lines = self.body.decode().split('\n')
        return [int(line[4:]) for line in lines if line.startswith('id: ')]


class PlatformRig:
    """Runs stand-ins of the users' platform, and fronts.

    Attributes:
        version: of the configuration.
        keys: API keys of the client account; `configure` writes them.
        lease_ms: longest lease that the narrator's servers grant, stated in
            the configuration; 0 if they grant none.
        store: ``ip:port`` of the store.
        fronts: ``ip:port`` for callers, by name of the front.
        health: ``ip:port`` of the health check, by name of the front.
        servers: ``ip:port`` by name of the backend server.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.version = 0
        self.lease_ms = 0
        self.keys = [KEY]
        self.store = fleet.start_store().address
        self.fronts: dict[str, str] = {}
        self.health: dict[str, str] = {}
        self.servers: dict[str, str] = {}
        self.configure()

    def configure(self, **changes: Any) -> None:
        """Write the next version of the configuration, with changes."""
        self.version += 1
        self.put('op', 'config', {**self.configuration(), **changes})

    def put(self, table: str, key: str, content: Any) -> None:
        """Write a row to the store."""
        row = {'table': table, 'key': key, 'content': content}
        call(self.store, 'POST', '/rows', row)

    def content(self, table: str, key: str) -> Any:
        """Return the content of a row; None if there is none."""
        query = f'table={table}&part=&from={key}'
        _, body = call(self.store, 'GET', f'/api/rows-get?{query}')
        for row in body['rows']:
            if row['key'] == key:
                return json.loads(base64.b64decode(row['value']))
        return None

    def order(self, service: str, to: str, period_s: float) -> None:
        """Order that a service is moved to a software version."""
        content = {'service': service, 'to': to, 'periodS': period_s}
        self.put('op', f'rollout/{service}', content)

    def configuration(self) -> dict[str, Any]:
        """Return the current configuration, in the operator's format."""
        return {
            'version': self.version,
            'routes': [
                _route('/narrate/', 'narrator', 'streaming', streamResume=True),
                _route('/buy/', 'desk', 'non_idempotent'),
                _route('/look/', 'desk', 'idempotent', maxAttempts=2),
                _route('/ask/', 'narrator', 'idempotent', maxAttempts=3),
                _route('/order/', 'narrator', 'non_idempotent'),
            ],
            'services': [
                {
                    'name': 'narrator',
                    'healthPath': '/healthz',
                    'engine': {
                        'kvCapacity': 88000,
                        'backups': True,
                        'holdMs': self.lease_ms,
                    },
                },
                {'name': 'desk', 'healthPath': '/healthz'},
            ],
            'limits': {
                'maxHeaderBytes': 16384,
                'maxBodyBytes': 100_000,
                'headerTimeoutMs': 3000,
                'idleTimeoutMs': 15000,
            },
            'tenants': [{'name': ACCOUNT, 'apiKeys': self.keys}],
        }

    def add_server(
        self,
        name: str,
        service: str,
        zone: str = 'north-1',
        **switches: Any,
    ) -> None:
        """Start a backend server, set its switches and register it."""
        self.servers[name] = self.start_server(name)
        if switches:
            self.fleet.control(name, **switches)
        self.register(name, service, zone)

    def start_server(self, name: str) -> str:
        """Start a backend server that records its runs in a file.

        Returns:
            Its address.
        """
        record = self.fleet.folder / f'{name}.runs'
        return self.fleet.start_model_server(name, record=record).address

    def register(
        self,
        name: str,
        service: str,
        zone: str = 'north-1',
        **changes: Any,
    ) -> None:
        """Write the entry of a backend server to the store."""
        entry = {
            'service': service,
            'address': self.servers[name],
            'zone': zone,
            'state': 'ready',
            'slots': 12,
            'seq': 1,
            'coldLeftMs': 0,
            'born': self.fleet.record(name)['born'],
        }
        self.put('servers', name, {**entry, **changes})

    def add_front(
        self,
        name: str,
        store: str | None = None,
        *,
        zone: str = 'north-1',
        shares: bool = False,
        module: str = 'celerywharf',
        **bounds: Any,
    ) -> str:
        """Start a front; return its address for callers.

        Args:
            name: name of the front.
            store: ``ip:port`` of a link to the store; None connects directly.
            zone: availability zone of the front.
            shares: whether one front of the zone reads the store for all.
            module: the module that runs the front.
            bounds: options that replace those of the section ``[bounds]``.
        """
        listen = f'127.0.0.1:{find_free_port()}'
        health = f'127.0.0.1:{find_free_port()}'
        settings = {
            'front': {
                'name': name,
                'availability_zone': zone,
                'listen': listen,
                'health': health,
            },
            'zones': {'regions': 'north-1=north north-2=north south-1=south'},
            'store': {'address': store or self.store},
            'bounds': {'revoke_ms': 5000, 'grace_s': 4, **bounds},
            'log': {'level': 'debug'},
        }
        if shares:
            for address in ('peers', 'relay'):
                port = find_free_port()
                settings['front'][address] = f'127.0.0.1:{port}'
        self.health[name] = health
        self.fleet.start_front(name, settings, health, module)
        self.fronts[name] = listen
        return listen

    def is_ready(self, name: str) -> bool:
        """Return whether a front's health check finds it ready."""
        try:
            return call(self.health[name], 'GET', '/api/ready')[0] == OK
        except OSError:
            return False

    def lacking(
        self, check: Callable[[str], bool], within_s: float
    ) -> set[str]:
        """Return the fronts for which a check does not hold in time.

        Args:
            check: returns whether it holds for a front; it held once if so.
            within_s: time for all fronts together, seconds.
        """
        ends_s = time.monotonic() + within_s
        names = set(self.fronts)
        while names and time.monotonic() < ends_s:
            names -= {name for name in names if check(name)}
            time.sleep(CHECK_PERIOD_S)
        return names

    def runs(self, name: str) -> list[dict[str, Any]]:
        """Return the runs of a backend server."""
        return self.fleet.record(name)['runs']

    def all_runs(self) -> list[dict[str, Any]]:
        """Return the runs of all backend servers, which must be running."""
        return [run for name in self.servers for run in self.runs(name)]


def _route(prefix: str, service: str, kind: str, **more: Any) -> dict[str, Any]:
    return {
        'name': f'r{prefix.strip("/")}',
        'host': HOST,
        'prefix': prefix,
        'kind': kind,
        'timeoutMs': 5000,
        'latencyTargetMs': 500,
        'gapTargetMs': 700,
        'service': service,
        'maxAttempts': 5 if kind == 'streaming' else 1,
        **more,
    }


def request_headers(**changes: str | None) -> dict[str, str]:
    """Return the headers of a caller; None omits a header.

    Underscores in names stand for hyphens.
    """
    headers: dict[str, str | None] = {
        'Host': HOST,
        'Attempt-Id': secrets.token_hex(8),
        'Deadline-Ms': '5000',
        'Authorization': f'Bearer {KEY}',
    }
    headers.update(
        {name.replace('_', '-'): text for name, text in changes.items()},
    )
    return {name: text for name, text in headers.items() if text is not None}


def send(
    address: str,
    path: str,
    method: str = 'POST',
    body: bytes | None = b'{}',
    headers: Mapping[str, str] | None = None,
    *,
    timeout_s: float = TIMEOUT_S,
) -> Answer:
    """Send a request and read the answer, as far as it arrives.

    The connection is closed when nothing has arrived for ``timeout_s``.
    """
    host, port = split_address(address)
    connection = client.HTTPConnection(host, port, timeout=timeout_s)
    answer = Answer()
    started_s = time.monotonic()
    try:
        connection.request(method, path, body, dict(headers or {}))
        read_answer(connection, answer)
    except (OSError, client.HTTPException):
        answer.whole = False
    finally:
        connection.close()
    answer.took_s = time.monotonic() - started_s
    return answer


def read_answer(connection: client.HTTPConnection, answer: Answer) -> None:
    """Read a response into an answer.

    After an error the answer holds what arrived until then.

    Raises:
        OSError: the connection failed.
        http.client.HTTPException: the response is incomplete or invalid.
    """
    response = connection.getresponse()
    answer.status = response.status
    answer.headers = {
        name.lower(): '\n'.join(response.headers.get_all(name))
        for name in response.headers
    }
    while chunk := response.read1(READ_BYTES):
        answer.body += chunk
    # A response with Content-Length stays open after a read in parts.
    response.close()
    answer.whole = True
