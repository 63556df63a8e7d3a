"""Writes claims to the platform's table."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from celerywharf.applications._batches import (
    Action,
    Added,
    Ambiguous,
    Arm,
    BatchLogic,
    Checked,
    Commit,
    Committed,
    Conflicted,
    Elapsed,
    Message,
    Settle,
    Unavailable,
)
from celerywharf.applications._rows import (
    Change,
    ClaimRow,
    VersionedRow,
    WriteOutcome,
)
from celerywharf.exceptions import (
    CelerywharfError,
    PlatformUnavailableError,
    RowConflictError,
)
from celerywharf.tasks import Ask, Part

if TYPE_CHECKING:
    from celerywharf.hosts import Host

logger = logging.getLogger(__name__)

CHECK_PERIOD_S = 0.1


class ClaimLedger(Part):
    """Carries out what ``BatchLogic`` decides.

    Attributes:
        commits: transactions sent since the start.
        claims: claims asked for since the start.
    """

    def __init__(self, host: Host) -> None:
        super().__init__()
        self.host = host
        self.logic = BatchLogic()
        self.asks: dict[Change, Ask] = {}
        self.commits = 0
        self.claims = 0

    def start(self) -> None:
        """Begin handling messages."""
        super().start()
        self.host.timers.every(CHECK_PERIOD_S, self.post, Checked())

    async def write(self, change: Change) -> WriteOutcome:
        """Write a change and tell what became of it."""
        self.claims += change.is_claim
        return await self.ask(change)

    def handle(self, message: Any) -> None:
        """Take one message."""
        if isinstance(message, Ask):
            self.asks[message.message] = message
            message = Added(message.message)
        self._carry_out(message)

    def _carry_out(self, message: Message) -> None:
        for action in self.logic.decide(message, self.host.timers.now()):
            self._act(action)

    def _act(self, action: Action) -> None:
        match action:
            case Arm(delay_s):
                self.host.timers.after(delay_s, self.post, Elapsed())
            case Commit(changes):
                self.spawn(self._commit(changes))
            case Settle(change, outcome):
                self.asks.pop(change).answer(outcome)

    async def _commit(self, changes: tuple[Change, ...]) -> None:
        self.commits += 1
        try:
            outcome = await self._try_commit(changes)
        except Exception:
            logger.exception('commit of claims failed')
            outcome = Ambiguous()
        self.post(outcome)

    async def _try_commit(self, changes: tuple[Change, ...]) -> Message:
        conditions = {change.key: change.version for change in changes}
        puts = {change.key: change.row.to_json() for change in changes}
        try:
            return Committed(await self.host.platform.commit(conditions, puts))
        except RowConflictError as error:
            return Conflicted(_read_rows(error.current or {}))
        except PlatformUnavailableError:
            return Unavailable()
        except CelerywharfError:
            return Ambiguous()


def _read_rows(
    rows: dict[str, dict[str, Any] | None],
) -> dict[str, VersionedRow | None]:
    return {
        key: row
        and VersionedRow(row['version'], ClaimRow.from_json(row['value']))
        for key, row in rows.items()
    }
