"""Entry hosts in zones, with links to each other and to the platform."""

import time
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from typing import Any

from standins.calls import call
from standins.launching import Fleet, find_free_port

OPERATOR_KEY = 'operator-key-of-the-cluster'
INNER_KEY = 'inner-key-of-the-cluster-hosts'
HEADERS = {'Authorization': f'Bearer {OPERATOR_KEY}'}
REGION = 'r1'
FIRST_IP = 11
POLL_S = 0.02

Answer = tuple[int, Any]


@dataclass(frozen=True, slots=True)
class Member:
    """An entry host.

    Attributes:
        name: name of its process.
        availability_zone: the zone that it runs in.
        ip: address from which it connects to other hosts.
        edge: ``ip:port`` for callers and operators.
        settings: sections of its settings file.
    """

    name: str
    availability_zone: str
    ip: str
    edge: str
    settings: Mapping[str, Mapping[str, Any]]


@dataclass(slots=True)
class Cluster:
    """A platform and entry hosts, connected by links that can be cut.

    Each zone has a link to the platform, and each host a link in front of its
    inner address.

    Attributes:
        fleet: all processes; its creator closes it.
        members: entry hosts by name.
        cut_zones: zones that reach neither other zones nor the platform.
    """

    fleet: Fleet
    members: dict[str, Member] = field(default_factory=dict)
    cut_zones: set[str] = field(default_factory=set)

    @classmethod
    def start(cls, fleet: Fleet, zones: Mapping[str, str]) -> 'Cluster':
        """Start a platform and the hosts, given as zones by host name."""
        cluster = cls(fleet)
        platform = fleet.start_platform()
        for zone in sorted(set(zones.values())):
            fleet.start_link(f'platform-{zone}', platform.address)
        inner = {}
        for number, name in enumerate(zones):
            bind = f'127.0.0.{FIRST_IP + number}:{find_free_port()}'
            inner[name] = (fleet.start_link(f'to-{name}', bind).address, bind)
        seeds = [address for address, _ in inner.values()]
        for name, zone in zones.items():
            cluster.add(name, zone, inner[name], seeds)
        return cluster

    def add(
        self,
        name: str,
        zone: str,
        inner: tuple[str, str],
        seeds: Collection[str],
    ) -> None:
        """Add a host and start it.

        Args:
            name: name of the host.
            zone: availability zone of the host.
            inner: ``ip:port`` of its link, and the one that it listens on.
            seeds: inner addresses of all hosts.
        """
        address, bind = inner
        edge = f'127.0.0.1:{find_free_port()}'
        platform = self.fleet.members[f'platform-{zone}'].address
        settings = {
            'host': {
                'name': name,
                'region': REGION,
                'availability_zone': zone,
                'listen': edge,
                'inner': address,
                'inner_listen': bind,
            },
            'peers': {'seeds': ' '.join(seeds)},
            'keys': {'inner': INNER_KEY, 'operator': OPERATOR_KEY},
            'platform': {'url': f'http://{platform}'},
        }
        ip = bind.partition(':')[0]
        self.members[name] = Member(name, zone, ip, edge, settings)
        self.start_host(name)

    def start_host(self, name: str) -> None:
        """Start a host, or restart one that has ended."""
        member = self.members[name]
        self.fleet.start_host(name, member.settings, member.edge)

    def cut(self, *zones: str) -> None:
        """Cut these zones off from others and the platform; join the rest."""
        self.cut_zones = set(zones)
        for member in self.members.values():
            sources = [
                other.ip
                for other in self.members.values()
                if self._is_cut(member, other)
            ]
            self.fleet.control(f'to-{member.name}', cut_sources=sources)
            zone = member.availability_zone
            is_cut = zone in self.cut_zones
            self.fleet.control(f'platform-{zone}', cut=is_cut)

    def reset_connections(self) -> None:
        """Reset all connections between hosts; bytes in transit are lost."""
        for name in self.members:
            self.fleet.control(f'to-{name}', close=True)

    def operate(
        self,
        name: str,
        method: str,
        path: str,
        content: Any = None,
    ) -> Answer:
        """Send an operator's call to a host; return status and body."""
        edge = self.members[name].edge
        return call(edge, method, f'/operator{path}', content, HEADERS)

    def put(self, name: str, path: str, fields: Any, version: int) -> Answer:
        """Write a row of the table through a host."""
        content = {'version': version, 'fields': fields}
        return self.operate(name, 'PUT', f'/table/{path}', content)

    def revision(self, name: str) -> int:
        """Return the table revision in force at a host."""
        answer = call(self.members[name].edge, 'GET', '/healthz')
        return answer[1]['revision']

    def wait_for_revision(
        self,
        revision: int,
        names: Collection[str],
        timeout_s: float,
    ) -> float | None:
        """Return the seconds until all hosts have it, None on a time-out."""
        started = time.monotonic()
        waiting = set(names)
        while time.monotonic() - started < timeout_s:
            waiting = {
                name for name in waiting if self.revision(name) < revision
            }
            if not waiting:
                return time.monotonic() - started
            time.sleep(POLL_S)
        return None

    def _is_cut(self, member: Member, other: Member) -> bool:
        zones = {member.availability_zone, other.availability_zone}
        return len(zones) > 1 and bool(zones & self.cut_zones)
