"""What a soak does to processes, links and the store."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class KillFront:
    """Ends a front at once; it starts again after the span."""

    front: str


@dataclass(frozen=True, slots=True)
class PauseFront:
    """Stops a front for the span."""

    front: str


@dataclass(frozen=True, slots=True)
class LeaveFront:
    """Asks a front to end; it starts again when it has."""

    front: str


@dataclass(frozen=True, slots=True)
class ReloadFront:
    """Tells a front that its settings changed."""

    front: str


@dataclass(frozen=True, slots=True)
class KillServer:
    """Ends a backend server; another one comes after the span."""

    server: str


@dataclass(frozen=True, slots=True)
class PauseServer:
    """Stops a backend server for the span."""

    server: str


@dataclass(frozen=True, slots=True)
class DrainServer:
    """Lets a backend server say that it leaves; another one comes."""

    server: str


@dataclass(frozen=True, slots=True)
class SpoilServer:
    """Lets a backend server break the protocol for the span."""

    server: str
    switch: str
    setting: bool | int


@dataclass(frozen=True, slots=True)
class HarmLink:
    """Harms a link for the span."""

    link: str
    switch: str
    setting: bool | float


@dataclass(frozen=True, slots=True)
class HarmStore:
    """Lets the store misbehave for the span."""

    switch: str
    setting: bool | float


@dataclass(frozen=True, slots=True)
class ChangeKey:
    """Takes one key away and gives another one out."""


Fault = (
    KillFront
    | PauseFront
    | LeaveFront
    | ReloadFront
    | KillServer
    | PauseServer
    | DrainServer
    | SpoilServer
    | HarmLink
    | HarmStore
    | ChangeKey
)

SPOILS: tuple[tuple[str, bool | int], ...] = (
    ('full', True),
    ('cut', True),
    ('other_id', True),
    ('unsigned', True),
    ('encoded', True),
    ('twice', True),
    ('shorten', True),
    ('status', 500),
    ('silent', True),
    ('break_after', 5),
)
LINK_HARMS: tuple[tuple[str, bool | float], ...] = (
    ('cut', True),
    ('cut_back', True),
    ('refuse', True),
    ('close', True),
    ('delay_ms', 150.0),
)
STORE_HARMS: tuple[tuple[str, bool | float], ...] = (
    ('freeze', True),
    ('refuse', True),
    ('late_ms', 400.0),
    ('forget', True),
)
