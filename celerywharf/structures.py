"""Small value types shared by all packages."""

from __future__ import annotations

import enum
from dataclasses import dataclass


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
        """Parse ``ip:port``.

        Raises:
            ValueError: the port is missing or not a number.
        """
        ip, separator, port = text.rpartition(':')
        if not separator:
            raise ValueError(f'{text!r}: expected ip:port')
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
