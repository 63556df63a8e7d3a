"""Exchanges the records of lost servers among all fronts."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import logging
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random

from celerywharf.exceptions import CelerywharfError
from celerywharf.platform import (
    HistoryGoneError,
    Position,
    Row,
    RowChange,
    StoreClient,
)
from celerywharf.quarantine import LossRecord, LossRegister, is_request
from celerywharf.sharing._quarantine_rows import (
    LOSS_TABLE,
    decode_record,
    encode_record,
    from_state,
    to_state,
)
from celerywharf.sharing._store import SharedStore
from celerywharf.structures import Address
from celerywharf.tasks import Part
from celerywharf.wire import LinkService, Sender
from celerywharf.wire.quarantine import PartAnswer, PartQuestion, PartState

logger = logging.getLogger(__name__)

STORE_POLL_S = 2.5
READER_POLL_S = 1.5
ANSWER_SLACK_S = 0.5
NO_UPSTREAM_WAIT_S = 0.05
# Without a reader for so long after the start, the store is read once.
START_WAIT_S = 4.0
BACKOFF_S = 0.5
MAX_BACKOFF_S = 4.0
# At most five transactions a second of a reader, for all fronts of its zone.
PUSH_PERIOD_S = 0.2
# Most requests whose server was lost are answered by another one at once, and
# then nobody needs to know.
FIRST_LOSS_DELAY_S = 0.5
# With as many removals and a condition for each, the store's limit of 100
# entries in a transaction holds.
MAX_PUSHED = 25
# Beyond this many rows the reader removes the oldest that quarantine nothing.
MAX_ROWS = 1024


@dataclass(frozen=True, slots=True)
class _Reader:
    """Records are exchanged with the zone's reader."""

    client: LinkService
    address: Address


@dataclass(frozen=True, slots=True)
class _Store:
    """Records are exchanged with the store."""


