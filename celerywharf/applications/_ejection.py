"""Backend servers passed over for a while after failures in a row."""

from __future__ import annotations

from dataclasses import dataclass

FAILURES_BEFORE_EJECTION = 3
EJECTION_S = 2.0


@dataclass(slots=True)
class Standing:
    """What is known of one backend server.

    Attributes:
        failures: failures in a row.
        ejected_until_s: monotonic time before which it gets nothing.
    """

    failures: int = 0
    ejected_until_s: float = 0


class EjectionLogic:
    """Ejects a server after failures in a row, readmits it by one probe.

    When the time is over, one call goes through and ejects it again for the
    next ones until its outcome is known.
    """

    def __init__(self) -> None:
        self.standings: dict[str, Standing] = {}

    def ejected(self, now: float) -> frozenset[str]:
        """Return the names of the servers that get nothing now."""
        return frozenset(
            name
            for name, standing in self.standings.items()
            if now < standing.ejected_until_s
        )

    def started(self, backend: str, now: float) -> None:
        """Count a call that is sent: a probe when the server is suspect."""
        standing = self.standings.get(backend)
        if standing and standing.failures >= FAILURES_BEFORE_EJECTION:
            standing.ejected_until_s = now + EJECTION_S

    def ended(self, backend: str, *, failed: bool, now: float) -> None:
        """Count the outcome of a call."""
        if not failed:
            self.standings.pop(backend, None)
            return
        standing = self.standings.setdefault(backend, Standing())
        standing.failures += 1
        if standing.failures >= FAILURES_BEFORE_EJECTION:
            standing.ejected_until_s = now + EJECTION_S
