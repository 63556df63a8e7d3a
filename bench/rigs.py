"""A small system for benchmarks and tests: platform, engines, entry hosts."""

import hashlib
from collections.abc import Sequence
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

from standins.calls import call
from standins.launching import Fleet, find_free_port

OPERATOR_KEY = 'operator-key-of-the-bench'
INNER_KEY = 'inner-key-of-the-bench-hosts'
ACCOUNT = 'bench'
ACCOUNT_KEY = 'caller-key-of-the-bench'
SERVICE = 'narratives'
MODEL = 'narrative'


@dataclass(frozen=True, slots=True)
class Place:
    """Where a host or engine runs.

    Hosts connect to each other from `ip`, so that a link stand-in can tell
    availability zones apart by the source address.
    """

    region: str = 'region-a'
    availability_zone: str = 'zone-a1'
    ip: str = '127.0.0.1'


@dataclass(slots=True)
class Rig:
    """Started processes and the rows to write to the shared table.

    Attributes:
        fleet: all processes; stopped by the code that created it.
        seeds: inner addresses of the hosts, from which later hosts join.
        rows: table rows of engines, service and account.
        settings: settings of each host, kept for restarts.
    """

    fleet: Fleet
    seeds: list[str]
    rows: list[dict[str, Any]]
    settings: dict[str, Any] = field(default_factory=dict)

    @classmethod
    def start(
        cls,
        fleet: Fleet,
        policy: str = 'patient',
        **service_fields: Any,
    ) -> 'Rig':
        """Start the platform and prepare the rows of account and service."""
        fleet.start_platform()
        digest = hashlib.sha256(ACCOUNT_KEY.encode()).hexdigest()
        account = {'name': ACCOUNT, 'key_digest': digest}
        service = {
            'name': SERVICE,
            'kind': 'generation',
            'model': MODEL,
            'policy': policy,
            **service_fields,
        }
        rows = [
            _row('client_account', ACCOUNT, account),
            _row('service', SERVICE, service),
        ]
        return cls(fleet, [], rows)

    def add_account(self, name: str, weight: float, limit: int) -> None:
        """Add rows of a client account with a share of every backend server."""
        digest = hashlib.sha256(_account_key(name).encode()).hexdigest()
        account = {'name': name, 'key_digest': digest}
        self.rows.append(_row('client_account', name, account))
        share = {
            'backend_server': '*',
            'client_account': name,
            'weight': weight,
            'limit': limit,
        }
        self.rows.append(_row('share', f'*:{name}', share))

    def add_engine(self, name: str, place: Place, **options: Any) -> None:
        """Start an engine and add its row.

        ``options`` are its command line options.
        """
        started = self.fleet.start_engine(name, models=MODEL, **options)
        self.add_backend(name, place, started.address)

    def add_backend(self, name: str, place: Place, address: str) -> None:
        """Add the row of an engine that is already running."""
        backend = {
            'name': name,
            'url': f'http://{address}',
            'region': place.region,
            'availability_zone': place.availability_zone,
            'service': SERVICE,
        }
        self.rows.append(_row('backend_server', name, backend))

    def allow_cross_region(self, name: str) -> None:
        """Allow the account to use an engine from other regions."""
        share = {
            'backend_server': name,
            'client_account': ACCOUNT,
            'weight': 1,
            'limit': 100,
            'cross_region': True,
        }
        self.rows.append(_row('share', f'{name}:{ACCOUNT}', share))

    def add_host(self, name: str, place: Place, **sections: Any) -> str:
        """Start an entry host and return its address for callers."""
        inner = f'{place.ip}:{find_free_port(place.ip)}'
        return self._start_host(name, place, {'inner': inner}, sections)

    def add_linked_host(self, name: str, place: Place, **sections: Any) -> str:
        """Start an entry host that other hosts reach through a link.

        The link is named NAME-link.  Returns the address for callers.
        """
        inner = f'{place.ip}:{find_free_port(place.ip)}'
        link = self.fleet.start_link(f'{name}-link', inner)
        addresses = {'inner': link.address, 'inner_listen': inner}
        return self._start_host(name, place, addresses, sections)

    def restart_host(self, name: str) -> None:
        """Restart a stopped host at the same addresses."""
        settings = self.settings[name]
        self.fleet.start_host(name, settings, settings['host']['listen'])

    def fill_table(self, address: str) -> None:
        """Write all rows to the shared table through a host.

        Raises:
            ConnectionError: the host refused the rows.
        """
        status, body = call(
            address,
            'POST',
            '/operator/table/import',
            {'rows': self.rows},
            {'Authorization': f'Bearer {OPERATOR_KEY}'},
        )
        if status != HTTPStatus.OK:
            raise ConnectionError(str(body))

    def _start_host(
        self,
        name: str,
        place: Place,
        addresses: dict[str, str],
        sections: dict[str, Any],
    ) -> str:
        listen = f'{place.ip}:{find_free_port(place.ip)}'
        platform = self.fleet.members['platform'].address
        settings = {
            'host': {
                'name': name,
                'region': place.region,
                'availability_zone': place.availability_zone,
                'listen': listen,
                **addresses,
            },
            'peers': {'seeds': ' '.join(self.seeds)},
            'keys': {'inner': INNER_KEY, 'operator': OPERATOR_KEY},
            'platform': {'url': f'http://{platform}'},
            **sections,
        }
        self.seeds.append(addresses['inner'])
        self.settings[name] = settings
        self.fleet.start_host(name, settings, listen)
        return listen


def caller_headers(**extra: str) -> dict[str, str]:
    """Return the request headers of a caller of the rig's account."""
    return {'Authorization': f'Bearer {ACCOUNT_KEY}', **extra}


def account_headers(account: str) -> dict[str, str]:
    """Return the request headers of an account added by `Rig.add_account`."""
    return {'Authorization': f'Bearer {_account_key(account)}'}


def completion(prompt: str, max_tokens: int) -> dict[str, Any]:
    """Return the body of a request for a streamed completion."""
    return {
        'model': SERVICE,
        'prompt': prompt,
        'max_tokens': max_tokens,
        'stream': True,
    }


def start_two_hosts(rig: Rig) -> Sequence[str]:
    """Start a host in each of two zones and return their addresses.

    The rig's rows are written to the table as well.
    """
    first = rig.add_host('host-a', Place())
    second = rig.add_host('host-b', Place(availability_zone='zone-a2'))
    rig.fill_table(first)
    return first, second


def _row(kind: str, key: str, fields: dict[str, Any]) -> dict[str, Any]:
    return {'kind': kind, 'key': key, 'version': 0, 'fields': fields}


def _account_key(account: str) -> str:
    return f'caller-key-of-{account}'
