"""Demand of this host for services, and how fast they usually answer."""

from __future__ import annotations

from dataclasses import dataclass

from celerywharf.backends._directory import Directory
from celerywharf.backends._loads import Loads

COUNTED_S = 10.0  # requests of this time make up the rate
COUNT_MAX_AGE_S = 1.0
UNCOUNTED = 0.5  # a host without requests so far may get one
SMOOTHING = 0.05  # weight of a new answer in the usual time
UNKNOWN_ANSWER_S = 0.5  # before the first answer


@dataclass(slots=True)
class _Rate:
    per_s: float
    at_s: float


class ServiceDemand:
    """Estimates the rate of requests and the usual time of answers.

    Attributes:
        directory: the known backend servers.
        loads: what this host has sent them.
        answer_s: usual time to the first part of an answer, by service.
        rates: last estimate of the rate, by service.
    """

    def __init__(self, directory: Directory, loads: Loads) -> None:
        self.directory = directory
        self.loads = loads
        self.answer_s: dict[str, float] = {}
        self.rates: dict[str, _Rate] = {}

    def answered(self, service: str, answer_s: float) -> None:
        """Record the time to the first part of an answer."""
        usual_s = self.answer_s.get(service, answer_s)
        self.answer_s[service] = usual_s + SMOOTHING * (answer_s - usual_s)

    def usual_answer_s(self, service: str) -> float:
        """Return the usual time to the first part of an answer."""
        return self.answer_s.get(service, UNKNOWN_ANSWER_S)

    def rate_per_s(self, service: str, now_s: float) -> float:
        """Return the rate of this host's requests to a service; not 0."""
        rate = self.rates.get(service)
        if rate is None or now_s - rate.at_s > COUNT_MAX_AGE_S:
            sent = sum(
                self.loads.sent_since(server.name, now_s - COUNTED_S)
                for server in self.directory.usable(service)
            )
            rate = _Rate((sent + UNCOUNTED) / COUNTED_S, now_s)
            self.rates[service] = rate
        return rate.per_s
