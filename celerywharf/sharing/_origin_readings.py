"""Reads what the store has recorded of versions and streams."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Collection, Mapping

from celerywharf.exceptions import CelerywharfError
from celerywharf.origins import VersionEntry, VersionHistory
from celerywharf.platform import boot_time_s
from celerywharf.sharing._origin_rows import OriginRows

logger = logging.getLogger(__name__)

# Rows of other zones' readers that were lost may have come late.
STREAMS_PERIOD_S = 1.0
# Questions that come within this time share a reading.
SHARED_READING_S = 0.1
# A connection may be silent while the store answers on another one; a slow
# store answers the first call.
NEXT_CALL_S = 0.3
CALL_TIMEOUT_S = 1.0
READ_RETRY_S = 0.1
# Callers wait who take a stream up.
QUESTION_TIMEOUT_S = 0.65


class OriginReadings:
    """Reads the rows of versions and streams, as often as questions need them.

    Rows that were read before a question do not tell which versions there are:
    a host that was frozen or cut off has missed what has come since.

    All times are seconds on the clock that counts suspensions of the machine.

    Attributes:
        rows: access to the rows.
        history: the versions that are recorded.
        streams_s: when the rows of streams were last read; infinitely long ago
            if never.
        confirmed_s: begin of the last reading of the versions that succeeded;
            infinitely long ago if there is none.
        pending: readings under way that questions have caused.
        begun_s: begin of the last of them; infinitely long ago without one.
    """

    def __init__(self, rows: OriginRows, history: VersionHistory) -> None:
        self.rows = rows
        self.history = history
        self.streams_s = float('-inf')
        self.confirmed_s = float('-inf')
        self.pending: set[asyncio.Task] = set()
        self.begun_s = float('-inf')

    async def read(self) -> None:
        """Read all rows.

        Raises:
            PlatformUnavailableError: the store did not answer.
        """
        began_s = boot_time_s()
        self._load(await self.rows.read(), began_s)
        self.streams_s = max(self.streams_s, began_s)

    async def confirm(
        self, asked_s: float, timeout_s: float = QUESTION_TIMEOUT_S
    ) -> None:
        """Read what was recorded by a time, unless that is known.

        Args:
            asked_s: when a question came.
            timeout_s: when to return if the store does not answer, seconds
                from now.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while not self.is_confirmed(asked_s):
                    await self._share_reading()

    def is_confirmed(self, asked_s: float) -> bool:
        """Return whether it is known what was recorded by a time."""
        return (
            self.rows.is_read and self.confirmed_s >= asked_s - SHARED_READING_S
        )

    def age_s(self) -> float:
        """Return the age of what is known of versions, in seconds."""
        return boot_time_s() - self.confirmed_s

    async def _share_reading(self) -> None:
        now_s = boot_time_s()
        if not self.pending or now_s - self.begun_s >= NEXT_CALL_S:
            self.begun_s = now_s
            task = asyncio.get_running_loop().create_task(self._try_to_read())
            self.pending.add(task)
            task.add_done_callback(self.pending.discard)
        await asyncio.wait(
            tuple(self.pending),
            timeout=NEXT_CALL_S,
            return_when=asyncio.FIRST_COMPLETED,
        )

    async def _try_to_read(self) -> None:
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                await self._read_due()
        except TimeoutError:
            logger.info('origins of streams not read in time')
        except CelerywharfError as error:
            logger.info(
                'origins of streams not read', extra={'reason': error.message}
            )
            await asyncio.sleep(READ_RETRY_S)

    async def _read_due(self) -> None:
        """Read all rows if that is due, else the versions, which are few."""
        began_s = boot_time_s()
        if not self.rows.is_read or began_s - self.streams_s > STREAMS_PERIOD_S:
            await self.read()
            return
        self._load(await self.rows.read_versions(), began_s)

    def _load(
        self,
        recorded: Mapping[str, Collection[VersionEntry]],
        began_s: float,
    ) -> None:
        """Take a reading over, unless one that was begun later has come."""
        if began_s >= self.confirmed_s:
            self.history.load(recorded)
            self.confirmed_s = began_s
