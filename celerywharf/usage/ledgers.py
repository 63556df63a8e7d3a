"""Adds up use in memory and cuts it into batches that count once."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from celerywharf.tables import Catalogue

NO_ACCOUNT = ''


@dataclass(frozen=True, slots=True)
class EngineUse:
    """An attempt or a call ended.

    Attributes:
        client_account: whose work it was.
        backend_server: where it ran.
        seconds: time a slot of the server was held.
        tokens: tokens received, 0 for applications.
    """

    client_account: str
    backend_server: str
    seconds: float
    tokens: int = 0


@dataclass(frozen=True, slots=True)
class IdleTime:
    """Slots of a backend server stood empty.

    Attributes:
        backend_server: which server.
        seconds: slots times seconds.
    """

    backend_server: str
    seconds: float


@dataclass(frozen=True, slots=True)
class RegionTransfer:
    """Bytes crossed between regions for an account."""

    client_account: str
    backend_server: str
    transferred_bytes: int


@dataclass(frozen=True, slots=True)
class Line:
    """Sums of one client account on one backend server.

    Attributes:
        client_account: account, empty for idle time not yet split.
        backend_server: server.
        engine_seconds: slot seconds held.
        idle_seconds: slot seconds that stood empty.
        tokens: tokens received.
        transferred_bytes: bytes between regions.
    """

    client_account: str
    backend_server: str
    engine_seconds: float = 0
    idle_seconds: float = 0
    tokens: int = 0
    transferred_bytes: int = 0

    def plus(self, other: Line) -> Line:
        """Return the sum of two lines of the same account and server."""
        return dataclasses.replace(
            self,
            engine_seconds=self.engine_seconds + other.engine_seconds,
            idle_seconds=self.idle_seconds + other.idle_seconds,
            tokens=self.tokens + other.tokens,
            transferred_bytes=self.transferred_bytes + other.transferred_bytes,
        )


@dataclass(frozen=True, slots=True)
class Batch:
    """Lines that are stored together under one name, once.

    Attributes:
        number: rises with each batch of a run of the host.
        lines: sums of the window.
    """

    number: int
    lines: tuple[Line, ...]


Use = EngineUse | IdleTime | RegionTransfer


class Ledger:
    """Sums by account and server; memory does not grow with time.

    A batch that was cut keeps its content until it is known to be stored:
    storing it twice under its name has no effect, so an answer that was lost
    can never count a window twice.
    """

    def __init__(self) -> None:
        self.open: dict[tuple[str, str], Line] = {}
        self.pending: Batch | None = None
        self.cut_batches = 0

    def add(self, use: Use) -> None:
        """Add to the open window."""
        line = _line(use)
        key = line.client_account, line.backend_server
        known = self.open.get(key)
        self.open[key] = line if known is None else known.plus(line)

    def cut(self) -> Batch | None:
        """Return the batch to store now: the pending one first."""
        if self.pending is None and self.open:
            self.cut_batches += 1
            self.pending = Batch(self.cut_batches, tuple(self.open.values()))
            self.open = {}
        return self.pending

    def stored(self, number: int) -> None:
        """Forget a batch that is known to be stored."""
        if self.pending is not None and self.pending.number == number:
            self.pending = None


@dataclass(frozen=True, slots=True)
class SharedCost:
    """What one client account pays for, over all servers."""

    client_account: str
    engine_seconds: float
    idle_seconds: float
    tokens: int
    transferred_bytes: int


def split_idle(
    lines: Iterable[Line],
    catalogue: Catalogue,
) -> list[SharedCost]:
    """Give each account its own use and its weighted part of idle time.

    Idle time of a server is split by the weights of the accounts that have a
    row for it; where none has, by the weights of those with a row for all
    servers; where there is none either, it stays with the empty account.
    """
    totals: dict[str, Line] = {}
    for line in lines:
        for part in _parts(line, catalogue):
            known = totals.get(part.client_account)
            totals[part.client_account] = (
                part if known is None else known.plus(part)
            )
    return [
        SharedCost(
            account,
            total.engine_seconds,
            total.idle_seconds,
            total.tokens,
            total.transferred_bytes,
        )
        for account, total in sorted(totals.items())
    ]


def _parts(line: Line, catalogue: Catalogue) -> list[Line]:
    if line.client_account != NO_ACCOUNT:
        return [line]
    weights = _weights(line.backend_server, catalogue)
    if not weights:
        return [line]
    whole = sum(weights.values())
    return [
        Line(
            account,
            line.backend_server,
            idle_seconds=line.idle_seconds * weight / whole,
        )
        for account, weight in weights.items()
    ]


def _weights(backend_server: str, catalogue: Catalogue) -> Mapping[str, float]:
    for name in (backend_server, '*'):
        weights = {
            share.client_account: share.weight
            for share in catalogue.shares.values()
            if share.backend_server == name
        }
        if weights:
            return weights
    return {}


def _line(use: Use) -> Line:
    match use:
        case EngineUse(account, server, seconds, tokens):
            return Line(account, server, engine_seconds=seconds, tokens=tokens)
        case IdleTime(server, seconds):
            return Line(NO_ACCOUNT, server, idle_seconds=seconds)
        case RegionTransfer(account, server, transferred):
            return Line(account, server, transferred_bytes=transferred)
    raise TypeError(f'{use!r} is no use')
