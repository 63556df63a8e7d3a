"""Availability zones in which backend servers fail together."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

FAILURE_WINDOW_S = 2.0  # servers that fail together do so within this time
LEAST_FAILURES = 2  # one server may fail for reasons of its own
LEAST_SHARE = 0.3  # of the zone's servers; in small zones one is enough
# An entry lapses after three heartbeats of 1.2 s; one that stays is alive.
SUSPICION_S = 4.5


@dataclass(frozen=True, slots=True)
class ZonePart:
    """The backend servers of one service in one zone."""

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


class ZoneFailures:
    """Tells which zones have just lost backend servers.

    Entries of dead servers stay for seconds.  When some servers of a zone
    fail at the same time, its others are suspect until they show a sign of
    life, so that neither streams nor copies of runs are put there.
    """

    def __init__(self) -> None:
        self.failures: dict[ZonePart, deque[_Failure]] = {}
        self.suspicions: dict[ZonePart, _Suspicion] = {}

    def failed(
        self,
        part: ZonePart,
        name: str,
        servers: int,
        now_s: float,
    ) -> bool:
        """Note the loss of a server; tell whether its zone becomes suspect.

        Args:
            part: service and zone of the server.
            name: the server.
            servers: how many the zone has of this service.
            now_s: monotonic seconds.
        """
        failures = self.failures.setdefault(part, deque())
        failures.append(_Failure(now_s, name))
        while failures[0].at_s < now_s - FAILURE_WINDOW_S:
            failures.popleft()
        names = {failure.name for failure in failures}
        if len(names) < LEAST_FAILURES and len(names) < servers * LEAST_SHARE:
            return False
        known = self._suspicion(part, now_s)
        since_s = known.since_s if known else failures[0].at_s
        self.suspicions[part] = _Suspicion(since_s, now_s + SUSPICION_S)
        return known is None

    def suspect(
        self,
        part: ZonePart,
        known_since_s: float,
        alive_at_s: float,
        now_s: float,
    ) -> bool:
        """Tell whether one server may have failed with its zone.

        Args:
            part: service and zone of the server.
            known_since_s: when its entry was first seen.
            alive_at_s: its last sign of life.
            now_s: monotonic seconds.
        """
        suspicion = self._suspicion(part, now_s)
        if suspicion is None:
            return False
        return max(known_since_s, alive_at_s) < suspicion.since_s

    def _suspicion(self, part: ZonePart, now_s: float) -> _Suspicion | None:
        suspicion = self.suspicions.get(part)
        if suspicion is None or now_s >= suspicion.until_s:
            return None
        return suspicion
