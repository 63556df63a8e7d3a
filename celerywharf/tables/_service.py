"""The part that keeps the table of one host in step with all others."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from celerywharf.exceptions import OverloadedError
from celerywharf.tables._attempts import ChangeAttempt
from celerywharf.tables._catchup import CatchUp
from celerywharf.tables._committer import carry_out
from celerywharf.tables._directory import listed_hosts, other_hosts
from celerywharf.tables._messages import delta_of, message_of
from celerywharf.tables._reader import read_history
from celerywharf.tables._replica import Fit, Replica
from celerywharf.tables._spread import Replicator, Spread
from celerywharf.tables._telling import Learned, Origin, Teller
from celerywharf.tables.catalogues import Catalogue
from celerywharf.tables.changes import Change, ChangeRequest, Delta
from celerywharf.tables.rows import Row
from celerywharf.tasks import Part
from celerywharf.wire import Sender
from celerywharf.wire.tables import TableDigest, TablePull, TablePush

if TYPE_CHECKING:
    from celerywharf.hosts import Host

logger = logging.getLogger(__name__)

DIGEST_PERIOD_S = 0.4
START_RETRY_S = 0.5
FALLBACK_POLLS = 3
IN_FORCE_TIMEOUT_S = 1.0
WAITING_CHANGES = 64
JITTER = (0.5, 1.5)

RowsCallback = Callable[[list[Row]], Any]


@dataclass(frozen=True, slots=True)
class StartUp:
    """Time to try to become ready."""


@dataclass(frozen=True, slots=True)
class Poll:
    """Time to consider reading the platform."""


@dataclass(frozen=True, slots=True)
class CompareDigests:
    """Time to compare digests with a peer."""


class TableService(Part):
    """Commits changes, spreads them and puts them in force.

    Attributes:
        host: the host it belongs to.
        catalogue: typed rows in force here.
        replica: rows and revision of this host.
        catch_up: reads what the replica lacks.
        stale_deltas: pulled deltas that were not newer.
    """

    def __init__(self, host: Host) -> None:
        super().__init__()
        self.host = host
        self.catalogue = Catalogue()
        self.replica = Replica()
        self.catch_up = CatchUp(host, self.replica, self._caught_up)
        self.random = random.Random(host.identity.incarnation)
        me = Replicator(
            str(host.identity.inner),
            host.identity.availability_zone,
        )
        self.spread = Spread(me, self.random)
        self.teller = Teller(self.spread, host.links)
        self.callbacks: list[RowsCallback] = []
        self.committing = asyncio.Lock()
        self.waiting_changes = 0
        self.advanced = asyncio.Event()
        self.stale_deltas = 0
        links = host.links
        links.subscribe(TablePull, self._on_pull)
        links.subscribe(TablePush, self._on_push)
        links.subscribe(TableDigest, self._on_digest)

    @property
    def ready(self) -> bool:
        """Tell whether the table has been read once."""
        return self.catch_up.freshness.ready

    def start(self) -> None:
        """Read the table and keep it in step from now on."""
        super().start()
        self.post(StartUp())
        self.post(Poll())
        self._after(DIGEST_PERIOD_S, CompareDigests())

    def on_rows(self, callback: RowsCallback) -> None:
        """Call back with each list of rows that come in force."""
        self.callbacks.append(callback)

    async def change(self, request: ChangeRequest) -> Change:
        """Commit a change; it is in force here when this returns.

        Raises:
            RowConflictError: a row is not at the version named.
            InvalidRowError: a row names another that does not exist.
            PlatformUnavailableError: nothing was changed.
            PlatformAmbiguousError: the change may have been committed.
        """
        if self.waiting_changes >= WAITING_CHANGES:
            raise OverloadedError('too many changes wait', retry_after_s=1)
        now = self.host.timers.now()
        attempt = ChangeAttempt(request, now, self.replica.revision)
        self.waiting_changes += 1
        try:
            async with self.committing:
                change = await carry_out(attempt, self.host)
        finally:
            self.waiting_changes -= 1
        self.post(Learned(Delta.of_change(change), Origin.commit))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(IN_FORCE_TIMEOUT_S):
                await self._reach(change.revision)
        return change

    async def ask_hosts(self) -> dict[str, TableDigest | None]:
        """Return the digests of all known hosts by inner address."""
        addresses = {other.address for other in other_hosts(self.host)}
        addresses.update(await listed_hosts(self.host))
        me = str(self.host.identity.inner)
        answers = await self.catch_up.ask(sorted(addresses - {me}))
        return {me: self.catch_up.digest(), **answers}

    async def history(self, after: int, limit: int) -> list[Change]:
        """Return up to ``limit`` changes after a revision, in order.

        Raises:
            PlatformUnavailableError: only the platform has the history.
        """
        return await read_history(self.host.platform, after, limit)

    def handle(self, message: Any) -> None:
        """Handle one message."""
        match message:
            case Learned():
                self._learn(message)
            case Poll():
                self._consider_poll()
            case CompareDigests():
                self._compare_digests()
            case StartUp():
                self.spawn(self._start_up())

    def _caught_up(self, delta: Delta, source: str) -> None:
        origin = Origin.pull if source else Origin.platform
        self._learn(Learned(delta, origin, source))

    def _learn(self, news: Learned) -> None:
        outcome = self.replica.apply(news.delta)
        if outcome.fit is Fit.gap:
            self.spawn(self.catch_up.fill_gap(news.source))
        elif outcome.fit is Fit.stale:
            self.stale_deltas += news.origin is Origin.pull
        else:
            self._put_in_force(outcome.rows)
        others = other_hosts(self.host)
        self.teller.tell(news, others, is_new=outcome.fit is Fit.applied)

    def _put_in_force(self, rows: tuple[Row, ...]) -> None:
        self.catalogue.apply(rows)
        self.catalogue.revision = self.replica.revision
        self.host.recorder.record(
            'table_in_force',
            revision=self.replica.revision,
            rows=len(rows),
        )
        for callback in self.callbacks:
            _call_back(callback, list(rows))
        self.advanced.set()
        self.advanced = asyncio.Event()

    def _consider_poll(self) -> None:
        self._after(self.host.settings.platform.poll_s, Poll())
        if self.catch_up.reading.locked():
            return
        oldest_s = FALLBACK_POLLS * self.host.settings.platform.poll_s
        age_s = self.catch_up.freshness.age_s(self.host.timers.now())
        others = other_hosts(self.host)
        if self.spread.polls_now(others, age_s, oldest_s):
            self.spawn(self.catch_up.poll())

    def _compare_digests(self) -> None:
        self._after(DIGEST_PERIOD_S, CompareDigests())
        peer = self.spread.digest_peer(other_hosts(self.host))
        if peer is not None:
            self.spawn(self.catch_up.compare(peer))

    async def _start_up(self) -> None:
        others = other_hosts(self.host)
        await self.catch_up.become_ready([other.address for other in others])
        if not self.ready:
            self._after(START_RETRY_S, StartUp())

    def _on_pull(self, _sender: Sender, message: TablePull) -> Any:
        return message_of(self.replica.delta_since(message.since))

    def _on_push(self, sender: Sender, message: TablePush) -> None:
        source = str(sender.inner)
        if message.delta.more:
            self.spawn(self.catch_up.pull(source, self.replica.revision))
            return
        delta = delta_of(message.delta)
        self.post(Learned(delta, Origin.push, source, message.root))

    def _on_digest(self, sender: Sender, message: TableDigest) -> TableDigest:
        self.spawn(self.catch_up.settle(message, str(sender.inner)))
        return self.catch_up.digest()

    async def _reach(self, revision: int) -> None:
        while self.replica.revision < revision:
            await self.advanced.wait()

    def _after(self, period_s: float, message: Any) -> None:
        delay_s = period_s * self.random.uniform(*JITTER)
        self.host.timers.after(delay_s, self.post, message)


def _call_back(callback: RowsCallback, rows: list[Row]) -> None:
    # One part's fault must not keep rows from the others.
    try:
        callback(rows)
    except Exception:
        logger.exception('a part failed on new rows')
