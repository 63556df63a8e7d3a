"""Decides which prompt parts no longer reach backend servers."""

from __future__ import annotations

import itertools
from collections import OrderedDict
from collections.abc import Callable, Collection, Iterator, Sequence
from dataclasses import replace
from random import Random

from celerywharf.quarantine._records import Loss, PartRecord

MAX_RECORDS = 1024
MAX_PROVEN = 4096
MAX_PARTS_PER_LOSS = 32
# Waits before a quarantined part is tried again; the last one doubles.  The
# first two are for parts that may be suspect only for what other parts do.
AMBIGUOUS_TRIAL_WAITS_S = (5.0, 30.0)
TRIAL_WAIT_S = 7200.0

Subscriber = Callable[[str], None]


class PartRegister:
    """Records the losses of servers by prompt part, and quarantines parts.

    Answers loads in which a part of a prompt crashes each server that begins
    to write an answer to it, whatever else the request holds.  Such requests
    come at any host, and share their other parts with sound requests.

    A part is suspect only while no request with it completes.  Of a lost
    request the parts are suspect that are not known to be sound; if all are,
    each of them.

    Times are seconds on the store's clock.

    Attributes:
        records: what is known by part; the most recently changed last.
        heavy: parts with enough losses to be quarantined.
        proven: parts of completed requests, the most recent last.
        serials: number of the last change of each record.
        serial: number of the last change.
        random: picks some of a request's many parts.
        subscribers: called with the name of each part whose record changed
            or was dropped.
    """

    def __init__(self, random: Random) -> None:
        self.random = random
        self.records: OrderedDict[str, PartRecord] = OrderedDict()
        self.heavy: set[str] = set()
        self.proven: OrderedDict[str, None] = OrderedDict()
        self.serials: dict[str, int] = {}
        self.serial = 0
        self.subscribers: list[Subscriber] = []

    def blocking_part(self, parts: Collection[str]) -> str | None:
        """Return the part for which a request must not be sent; None if none.

        A quarantined part does not block a request if what the request lacks
        explains all of its losses: one other suspect part, or several other
        quarantined parts together.

        Args:
            parts: the shared parts of the request's prompt.
        """
        suspects = self.heavy.intersection(parts)
        blocking = (
            part
            for part in parts
            if part in suspects and not self._is_explained(part, parts)
        )
        return next(blocking, None)

    def trial_due_s(self, part: str, parts: Collection[str]) -> float:
        """Return when a quarantined part may be tried by a request.

        Args:
            part: the quarantined part.
            parts: the shared parts of the request's prompt.
        """
        record = self.records[part]
        waits_s = AMBIGUOUS_TRIAL_WAITS_S if self._overlaps(part, parts) else ()
        trials = record.trials
        if trials < len(waits_s):
            wait_s = waits_s[trials]
        else:
            wait_s = TRIAL_WAIT_S * 2 ** (trials - len(waits_s))
        return record.losses[-1].at_s + wait_s

    def record_loss(self, parts: Sequence[str], loss: Loss) -> None:
        """Record the loss of a server that worked on a request."""
        suspects = [part for part in parts if part not in self.proven]
        if not suspects:
            # What crashed the server may as well be the request's own part.
            suspects = list(parts)
            for part in parts:
                self.proven.pop(part)
            loss = replace(loss, begun=False)
        for part in self._pick(suspects):
            known = self.records.get(part, PartRecord(part))
            self._store(known.add(loss))

    def record_progress(self, parts: Collection[str]) -> None:
        """Record that a server has been answering a request for a while."""
        for part in parts:
            self.proven[part] = None
            self.proven.move_to_end(part)
        while len(self.proven) > MAX_PROVEN:
            self.proven.popitem(last=False)

    def record_completion(self, parts: Collection[str]) -> None:
        """Record that a request has been answered completely."""
        self.record_progress(parts)
        for part in parts:
            known = self.records.get(part)
            if known is not None and known.losses:
                self._store(known.cleared())

    def release(self, part: str) -> None:
        """Forget the losses of a part."""
        self._store(self.records.get(part, PartRecord(part)).cleared())

    def merge(self, record: PartRecord) -> PartRecord:
        """Add what another host knows; return what is known now."""
        known = self.records.get(record.part, PartRecord(record.part))
        merged = known.merge(record)
        self._store(merged)
        return merged

    def forget(self, part: str) -> None:
        """Drop the record of a part."""
        self.records.pop(part, None)
        self.serials.pop(part, None)
        self.heavy.discard(part)
        for subscriber in self.subscribers:
            subscriber(part)

    def changes_since(self, serial: int) -> list[PartRecord]:
        """Return the records that changed after a change, oldest first."""
        if serial >= self.serial:
            return []
        return [
            record
            for part, record in self.records.items()
            if self.serials[part] > serial
        ]

    def _is_explained(self, part: str, parts: Collection[str]) -> bool:
        lost = self.records[part].instances
        if any(record.instances >= lost for record in self._others(parts)):
            return True
        quarantined = (
            self.records[other].instances
            for other in self.heavy.difference(parts)
        )
        return lost <= frozenset(itertools.chain.from_iterable(quarantined))

    def _overlaps(self, part: str, parts: Collection[str]) -> bool:
        """Return whether a part that is not given was lost together with it."""
        lost = self.records[part].instances
        return any(record.instances & lost for record in self._others(parts))

    def _others(self, parts: Collection[str]) -> Iterator[PartRecord]:
        return (
            record
            for record in self.records.values()
            if record.part not in parts
        )

    def _pick(self, suspects: list[str]) -> list[str]:
        """Return all suspects, or a limited number with those known before."""
        if len(suspects) <= MAX_PARTS_PER_LOSS:
            return suspects
        known = [part for part in suspects if part in self.records]
        known = known[-MAX_PARTS_PER_LOSS:]
        new = [part for part in suspects if part not in self.records]
        count = min(MAX_PARTS_PER_LOSS - len(known), len(new))
        return known + self.random.sample(new, count)

    def _store(self, record: PartRecord) -> None:
        part = record.part
        if self.records.get(part) == record:
            return
        self.serial += 1
        self.records[part] = record
        self.records.move_to_end(part)
        self.serials[part] = self.serial
        if record.is_heavy:
            self.heavy.add(part)
        else:
            self.heavy.discard(part)
        if len(self.records) > MAX_RECORDS:
            self._evict()
        for subscriber in self.subscribers:
            subscriber(part)

    def _evict(self) -> None:
        """Drop the oldest records, those with the fewest losses first."""
        order = sorted(
            self.records.values(),
            key=lambda record: (
                sum(record.weights),
                self.serials[record.part],
            ),
        )
        for record in order[: MAX_RECORDS // 8]:
            self.forget(record.part)
