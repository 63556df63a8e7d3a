"""Compares the answers of the new version with those of the others."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import accumulate

from celerywharf.rollouts._counts import RouteTally, ServiceTally

# A version whose answers are like those of the others is called bad at most
# this often, however long it is watched.
FALSE_ALARM = 0.05
# By how much a bad version may fail more, as parts of what doesn't fail yet.
EXCESSES = (0.15, 0.35, 0.7)
# A version isn't called bad for failing less often than this.
LEAST_BASE = 0.05
# The other versions' rate on one route is taken to be that on all routes, as
# strongly as this many answers would show.
PRIOR_ANSWERS = 10
SLOW_QUANTILE = 0.75
# Slow is what takes over twice, or while all requests go to the new version
# four times, as long as the slowest quarter of the others.
SLOW_BUCKETS = 2
LOADED_SLOW_BUCKETS = 4
MIN_TIMED = 20  # answers of the others before times are compared

MAX_LOG = 100  # of a likelihood ratio

ALL_ROUTES = '*'

# Of the answers on each kind and route, for each excess.
LogRatios = dict[tuple[str, str], list[float]]


@dataclass(frozen=True, slots=True)
class Sample:
    """Answers of one kind on one route.

    Attributes:
        kind: what makes an answer bad.
        route: name of the route.
        bad: bad answers of the new version.
        good: its other answers.
        others_bad: bad answers of the other versions.
        others: all of their answers.
    """

    kind: str
    route: str
    bad: int
    good: int
    others_bad: int
    others: int


@dataclass(frozen=True, slots=True)
class Verdict:
    """What the answers of the new version show.

    Attributes:
        weight: how many times likelier they are if the version is bad.
        reason: the kind and route that show it best; empty without any.
    """

    weight: float
    reason: str = ''

    @property
    def is_bad(self) -> bool:
        """Return whether the version is to be rolled back."""
        return self.weight >= 1 / FALSE_ALARM


def judge(tally: ServiceTally, *, loaded: bool) -> Verdict:
    """Compare the versions on each route, and on all routes together.

    The weight is a mean of likelihood ratios: it may be looked at after each
    answer, and reaches ``1 / FALSE_ALARM`` for a good version with at most the
    probability ``FALSE_ALARM``.

    Args:
        tally: the counts of all hosts.
        loaded: whether the new version gets all requests, so that the others
            are not under the same load, and a crashed server breaks many
            sends.
    """
    samples = list(_samples(tally, loaded=loaded))
    if not samples:
        return Verdict(0)
    pooled = _pooled_rates(samples)
    by_route = {
        (sample.kind, sample.route): _log_ratios(sample, pooled[sample.kind])
        for sample in samples
    }
    weights = _weights(by_route)
    overall = _weights(_over_routes(by_route))
    strongest = max(weights | overall, key=(weights | overall).__getitem__)
    return Verdict(
        (_mean(overall.values()) + _mean(weights.values())) / 2,
        ' on '.join(strongest),
    )


def _over_routes(by_route: LogRatios) -> LogRatios:
    """Return the ratios of all routes together, by kind."""
    sums: LogRatios = {}
    for (kind, _), ratios in by_route.items():
        known = sums.setdefault((kind, ALL_ROUTES), [0 for _ in EXCESSES])
        sums[kind, ALL_ROUTES] = list(map(sum, zip(known, ratios, strict=True)))
    return sums


def _weights(logs: LogRatios) -> dict[tuple[str, str], float]:
    return {
        named: _mean(math.exp(min(ratio, MAX_LOG)) for ratio in ratios)
        for named, ratios in logs.items()
    }


def _samples(tally: ServiceTally, *, loaded: bool) -> Iterable[Sample]:
    routes = sorted(route for route, is_new in tally.routes if is_new)
    for route in routes:
        new = tally.routes[route, True]
        others = tally.routes.get((route, False)) or RouteTally()
        yield _failures(route, new, others, loaded=loaded)
        slow_buckets = LOADED_SLOW_BUCKETS if loaded else SLOW_BUCKETS
        yield from _slowness(route, new, others, slow_buckets)


def _failures(
    route: str, new: RouteTally, others: RouteTally, *, loaded: bool
) -> Sample:
    counts = 0 if loaded else 1
    bad = new.failed + new.broken * counts
    others_bad = others.failed + others.broken * counts
    good = new.ended - new.failed - new.broken
    return Sample('failures', route, bad, good, others_bad, others.ended)


def _slowness(
    route: str, new: RouteTally, others: RouteTally, slow_buckets: int
) -> Iterable[Sample]:
    if sum(others.first) >= MIN_TIMED:
        slow_from = _quantile(others.first) + slow_buckets
        late = sum(new.late[slow_from:])
        others_late = sum(others.late[slow_from:])
        yield Sample(
            'slow answers',
            route,
            sum(new.first[slow_from:]) + late,
            sum(new.first[:slow_from]),
            sum(others.first[slow_from:]) + others_late,
            sum(others.first) + others_late,
        )
    if sum(others.pace) >= MIN_TIMED:
        slow_from = _quantile(others.pace) + slow_buckets
        yield Sample(
            'slow streams',
            route,
            sum(new.pace[slow_from:]),
            sum(new.pace[:slow_from]),
            sum(others.pace[slow_from:]),
            sum(others.pace),
        )


def _quantile(buckets: list[int]) -> int:
    """Return the bucket that ends the faster three quarters."""
    wanted = SLOW_QUANTILE * sum(buckets)
    sums = accumulate(buckets)
    return next(number for number, upto in enumerate(sums) if upto >= wanted)


def _pooled_rates(samples: Iterable[Sample]) -> dict[str, float]:
    bad: defaultdict[str, int] = defaultdict(int)
    answers: defaultdict[str, int] = defaultdict(int)
    for sample in samples:
        bad[sample.kind] += sample.others_bad
        answers[sample.kind] += sample.others
    return {kind: bad[kind] / max(answers[kind], 1) for kind in answers}


def _log_ratios(sample: Sample, pooled: float) -> list[float]:
    """Return the logarithm of the likelihood ratio for each excess."""
    answers = sample.others + PRIOR_ANSWERS
    base = (sample.others_bad + PRIOR_ANSWERS * pooled) / answers
    base += math.sqrt(base * (1 - base) / answers)
    base = min(max(base, LEAST_BASE), 1 - LEAST_BASE)
    ratios = []
    for excess in EXCESSES:
        worse = base + excess * (1 - base)
        ratios.append(
            sample.bad * math.log(worse / base)
            + sample.good * math.log((1 - worse) / (1 - base))
        )
    return ratios


def _mean(numbers: Iterable[float]) -> float:
    listed = list(numbers)
    return math.fsum(listed) / len(listed)
