"""Remembers the software versions that began streams."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

MAX_ORIGINS = 65_536
# Callers do not take a stream up later than this.
MAX_LIFETIME_S = 600.0

Subscriber = Callable[['StreamOrigin'], None]


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """Where a stream began.

    Attributes:
        request_id: id of the caller's attempt that brought the first event.
        service: name of the service.
        software_version: of the engine that sent the first event.
        expires_s: when its caller has given up, monotonic seconds.
    """

    request_id: str
    service: str
    software_version: str
    expires_s: float


class OriginRegister:
    """Remembers where streams began until their callers have given up.

    Answers callers that take a stream up at another host: it may go on only at
    engines of the software version that began it.  Beyond ``MAX_ORIGINS`` the
    oldest are dropped.

    Attributes:
        origins: by request id, the most recently recorded last.
        subscribers: called with each stream that began at this host.
    """

    def __init__(self) -> None:
        self.origins: OrderedDict[str, StreamOrigin] = OrderedDict()
        self.subscribers: list[Subscriber] = []

    def began(self, origin: StreamOrigin, now_s: float) -> None:
        """Record a stream that began at this host."""
        self.learn(origin, now_s)
        for subscriber in self.subscribers:
            subscriber(origin)

    def learn(self, origin: StreamOrigin, now_s: float) -> None:
        """Record a stream, unless it is already known."""
        if origin.request_id in self.origins:
            return
        self.origins[origin.request_id] = origin
        self._drop_expired(now_s)
        if len(self.origins) > MAX_ORIGINS:
            self.origins.popitem(last=False)

    def find(self, request_id: str, now_s: float) -> StreamOrigin | None:
        """Return where a stream began; None if it is not known."""
        origin = self.origins.get(request_id)
        if origin is None or origin.expires_s < now_s:
            return None
        return origin

    def _drop_expired(self, now_s: float) -> None:
        """Drop the oldest, as far as they have expired."""
        while self.origins:
            oldest = next(iter(self.origins.values()))
            if oldest.expires_s >= now_s:
                return
            self.origins.popitem(last=False)
