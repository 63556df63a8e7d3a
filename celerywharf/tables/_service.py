"""The part that keeps one host's replica of the table up to date."""

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
from celerywharf.tables._committer import run_attempt
from celerywharf.tables._directory import listed_hosts, other_hosts
from celerywharf.tables._messages import decode_delta, encode_delta
from celerywharf.tables._propagation import Propagation, ReplicaHost
from celerywharf.tables._publisher import Origin, Publisher, Update
from celerywharf.tables._reader import read_history
from celerywharf.tables._replica import DeltaStatus, Replica
from celerywharf.tables._synchronizer import Synchronizer
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
# After this many poll periods without an update, other hosts of the zone poll.
FALLBACK_POLL_PERIODS = 3
IN_FORCE_TIMEOUT_S = 1.0
PENDING_CHANGES_LIMIT = 64
JITTER_FACTORS = (0.5, 1.5)

RowsCallback = Callable[[list[Row]], Any]


@dataclass(frozen=True, slots=True)
class StartUp:
    """Timer message: try to become ready."""


@dataclass(frozen=True, slots=True)
class Poll:
    """Timer message: poll the platform if it is this host's turn."""


@dataclass(frozen=True, slots=True)
class CompareDigests:
    """Timer message: compare digests with a peer."""


class TableService(Part):
    """Commits changes, sends them to other hosts and applies them.

    Attributes:
        host: the host it belongs to.
        catalogue: typed rows that are in force on this host.
        replica: rows and revision of this host.
        synchronizer: fetches changes that the replica lacks.
        random: seeded by the host's incarnation; for jitter and load
            balancing.
        propagation: chooses which hosts to send to and to ask.
        publisher: sends updates to other hosts.
        callbacks: called with the rows of each applied delta.
        commit_lock: held by the one change that is being committed.
        pending_changes: changes that are being committed or wait for it.
        revision_advanced: set, and replaced, when a delta was applied.
        stale_deltas: number of pulled deltas that held nothing newer.
    """

    def __init__(self, host: Host) -> None:
        super().__init__()
        self.host = host
        self.catalogue = Catalogue()
        self.replica = Replica()
        self.random = random.Random(host.identity.incarnation)
        self.synchronizer = Synchronizer(
            host, self.replica, self._on_delta, self.random
        )
        local = ReplicaHost(
            str(host.identity.inner),
            host.identity.availability_zone,
        )
        self.propagation = Propagation(local, self.random)
        self.publisher = Publisher(self.propagation, host.links)
        self.callbacks: list[RowsCallback] = []
        self.commit_lock = asyncio.Lock()
        self.pending_changes = 0
        self.revision_advanced = asyncio.Event()
        self.stale_deltas = 0
        links = host.links
        links.subscribe(TablePull, self._on_pull)
        links.subscribe(TablePush, self._on_push)
        links.subscribe(TableDigest, self._on_digest)

    @property
    def ready(self) -> bool:
        """Return whether the table has been read at least once."""
        return self.synchronizer.freshness.ready

    def start(self) -> None:
        """Read the table and keep it up to date from now on."""
        super().start()
        self.post(StartUp())
        self.post(Poll())
        self._after(DIGEST_PERIOD_S, CompareDigests())

    def on_rows(self, callback: RowsCallback) -> None:
        """Register a callback for each list of rows that come in force.

        An exception of a callback is logged.
        """
        self.callbacks.append(callback)

    async def change(self, request: ChangeRequest) -> Change:
        """Commit a change and wait until it is in force on this host.

        Returns ``IN_FORCE_TIMEOUT_S`` after the commit at the latest, even
        if the change is not in force here yet.

        Raises:
            RowConflictError: a row is not at the expected version.
            InvalidRowError: a row refers to one that does not exist.
            PlatformUnavailableError: nothing was changed.
            PlatformAmbiguousError: the change may have been committed.
            OverloadedError: too many changes are pending, or concurrent
                changes prevented this one until its deadline; nothing was
                changed.
        """
        if self.pending_changes >= PENDING_CHANGES_LIMIT:
            raise OverloadedError(
                'too many changes are pending',
                retry_after_s=1,
            )
        now = self.host.timers.now()
        attempt = ChangeAttempt(request, now, self.replica.revision)
        self.pending_changes += 1
        try:
            async with self.commit_lock:
                change = await run_attempt(attempt, self.host)
        finally:
            self.pending_changes -= 1
        self.post(Update(Delta.of_change(change), Origin.commit))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(IN_FORCE_TIMEOUT_S):
                await self._wait_for_revision(change.revision)
        return change

    async def ask_hosts(self) -> dict[str, TableDigest | None]:
        """Return the digests of all known hosts by inner address.

        This host is included; the digest of an unreachable one is None.
        """
        addresses = {other.address for other in other_hosts(self.host)}
        addresses.update(await listed_hosts(self.host))
        own_address = str(self.host.identity.inner)
        answers = await self.synchronizer.exchange_digests(
            sorted(addresses - {own_address}),
        )
        return {own_address: self.synchronizer.digest(), **answers}

    async def history(self, after: int, limit: int) -> list[Change]:
        """Return up to ``limit`` changes after a revision, in order.

        Raises:
            PlatformUnavailableError: the platform, which alone has the
                history, does not answer.
        """
        return await read_history(self.host.platform, after, limit)

    def handle(self, message: Any) -> None:
        """Handle a timer message or an update."""
        match message:
            case Update():
                self._apply_update(message)
            case Poll():
                self._on_poll_timer()
            case CompareDigests():
                self._compare_digests()
            case StartUp():
                self.spawn(self._start_up())

    def _on_delta(self, delta: Delta, source: str) -> None:
        origin = Origin.pull if source else Origin.platform
        self._apply_update(Update(delta, origin, source))

    def _apply_update(self, update: Update) -> None:
        applied = self.replica.apply(update.delta)
        if applied.status is DeltaStatus.gap:
            self.spawn(self.synchronizer.fill_gap(update.source))
        elif applied.status is DeltaStatus.stale:
            self.stale_deltas += update.origin is Origin.pull
        else:
            self._put_in_force(applied.rows)
        others = other_hosts(self.host)
        self.publisher.publish(
            update,
            others,
            is_new=applied.status is DeltaStatus.applied,
        )

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
        self.revision_advanced.set()
        self.revision_advanced = asyncio.Event()

    def _on_poll_timer(self) -> None:
        self._after(self.host.settings.platform.poll_s, Poll())
        if self.synchronizer.poll_lock.locked():
            return
        max_age_s = FALLBACK_POLL_PERIODS * self.host.settings.platform.poll_s
        age_s = self.synchronizer.freshness.age_s(self.host.timers.now())
        others = other_hosts(self.host)
        if self.propagation.should_poll(others, age_s, max_age_s):
            self.spawn(self.synchronizer.poll())

    def _compare_digests(self) -> None:
        self._after(DIGEST_PERIOD_S, CompareDigests())
        peer = self.propagation.choose_digest_peer(other_hosts(self.host))
        if peer is not None:
            self.spawn(self.synchronizer.compare(peer))

    async def _start_up(self) -> None:
        others = other_hosts(self.host)
        await self.synchronizer.become_ready(
            [other.address for other in others],
        )
        if not self.ready:
            self._after(START_RETRY_S, StartUp())

    def _on_pull(self, _sender: Sender, message: TablePull) -> Any:
        return encode_delta(self.replica.delta_since(message.since))

    def _on_push(self, sender: Sender, message: TablePush) -> None:
        source = str(sender.inner)
        if message.delta.more:
            self.spawn(self.synchronizer.pull(source, self.replica.revision))
            return
        delta = decode_delta(message.delta)
        self.post(Update(delta, Origin.push, source, message.root))

    def _on_digest(self, sender: Sender, message: TableDigest) -> TableDigest:
        self.spawn(self.synchronizer.reconcile(message, str(sender.inner)))
        return self.synchronizer.digest()

    async def _wait_for_revision(self, revision: int) -> None:
        while self.replica.revision < revision:
            await self.revision_advanced.wait()

    def _after(self, period_s: float, message: Any) -> None:
        delay_s = period_s * self.random.uniform(*JITTER_FACTORS)
        self.host.timers.after(delay_s, self.post, message)


def _call_back(callback: RowsCallback, rows: list[Row]) -> None:
    # An exception in one part must not keep the rows from other parts.
    try:
        callback(rows)
    except Exception:
        logger.exception('callback for new table rows failed')
