"""Faults that a soak injects into processes, links and the store."""

from __future__ import annotations

from dataclasses import dataclass

from soak.entries import EnlargeEntries, MalformPriority, WriteEntries
from standins.endless import ANSWERS


@dataclass(frozen=True, slots=True)
class KillFront:
    """Kills a front with SIGKILL and restarts it after the span."""

    front: str


@dataclass(frozen=True, slots=True)
class KillFronts:
    """Kills fronts at the same moment and restarts them after the span."""

    fronts: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class KillReaders:
    """Kills the fronts that read the store for their zones, as `KillFronts`."""


@dataclass(frozen=True, slots=True)
class PauseFront:
    """Suspends a front with SIGSTOP for the span."""

    front: str


@dataclass(frozen=True, slots=True)
class LeaveFront:
    """Ends a front with SIGTERM and restarts it once it has exited."""

    front: str


@dataclass(frozen=True, slots=True)
class ReloadFront:
    """Makes a front read its settings again, by SIGHUP."""

    front: str


@dataclass(frozen=True, slots=True)
class KillServer:
    """Kills a backend server; a new instance replaces it after the span."""

    server: str


@dataclass(frozen=True, slots=True)
class PauseServer:
    """Suspends a backend server with SIGSTOP for the span."""

    server: str


@dataclass(frozen=True, slots=True)
class DrainServer:
    """Marks a backend server as draining; a new instance replaces it."""

    server: str


@dataclass(frozen=True, slots=True)
class SpoilServer:
    """Makes a backend server fail or break the protocol for the span.

    Attributes:
        server: name of the server.
        switch: switch of the stand-in.
        setting: value of the switch during the span.
    """

    server: str
    switch: str
    setting: bool | int | str


@dataclass(frozen=True, slots=True)
class HarmLink:
    """Disturbs a network link for the span.

    Attributes:
        link: name of the link.
        switch: switch of the stand-in.
        setting: value of the switch during the span.
    """

    link: str
    switch: str
    setting: bool | float


@dataclass(frozen=True, slots=True)
class HarmStore:
    """Makes the store fail, answer late or lose its history for the span.

    Attributes:
        switch: switch of the stand-in.
        setting: value of the switch during the span.
    """

    switch: str
    setting: bool | float


@dataclass(frozen=True, slots=True)
class ChangeKey:
    """Revokes the newest API key and issues another one."""


Fault = (
    KillFront
    | KillFronts
    | KillReaders
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
    | WriteEntries
    | EnlargeEntries
    | MalformPriority
)

# Switches of the stand-ins that a fault may set, with the value.
SERVER_SWITCHES: tuple[tuple[str, bool | int], ...] = (
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
ENDLESS_KINDS = tuple(kind for kind in ANSWERS if kind != 'reports')
LINK_SWITCHES: tuple[tuple[str, bool | float], ...] = (
    ('cut', True),
    ('cut_back', True),
    ('refuse', True),
    ('close', True),
    ('delay_ms', 150.0),
)
STORE_SWITCHES: tuple[tuple[str, bool | float], ...] = (
    ('freeze', True),
    ('refuse', True),
    ('late_ms', 400.0),
    ('forget', True),
)
