"""Runs a case within its time and writes down what it saw."""

from __future__ import annotations

import asyncio
import os
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from review.rig.fronts import FrontGroup, NotRunnableError

HELD = 0
BROKEN = 1
NOT_RUNNABLE = 2
TIME_LIMIT_S = 112
TROUBLE = os.environ.get('TROUBLE', '1') != '0'


class Record:
    """The file with what was sent, answered and run.

    Attributes:
        started_s: times in the file count from here.
    """

    def __init__(self, path: Path) -> None:
        self.started_s = time.monotonic()
        self.lines: list[str] = []
        self.path = path

    def write(self, text: str, at_s: float | None = None) -> None:
        """Add a line; without a time it happens now."""
        since_s = (at_s or time.monotonic()) - self.started_s
        self.lines.append(f'{since_s:8.3f} {text}')

    def say(self, text: str) -> None:
        """Add a line and print it."""
        self.write(text)
        sys.stdout.write(f'{self.lines[-1]}\n')
        sys.stdout.flush()

    def save(self) -> None:
        """Write the file, in the order of time."""
        ordered = sorted(self.lines, key=_time_of)
        self.path.write_text('\n'.join((*ordered, '')))


Case = Callable[[Record, FrontGroup], Awaitable[bool]]


def run_case(case: Case, folder: Path) -> int:
    """Run a case; return its exit code.

    Args:
        case: returns whether the rule was broken.
        folder: folder of the case.
    """
    record = Record(folder / 'record.txt')
    fronts = FrontGroup()
    try:
        broken = asyncio.run(_within_limit(case(record, fronts)))
    except (NotRunnableError, TimeoutError, OSError) as error:
        record.say(f'could not run: {error!r}')
        return NOT_RUNNABLE
    finally:
        fronts.close()
        record.save()
    record.say('the rule was broken' if broken else 'the rule held')
    record.save()
    return BROKEN if broken else HELD


async def _within_limit(running: Awaitable[bool]) -> bool:
    async with asyncio.timeout(TIME_LIMIT_S):
        return await running


def _time_of(line: str) -> float:
    return float(line.split(maxsplit=1)[0])
