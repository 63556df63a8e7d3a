"""Queue of the weight transfers to one availability zone."""

from __future__ import annotations

from dataclasses import dataclass, field

# Time after a transfer for which the weights count as present in the zone.
READY_TTL_S = 600.0
# A request not repeated within this time is dropped.
REQUEST_TTL_S = 10.0
FAILED_FETCH_RETRY_S = 2.0


@dataclass(slots=True)
class Waiters:
    """Backend servers that wait for one model.

    Attributes:
        asked_s: by name of the backend server, the monotonic time of its
            last request.
    """

    asked_s: dict[str, float] = field(default_factory=dict)


class ZoneQueue:
    """Decides which model is transferred to the zone next.

    Runs one transfer at a time, of the model that the most backend servers
    wait for, and none before the retry time that the store returned.

    Attributes:
        waiters: by model, the servers that wait for it.
        fetched_at_s: by model, the monotonic time of its last transfer.
        fetching: the model in transfer, or an empty string.
        deferred_until_s: monotonic time before which no transfer starts.
    """

    def __init__(self) -> None:
        self.waiters: dict[str, Waiters] = {}
        self.fetched_at_s: dict[str, float] = {}
        self.fetching = ''
        self.deferred_until_s: float = 0

    def request(self, model: str, backend_server: str, now: float) -> bool:
        """Return whether a model may be loaded; if not, queue the request."""
        fetched_s = self.fetched_at_s.get(model)
        if fetched_s is not None and now < fetched_s + READY_TTL_S:
            return True
        self.waiters.setdefault(model, Waiters()).asked_s[backend_server] = now
        return False

    def next_fetch(self, now: float) -> str:
        """Return the model to fetch now, or an empty string.

        The returned model is in transfer until ``finish_fetch`` or
        ``defer_fetch``.
        """
        self._expire(now)
        if self.fetching or now < self.deferred_until_s or not self.waiters:
            return ''
        self.fetching = min(self.waiters, key=self._priority)
        return self.fetching

    def finish_fetch(self, now: float) -> None:
        """Mark the current transfer as complete."""
        self.fetched_at_s[self.fetching] = now
        self.waiters.pop(self.fetching, None)
        self.fetching = ''

    def defer_fetch(self, retry_after_s: float, now: float) -> None:
        """Cancel the current transfer; fetch nothing for ``retry_after_s``."""
        self.deferred_until_s = now + retry_after_s
        self.fetching = ''

    def _priority(self, model: str) -> tuple[int, str]:
        return -len(self.waiters[model].asked_s), model

    def _expire(self, now: float) -> None:
        for model, waiters in tuple(self.waiters.items()):
            waiters.asked_s = {
                name: asked_s
                for name, asked_s in waiters.asked_s.items()
                if now < asked_s + REQUEST_TTL_S
            }
            if not waiters.asked_s and model != self.fetching:
                self.waiters.pop(model)
