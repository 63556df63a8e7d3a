"""What callers and backend servers saw."""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

from standins.fronts import Answer


@dataclass(slots=True, kw_only=True)
class Attempt(Answer):
    """One request of a caller, and its answer.

    Attributes:
        request_id: id of this attempt.
        kind: `buy`, `look` or `narrate`.
        front: where it was sent.
        key: with which key.
        sent_s: when, monotonic seconds of this machine.
        deadline_s: how long the caller waits.
        events_wanted: length of a stream.
    """

    request_id: str
    kind: str
    front: str
    key: str
    sent_s: float
    deadline_s: float
    events_wanted: int = 0

    @property
    def ended_s(self) -> float:
        """Return when its answer or connection ended."""
        return self.sent_s + self.took_s


@dataclass(slots=True)
class WorkedRun:
    """One run at a backend server.

    Attributes:
        server: which one.
        request_id: of the attempt.
        target: path that it was sent to.
        account: as the server was told.
        began_s: monotonic seconds of this machine.
        ended_s: None if the server ended first.
    """

    server: str
    request_id: str
    target: str
    account: str | None
    began_s: float
    ended_s: float | None = None


@dataclass(frozen=True, slots=True)
class Span:
    """A time in which something was harmed.

    Attributes:
        began_s: monotonic seconds.
        ended_s: same clock.
        what: name of what was harmed.
        fault: the fault, for the report.
    """

    began_s: float
    ended_s: float
    what: str
    fault: str


@dataclass(slots=True)
class Evidence:
    """All that the checks judge by.

    Attributes:
        attempts: of all callers.
        runs: of all backend servers, also those that are gone.
        harmed: by which faults what was harmed, and when.
        keys: when the store acknowledged that a key is taken away.
        calm_s: when the last fault was over.
        exits: fronts that ended by themselves, with what they wrote.
        errors: lines in which fronts report faults of their own.
    """

    attempts: list[Attempt] = field(default_factory=list)
    runs: list[WorkedRun] = field(default_factory=list)
    harmed: list[Span] = field(default_factory=list)
    keys: dict[str, float] = field(default_factory=dict)
    calm_s: float = 0
    exits: list[str] = field(default_factory=list)
    errors: list[str] = field(default_factory=list)


def read_runs(paths: Iterable[Path]) -> list[WorkedRun]:
    """Read the logs of backend servers; each is named after its server."""
    return [run for path in paths for run in _runs_of(path)]


def _runs_of(path: Path) -> Iterable[WorkedRun]:
    runs: dict[int, WorkedRun] = {}
    for line in path.read_text().splitlines():
        told = json.loads(line)
        if told['event'] == 'begin':
            runs[told['number']] = WorkedRun(
                path.stem,
                told['request_id'],
                told['target'],
                told['account'],
                told['at_s'],
            )
        else:
            runs[told['number']].ended_s = told['at_s']
    return runs.values()
