"""The rows of roll-out steps that a reader has read."""

from __future__ import annotations

import logging
from collections.abc import Iterable
from dataclasses import dataclass

from celerywharf.metrics import Metrics
from celerywharf.platform import Row
from celerywharf.rollouts import RolloutRegister, RolloutStep
from celerywharf.sharing._rollout_rows import decode_row

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class StoredStep:
    """A step, and the version of its row.

    If the row is unreadable, it is the last step that was known before.
    """

    step: RolloutStep
    version: int


class StoredSteps:
    """Keeps the steps in the store, and passes them on to the register.

    In place of a row that is unreadable the last known step goes on.

    Attributes:
        register: learns the steps.
        metrics: counts the rows that are unreadable.
        rows: the steps, by service.
        unreadable: versions of the rows that are unreadable, by service.
    """

    def __init__(self, register: RolloutRegister, metrics: Metrics) -> None:
        self.register = register
        self.metrics = metrics
        self.rows: dict[str, StoredStep] = {}
        self.unreadable: dict[str, int] = {}

    def apply_rows(self, rows: Iterable[Row]) -> None:
        """Learn steps from rows of their table."""
        for row in rows:
            step = decode_row(row)
            if row.removed:
                self.forget(row.key)
            elif step is None:
                self._refuse(row)
            else:
                self.learn(step, row.version)

    def apply_current(self, service: str, rows: Iterable[Row]) -> None:
        """Learn a service's row after a write failed; it may have none."""
        found = [row for row in rows if row.key == service]
        if not found:
            self.forget(service)
        self.apply_rows(found)

    def learn(self, step: RolloutStep, version: int) -> None:
        """Learn a step from its row, or after it has been written."""
        self.unreadable.pop(step.service, None)
        self.rows[step.service] = StoredStep(step, version)
        self.register.learn_step(step, version)

    def forget(self, service: str) -> None:
        """Learn that a service has no row."""
        self.rows.pop(service, None)
        self.unreadable.pop(service, None)

    def row_version(self, service: str) -> int:
        """Return the version of a service's row; 0 if there is none."""
        stored = self.rows.get(service)
        if stored is None:
            return self.unreadable.get(service, 0)
        return stored.version

    def confirm(self, age_s: float = 0) -> None:
        """Record that the steps were current so many seconds ago.

        Until an unreadable row has been replaced, nobody begins to move: it
        may have been written in place of a step that takes the move back.
        """
        orders = self.register.orders()
        if self.unreadable.keys().isdisjoint(each.service for each in orders):
            self.register.confirm(age_s)

    def _refuse(self, row: Row) -> None:
        service = row.key
        if self.unreadable.get(service) != row.version:
            self.unreadable[service] = row.version
            self.metrics.count('unreadable_rollout_steps')
            logger.error(
                'roll-out step unreadable',
                extra={'service': service, 'version': row.version},
            )
        state = self.register.services.get(service)
        if state is None or state.step is None:
            self.rows.pop(service, None)
        else:
            self.rows[service] = StoredStep(state.step, row.version)
