"""What every command that talks to a host shares.

Options of such commands:
  --host=IP:PORT    Host to ask, default from CELERYWHARF_HOST.
  --key-file=FILE   File with the operators' key, default the value of
                    CELERYWHARF_OPERATOR_KEY.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Mapping
from pathlib import Path
from typing import Any
from urllib.parse import urlencode

from celerywharf.adapters import CurlTransport, HttpRequest, HttpResponse
from celerywharf.exceptions import (
    BadRequestError,
    CelerywharfError,
    PeerUnreachableError,
    TransportError,
)
from celerywharf.structures import Address
from celerywharf.wire.basics import Failure

HOST_VARIABLE = 'CELERYWHARF_HOST'
KEY_VARIABLE = 'CELERYWHARF_OPERATOR_KEY'
DEFAULT_HOST = '127.0.0.1:8100'
TIMEOUT_S = 30.0
FIRST_ERROR_STATUS = 400


class OperatorClient:
    """Asks one host in an operator's name."""

    def __init__(self, host: Address, key: str) -> None:
        self.host = host
        self.key = key

    @classmethod
    def of(cls, options: Mapping[str, Any]) -> OperatorClient:
        """Read ``--host`` and ``--key-file``.

        Raises:
            BadRequestError: no key, or a host not written ip:port.
        """
        text = options.get('--host') or os.environ.get(
            HOST_VARIABLE,
            DEFAULT_HOST,
        )
        try:
            return cls(Address.parse(text), _key(options.get('--key-file')))
        except ValueError as error:
            raise BadRequestError(f'--host: {error}') from None

    def get(self, path: str, **query: Any) -> Any:
        """Return the JSON document at a path."""
        given = {name: text for name, text in query.items() if text is not None}
        suffix = f'?{urlencode(given)}' if given else ''
        return self.send('GET', f'{path}{suffix}')

    def send(
        self,
        method: str,
        path: str,
        content: Any = None,
        headers: Mapping[str, str] | None = None,
    ) -> Any:
        """Send a request and return the JSON document of the answer.

        Raises:
            PeerUnreachableError: the host does not answer.
            CelerywharfError: the error the host answered with.
        """
        return asyncio.run(self._send(method, path, content, headers or {}))

    async def _send(
        self,
        method: str,
        path: str,
        content: Any,
        headers: Mapping[str, str],
    ) -> Any:
        transport = CurlTransport()
        request = HttpRequest.with_json(
            method,
            f'http://{self.host}{path}',
            content,
            headers={'Authorization': f'Bearer {self.key}', **headers},
            timeout_s=TIMEOUT_S,
        )
        try:
            response = await transport.fetch(request)
        except TransportError as error:
            raise PeerUnreachableError(
                f'host {self.host}: {error.message}',
                verdict=error.verdict,
            ) from None
        finally:
            transport.close()
        if response.status >= FIRST_ERROR_STATUS:
            raise answered_error(response)
        return response.json() if response.body else None


def answered_error(response: HttpResponse) -> CelerywharfError:
    """Build the error a host answered with."""
    try:
        fields = response.json()['error']
    except (ValueError, KeyError, TypeError):
        return CelerywharfError(f'HTTP status {response.status}')
    error = Failure(
        fields.get('code', ''),
        fields.get('message', ''),
        fields.get('verdict', 'may_have_run'),
        fields.get('retry_after_s', -1),
    ).error()
    if hasattr(error, 'current'):
        error.current = fields.get('current')
    return error


def _key(key_file: str | None) -> str:
    if key_file is None:
        key = os.environ.get(KEY_VARIABLE, '')
    else:
        try:
            key = Path(key_file).read_text(encoding='utf-8').strip()
        except OSError as error:
            raise BadRequestError(f'--key-file: {error}') from None
    if not key:
        raise BadRequestError(f'set {KEY_VARIABLE} or --key-file')
    return key
