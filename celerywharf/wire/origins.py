"""Messages among fronts about where streams began."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class OriginEntry:
    """Where a stream began.

    Attributes:
        request_id: id of the caller's attempt that brought the first event.
        service: name of the service.
        software_version: of the engine that sent the first event.
        lifetime_s: how much longer its caller may take it up.
    """

    request_id: str
    service: str
    software_version: str
    lifetime_s: float


@dataclass(frozen=True, slots=True)
class OriginNotice:
    """Passes on where streams began.

    The reply is an empty ``OriginAnswer``.  A notice without streams from
    another zone says that its sender has become the reader there.

    Attributes:
        origins: the streams.
        passed_on: it comes from another zone's reader.
    """

    origins: list[OriginEntry]
    passed_on: bool


@dataclass(frozen=True, slots=True)
class OriginQuestion:
    """Asks where a stream began.

    The reply is an ``OriginAnswer``.

    Attributes:
        request_id: id of the caller's attempt that brought the first event.
        passed_on: it comes from another zone's reader.
        service: name of the service.
    """

    request_id: str
    passed_on: bool
    service: str = ''


@dataclass(frozen=True, slots=True)
class OriginAnswer:
    """Where a stream began.

    Attributes:
        origins: the stream, if it is known.
        versions: the software versions that may have begun it if nobody knows
            it; empty if that cannot be told.
        recorder: name of the reader that answers; empty if none does.
        intact: no front of its zone was lost since it started.
    """

    origins: list[OriginEntry]
    versions: list[str] = field(default_factory=list)
    recorder: str = ''
    intact: bool = False
