"""Small value types shared by all packages."""

from __future__ import annotations

import enum
import ipaddress
import re
from dataclasses import dataclass

MAX_PORT = 65_535
MAX_SHOWN = 100  # characters of a malformed address in an error
PORT = re.compile('[0-9]{1,5}')


class Verdict(enum.Enum):
    """Whether a request may have taken effect."""

    not_run = 'not_run'
    may_have_run = 'may_have_run'
    ran = 'ran'


@dataclass(frozen=True, slots=True, order=True)
class Address:
    """An IP address and port, written ``ip:port``."""

    ip: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Address:
        """Parse ``ip:port``; an IPv6 address is in brackets.

        Raises:
            ValueError: the IP address or the port is missing or malformed.
        """
        ip, separator, port = text.rpartition(':')
        if not separator or not PORT.fullmatch(port) or int(port) > MAX_PORT:
            raise ValueError(f'{text[:MAX_SHOWN]!r}: expected ip:port')
        if ip.startswith('[') and ip.endswith(']') and '%' not in ip:
            ipaddress.IPv6Address(ip[1:-1])
        else:
            ipaddress.IPv4Address(ip)
        return cls(ip=ip, port=int(port))

    def __str__(self) -> str:
        """Return the address in the form accepted by ``parse``."""
        return f'{self.ip}:{self.port}'


@dataclass(frozen=True, slots=True)
class HostIdentity:
    """Name, location, address and incarnation of an entry host.

    Attributes:
        name: name, unique among all hosts.
        region: name of the region.
        availability_zone: name of the zone inside the region.
        inner: address for connections from other hosts.
        incarnation: number that increases with each start of the process.
    """

    name: str
    region: str
    availability_zone: str
    inner: Address
    incarnation: int
