"""Decides which requests no longer reach backend servers."""

from __future__ import annotations

import itertools
from collections import OrderedDict
from collections.abc import Callable, Collection, Iterator, Sequence
from dataclasses import replace
from random import Random

from celerywharf.quarantine._records import Loss, LossRecord
from celerywharf.quarantine._traits import is_request

# Losses of a part that several other parts need not explain; servers are lost
# for other reasons, too.
MAX_UNEXPLAINED = 1
MAX_RECORDS = 1024
MAX_PROVEN = 4096
MAX_TRAITS_PER_LOSS = 32
# Waits before a quarantined trait is tried again; the last one doubles.  The
# first two are for parts that may be suspect only for what other parts do.
AMBIGUOUS_TRIAL_WAITS_S = (5.0, 30.0)
REQUEST_TRIAL_WAITS_S = (60.0,)
TRIAL_WAIT_S = 7200.0

Subscriber = Callable[[str], None]


class LossRegister:
    """Records the losses of servers by trait, and quarantines traits.

    Answers two loads: a part of a prompt crashes each server that begins to
    write an answer to it, whatever else the request holds; and one request
    crashes each server that runs it, and comes again.  Such requests come at
    any host, and share all but one trait with sound requests.

    A part is suspect only while no request with it completes.  Of a lost
    request the parts are suspect that are not known to be sound; if all are,
    each of them; and always the request itself.

    Times are seconds on the store's clock.

    Attributes:
        records: what is known by trait; the most recently changed last.
        heavy: traits with enough losses to be quarantined.
        proven: parts of completed requests, the most recent last.
        serials: number of the last change of each record.
        serial: number of the last change.
        random: picks some of a request's many parts.
        subscribers: called with the name of each trait whose record changed
            or was dropped.
    """

    def __init__(self, random: Random) -> None:
        self.random = random
        self.records: OrderedDict[str, LossRecord] = OrderedDict()
        self.heavy: set[str] = set()
        self.proven: OrderedDict[str, None] = OrderedDict()
        self.serials: dict[str, int] = {}
        self.serial = 0
        self.subscribers: list[Subscriber] = []

    def blocking_trait(self, traits: Collection[str]) -> str | None:
        """Return the trait for which a request must not be sent; None if none.

        A quarantined trait does not block a request if what the request lacks
        explains its losses: one other suspect trait, or several other
        quarantined traits together, but for one loss of a part.  Requests that
        were lost together with a part several times do not explain its losses
        together.

        Args:
            traits: the traits of the request.
        """
        suspects = self.heavy.intersection(traits)
        blocking = (
            trait
            for trait in traits
            if trait in suspects and not self._is_explained(trait, traits)
        )
        return next(blocking, None)

    def trial_due_s(self, trait: str, traits: Collection[str]) -> float:
        """Return when a quarantined trait may be tried by a request.

        Args:
            trait: the quarantined trait.
            traits: the traits of the request.
        """
        record = self.records[trait]
        waits_s = self._first_trial_waits_s(trait, traits)
        trials = record.trials
        if trials < len(waits_s):
            wait_s = waits_s[trials]
        else:
            wait_s = TRIAL_WAIT_S * 2 ** (trials - len(waits_s))
        return record.losses[-1].at_s + wait_s

    def record_loss(self, traits: Sequence[str], loss: Loss) -> None:
        """Record the loss of a server that worked on a request."""
        parts = [trait for trait in traits if not is_request(trait)]
        # Parts come last: by then the request itself may explain their losses.
        for request in filter(is_request, traits):
            self._add(request, loss)
        suspects = [part for part in parts if part not in self.proven]
        if not suspects:
            # What crashed the server may as well be the request's own part.
            suspects = parts
            for part in parts:
                self.proven.pop(part)
            loss = replace(loss, begun=False)
        for suspect in self._pick(suspects):
            self._add(suspect, loss)

    def last_lost_s(self, instance: str) -> float | None:
        """Return when a server was last lost; None if it is not known to be."""
        lost_s = (
            loss.at_s
            for record in self.records.values()
            for loss in record.losses
            if loss.instance == instance
        )
        return max(lost_s, default=None)

    def record_progress(self, traits: Collection[str]) -> None:
        """Record that a server has been answering a request for a while."""
        for trait in traits:
            if is_request(trait):
                self._clear(trait)
            else:
                self.proven[trait] = None
                self.proven.move_to_end(trait)
        while len(self.proven) > MAX_PROVEN:
            self.proven.popitem(last=False)

    def record_completion(self, traits: Collection[str]) -> None:
        """Record that a request has been answered completely."""
        self.record_progress(traits)
        for trait in traits:
            self._clear(trait)

    def release(self, trait: str) -> None:
        """Forget the losses of a trait."""
        self._store(self.records.get(trait, LossRecord(trait)).cleared())

    def merge(self, record: LossRecord) -> LossRecord:
        """Add what another host knows; return what is known now."""
        known = self.records.get(record.trait, LossRecord(record.trait))
        merged = known.merge(record)
        self._store(merged)
        return merged

    def forget(self, trait: str) -> None:
        """Drop the record of a trait."""
        self.records.pop(trait, None)
        self.serials.pop(trait, None)
        self.heavy.discard(trait)
        for subscriber in self.subscribers:
            subscriber(trait)

    def changes_since(self, serial: int) -> list[LossRecord]:
        """Return the records that changed after a change, oldest first."""
        if serial >= self.serial:
            return []
        return [
            record
            for trait, record in self.records.items()
            if self.serials[trait] > serial
        ]

    def _add(self, trait: str, loss: Loss) -> None:
        known = self.records.get(trait, LossRecord(trait))
        self._store(known.add(loss))

    def _clear(self, trait: str) -> None:
        """Forget the losses of a trait that servers have survived."""
        known = self.records.get(trait)
        if known is None or not known.losses:
            return
        if is_request(trait) and len(known.losses) == 1:
            # Other hosts need not hear of it.
            self.forget(trait)
        else:
            self._store(known.cleared())

    def _is_explained(self, trait: str, traits: Collection[str]) -> bool:
        known = self.records[trait]
        lost = known.instances
        if any(
            len(record.losses) >= len(lost) and record.instances >= lost
            for record in self._others(traits)
        ):
            return True
        quarantined = (
            self.records[other].instances
            for other in self.heavy.difference(traits)
            if not is_request(other) or is_request(trait)
        )
        # A request that was lost more often than another is not its victim.
        at_least = len(lost) if is_request(trait) else 0
        explained = frozenset(
            itertools.chain.from_iterable(
                instances
                for instances in quarantined
                if len(instances) >= at_least
            )
        )
        allowed = 0 if is_request(trait) else MAX_UNEXPLAINED
        return len(lost - explained) <= allowed

    def _first_trial_waits_s(
        self, trait: str, traits: Collection[str]
    ) -> tuple[float, ...]:
        if is_request(trait):
            return REQUEST_TRIAL_WAITS_S
        if self._overlaps(trait, traits):
            return AMBIGUOUS_TRIAL_WAITS_S
        return ()

    def _overlaps(self, trait: str, traits: Collection[str]) -> bool:
        """Return whether a trait not given may have caused its losses.

        Any request is lost together with its parts; only those that are
        quarantined themselves count.
        """
        lost = self.records[trait].instances
        return any(
            record.instances & lost
            for record in self._others(traits)
            if not is_request(record.trait) or record.trait in self.heavy
        )

    def _others(self, traits: Collection[str]) -> Iterator[LossRecord]:
        return (
            record
            for record in self.records.values()
            if record.trait not in traits
        )

    def _pick(self, suspects: list[str]) -> list[str]:
        """Return all suspects, or a limited number with those known before."""
        if len(suspects) <= MAX_TRAITS_PER_LOSS:
            return suspects
        known = [trait for trait in suspects if trait in self.records]
        known = known[-MAX_TRAITS_PER_LOSS:]
        new = [trait for trait in suspects if trait not in self.records]
        count = min(MAX_TRAITS_PER_LOSS - len(known), len(new))
        return known + self.random.sample(new, count)

    def _store(self, record: LossRecord) -> None:
        trait = record.trait
        if self.records.get(trait) == record:
            return
        self.serial += 1
        self.records[trait] = record
        self.records.move_to_end(trait)
        self.serials[trait] = self.serial
        if record.is_heavy:
            self.heavy.add(trait)
        else:
            self.heavy.discard(trait)
        if len(self.records) > MAX_RECORDS:
            self._evict()
        for subscriber in self.subscribers:
            subscriber(trait)

    def _evict(self) -> None:
        """Drop the oldest records, those with the fewest losses first."""
        order = sorted(
            self.records.values(),
            key=lambda record: (
                sum(record.weights),
                self.serials[record.trait],
            ),
        )
        for record in order[: MAX_RECORDS // 8]:
            self.forget(record.trait)
