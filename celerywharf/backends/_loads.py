"""How loaded backend servers are, as far as this host can tell."""

from __future__ import annotations

from dataclasses import dataclass

REPORT_FRESH_S = 0.3  # later the load of a call's answer has changed


@dataclass(slots=True)
class _Load:
    requests: int = 0
    prompts: int = 0
    tokens: int = 0
    reported: float = 0
    reported_at_s: float = float('-inf')
    alive_at_s: float = float('-inf')


class Loads:
    """Counts what this host has sent and keeps what answers told."""

    def __init__(self) -> None:
        self.loads: dict[str, _Load] = {}

    def started(self, name: str, tokens: int) -> None:
        """Note a request that was sent."""
        load = self._load(name)
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

    def prompts(self, name: str) -> int:
        """Return the prompts of this host that are not read yet there."""
        return self._load(name).prompts

    def tokens(self, name: str) -> int:
        """Return the token memory that this host uses there."""
        return self._load(name).tokens

    def recent(self, name: str, now_s: float) -> float:
        """Return the load last told, 0 if that is too old."""
        load = self._load(name)
        if now_s - load.reported_at_s > REPORT_FRESH_S:
            return 0
        return load.reported

    def _load(self, name: str) -> _Load:
        return self.loads.setdefault(name, _Load())
