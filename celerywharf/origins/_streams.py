"""Finds the software version at which a stream may go on."""

from __future__ import annotations

import abc
from collections.abc import Callable
from dataclasses import dataclass

from celerywharf.backends import (
    VERSIONS_KEPT_S,
    BackendServer,
    SoftwareVersions,
)
from celerywharf.origins._register import (
    MAX_LIFETIME_S,
    OriginRegister,
    StreamOrigin,
)


@dataclass(frozen=True, slots=True)
class OriginKnowledge:
    """What is known of a stream.

    Attributes:
        origin: where it began; None if nobody who answers knows.
        versions: the software versions that may have begun it if nobody knows;
            empty if that cannot be told.
    """

    origin: StreamOrigin | None = None
    versions: frozenset[str] = frozenset()


class OriginSource(abc.ABC):
    """Other hosts and the store, which may know where a stream began."""

    @abc.abstractmethod
    async def ask(self, request_id: str, service: str) -> OriginKnowledge:
        """Return what is known of a stream of a service.

        Args:
            request_id: id of the attempt that brought the first event; empty
                if the caller does not name it.
            service: name of the service.
        """

    def has_begun(self) -> bool:
        """Return whether it can be asked."""
        return True


class StreamOrigins:
    """Tells which software version began a stream, at this host or another.

    Engines of another version cannot go on with a stream, and do not check it.

    Attributes:
        register: the streams that this host knows.
        software_versions: versions of the engines now and lately.
        now: returns monotonic seconds.
        started_s: start of this host, on the same clock.
        source: other hosts and the store; None if this host shares nothing.
    """

    def __init__(
        self, software_versions: SoftwareVersions, now: Callable[[], float]
    ) -> None:
        self.register = OriginRegister()
        self.software_versions = software_versions
        self.now = now
        self.started_s = now()
        self.source: OriginSource | None = None

    def began(
        self, request_id: str, server: BackendServer, given_up_at_s: float
    ) -> None:
        """Record the first event of a new stream.

        Args:
            request_id: id of the caller's attempt.
            server: the engine that sent the event.
            given_up_at_s: when the caller stops trying, monotonic seconds.
        """
        now_s = self.now()
        expires_s = min(given_up_at_s, now_s + MAX_LIFETIME_S)
        self.register.began(
            StreamOrigin(
                request_id,
                server.service,
                server.software_version,
                expires_s,
            ),
            now_s,
        )

    async def possible_versions(
        self, request_id: str, service: str
    ) -> frozenset[str]:
        """Return the software versions that may have begun a stream.

        That this host sees a single version does not tell: another one may have
        come while the host did not run or was cut off.

        Args:
            request_id: id of the attempt that brought the first event; empty
                if the caller does not name it.
            service: name of the service.
        """
        now_s = self.now()
        origin = self.register.find(request_id, now_s)
        if origin is None and self.source is None:
            return self.software_versions.recent(service, now_s)
        if origin is None:
            knowledge = await self.source.ask(request_id, service)
            origin = knowledge.origin
        if origin is None:
            return knowledge.versions
        return frozenset((origin.software_version,))

    def has_begun(self) -> bool:
        """Return whether it can be found out where streams began."""
        return self.source is None or self.source.has_begun()

    def is_young(self) -> bool:
        """Return whether a version may have gone before this host started."""
        return self.now() - self.started_s <= VERSIONS_KEPT_S
