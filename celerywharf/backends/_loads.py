"""How loaded backend servers are, as far as this host can tell."""

from __future__ import annotations

from collections import deque
from collections.abc import Container
from dataclasses import dataclass, field

from celerywharf.backends._servers import EngineReport

REPORT_FRESH_S = 0.3  # later the load of a call's answer has changed
ENGINE_REPORT_FRESH_S = 1.0  # about the time that one prompt takes
ENGINE_REPORT_LAG_S = 0.15  # engines report their load of that long ago
SENDS_KEPT = 16


@dataclass(slots=True)
class _Load:
    requests: int = 0
    prompts: int = 0
    tokens: int = 0
    reported: float = 0
    reported_at_s: float = float('-inf')
    alive_at_s: float = float('-inf')
    report: EngineReport | None = None
    report_at_s: float = float('-inf')
    sent_at_s: deque[float] = field(
        default_factory=lambda: deque(maxlen=SENDS_KEPT),
    )


class Loads:
    """Counts what this host has sent and keeps what answers told."""

    def __init__(self) -> None:
        self.loads: dict[str, _Load] = {}

    def started(self, name: str, tokens: int, now_s: float) -> None:
        """Note a request that was sent."""
        load = self._load(name)
        load.sent_at_s.append(now_s)
        load.requests += 1
        load.tokens += tokens
        load.prompts += 1 if tokens else 0

    def prefilled(self, name: str) -> None:
        """Note the first event of a stream: its prompt has been read."""
        self._load(name).prompts -= 1

    def ended(self, name: str, tokens: int) -> None:
        """Note the end of a request."""
        load = self._load(name)
        load.requests -= 1
        load.tokens -= tokens

    def keep(self, names: Container[str]) -> None:
        """Drop other servers where nothing of this host is under way."""
        self.loads = {
            name: load
            for name, load in self.loads.items()
            if load.requests or name in names
        }

    def reported(self, name: str, load: float, now_s: float) -> None:
        """Note the load that an answer told, over the server's slots."""
        known = self._load(name)
        known.reported = load
        known.reported_at_s = now_s

    def alive(self, name: str, now_s: float) -> None:
        """Note a sign of life."""
        self._load(name).alive_at_s = now_s

    def alive_at_s(self, name: str) -> float:
        """Return the time of the last sign of life."""
        return self._load(name).alive_at_s

    def requests(self, name: str) -> int:
        """Return the requests of this host that are under way there."""
        return self._load(name).requests

    def report(self, name: str, report: EngineReport, now_s: float) -> None:
        """Note an engine's own report."""
        load = self._load(name)
        load.report = report
        load.report_at_s = now_s
        load.alive_at_s = now_s

    def report_at_s(self, name: str) -> float:
        """Return when the last report came."""
        return self._load(name).report_at_s

    def prompts(self, name: str, now_s: float) -> int:
        """Return how many prompts are not read yet there."""
        load = self._load(name)
        if not self._report_fresh(load, now_s):
            return load.prompts
        seen_s = load.report_at_s - ENGINE_REPORT_LAG_S
        later = sum(sent_s > seen_s for sent_s in load.sent_at_s)
        reported = load.report.waiting + load.report.prefilling
        return max(load.prompts, reported + later)

    def running(self, name: str, now_s: float) -> int:
        """Return how many requests are under way there."""
        load = self._load(name)
        if not self._report_fresh(load, now_s):
            return load.requests
        return max(load.requests, load.report.running)

    def tokens(self, name: str, now_s: float) -> int:
        """Return the token memory used there."""
        load = self._load(name)
        if not self._report_fresh(load, now_s):
            return load.tokens
        return max(load.tokens, load.report.used_tokens)

    def _report_fresh(self, load: _Load, now_s: float) -> bool:
        return now_s - load.report_at_s < ENGINE_REPORT_FRESH_S

    def recent(self, name: str, now_s: float) -> float:
        """Return the load last told, 0 if that is too old."""
        load = self._load(name)
        if now_s - load.reported_at_s > REPORT_FRESH_S:
            return 0
        return load.reported

    def _load(self, name: str) -> _Load:
        return self.loads.setdefault(name, _Load())
