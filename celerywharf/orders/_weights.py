"""One queue of weight transfers for each availability zone."""

from __future__ import annotations

from dataclasses import dataclass, field

READY_S = 600.0
WANTED_S = 10.0
FAILED_RETRY_S = 2.0


@dataclass(slots=True)
class Want:
    """A model that is wanted in the zone.

    Attributes:
        seen_s: when each backend server last asked for it.
    """

    seen_s: dict[str, float] = field(default_factory=dict)


class WeightLogic:
    """Decides which model is brought into the zone next.

    One transfer at a time, the model that most backend servers wait for
    first, none before the store said that it may be asked again.
    """

    def __init__(self) -> None:
        self.wants: dict[str, Want] = {}
        self.ready_at_s: dict[str, float] = {}
        self.fetching = ''
        self.paused_until_s: float = 0

    def ask(self, model: str, backend_server: str, now: float) -> bool:
        """Note that a server wants a model; True when it may be loaded."""
        ready_s = self.ready_at_s.get(model)
        if ready_s is not None and now < ready_s + READY_S:
            return True
        self.wants.setdefault(model, Want()).seen_s[backend_server] = now
        return False

    def next_fetch(self, now: float) -> str:
        """Return the model to fetch now and count it, or an empty text."""
        self._forget(now)
        if self.fetching or now < self.paused_until_s or not self.wants:
            return ''
        self.fetching = min(self.wants, key=self._order)
        return self.fetching

    def fetched(self, now: float) -> None:
        """Take the end of the transfer."""
        self.ready_at_s[self.fetching] = now
        self.wants.pop(self.fetching, None)
        self.fetching = ''

    def refused(self, retry_after_s: float, now: float) -> None:
        """Take the store's refusal: it may be asked again later."""
        self.paused_until_s = now + retry_after_s
        self.fetching = ''

    def _order(self, model: str) -> tuple[int, str]:
        return -len(self.wants[model].seen_s), model

    def _forget(self, now: float) -> None:
        for model, want in tuple(self.wants.items()):
            want.seen_s = {
                name: seen_s
                for name, seen_s in want.seen_s.items()
                if now < seen_s + WANTED_S
            }
            if not want.seen_s and model != self.fetching:
                self.wants.pop(model)
