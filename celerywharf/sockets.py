"""Listening sockets with errors that name the setting."""

from __future__ import annotations

import socket

from tornado.netutil import bind_sockets

from celerywharf.exceptions import SettingsError
from celerywharf.structures import Address


def bind(key: str, address: Address) -> list[socket.socket]:
    """Listen on an address.

    Raises:
        SettingsError: it cannot be listened on; names the key.
    """
    try:
        return bind_sockets(address.port, address.ip)
    except OSError as error:
        raise SettingsError(
            f'{key} = {address}: cannot listen: {error.strerror}',
        ) from None
