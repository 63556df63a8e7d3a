"""A client of the operators' calls of any host."""

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
from celerywharf.wire import Failure

HOST_VARIABLE = 'CELERYWHARF_HOST'
KEY_VARIABLE = 'CELERYWHARF_OPERATOR_KEY'
TIMEOUT_S = 15.0


@dataclass(frozen=True, slots=True)
class OperatorClient:
    """Calls one host as an operator.

    Attributes:
        host: address of its callers' port.
        key: bearer key of operators.
    """

    host: Address
    key: str

    @classmethod
    def of_options(cls, options: Mapping[str, Any]) -> OperatorClient:
        """Take the host and the key from options and environment.

        Raises:
            SettingsError: one is missing or malformed.
        """
        host = options['--host'] or os.environ.get(HOST_VARIABLE, '')
        if not host:
            raise SettingsError(f'no host: give --host or {HOST_VARIABLE}')
        return cls(read_address(host), _read_key(options['--key-file']))

    def at(self, host: Address) -> OperatorClient:
        """Return a client of another host."""
        return OperatorClient(host, self.key)

    def call(
        self,
        method: str,
        path: str,
        content: Any = None,
        **headers: str,
    ) -> Any:
        """Return the JSON of the answer.

        Raises:
            TransportError: the host cannot be reached.
            CelerywharfError: the error it answered with.
        """
        return self._exchange(method, path, content, headers).json()

    def text(self, path: str, accept: str) -> str:
        """Return the text of a document in a given form."""
        headers = {'Accept': accept}
        return self._exchange('GET', path, None, headers).body.decode()

    def post_text(self, path: str, text: str, kind: str) -> Any:
        """Send a document in a given form and return the JSON answer."""
        request = HttpRequest(
            'POST',
            self._url(path),
            self._headers({'Content-Type': kind}),
            text.encode(),
            timeout_s=TIMEOUT_S,
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
        sent = self._headers(headers)
        if content is None:
            request = HttpRequest(method, url, sent, timeout_s=TIMEOUT_S)
        else:
            request = HttpRequest.with_json(
                method,
                url,
                content,
                headers=sent,
                timeout_s=TIMEOUT_S,
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
            raise _error(response)
        return response


def row_path(kind: str, key: str) -> str:
    """Return the path of a row below ``/operator``."""
    return f'/table/{kind}/{quote(key, safe="")}'


def read_address(text: str) -> Address:
    """Read ``ip:port``.

    Raises:
        SettingsError: it is not written so.
    """
    try:
        return Address.parse(text)
    except ValueError:
        raise SettingsError(f'{text!r} is not written ip:port') from None


async def _fetch(request: HttpRequest) -> HttpResponse:
    transport = CurlTransport()
    try:
        return await transport.fetch(request)
    finally:
        transport.close()


def _read_key(path: str | None) -> str:
    if path is None:
        key = os.environ.get(KEY_VARIABLE, '')
    else:
        try:
            key = Path(path).read_text(encoding='utf-8').strip()
        except (OSError, UnicodeDecodeError) as error:
            raise SettingsError(f'{path}: cannot be read: {error}') from None
    if not key:
        raise SettingsError(f'no key: give --key-file or {KEY_VARIABLE}')
    return key


def _error(response: HttpResponse) -> CelerywharfError:
    try:
        details = response.json()['error']
    except (ValueError, KeyError, TypeError):
        return CelerywharfError(f'the host answered {response.status}')
    error = Failure(
        code=details['code'],
        message=details['message'],
        verdict=details['verdict'],
        retry_after_s=details.get('retry_after_s', -1),
    ).error()
    if isinstance(error, RowConflictError):
        error.current = details.get('current')
    return error
