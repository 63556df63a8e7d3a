"""Adds up usage in memory and divides it into batches that count once."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from celerywharf.tables import Catalogue

NO_ACCOUNT = ''


@dataclass(frozen=True, slots=True)
class EngineUse:
    """Usage of an attempt or a call that has ended.

    Attributes:
        client_account: account that is charged.
        backend_server: server that did the work.
        seconds: time for which a slot of the server was held.
        tokens: number of tokens received, 0 for applications.
    """

    client_account: str
    backend_server: str
    seconds: float
    tokens: int = 0


@dataclass(frozen=True, slots=True)
class IdleTime:
    """Idle time of the slots of a backend server.

    Attributes:
        backend_server: name of the server.
        seconds: slot seconds, the sum over all idle slots.
    """

    backend_server: str
    seconds: float


@dataclass(frozen=True, slots=True)
class RegionTransfer:
    """Bytes transferred between regions for a client account."""

    client_account: str
    backend_server: str
    transferred_bytes: int


@dataclass(frozen=True, slots=True)
class UsageLine:
    """Sums of one client account on one backend server.

    The field names are those of the stored batches.

    Attributes:
        client_account: name of the account, ``NO_ACCOUNT`` for idle time that
            is not split.
        backend_server: name of the server.
        engine_seconds: slot seconds in use.
        idle_seconds: idle slot seconds.
        tokens: number of tokens received.
        transferred_bytes: bytes transferred between regions.
    """

    client_account: str
    backend_server: str
    engine_seconds: float = 0
    idle_seconds: float = 0
    tokens: int = 0
    transferred_bytes: int = 0

    def plus(self, other: UsageLine) -> UsageLine:
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
    """Usage lines that are stored together, once, under one object name.

    Attributes:
        number: number of the batch within the host's incarnation, from 1.
        lines: sums of the batch's window, one for each pair of client account
            and backend server.
    """

    number: int
    lines: tuple[UsageLine, ...]


UsageEntry = EngineUse | IdleTime | RegionTransfer


class Ledger:
    """Sums of usage by client account and backend server.

    Memory does not grow with time.  A batch keeps its content until it is
    known to be stored.  Storing it twice under its name has no effect, so no
    window is counted twice when the object store's answer is lost.

    Attributes:
        window: sums since the latest batch, by account and server.
        pending_batch: the batch that is not known to be stored, or None.
        batch_count: number of batches so far.
    """

    def __init__(self) -> None:
        self.window: dict[tuple[str, str], UsageLine] = {}
        self.pending_batch: Batch | None = None
        self.batch_count = 0

    def add(self, entry: UsageEntry) -> None:
        """Add usage to the current window."""
        line = _to_line(entry)
        key = line.client_account, line.backend_server
        existing = self.window.get(key)
        self.window[key] = line if existing is None else existing.plus(line)

    def next_batch(self) -> Batch | None:
        """Return the batch to store now, None when there is no usage.

        It is the pending batch, or a new one with the current window.
        """
        if self.pending_batch is None and self.window:
            self.batch_count += 1
            self.pending_batch = Batch(
                self.batch_count, tuple(self.window.values())
            )
            self.window = {}
        return self.pending_batch

    def discard(self, number: int) -> None:
        """Discard the pending batch if it has this number.

        It must be known to be stored.
        """
        if (
            self.pending_batch is not None
            and self.pending_batch.number == number
        ):
            self.pending_batch = None


@dataclass(frozen=True, slots=True)
class SharedCost:
    """The usage charged to a client account, over all backend servers."""

    client_account: str
    engine_seconds: float
    idle_seconds: float
    tokens: int
    transferred_bytes: int


def split_idle(
    lines: Iterable[UsageLine],
    catalogue: Catalogue,
) -> list[SharedCost]:
    """Return the usage of each account with its weighted part of idle time.

    The idle time of a server is split by the weights of the accounts with a
    share row for that server, or else of the accounts with a share row for
    all servers.  Without either it stays with ``NO_ACCOUNT``.
    """
    totals: dict[str, UsageLine] = {}
    for line in lines:
        for part in _split_line(line, catalogue):
            existing = totals.get(part.client_account)
            totals[part.client_account] = (
                part if existing is None else existing.plus(part)
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


def _split_line(line: UsageLine, catalogue: Catalogue) -> list[UsageLine]:
    if line.client_account != NO_ACCOUNT:
        return [line]
    weights = _weights(line.backend_server, catalogue)
    if not weights:
        return [line]
    total_weight = sum(weights.values())
    return [
        UsageLine(
            account,
            line.backend_server,
            idle_seconds=line.idle_seconds * weight / total_weight,
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


def _to_line(entry: UsageEntry) -> UsageLine:
    match entry:
        case EngineUse(account, server, seconds, tokens):
            return UsageLine(
                account, server, engine_seconds=seconds, tokens=tokens
            )
        case IdleTime(server, seconds):
            return UsageLine(NO_ACCOUNT, server, idle_seconds=seconds)
        case RegionTransfer(account, server, transferred):
            return UsageLine(account, server, transferred_bytes=transferred)
    raise TypeError(f'{entry!r} is not a usage entry')
