"""Client of the table service, object store, host list and weight store.

No other module depends on the protocol of this platform, so a change of the
protocol is confined to this file.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any
from urllib.parse import quote, urlencode

from celerywharf.adapters.transports import (
    HttpRequest,
    HttpResponse,
    Transport,
)
from celerywharf.exceptions import (
    LimitReachedError,
    NotFoundError,
    PlatformAmbiguousError,
    PlatformUnavailableError,
    RowConflictError,
    TransportError,
)
from celerywharf.structures import Address, Verdict
from celerywharf.units import DOCUMENT_BYTES

SCAN_LIMIT_ROWS = 500
WEIGHT_TIMEOUT_S = 120.0  # the response comes after the transfer
RETRY_AFTER_S = 1.0
MAX_ANSWER_BYTES = DOCUMENT_BYTES  # a page of rows, or a stored object

Json = Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class StoredRow:
    """A row of the platform's table.

    Attributes:
        key: key of the row.
        version: increases with each write; conditional writes refer to it.
        value: JSON object.
    """

    key: str
    version: int
    value: Json


@dataclass(frozen=True, slots=True)
class ScanPage:
    """A page of rows in order of key; ``more`` is True if others follow."""

    rows: tuple[StoredRow, ...]
    more: bool


@dataclass(frozen=True, slots=True)
class ListedHost:
    """An entry of the platform's host list, which lags behind.

    Attributes:
        name: name of the host.
        region: region of the host.
        availability_zone: availability zone of the host.
        address: address for other hosts.
        incarnation: identifies the run of the host process.
        leaving: the host has announced that it is leaving.
    """

    name: str
    region: str
    availability_zone: str
    address: Address
    incarnation: int
    leaving: bool = False


class Platform:
    """Client of the platform.

    Every method raises ``PlatformUnavailableError`` when the call had no
    effect.  Methods that write raise ``PlatformAmbiguousError`` when it may
    have had an effect.

    Attributes:
        transport: sends the HTTP requests.
        url: base URL.
        timeout_s: time-out of a call in seconds.
    """

    def __init__(
        self,
        transport: Transport,
        url: str,
        timeout_s: float,
    ) -> None:
        self.transport = transport
        self.url = url
        self.timeout_s = timeout_s

    async def commit(
        self,
        conditions: Mapping[str, int],
        puts: Mapping[str, Json],
        deletes: Iterable[str] = (),
    ) -> dict[str, int]:
        """Write rows in one transaction and return their new versions.

        Args:
            conditions: required version by key; 0 means absent.
            puts: new value by key.
            deletes: keys of rows to delete.

        Raises:
            RowConflictError: a condition failed; ``current`` maps the key of
                each row that did not match to ``{"version", "value"}``, or to
                None when absent.
        """
        content = {
            'conditions': [
                {'key': key, 'version': version}
                for key, version in conditions.items()
            ],
            'puts': [
                {'key': key, 'value': dict(value)}
                for key, value in puts.items()
            ],
            'deletes': list(deletes),
        }
        response = await self._write(
            self._request(
                'POST', '/table/commit', content, fresh_connection=True
            ),
        )
        document = _json_document(response, PlatformAmbiguousError)
        if response.status == HTTPStatus.CONFLICT:
            raise RowConflictError(
                'rows changed meanwhile',
                current=document.get('rows', {}),
            )
        return document['versions']

    async def read(self, keys: Iterable[str]) -> dict[str, StoredRow]:
        """Read rows by key; absent rows are left out of the result."""
        content = {'keys': list(keys)}
        request = self._request('POST', '/table/read', content)
        document = _json_document(await self._read(request))
        return {row['key']: _stored_row(row) for row in document['rows']}

    async def scan(
        self,
        prefix: str,
        after: str = '',
        limit: int = SCAN_LIMIT_ROWS,
    ) -> ScanPage:
        """Read a page of rows whose key starts with ``prefix``.

        Args:
            prefix: beginning of the keys.
            after: key after which the page starts.
            limit: largest number of rows.
        """
        query = urlencode({'prefix': prefix, 'after': after, 'limit': limit})
        request = self._request('GET', f'/table/scan?{query}')
        document = _json_document(await self._read(request))
        rows = tuple(_stored_row(row) for row in document['rows'])
        return ScanPage(rows, bool(document['more']))

    async def put_object(
        self,
        name: str,
        content: bytes,
        *,
        only_if_absent: bool = False,
    ) -> bool:
        """Store an object.

        Return False if it existed already and was left unchanged.
        """
        headers = {'If-None-Match': '*'} if only_if_absent else {}
        request = HttpRequest(
            'PUT',
            f'{self.url}/objects/{quote(name)}',
            headers,
            content,
            timeout_s=self.timeout_s,
            fresh_connection=True,
        )
        response = await self._write(request)
        return response.status != HTTPStatus.PRECONDITION_FAILED

    async def get_object(self, name: str) -> bytes | None:
        """Read an object; return None if it is absent."""
        request = self._request('GET', f'/objects/{quote(name)}')
        response = await self._read(request)
        if response.status == HTTPStatus.NOT_FOUND:
            return None
        return response.body

    async def list_objects(self, prefix: str, after: str = '') -> list[str]:
        """Return the names of objects with a prefix that follow ``after``."""
        query = urlencode({'prefix': prefix, 'after': after})
        request = self._request('GET', f'/objects?{query}')
        return _json_document(await self._read(request))['names']

    async def announce(self, host: ListedHost) -> None:
        """Add or refresh a host on the list; entries expire otherwise."""
        content = {
            'region': host.region,
            'availability_zone': host.availability_zone,
            'address': str(host.address),
            'incarnation': host.incarnation,
            'state': 'leaving' if host.leaving else 'live',
        }
        path = f'/hosts/{quote(host.name)}'
        await self._write(self._request('PUT', path, content))

    async def hosts(self) -> list[ListedHost]:
        """Return the list of hosts, which lags behind."""
        response = await self._read(self._request('GET', '/hosts'))
        return [
            ListedHost(
                name=host['name'],
                region=host['region'],
                availability_zone=host['availability_zone'],
                address=Address.parse(host['address']),
                incarnation=host['incarnation'],
                leaving=host['state'] == 'leaving',
            )
            for host in _json_document(response)['hosts']
        ]

    async def fetch_weight(self, name: str, availability_zone: str) -> None:
        """Have the weight store copy a model's weights to a zone.

        Returns after the transfer.

        Raises:
            LimitReachedError: the store's rate limit is exceeded; see
                ``retry_after_s``.
            NotFoundError: the store has no such weights.
        """
        content = {'name': name, 'availability_zone': availability_zone}
        request = self._request(
            'POST',
            '/weights/fetch',
            content,
            timeout_s=WEIGHT_TIMEOUT_S,
        )
        response = await self._read(request)
        if response.status == HTTPStatus.NOT_FOUND:
            raise NotFoundError(f'the weight store has no {name}')
        if response.status == HTTPStatus.TOO_MANY_REQUESTS:
            wait = response.headers.get('retry-after', RETRY_AFTER_S)
            raise LimitReachedError(
                'rate limit of the weight store exceeded',
                retry_after_s=float(wait),
            )

    def _request(
        self,
        method: str,
        path: str,
        content: Any = None,
        **options: Any,
    ) -> HttpRequest:
        options.setdefault('timeout_s', self.timeout_s)
        options.setdefault('max_body_bytes', MAX_ANSWER_BYTES)
        options.setdefault('pooled', False)
        url = self.url + path
        if content is None:
            return HttpRequest(method, url, **options)
        return HttpRequest.with_json(method, url, content, **options)

    async def _read(self, request: HttpRequest) -> HttpResponse:
        try:
            response = await self.transport.fetch(request)
        except TransportError as error:
            raise _unavailable(error.message) from None
        if response.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            raise _unavailable(f'status {response.status}')
        return response

    async def _write(self, request: HttpRequest) -> HttpResponse:
        try:
            response = await self.transport.fetch(request)
        except TransportError as error:
            if error.verdict is Verdict.not_run:
                raise _unavailable(error.message) from None
            raise PlatformAmbiguousError(
                f'the platform did not answer a write: {error.message}',
            ) from None
        if response.status == HTTPStatus.SERVICE_UNAVAILABLE:
            raise _unavailable('it refused the write')
        if response.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            raise PlatformAmbiguousError(
                f'the platform answered a write with {response.status}',
            )
        return response


def _unavailable(reason: str) -> PlatformUnavailableError:
    return PlatformUnavailableError(
        f'the platform is unavailable: {reason}',
        retry_after_s=RETRY_AFTER_S,
    )


def _json_document(
    response: HttpResponse,
    failure: type[PlatformUnavailableError | PlatformAmbiguousError] = (
        PlatformUnavailableError
    ),
) -> Any:
    try:
        document = response.json()
    except ValueError:
        raise failure('the platform did not answer with JSON') from None
    expected = (HTTPStatus.OK, HTTPStatus.CONFLICT)
    if response.status in expected and isinstance(document, dict):
        return document
    raise PlatformUnavailableError(
        f'the platform refused with status {response.status}',
    )


def _stored_row(row: Json) -> StoredRow:
    return StoredRow(row['key'], row['version'], row['value'])
