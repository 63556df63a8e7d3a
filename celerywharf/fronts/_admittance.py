"""Decides whether a caller's request may be forwarded."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

from celerywharf.platform import RequestHeaders
from celerywharf.routing import (
    ClientLimits,
    Configuration,
    ConfigurationCache,
    Idempotent,
    NonIdempotent,
    Route,
)

# Another host is asked after this: long enough for the balancer's next look.
ELSEWHERE_RETRY_AFTER_S = 0.2
# Several hosts may leave together; by then the balancer has noticed some.
LEAVING_RETRY_AFTER_S = 1.0


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request goes to a route for a client account."""

    route: Route
    account: str | None


@dataclass(frozen=True, slots=True)
class Denied:
    """The request is refused; it has not run.

    Attributes:
        status: of the answer.
        reason: for caller and log.
        version: of the configuration that decided, None without one.
        age_s: age of the configuration.
        retry_after_s: when to try again, None if that is of no use.
        elsewhere: the caller should use another connection.
    """

    status: HTTPStatus
    reason: str
    version: int | None = None
    age_s: float | None = None
    retry_after_s: float | None = None
    elsewhere: bool = False


class Admittance:
    """Checks route and key against what this host knows.

    Attributes:
        leaving: the host is about to stop.
        last_call_over: not even a short call can end before the host stops.
    """

    def __init__(
        self,
        configuration_cache: ConfigurationCache,
        boot_time_s: Callable[[], float],
    ) -> None:
        self.configuration_cache = configuration_cache
        self.boot_time_s = boot_time_s
        self.leaving = False
        self.last_call_over = False

    def limits(self) -> ClientLimits | None:
        """Return the bounds on what callers send, None if unknown."""
        configuration = self.configuration_cache.configuration
        return configuration and configuration.limits

    def admit(
        self,
        target: str,
        host: str,
        headers: RequestHeaders,
    ) -> Admitted | Denied:
        """Return where a request goes, or why it is refused."""
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
                retry_after_s=ELSEWHERE_RETRY_AFTER_S,
                elsewhere=True,
            )
        admitted = _check(configuration, target, host, headers, age_s)
        if self.leaving and isinstance(admitted, Admitted):
            return self._before_leaving(admitted, configuration, age_s)
        return admitted

    def _before_leaving(
        self,
        admitted: Admitted,
        configuration: Configuration,
        age_s: float | None,
    ) -> Admitted | Denied:
        """Let short calls pass; a stream would outlast this host."""
        match admitted.route.policy:
            case Idempotent() | NonIdempotent() if not self.last_call_over:
                return admitted
            case _:
                return Denied(
                    HTTPStatus.SERVICE_UNAVAILABLE,
                    'this host is leaving',
                    configuration.version,
                    age_s,
                    retry_after_s=LEAVING_RETRY_AFTER_S,
                    elsewhere=True,
                )


def _check(
    configuration: Configuration,
    target: str,
    host: str,
    headers: RequestHeaders,
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
    account = configuration.accounts.get(headers.key or '')
    if account is None:
        return Denied(
            HTTPStatus.UNAUTHORIZED,
            'unknown or missing key',
            configuration.version,
            age_s,
        )
    return Admitted(route, account)
