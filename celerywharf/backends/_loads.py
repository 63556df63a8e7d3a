"""Estimated load of backend servers."""

from __future__ import annotations

from collections import deque
from collections.abc import Container
from dataclasses import dataclass, field

from celerywharf.backends._server_paces import ServerPaces
from celerywharf.backends._servers import (
    BackendServer,
    EngineReport,
    ServerLoad,
)

# A load stated in the answer to a call is outdated after this time.
ANSWER_LOAD_MAX_AGE_S = 0.3
ENGINE_REPORT_MAX_AGE_S = 1.0  # about the time one prompt takes to be read
ENGINE_REPORT_LAG_S = 0.15  # engines report their load as of that long ago
MAX_SEND_TIMES = 16


@dataclass(slots=True)
class _Load:
    requests: int = 0
    streams: int = 0
    prompts: int = 0
    tokens: int = 0
    stated: ServerLoad | None = None
    stated_at_s: float = float('-inf')
    alive_at_s: float = float('-inf')
    report: EngineReport | None = None
    report_at_s: float = float('-inf')
    sent_at_s: deque[float] = field(
        default_factory=lambda: deque(maxlen=MAX_SEND_TIMES),
    )

    def has_fresh_report(self, now_s: float) -> bool:
        return now_s - self.report_at_s < ENGINE_REPORT_MAX_AGE_S


@dataclass(frozen=True, slots=True)
class ServerUse:
    """Requests at a server.

    Attributes:
        requests: running and waiting ones.
        answering: those known to have produced a part of their answer.
    """

    requests: int
    answering: int = 0


class Loads:
    """Estimates the load of backend servers.

    Combines what this host has sent them with the load that their answers and
    reports state.

    Attributes:
        loads: what is known of each server, by its name.
        paces: pace of each server.
    """

    def __init__(self) -> None:
        self.loads: dict[str, _Load] = {}
        self.paces = ServerPaces()

    def started(self, name: str, tokens: int, now_s: float) -> None:
        """Record the start of a request.

        Args:
            name: name of the backend server.
            tokens: token memory the request needs; 0 for plain calls.
            now_s: monotonic seconds.
        """
        load = self._load(name)
        load.sent_at_s.append(now_s)
        load.requests += 1
        load.tokens += tokens
        load.streams += 1 if tokens else 0
        load.prompts += 1 if tokens else 0

    def prefilled(self, name: str) -> None:
        """Record the first event of a stream: its prompt has been read."""
        self._load(name).prompts -= 1

    def ended(self, name: str, tokens: int) -> None:
        """Record the end of a request started with the same ``tokens``."""
        load = self._load(name)
        load.requests -= 1
        load.streams -= 1 if tokens else 0
        load.tokens -= tokens

    def retain(self, names: Container[str]) -> None:
        """Evict other servers that have no requests of this host."""
        self.paces.retain(names)
        self.loads = {
            name: load
            for name, load in self.loads.items()
            if load.requests or name in names
        }

    def reported(
        self, server: BackendServer, stated: ServerLoad, now_s: float
    ) -> None:
        """Record the load stated in an answer."""
        record = self._load(server.name)
        if stated.running is not None:
            record.stated = stated
            record.stated_at_s = now_s
        if stated.pace is not None:
            self.paces.stated(server, stated.pace, now_s)

    def in_use(self, name: str, since_s: float) -> ServerUse | None:
        """Return what a server last stated, and this host's sends since.

        None if it has stated nothing since ``since_s``, monotonic seconds.
        """
        load = self._load(name)
        at_s = max(load.stated_at_s, load.report_at_s)
        if at_s < since_s:
            return None
        sent = self.sent_since(name, at_s)
        if load.stated_at_s == at_s:
            return ServerUse(load.stated.running + load.stated.waiting + sent)
        report = load.report
        return ServerUse(
            report.running + report.waiting + sent,
            report.running - report.prefilling,
        )

    def sent_since(self, name: str, since_s: float) -> int:
        """Count the last requests sent there after a time, at most 16."""
        return sum(sent_s > since_s for sent_s in self._load(name).sent_at_s)

    def restarted(self, name: str) -> None:
        """Forget what an earlier incarnation of a server has stated."""
        load = self._load(name)
        load.stated_at_s = float('-inf')
        load.report_at_s = float('-inf')
        self.paces.restarted(name)

    def mark_alive(self, name: str, now_s: float) -> None:
        """Record that a server has just responded."""
        self._load(name).alive_at_s = now_s

    def alive_at_s(self, name: str) -> float:
        """Return when a server last responded; ``-inf`` if it never has."""
        return self._load(name).alive_at_s

    def requests(self, name: str) -> int:
        """Return the number of requests of this host in progress there."""
        return self._load(name).requests

    def own_use(self, name: str) -> ServerUse:
        """Return the requests of this host in progress at a server.

        Streams are answering from their first event on, calls never.
        """
        load = self._load(name)
        return ServerUse(load.requests, max(load.streams - load.prompts, 0))

    def report(self, name: str, report: EngineReport, now_s: float) -> None:
        """Record a load report of an engine."""
        load = self._load(name)
        load.report = report
        load.report_at_s = now_s
        load.alive_at_s = now_s

    def report_at_s(self, name: str) -> float:
        """Return when the last report arrived; ``-inf`` if none has."""
        return self._load(name).report_at_s

    def prompts(self, name: str, now_s: float) -> int:
        """Estimate how many prompts the server has not finished reading."""
        load = self._load(name)
        if not load.has_fresh_report(now_s):
            return load.prompts
        measured_at_s = load.report_at_s - ENGINE_REPORT_LAG_S
        sent_since = sum(sent_s > measured_at_s for sent_s in load.sent_at_s)
        reported = load.report.waiting + load.report.prefilling
        return max(load.prompts, reported + sent_since)

    def running(self, name: str, now_s: float) -> int:
        """Estimate how many requests the server is running."""
        load = self._load(name)
        if not load.has_fresh_report(now_s):
            return load.requests
        return max(load.requests, load.report.running)

    def tokens(self, name: str, now_s: float) -> int:
        """Estimate the token memory in use on the server."""
        load = self._load(name)
        if not load.has_fresh_report(now_s):
            return load.tokens
        return max(load.tokens, load.report.used_tokens)

    def slots_used(self, server: BackendServer, now_s: float) -> float:
        """Estimate the requests at a server as a fraction of its slots.

        From this host's requests there and, unless it is outdated, the load
        stated in the last answer.
        """
        load = self._load(server.name)
        own = load.requests / max(server.slots, 1)
        if now_s - load.stated_at_s > ANSWER_LOAD_MAX_AGE_S:
            return own
        stated = load.stated.running + load.stated.waiting
        if load.stated.pace is not None:
            stated += self.sent_since(server.name, load.stated_at_s)
        return max(own, stated / load.stated.slots)

    def _load(self, name: str) -> _Load:
        return self.loads.setdefault(name, _Load())
