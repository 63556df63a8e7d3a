"""Finds the software version at which a stream may go on."""

from __future__ import annotations

import abc
import enum
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


class Evidence(enum.Enum):
    """By what the software versions of a stream are known.

    The values are written to logs and metrics.
    """

    # This host has begun the stream or was told of it.
    own_record = 'own record'
    # The stream is in rows of the store.
    stored_record = 'stored record'
    # Another host knows the stream.
    other_host = 'other host'
    # The stream is unknown; the versions are those that the store has recorded.
    stored_versions = 'stored versions'
    # The stream is unknown; the versions are those that other hosts name.
    other_hosts_versions = 'versions of other hosts'
    # The stream is unknown; the versions are those of the known servers.
    known_servers = 'known servers'
    nothing = 'nothing'


@dataclass(frozen=True, slots=True)
class OriginKnowledge:
    """What is known of a stream.

    Attributes:
        origin: where it began; None if nobody who answers knows.
        versions: the software versions that may have begun it if nobody knows;
            empty if that cannot be told.
        evidence: by what they are known.
        age_s: how long ago the evidence was read from the store, seconds; None
            if it was not, or not by this host.
    """

    origin: StreamOrigin | None = None
    versions: frozenset[str] = frozenset()
    evidence: Evidence = Evidence.nothing
    age_s: float | None = None

    def possible(self) -> frozenset[str]:
        """Return the software versions that may have begun the stream."""
        if self.origin is None:
            return self.versions
        return frozenset((self.origin.software_version,))


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

    async def look_up(self, request_id: str, service: str) -> OriginKnowledge:
        """Return which software versions may have begun a stream.

        That this host sees a single version does not tell: another one may have
        come while the host did not run or was cut off.

        Args:
            request_id: id of the attempt that brought the first event; empty
                if the caller does not name it.
            service: name of the service.
        """
        now_s = self.now()
        origin = self.register.find(request_id, now_s)
        if origin is not None:
            return OriginKnowledge(origin, evidence=Evidence.own_record)
        if self.source is None:
            return OriginKnowledge(
                versions=self.software_versions.recent(service, now_s),
                evidence=Evidence.known_servers,
            )
        return await self.source.ask(request_id, service)

    def has_begun(self) -> bool:
        """Return whether it can be found out where streams began."""
        return self.source is None or self.source.has_begun()

    def is_young(self) -> bool:
        """Return whether a version may have gone before this host started."""
        return self.now() - self.started_s <= VERSIONS_KEPT_S
