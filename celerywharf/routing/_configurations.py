"""Data model of one version of the operator's configuration."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from celerywharf.routing._policies import Policy
from celerywharf.routing._urgencies import Urgencies, collect_urgencies


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service and its share of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Maps a host name and path prefix to services.

    Attributes:
        name: unique name.
        host: value of the ``Host`` header, without port.
        prefix: path prefix; begins and ends with a slash.
        policy: whether and how requests may be retried.
        timeout_s: time within which a caller must have its answer.
        latency_target_s: answers that take longer count as late.
        priority: 0 is the most urgent; that of a client account precedes it.
        services: one, or several among which requests are split by weight.
        max_attempts: maximum number of sends of one request that may have run.
        public: requests need no API key.
    """

    name: str
    host: str
    prefix: str
    policy: Policy
    timeout_s: float
    latency_target_s: float
    priority: int
    services: tuple[WeightedService, ...]
    max_attempts: int
    public: bool


@dataclass(frozen=True, slots=True)
class EngineMemory:
    """Token memory of each engine of a service.

    Attributes:
        capacity_tokens: total tokens of prompts and outputs that fit at once.
        backups: whether an engine can replicate the memory of a run to another
            engine while the run is in progress.
        lease_s: longest term for which an engine grants a lease of room,
            seconds; 0 if engines grant none.
    """

    capacity_tokens: int
    backups: bool
    lease_s: float = 0


@dataclass(frozen=True, slots=True)
class Service:
    """A set of interchangeable backend servers.

    Attributes:
        name: unique name.
        health_path: path of the health check.
        memory: token memory of model engines; None for plain applications.
    """

    name: str
    health_path: str
    memory: EngineMemory | None


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Size and time limits for the requests of callers."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account.

    Attributes:
        name: unique name.
        keys: its API keys.
        priority: precedes that of routes; None if it has none.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


def by_host(routes: Iterable[Route]) -> dict[str, tuple[Route, ...]]:
    """Group routes by host name, longest prefix first."""
    grouped: dict[str, list[Route]] = {}
    for route in routes:
        grouped.setdefault(route.host, []).append(route)
    return {
        host: tuple(
            sorted(group, key=_prefix_length, reverse=True),
        )
        for host, group in grouped.items()
    }


def _prefix_length(route: Route) -> int:
    return len(route.prefix)


@dataclass(frozen=True)
class Configuration:
    """A complete version of the operator's configuration.

    Attributes:
        version: increases with each change.
        routes: by host name, longest prefix first.
        services: by name.
        accounts: name of the client account by API key.
        keys_required: whether routes that are not public require an API key.
        limits: size and time limits for requests.
        urgencies: which requests go first at engines.
        malformed_priorities: how many priorities were dropped as malformed.
    """

    version: int
    routes: dict[str, tuple[Route, ...]]
    services: dict[str, Service]
    accounts: dict[str, str]
    keys_required: bool
    limits: ClientLimits
    urgencies: Urgencies = field(default_factory=Urgencies)
    malformed_priorities: int = 0

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, if any."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


@dataclass(frozen=True)
class ConfigurationListing:
    """The entries of a configuration in the order in which it lists them.

    Entries that no request can match are included.

    Attributes:
        version: increases with each change.
        routes: all routes.
        services: all services.
        accounts: all client accounts; None if no route requires a key.
        limits: size and time limits for requests.
        malformed_priorities: how many priorities were dropped as malformed.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    accounts: tuple[ClientAccount, ...] | None
    limits: ClientLimits
    malformed_priorities: int = 0

    def configuration(self) -> Configuration:
        """Return the configuration that hosts apply."""
        accounts = self.accounts or ()
        return Configuration(
            version=self.version,
            routes=by_host(self.routes),
            services={service.name: service for service in self.services},
            accounts={
                key: account.name
                for account in accounts
                for key in account.keys
            },
            keys_required=self.accounts is not None,
            limits=self.limits,
            urgencies=collect_urgencies(
                self.routes,
                {
                    account.name: account.priority
                    for account in accounts
                    if account.priority is not None
                },
            ),
            malformed_priorities=self.malformed_priorities,
        )
