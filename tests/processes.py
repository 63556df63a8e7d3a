"""Fixture that starts real processes; see `standins.launching`.

When a test fails, the logs of its processes are kept under `run/failed/` and
their last lines are added to the report.
"""

import re
from collections.abc import Iterator
from pathlib import Path

import pytest

from standins.launching import Fleet
from standins.processes import KEPT_LOGS, ProcessGroup

TAIL_LINES = 12
LINE_CHARACTERS = 300


@pytest.fixture
def fleet() -> Iterator[Fleet]:
    """Yield a fleet whose processes are stopped at the end of the test."""
    with Fleet() as started:
        yield started


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(item: pytest.Item) -> Iterator[None]:
    """Keep the logs of all processes that run when a test fails."""
    report = yield
    if report.failed:
        name = re.sub(r'[^\w-]+', '_', item.name)
        for group in tuple(ProcessGroup.open_groups):
            target = KEPT_LOGS / name / group.folder.name
            group.keep_logs(target)
            report.sections.append((f'logs kept in {target}', _tails(target)))
    return report


def _tails(folder: Path) -> str:
    """Return the last lines of each log in a folder."""
    tails = []
    for path in sorted(folder.glob('*.[eo]*')):
        lines = path.read_text(errors='replace').splitlines()[-TAIL_LINES:]
        cut = [line[:LINE_CHARACTERS] for line in lines]
        tails.append('\n'.join((f'-- {path.name}', *cut)))
    return '\n'.join(tails)
