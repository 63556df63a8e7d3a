"""Client of the operator API of a host."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus
from pathlib import Path
from typing import Any
from urllib.parse import quote

from celerywharf.adapters import CurlTransport, HttpRequest, HttpResponse
from celerywharf.exceptions import (
    CelerywharfError,
    RowConflictError,
    SettingsError,
    TransportError,
)
from celerywharf.structures import Address
from celerywharf.units import DOCUMENT_BYTES
from celerywharf.wire import Failure

HOST_VARIABLE = 'CELERYWHARF_HOST'
KEY_VARIABLE = 'CELERYWHARF_OPERATOR_KEY'
MAX_ANSWER_BYTES = 4 * DOCUMENT_BYTES  # timelines and tables of all hosts
TIMEOUT_S = 15.0


@dataclass(frozen=True, slots=True)
class OperatorClient:
    """Calls the operator API of one host.

    Attributes:
        host: address of the host's public port.
        key: operator key, sent as bearer token.
    """

    host: Address
    key: str

    @classmethod
    def from_options(cls, options: Mapping[str, Any]) -> OperatorClient:
        """Return a client for ``--host`` and ``--key-file``.

        The environment variables ``CELERYWHARF_HOST`` and
        ``CELERYWHARF_OPERATOR_KEY`` replace options that are not given.

        Raises:
            SettingsError: the host or the key is missing or malformed.
        """
        host = options['--host'] or os.environ.get(HOST_VARIABLE, '')
        if not host:
            raise SettingsError(f'no host: use --host or set {HOST_VARIABLE}')
        return cls(parse_address(host), _load_key(options['--key-file']))

    def for_host(self, host: Address) -> OperatorClient:
        """Return a client of another host with the same key."""
        return OperatorClient(host, self.key)

    def call(
        self,
        method: str,
        path: str,
        content: Any = None,
        **headers: str,
    ) -> Any:
        """Send a request with a JSON body and return the JSON response.

        Raises:
            TransportError: the host cannot be reached.
            CelerywharfError: the host responded with an error.
        """
        return self._exchange(method, path, content, headers).json()

    def get_text(self, path: str, accept: str) -> str:
        """Return a document as text of the media type ``accept``."""
        headers = {'Accept': accept}
        return self._exchange('GET', path, None, headers).body.decode()

    def post_text(self, path: str, text: str, content_type: str) -> Any:
        """Send a text document and return the JSON response."""
        request = HttpRequest(
            'POST',
            self._url(path),
            self._headers({'Content-Type': content_type}),
            text.encode(),
            timeout_s=TIMEOUT_S,
            max_body_bytes=MAX_ANSWER_BYTES,
            pooled=False,
        )
        return self._send(request).json()

    def _exchange(
        self,
        method: str,
        path: str,
        content: Any,
        headers: Mapping[str, str],
    ) -> HttpResponse:
        url = self._url(path)
        all_headers = self._headers(headers)
        if content is None:
            request = HttpRequest(
                method,
                url,
                all_headers,
                timeout_s=TIMEOUT_S,
                max_body_bytes=MAX_ANSWER_BYTES,
                pooled=False,
            )
        else:
            request = HttpRequest.with_json(
                method,
                url,
                content,
                headers=all_headers,
                timeout_s=TIMEOUT_S,
                max_body_bytes=MAX_ANSWER_BYTES,
                pooled=False,
            )
        return self._send(request)

    def _url(self, path: str) -> str:
        return f'http://{self.host}/operator{path}'

    def _headers(self, headers: Mapping[str, str]) -> dict[str, str]:
        return {'Authorization': f'Bearer {self.key}', **headers}

    def _send(self, request: HttpRequest) -> HttpResponse:
        try:
            response = asyncio.run(_fetch(request))
        except TransportError as error:
            raise TransportError(
                f'host {self.host} cannot be reached: {error.message}',
                verdict=error.verdict,
            ) from None
        if response.status >= HTTPStatus.BAD_REQUEST:
            raise _response_error(response)
        return response


def row_path(kind: str, key: str) -> str:
    """Return the path of a row, relative to ``/operator``."""
    return f'/table/{kind}/{quote(key, safe="")}'


def parse_address(text: str) -> Address:
    """Parse ``ip:port``.

    Raises:
        SettingsError: the text does not have this form.
    """
    try:
        return Address.parse(text)
    except ValueError:
        raise SettingsError(f'{text!r}: expected ip:port') from None


async def _fetch(request: HttpRequest) -> HttpResponse:
    transport = CurlTransport()
    try:
        return await transport.fetch(request)
    finally:
        transport.close()


def _load_key(path: str | None) -> str:
    if path is None:
        key = os.environ.get(KEY_VARIABLE, '')
    else:
        try:
            key = Path(path).read_text(encoding='utf-8').strip()
        except (OSError, UnicodeDecodeError) as error:
            raise SettingsError(f'{path}: cannot be read: {error}') from None
    if not key:
        raise SettingsError(f'no key: use --key-file or set {KEY_VARIABLE}')
    return key


def _response_error(response: HttpResponse) -> CelerywharfError:
    try:
        details = response.json()['error']
    except (ValueError, KeyError, TypeError):
        return CelerywharfError(
            f'the host responded with status {response.status}'
        )
    error = Failure(
        code=details['code'],
        message=details['message'],
        verdict=details['verdict'],
        retry_after_s=details.get('retry_after_s', -1),
    ).error()
    if isinstance(error, RowConflictError):
        error.current = details.get('current')
    return error
