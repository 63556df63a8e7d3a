"""A JSON request over a new connection, for tests and benches."""

import json
from collections.abc import Mapping
from http import client
from typing import Any

from standins.serving import split_address

CALL_TIMEOUT_S = 5


def call(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    headers: Mapping[str, str] | None = None,
) -> tuple[int, Any]:
    """Send one JSON request; return status and body.

    A body that is not JSON is returned as text.

    Raises:
        OSError: the answer is missing or incomplete.
    """
    host, port = split_address(address)
    connection = client.HTTPConnection(host, port, timeout=CALL_TIMEOUT_S)
    payload = None if body is None else json.dumps(body)
    try:
        connection.request(method, path, payload, dict(headers or {}))
        response = connection.getresponse()
        content = response.read()
    except client.HTTPException as error:
        raise ConnectionError(str(error)) from error
    finally:
        connection.close()
    return response.status, _decode(content)


def _decode(content: bytes) -> Any:
    try:
        return json.loads(content)
    except ValueError:
        return content.decode()
