"""Small value types shared by every package."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class Verdict(enum.Enum):
    """Says whether a request may have taken effect."""

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
        """Read ``ip:port``.

        Raises:
            ValueError: the port is missing or not a number.
        """
        ip, separator, port = text.rpartition(':')
        if not separator:
            raise ValueError(f'{text!r}: expected ip:port')
        return cls(ip=ip, port=int(port))

    def __str__(self) -> str:
        """Write the address the way ``parse`` reads it."""
        return f'{self.ip}:{self.port}'


@dataclass(frozen=True, slots=True)
class HostIdentity:
    """Who an entry host is: its name, where it stands, which run of it.

    Attributes:
        name: unique among hosts.
        region: name of the region.
        availability_zone: name of the zone inside the region.
        inner: address of the inner port.
        incarnation: rises with each start of the process.
    """

    name: str
    region: str
    availability_zone: str
    inner: Address
    incarnation: int
