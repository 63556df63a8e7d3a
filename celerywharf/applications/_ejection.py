"""Temporary exclusion of backend servers after consecutive failures."""

from __future__ import annotations

from dataclasses import dataclass

FAILURES_BEFORE_EJECTION = 3
EJECTION_S = 2.0


@dataclass(slots=True)
class FailureRecord:
    """Recent failures of one backend server.

    Attributes:
        failures: number of consecutive failures.
        ejected_until_s: monotonic time until which it is sent no calls.
    """

    failures: int = 0
    ejected_until_s: float = 0


class EjectionLogic:
    """Ejects a server after consecutive failures, readmits it by one probe.

    When the ejection ends, the first call is a probe: it ejects the server
    again for further calls until its own outcome is known.

    Attributes:
        records: servers whose last call failed, by name.
    """

    def __init__(self) -> None:
        self.records: dict[str, FailureRecord] = {}

    def ejected(self, now: float) -> frozenset[str]:
        """Return the names of the servers that must not be sent calls now."""
        return frozenset(
            name
            for name, record in self.records.items()
            if now < record.ejected_until_s
        )

    def started(self, backend: str, now: float) -> None:
        """Note that a call is sent; it is a probe after enough failures."""
        record = self.records.get(backend)
        if record and record.failures >= FAILURES_BEFORE_EJECTION:
            record.ejected_until_s = now + EJECTION_S

    def ended(self, backend: str, *, failed: bool, now: float) -> None:
        """Update the record of a server with the outcome of a call."""
        if not failed:
            self.records.pop(backend, None)
            return
        record = self.records.setdefault(backend, FailureRecord())
        record.failures += 1
        if record.failures >= FAILURES_BEFORE_EJECTION:
            record.ejected_until_s = now + EJECTION_S
