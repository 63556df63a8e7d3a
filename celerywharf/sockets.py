"""Listening sockets."""

from __future__ import annotations

import socket

from tornado.netutil import bind_sockets

from celerywharf.exceptions import SettingsError
from celerywharf.structures import Address


def bind(key: str, address: Address) -> list[socket.socket]:
    """Return sockets that listen on an address.

    Raises:
        SettingsError: the process cannot listen on the address; the message
            names the settings key.
    """
    try:
        return bind_sockets(address.port, address.ip)
    except OSError as error:
        raise SettingsError(
            f'{key} = {address}: cannot listen: {error.strerror}',
        ) from None
