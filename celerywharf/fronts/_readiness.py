"""Whether a front is ready for new connections, and why not."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from celerywharf.metrics import Metrics

logger = logging.getLogger(__name__)

REPORT_PERIOD_S = 10.0

Condition = Callable[[], bool]


@dataclass(frozen=True, slots=True)
class Conditions:
    """What must hold for a front to get new connections.

    Attributes:
        at_start: return whether they are met, by name; they count until the
            front has been ready once.
        always: those that count at all times.
    """

    at_start: Mapping[str, Condition]
    always: Mapping[str, Condition]


class Readiness:
    """Checks the conditions of a front, and logs those that are not met.

    Attributes:
        conditions: what must hold.
        now: a clock, in seconds.
        metrics: counts the checks at which each was not met.
        has_been_ready: all conditions were met at a check.
        unmet: names of the conditions that were not met at the last check.
        since_s: when the front was last ready; when it was first checked if
            it has never been.
        reported_s: when the unmet conditions were last logged.
    """

    def __init__(
        self,
        conditions: Conditions,
        now: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        self.conditions = conditions
        self.now = now
        self.metrics = metrics
        self.has_been_ready = False
        self.unmet: tuple[str, ...] = ()
        self.since_s: float | None = None
        self.reported_s = float('-inf')

    def check(self) -> tuple[str, ...]:
        """Return the names of the conditions that are not met."""
        now_s = self.now()
        unmet = tuple(
            name for name, is_met in self._counting().items() if not is_met()
        )
        for name in unmet:
            self.metrics.count('not_ready_checks', condition=name)
        if self.since_s is None:
            self.since_s = now_s
        is_due = bool(unmet) and now_s - self.reported_s >= REPORT_PERIOD_S
        if unmet != self.unmet or is_due:
            self._report(unmet, now_s)
        if not unmet:
            self.has_been_ready = True
            self.since_s = now_s
        self.unmet = unmet
        return unmet

    def _counting(self) -> Mapping[str, Condition]:
        if self.has_been_ready:
            return self.conditions.always
        return {**self.conditions.at_start, **self.conditions.always}

    def _report(self, unmet: tuple[str, ...], now_s: float) -> None:
        self.reported_s = now_s
        logger.info(
            'not ready' if unmet else 'ready',
            extra={
                'unmet': list(unmet),
                'not_ready_s': round(now_s - (self.since_s or now_s), 3),
            },
        )
