"""Messages among fronts about where streams began."""

from __future__ import annotations

from dataclasses import dataclass


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

    The reply is an empty ``OriginAnswer``.

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
    """

    request_id: str
    passed_on: bool


@dataclass(frozen=True, slots=True)
class OriginAnswer:
    """Where a stream began.

    Attributes:
        origins: the stream, if it is known.
    """

    origins: list[OriginEntry]
