"""Performs the platform calls that a change attempt asks for."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from celerywharf.adapters import Platform
from celerywharf.exceptions import (
    PlatformAmbiguousError,
    PlatformUnavailableError,
    RowConflictError,
)
from celerywharf.tables._attempts import (
    Accept,
    Action,
    ChangeAttempt,
    Commit,
    Committed,
    Fail,
    PlatformResult,
    ReadRows,
    Refused,
    RowsRead,
    Unanswered,
    Unavailable,
)
from celerywharf.tables.changes import Change

if TYPE_CHECKING:
    from celerywharf.hosts import Host


async def run_attempt(attempt: ChangeAttempt, host: Host) -> Change:
    """Run an attempt until its change is committed.

    Raises:
        CelerywharfError: the error that ended the attempt.
    """
    action = attempt.start()
    while True:
        match action:
            case Accept(change):
                return change
            case Fail(error):
                raise error
        result = await _perform(action, host.platform)
        action = attempt.advance(result, host.timers.now())


async def _perform(action: Action, platform: Platform) -> PlatformResult:
    try:
        match action:
            case ReadRows(keys, delay_s):
                await asyncio.sleep(random.uniform(0, delay_s))
                return RowsRead(await platform.read(keys))
            case Commit():
                await platform.commit(
                    action.conditions,
                    action.puts(),
                    action.deletes(),
                )
    except RowConflictError:
        return Refused()
    except PlatformAmbiguousError:
        return Unanswered()
    except PlatformUnavailableError as error:
        return Unavailable(error)
    return Committed()
