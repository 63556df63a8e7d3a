"""How many requests arrive, from counts of hosts and zones."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Source:
    """What a host or a zone has told of its requests.

    Attributes:
        first_s: when it did so first, or after it had lost counts.
        requests: its requests since the order.
    """

    first_s: float
    requests: int


class Arrivals:
    """Counts the requests that have arrived while this host looked on.

    A source that is heard for the first time tells requests of any time since
    the order, so only those that it tells later have arrived now.

    Attributes:
        total: the requests that have arrived.
        sources: the sources that are known, by name.
    """

    def __init__(self) -> None:
        self.total = 0
        self.sources: dict[str, Source] = {}

    def record(
        self, name: str, requests: int, now_s: float, *, counted_s: float = 0
    ) -> None:
        """Record what a source has told.

        Args:
            name: name of the source.
            requests: its requests since the order.
            now_s: monotonic seconds.
            counted_s: how long its own sources may still be joining it,
                seconds.
        """
        source = self.sources.get(name)
        if source is None or requests < source.requests:
            self.sources[name] = Source(now_s, requests)
            return
        if now_s - source.first_s >= counted_s:
            self.total += requests - source.requests
        source.requests = requests
