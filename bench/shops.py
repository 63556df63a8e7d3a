"""A small system with an application: platform, backend servers, hosts."""

import hashlib
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

from standins.calls import call
from standins.launching import Fleet, find_free_port

OPERATOR_KEY = 'operator-key-of-the-shop'
INNER_KEY = 'inner-key-of-the-shop-hosts'
ACCOUNT = 'office'
ACCOUNT_KEY = 'caller-key-of-the-office'
SERVICE = 'shop'
REGION = 'region-a'
ZONE = 'zone-a1'


@dataclass(slots=True)
class Shop:
    """Started processes and the rows to write to the shared table.

    Attributes:
        fleet: all processes; stopped by the code that created it.
        platform: address at which hosts reach the platform.
        listens: addresses for callers, by host.
        inners: addresses for other hosts, by host.
        rows: rows that `fill_table` writes.
    """

    fleet: Fleet
    platform: str = ''
    listens: dict[str, str] = field(default_factory=dict)
    inners: dict[str, str] = field(default_factory=dict)
    rows: list[dict[str, Any]] = field(default_factory=list)

    def start_platform(self) -> None:
        """Start the platform and add the rows of account and service."""
        self.platform = self.fleet.start_platform().address
        digest = hashlib.sha256(ACCOUNT_KEY.encode()).hexdigest()
        self.add_row('client_account', name=ACCOUNT, key_digest=digest)
        self.add_row(
            'service',
            name=SERVICE,
            kind='application',
            deadline_s=4,
        )

    def add_row(self, row_kind: str, **fields: Any) -> None:
        """Add a row for `fill_table`; its key is the field ``name``."""
        key = fields['name']
        self.rows.append(
            {'kind': row_kind, 'key': key, 'version': 0, 'fields': fields},
        )

    def add_application(self, name: str, **options: Any) -> None:
        """Start a backend server of the service and add its row.

        ``options`` are its command line options.
        """
        started = self.fleet.start_application(name, **options)
        self.add_row(
            'backend_server',
            name=name,
            url=f'http://{started.address}',
            region=REGION,
            availability_zone=ZONE,
            service=SERVICE,
        )

    def add_host(
        self,
        name: str,
        platform: str = '',
        **sections: Any,
    ) -> None:
        """Start an entry host.

        It uses the platform at the address ``platform``, or without one
        `self.platform`.
        """
        listen = f'127.0.0.1:{find_free_port()}'
        inner = f'127.0.0.1:{find_free_port()}'
        settings = {
            'host': {
                'name': name,
                'region': REGION,
                'availability_zone': ZONE,
                'listen': listen,
                'inner': inner,
            },
            'peers': {'seeds': ' '.join(self.inners.values())},
            'keys': {'inner': INNER_KEY, 'operator': OPERATOR_KEY},
            'platform': {'url': f'http://{platform or self.platform}'},
            **sections,
        }
        self.fleet.start_host(name, settings, listen)
        self.listens[name] = listen
        self.inners[name] = inner

    def fill_table(self, host: str, *keys: str) -> None:
        """Write all rows, or those with the given keys, through a host.

        Raises:
            ConnectionError: the host refused the rows.
        """
        rows = [row for row in self.rows if not keys or row['key'] in keys]
        status, body = call(
            self.listens[host],
            'POST',
            '/operator/table/import',
            {'rows': rows},
            {'Authorization': f'Bearer {OPERATOR_KEY}'},
        )
        if status != HTTPStatus.OK:
            raise ConnectionError(str(body))

    def runs(self) -> list[dict[str, Any]]:
        """Return the runs in the records of the running backend servers."""
        names = [
            row['key'] for row in self.rows if row['kind'] == 'backend_server'
        ]
        return [
            {**run, 'backend_server': name}
            for name in names
            if self.fleet.members[name].is_running
            for run in self.fleet.record(name)['runs']
        ]


def caller_headers(key: str = '', request_id: str = '') -> dict[str, str]:
    """Return the request headers of a caller of the shop's account."""
    headers = {'Authorization': f'Bearer {ACCOUNT_KEY}'}
    if key:
        headers['Idempotency-Key'] = key
    if request_id:
        headers['Request-Id'] = request_id
    return headers
