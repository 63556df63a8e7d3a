"""Detection of availability zones whose backend servers fail together."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

FAILURE_WINDOW_S = 2.0  # servers that fail together do so within this time
MIN_FAILURES = 2  # a single server may fail for reasons of its own
# Fraction of the zone's servers; in small zones one failure is enough.
MIN_FAILED_FRACTION = 0.3
# Entries expire after three missed heartbeats of 1.2 s each, so a server whose
# entry still exists after this time is alive.
SUSPICION_S = 4.5


@dataclass(frozen=True, slots=True)
class ServiceZone:
    """Identifies the backend servers of one service in one zone."""

    service: str
    availability_zone: str


@dataclass(frozen=True, slots=True)
class _Failure:
    at_s: float
    name: str


@dataclass(frozen=True, slots=True)
class _Suspicion:
    since_s: float
    until_s: float


class ZoneFailureDetector:
    """Detects zones that have just lost several backend servers.

    Entries of dead servers remain for seconds.  When several servers of a zone
    fail at the same time, the others are suspect until they respond again, so
    that neither streams nor backup copies of runs are placed on them.
    """

    def __init__(self) -> None:
        self.failures: dict[ServiceZone, deque[_Failure]] = {}
        self.suspicions: dict[ServiceZone, _Suspicion] = {}

    def record_failure(
        self,
        service_zone: ServiceZone,
        name: str,
        servers: int,
        now_s: float,
    ) -> bool:
        """Record the loss of a server.

        Args:
            service_zone: service and zone of the server.
            name: name of the server.
            servers: number of servers of this service in the zone.
            now_s: monotonic seconds.

        Returns:
            Whether the zone has become suspect by this failure.
        """
        failures = self.failures.setdefault(service_zone, deque())
        failures.append(_Failure(now_s, name))
        while failures[0].at_s < now_s - FAILURE_WINDOW_S:
            failures.popleft()
        names = {failure.name for failure in failures}
        if (
            len(names) < MIN_FAILURES
            and len(names) < servers * MIN_FAILED_FRACTION
        ):
            return False
        active = self._active_suspicion(service_zone, now_s)
        since_s = active.since_s if active else failures[0].at_s
        self.suspicions[service_zone] = _Suspicion(since_s, now_s + SUSPICION_S)
        return active is None

    def suspect(
        self,
        service_zone: ServiceZone,
        known_since_s: float,
        alive_at_s: float,
        now_s: float,
    ) -> bool:
        """Return whether a server may have failed together with its zone.

        Args:
            service_zone: service and zone of the server.
            known_since_s: when its incarnation was first seen.
            alive_at_s: when it last responded.
            now_s: monotonic seconds.
        """
        suspicion = self._active_suspicion(service_zone, now_s)
        if suspicion is None:
            return False
        return max(known_since_s, alive_at_s) < suspicion.since_s

    def _active_suspicion(
        self,
        service_zone: ServiceZone,
        now_s: float,
    ) -> _Suspicion | None:
        suspicion = self.suspicions.get(service_zone)
        if suspicion is None or now_s >= suspicion.until_s:
            return None
        return suspicion
