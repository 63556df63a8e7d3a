"""Admission control: which requests of callers may be forwarded."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

from celerywharf.peers import Relay, key_digest
from celerywharf.platform import RequestHeaders
from celerywharf.routing import (
    ClientLimits,
    Configuration,
    ConfigurationCache,
    Idempotent,
    NonIdempotent,
    Route,
)

# A caller's retry reaches another host, which is likely to have a newer
# configuration.
STALE_CONFIGURATION_RETRY_AFTER_S = 0.2
# Several hosts may stop together; by then the load balancer has noticed some.
DRAINING_RETRY_AFTER_S = 1.0


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request may be forwarded.

    Attributes:
        route: the route that matches the request.
        account: the client account of the key; None if no key is required.
    """

    route: Route
    account: str | None


@dataclass(frozen=True, slots=True)
class Denied:
    """The request is refused and has not run.

    Attributes:
        status: HTTP status of the answer.
        reason: message for the caller and the log.
        version: version of the configuration that was applied; None if this
            host has none.
        age_s: seconds since that configuration was known to be current; None
            if it never was.
        retry_after_s: when the caller should retry; None if a retry would be
            refused as well.
        close_connection: close the connection after the answer, so that the
            load balancer can send the caller's next request to another host.
    """

    status: HTTPStatus
    reason: str
    version: int | None = None
    age_s: float | None = None
    retry_after_s: float | None = None
    close_connection: bool = False


class AdmissionController:
    """Checks requests against the configuration known to this host.

    Attributes:
        stops_at_s: when the host stops serving requests, on the boot clock;
            infinite unless it is about to stop.
        digested: the configuration whose keys are in ``digests``.
        digests: client accounts by the digest of a key.
    """

    def __init__(
        self,
        configuration_cache: ConfigurationCache,
        boot_time_s: Callable[[], float],
    ) -> None:
        self.configuration_cache = configuration_cache
        self.boot_time_s = boot_time_s
        self.stops_at_s = math.inf
        self.digested: Configuration | None = None
        self.digests: dict[str, str] = {}

    @property
    def draining(self) -> bool:
        """Return whether the host is about to stop."""
        return math.isfinite(self.stops_at_s)

    def drain(self, stops_at_s: float) -> None:
        """Refuse what may not end until the host stops.

        Args:
            stops_at_s: when the host stops serving requests, on the boot clock.
        """
        self.stops_at_s = min(self.stops_at_s, stops_at_s)

    def limits(self) -> ClientLimits | None:
        """Return the limits on requests; None without a configuration."""
        configuration = self.configuration_cache.configuration
        return configuration and configuration.limits

    def admit(
        self,
        target: str,
        host: str,
        headers: RequestHeaders,
    ) -> Admitted | Denied:
        """Return the route of a request, or why it is refused.

        Args:
            target: path and query of the request.
            host: the Host header, in lower case and without the port.
            headers: the headers that the platform defines.
        """
        configuration = self.configuration_cache.configuration
        accounts = configuration.accounts if configuration else {}
        account = accounts.get(headers.key or '')
        return self._admit(target, host, account, headers.deadline_s)

    def admit_relayed(
        self, target: str, host: str, relay: Relay
    ) -> Admitted | Denied:
        """Return the route of a request that another host passes on.

        It is judged as if its caller had sent it here, unless the other host
        has a newer configuration.
        """
        configuration = self.configuration_cache.configuration
        if configuration is not None and configuration.version < relay.version:
            return Denied(
                HTTPStatus.SERVICE_UNAVAILABLE,
                'the other host has a newer configuration',
                version=configuration.version,
            )
        if self.draining:
            return Denied(
                HTTPStatus.SERVICE_UNAVAILABLE, 'this host is leaving'
            )
        account = self._accounts_by_digest().get(relay.key_digest)
        return self._admit(target, host, account, relay.timeout_s)

    def _accounts_by_digest(self) -> dict[str, str]:
        """Return the client accounts by the digest of each of their keys."""
        configuration = self.configuration_cache.configuration
        if configuration is not self.digested:
            self.digested = configuration
            accounts = configuration.accounts if configuration else {}
            self.digests = {
                key_digest(key): account for key, account in accounts.items()
            }
        return self.digests

    def _admit(
        self,
        target: str,
        host: str,
        account: str | None,
        deadline_s: float | None,
    ) -> Admitted | Denied:
        configuration = self.configuration_cache.configuration
        now_s = self.boot_time_s()
        age_s = self.configuration_cache.age_s(now_s)
        if configuration is None or not self.configuration_cache.accepts_keys(
            now_s
        ):
            return Denied(
                HTTPStatus.SERVICE_UNAVAILABLE,
                'this host does not know the current configuration',
                version=configuration and configuration.version,
                age_s=age_s,
                retry_after_s=STALE_CONFIGURATION_RETRY_AFTER_S,
                close_connection=True,
            )
        admitted = _check(configuration, target, host, account, age_s)
        if (
            self.draining
            and isinstance(admitted, Admitted)
            and not self._ends_in_time(admitted.route, deadline_s)
        ):
            return Denied(
                HTTPStatus.SERVICE_UNAVAILABLE,
                'this host is leaving',
                configuration.version,
                age_s,
                retry_after_s=DRAINING_RETRY_AFTER_S,
                close_connection=True,
            )
        return admitted

    def _ends_in_time(self, route: Route, deadline_s: float | None) -> bool:
        """Return whether a request is sure to end before the host stops.

        A stream is taken for one that is not: it usually lasts long, and must
        not be broken off.
        """
        match route.policy:
            case Idempotent() | NonIdempotent():
                longest_s = min(route.timeout_s, deadline_s or route.timeout_s)
                return self.boot_time_s() + longest_s <= self.stops_at_s
            case _:
                return False


def _check(
    configuration: Configuration,
    target: str,
    host: str,
    account: str | None,
    age_s: float | None,
) -> Admitted | Denied:
    path = target.partition('?')[0]
    route = configuration.match(host, path)
    if route is None:
        return Denied(
            HTTPStatus.NOT_FOUND,
            'no route',
            configuration.version,
            age_s,
        )
    if not configuration.keys_required or route.public:
        return Admitted(route, None)
    if account is None:
        return Denied(
            HTTPStatus.UNAUTHORIZED,
            'unknown or missing key',
            configuration.version,
            age_s,
        )
    return Admitted(route, account)
