"""What is known of a trait whose requests lost their servers."""

from __future__ import annotations

import itertools
import math
from dataclasses import dataclass, replace

# A loss counts most if the server was at work on the request: few others on
# the server are at that point.
BEGUN_WEIGHT = 5
OTHER_WEIGHT = 3
# Losses in a zone closer together than this count once: servers that fail
# together say nothing about a prompt.
LOSS_SPACING_S = 0.5
MAX_LOSSES = 16
# Three servers lost as they began an answer, or five lost otherwise.
QUARANTINE_WEIGHT = 3 * BEGUN_WEIGHT
# A loss this long after the one before belongs to another trial of a trait.
TRIAL_PAUSE_S = 4.0


@dataclass(frozen=True, slots=True, order=True)
class Loss:
    """The loss of a backend server that worked on a request.

    Attributes:
        at_s: when it was last noticed by a host, on the store's clock,
            seconds.
        instance: the incarnation of the backend server.
        availability_zone: zone of the backend server.
        begun: the server was at work on the request itself: the answer had
            just begun, or it was a call.
    """

    at_s: float
    instance: str
    availability_zone: str
    begun: bool


@dataclass(frozen=True, slots=True)
class LossRecord:
    """Losses under requests with one trait, in a row.

    Records of the same trait from several hosts are merged; the result does
    not depend on order or repetition.

    Attributes:
        trait: see ``celerywharf.quarantine._traits``.
        generation: increases when a request with the trait has completed or an
            operator has released it; older losses then no longer count.
        losses: the newest losses, one for each server, oldest first.
    """

    trait: str
    generation: int = 0
    losses: tuple[Loss, ...] = ()

    def merge(self, other: LossRecord) -> LossRecord:
        """Return what both records say together."""
        if self.generation != other.generation:
            return max(self, other, key=lambda record: record.generation)
        by_instance: dict[str, Loss] = {}
        for loss in (*self.losses, *other.losses):
            known = by_instance.get(loss.instance, loss)
            by_instance[loss.instance] = replace(
                max(known, loss), begun=known.begun or loss.begun
            )
        losses = tuple(sorted(by_instance.values()))[-MAX_LOSSES:]
        return LossRecord(self.trait, self.generation, losses)

    def add(self, loss: Loss) -> LossRecord:
        """Return the record with one more loss."""
        return self.merge(LossRecord(self.trait, self.generation, (loss,)))

    def cleared(self) -> LossRecord:
        """Return the record without losses, in the next generation."""
        return LossRecord(self.trait, self.generation + 1)

    @property
    def instances(self) -> frozenset[str]:
        """Return the lost servers."""
        return frozenset(loss.instance for loss in self.losses)

    @property
    def weights(self) -> tuple[int, ...]:
        """Return by how much each loss adds to the total weight."""
        started_s: dict[str, float] = {}
        counted: dict[str, int] = {}
        weights = []
        for loss in self.losses:
            zone = loss.availability_zone
            weight = BEGUN_WEIGHT if loss.begun else OTHER_WEIGHT
            if loss.at_s - started_s.get(zone, -math.inf) >= LOSS_SPACING_S:
                started_s[zone] = loss.at_s
                counted[zone] = 0
            weights.append(max(weight - counted[zone], 0))
            counted[zone] = max(weight, counted[zone])
        return tuple(weights)

    @property
    def is_heavy(self) -> bool:
        """Return whether there are enough losses to quarantine the trait."""
        return sum(self.weights) >= QUARANTINE_WEIGHT

    @property
    def trials(self) -> int:
        """Return how often the trait was tried after it was quarantined."""
        totals = itertools.accumulate(self.weights)
        return sum(
            total > QUARANTINE_WEIGHT
            and later.at_s - earlier.at_s >= TRIAL_PAUSE_S
            for (earlier, later), total in zip(
                itertools.pairwise(self.losses),
                itertools.islice(totals, 1, None),
                strict=True,
            )
        )
