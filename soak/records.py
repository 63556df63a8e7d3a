"""Records of requests, runs and faults, which the checks compare."""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

from standins.fronts import Answer


@dataclass(slots=True, kw_only=True)
class Attempt(Answer):
    """One request of a caller, with its answer.

    Attributes:
        request_id: unique for each attempt.
        kind: `buy`, not idempotent; `look`, idempotent; or `narrate`, a
            stream.
        front: name of the front that it was sent to.
        key: API key that it was sent with.
        sent_s: time of sending, on the monotonic clock of this machine.
        deadline_s: seconds after sending at which the deadline passes.
        events_wanted: number of events requested; 0 if not a stream.
        is_probe: whether it tests its front after the recovery time.
    """

    request_id: str
    kind: str
    front: str
    key: str
    sent_s: float
    deadline_s: float
    events_wanted: int = 0
    is_probe: bool = False

    @property
    def ended_s(self) -> float:
        """Return the monotonic time at which the answer or connection ended."""
        return self.sent_s + self.took_s


@dataclass(slots=True)
class ServerRun:
    """One run at a backend server.

    Attributes:
        server: name of the server process.
        request_id: request id of the attempt.
        target: path of the request.
        account: client account in the request that the server received.
        began_s: start, on the monotonic clock of this machine.
        ended_s: end, on the same clock; None if the server ended first.
    """

    server: str
    request_id: str
    target: str
    account: str | None
    began_s: float
    ended_s: float | None = None


@dataclass(frozen=True, slots=True)
class Disruption:
    """Time during which a fault affected a front or a backend server.

    Attributes:
        began_s: start, on the monotonic clock of this machine.
        ended_s: end, on the same clock.
        target_name: name of the front or backend server.
        fault: description of the fault.
    """

    began_s: float
    ended_s: float
    target_name: str
    fault: str


@dataclass(slots=True)
class Evidence:
    """Everything that the checks compare; times are monotonic seconds.

    Attributes:
        attempts: requests of all callers.
        runs: runs of all backend servers, also of those that have ended.
        disruptions: times during which faults affected fronts or servers.
        revoked_keys: revoked keys, each with the time at which the store
            acknowledged the revocation.
        faults_ended_s: time at which the last fault ended.
        fronts: names of the fronts.
        added_servers: servers that were added at that time.
        unready: answers of fronts that were not ready after the recovery
            time.
        exits: fronts that exited with an error code or ignored SIGTERM.
        errors: error lines in the logs of fronts, and failures of the soak
            itself to inject a fault.
    """

    attempts: list[Attempt] = field(default_factory=list)
    runs: list[ServerRun] = field(default_factory=list)
    disruptions: list[Disruption] = field(default_factory=list)
    revoked_keys: dict[str, float] = field(default_factory=dict)
    faults_ended_s: float = 0
    fronts: tuple[str, ...] = ()
    added_servers: tuple[str, ...] = ()
    unready: list[str] = field(default_factory=list)
    exits: list[str] = field(default_factory=list)
    errors: list[str] = field(default_factory=list)


def read_runs(paths: Iterable[Path]) -> list[ServerRun]:
    """Return the runs in logs of backend servers, named after their server."""
    return [run for path in paths for run in _read_log(path)]


def _read_log(path: Path) -> Iterable[ServerRun]:
    runs: dict[int, ServerRun] = {}
    for line in path.read_text().splitlines():
        entry = json.loads(line)
        if entry['event'] == 'begin':
            runs[entry['number']] = ServerRun(
                path.stem,
                entry['request_id'],
                entry['target'],
                entry['account'],
                entry['at_s'],
            )
        else:
            runs[entry['number']].ended_s = entry['at_s']
    return runs.values()