class QuarantineExchange(Part):
    """Keeps the registers of all fronts alike.

    The reader of a zone exchanges records with the store, the other fronts of
    the zone exchange theirs with the reader.  So the fronts of a zone that
    does not reach the store still share what they learn.  A front that loses
    its reader goes on with what it knows until there is another one.

    Attributes:
        register: what this front knows.
        store: the platform's store.
        shared_store: tells who the reader is; None if this front reads the
            store itself.
        upstream: with whom records are exchanged; None while there is no
            reader.
        unsent: when each trait that upstream may not know is due to be sent,
            monotonic seconds.
        row_versions: versions of the store's rows, by trait.
        position: position of the last reading of the store; None if the whole
            table must be read.
        serial: last change of the reader that this front has received.
        has_begun: the first exchange has succeeded or failed.
        alone_from_s: when to read the store once if no exchange has begun by
            then, monotonic seconds.
        changed: set and replaced by a new event at each change.
    """

    def __init__(
        self,
        register: LossRegister,
        store: StoreClient,
        shared_store: SharedStore | None,
        random: Random,
    ) -> None:
        super().__init__()
        self.register = register
        self.store = store
        self.shared_store = shared_store
        self.random = random
        self.upstream: _Reader | _Store | None = None
        self.unsent: dict[str, float] = {}
        self.row_versions: dict[str, int] = {}
        self.position: Position | None = None
        self.serial = 0
        self.has_begun = False
        self.alone_from_s = float('inf')
        self.changed = asyncio.Event()
        register.subscribers.append(self._on_change)
        if shared_store is not None:
            shared_store.server.subscribe(PartQuestion, self._answer)

    def start(self) -> None:
        """Start to exchange records."""
        super().start()
        self.alone_from_s = time.monotonic() + START_WAIT_S
        self.spawn(self._repeat(self._pull))
        self.spawn(self._repeat(self._push))

    async def _repeat(self, exchange: Callable[[], Awaitable[None]]) -> None:
        failures = 0
        while True:
            try:
                await exchange()
                failures = 0
            except HistoryGoneError:
                self.position = None
            except CelerywharfError as error:
                self.has_begun = True
                logger.info(
                    'no exchange of quarantine records',
                    extra={'reason': error.message, 'failures': failures},
                )
                wait_s = min(BACKOFF_S * 2**failures, MAX_BACKOFF_S)
                failures = min(failures + 1, 10)
                await asyncio.sleep(wait_s * (1 + self.random.random()))

    async def _pull(self) -> None:
        """Wait for changes upstream and apply them."""
        is_alone = not self.has_begun and time.monotonic() > self.alone_from_s
        match self._find_upstream():
            case _Reader() as reader:
                wait_s = READER_POLL_S if self.has_begun else 0
                await self._ask_reader(reader, [], wait_s)
            case _Store() if self.position is None:
                await self._read_rows()
            case _Store():
                await self._watch_rows()
            case None if is_alone:
                logger.warning('no reader; quarantine read from the store')
                await self._read_rows()
            case None:
                await asyncio.sleep(NO_UPSTREAM_WAIT_S)
                return
        self.has_begun = True

    async def _push(self) -> None:
        """Wait for records that upstream does not know, and send them."""
        if not self.unsent:
            await self._wait_for_change(READER_POLL_S)
        upstream = self._find_upstream()
        sent = self._due_records()
        match upstream:
            case _Reader() if sent:
                states = [to_state(record) for record in sent.values()]
                await self._ask_reader(upstream, states, 0)
                self._mark_sent(sent)
            case _Store() if sent and self.position is not None:
                await self._write_rows(sent)
        await asyncio.sleep(PUSH_PERIOD_S)

    def _due_records(self) -> dict[str, LossRecord]:
        now_s = time.monotonic()
        due = (trait for trait, due_s in self.unsent.items() if due_s <= now_s)
        return {
            trait: self.register.records[trait]
            for trait in itertools.islice(due, MAX_PUSHED)
        }

    def _find_upstream(self) -> _Reader | _Store | None:
        """Return with whom to exchange now; forget what another one knew."""
        upstream = self._upstream_now()
        if upstream != self.upstream:
            self.upstream = upstream
            self.position = None
            self.serial = 0
            self.unsent = dict.fromkeys(self.register.records, time.monotonic())
        return upstream

    def _upstream_now(self) -> _Reader | _Store | None:
        shared = self.shared_store
        if shared is None or shared.is_reader:
            return _Store()
        reader = shared.election.reader
        if reader is None or shared.client is None:
            return None
        return _Reader(shared.client, reader.address)

    async def _ask_reader(
        self, reader: _Reader, states: list[PartState], wait_s: float
    ) -> None:
        reply = await reader.client.request(
            reader.address,
            PartQuestion(states, self.serial, wait_s),
            wait_s + ANSWER_SLACK_S,
        )
        if reader != self.upstream:
            return
        self.serial = max(self.serial, reply.serial)
        for state in reply.parts:
            self._merge_from_upstream(from_state(state))

    async def _read_rows(self) -> None:
        reading = await self.store.read(LOSS_TABLE)
        self.position = reading.position
        self.row_versions = {}
        for row in reading.rows:
            self._apply_row(row)
        for trait in self.register.records:
            if trait not in self.row_versions:
                self.unsent[trait] = time.monotonic()

    async def _watch_rows(self) -> None:
        reading = await self.store.watch(
            LOSS_TABLE, self.position, STORE_POLL_S
        )
        for row in reading.rows:
            self._apply_row(row)
        self.position = reading.position

    def _apply_row(self, row: Row) -> None:
        if row.removed:
            self.row_versions.pop(row.key, None)
            self.unsent.pop(row.key, None)
            self.register.forget(row.key)
            return
        self.row_versions[row.key] = row.version
        self._merge_from_upstream(decode_record(row))

    def _merge_from_upstream(self, record: LossRecord | None) -> None:
        if record is None:
            return
        merged = self.register.merge(record)
        if merged == record:
            self.unsent.pop(record.trait, None)

    async def _write_rows(self, sent: dict[str, LossRecord]) -> None:
        changes = [
            RowChange(
                trait, encode_record(record), self.row_versions.get(trait, 0)
            )
            for trait, record in sent.items()
        ]
        changes.extend(self._surplus_rows(sent))
        result = await self.store.transact(LOSS_TABLE, changes)
        if result.version is None:
            for change in changes:
                self.row_versions.pop(change.key, None)
            for row in result.current:
                self._apply_row(row)
            return
        self.row_versions.update(dict.fromkeys(sent, result.version))
        self._mark_sent(sent)

    def _surplus_rows(self, sent: dict[str, LossRecord]) -> list[RowChange]:
        """Return the removal of old rows if there are too many."""
        surplus = len(self.row_versions) + len(sent) - MAX_ROWS
        if surplus <= 0:
            return []
        candidates = sorted(
            (version, trait)
            for trait, version in self.row_versions.items()
            if trait not in sent and trait not in self.register.heavy
        )
        return [
            RowChange(trait, None, version)
            for version, trait in candidates[: min(surplus, MAX_PUSHED)]
        ]

    def _mark_sent(self, sent: dict[str, LossRecord]) -> None:
        for trait, record in sent.items():
            if self.register.records.get(trait) == record:
                self.unsent.pop(trait, None)

    def _send_now(self, trait: str) -> None:
        due_s = self.unsent.get(trait)
        if due_s is not None:
            self.unsent[trait] = min(due_s, time.monotonic())

    def _on_change(self, trait: str) -> None:
        record = self.register.records.get(trait)
        if record is None:
            self.unsent.pop(trait, None)
        else:
            is_early = is_request(trait) and len(record.losses) == 1
            delay_s = FIRST_LOSS_DELAY_S if is_early else 0
            self.unsent[trait] = time.monotonic() + delay_s
        self.changed.set()
        self.changed = asyncio.Event()

    async def _wait_for_change(self, timeout_s: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self.changed.wait()

    async def _answer(self, _: Sender, question: PartQuestion) -> PartAnswer:
        """Answer another front of the zone."""
        for state in question.parts:
            record = from_state(state)
            if record is not None:
                self.register.merge(record)
                self._send_now(record.trait)
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + min(question.wait_s, READER_POLL_S)
        while self.register.serial <= question.after and loop.time() < ends_s:
            await self._wait_for_change(ends_s - loop.time())
        changes = self.register.changes_since(question.after)
        return PartAnswer(
            [to_state(record) for record in changes], self.register.serial
        )
