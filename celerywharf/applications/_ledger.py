"""Writes claims to the platform's table."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from celerywharf.applications._batches import (
    Action,
    Ambiguous,
    ArmTimer,
    BatchLogic,
    ChangeAdded,
    Commit,
    Committed,
    Conflicted,
    Elapsed,
    Expire,
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
    """Writes claim changes in the transactions that ``BatchLogic`` decides.

    Attributes:
        pending_asks: requests whose change is not settled yet.
        commits: number of transactions sent since the start.
        claims: number of claims requested since the start.
    """

    def __init__(self, host: Host) -> None:
        super().__init__()
        self.host = host
        self.logic = BatchLogic()
        self.pending_asks: dict[Change, Ask] = {}
        self.commits = 0
        self.claims = 0

    def start(self) -> None:
        """Begin handling messages."""
        super().start()
        self.host.timers.every(CHECK_PERIOD_S, self.post, Expire())

    async def write(self, change: Change) -> WriteOutcome:
        """Write a change and return its outcome.

        Raises:
            OverloadedError: the mailbox is full; nothing was written.
        """
        self.claims += change.is_claim
        return await self.ask(change)

    def handle(self, message: Any) -> None:
        """Handle a message of ``BatchLogic`` or a change to write."""
        if isinstance(message, Ask):
            self.pending_asks[message.message] = message
            message = ChangeAdded(message.message)
        self._process(message)

    def _process(self, message: Message) -> None:
        for action in self.logic.decide(message, self.host.timers.now()):
            self._perform(action)

    def _perform(self, action: Action) -> None:
        match action:
            case ArmTimer(delay_s):
                self.host.timers.after(delay_s, self.post, Elapsed())
            case Commit(changes):
                self.spawn(self._commit(changes))
            case Settle(change, outcome):
                self.pending_asks.pop(change).answer(outcome)

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
