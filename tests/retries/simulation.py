"""Hosts of several zones that retry the requests of a failing service."""

from bisect import bisect_right
from dataclasses import dataclass
from random import Random

from celerywharf.fronts._retries import (
    HOST_SHARE_FRACTION,
    LENT_FRACTION,
    RATIO_SHARE,
)
from celerywharf.retries import (
    HostShare,
    RetryBudget,
    RetryLender,
    RetryLimiter,
    RetryPool,
)

SERVICE = 'service'
RATIO = 0.8
SLACK = 150
WINDOW_S = 10.0
STEP_S = 0.1
ELECTION_S = 1.5  # until hosts of a zone have a new lender
MAX_SENDS = 5
HALF = 0.5
LENDER_FAILURE = 0.05  # probability in each step
HOST_RESTART = 0.3


@dataclass
class Load:
    """What a history plays.

    Attributes:
        busy: ``all``, ``zone`` or ``host``: which hosts get the requests.
        lenders_fail: lenders die, or freeze and wake.
        hosts_restart: hosts lose their counts.
        calm_s: time before the service begins to fail.
    """

    busy: str = 'all'
    lenders_fail: bool = False
    hosts_restart: bool = False
    calm_s: float = 0


class Zone(RetryLender):
    """The lender of a zone, as its hosts see it."""

    def __init__(self, world, hosts):
        self.world = world
        self.hosts = hosts
        self.pool = self.create_pool(0)
        self.answers_from_s = 0

    def create_pool(self, opens_at_s):
        fixed = SLACK * LENT_FRACTION / len(self.world.zone_sizes)
        return RetryPool(RATIO * RATIO_SHARE, fixed, WINDOW_S, opens_at_s)

    async def borrow(self, claim):
        """Lend from the pool, unless there is no lender now."""
        if self.world.now_s < self.answers_from_s:
            return None
        return self.pool.lend(claim, self.world.now_s)

    def fail(self):
        """Replace the lender by another host, which knows nothing."""
        now_s = self.world.now_s
        self.answers_from_s = now_s + ELECTION_S
        self.pool = self.create_pool(now_s + ELECTION_S + WINDOW_S)


class World:
    """Hosts, their lenders, and all requests and retries that were made."""

    def __init__(self, host_count, zone_count, seed):
        self.random = Random(seed)
        self.now_s: float = 0
        self.zone_sizes = self._split(host_count, zone_count)
        self.zones = [Zone(self, size) for size in self.zone_sizes]
        self.limiters = [
            self.create_limiter(zone)
            for zone, size in zip(self.zones, self.zone_sizes, strict=True)
            for _ in range(size)
        ]
        self.requests = []
        self.retries = []

    def create_limiter(self, zone):
        share = HostShare(
            SLACK * HOST_SHARE_FRACTION,
            len(self.zone_sizes),
            WINDOW_S,
            self.random,
        )
        share.zone_hosts = zone.hosts
        budget = RetryBudget(RATIO * RATIO_SHARE, 0, WINDOW_S)
        return RetryLimiter(budget, lambda: self.now_s, zone, share)

    def chance(self, probability):
        return self.random.random() < probability

    def restart(self):
        index = self.random.randrange(len(self.limiters))
        zone = self.limiters[index].lender
        self.limiters[index] = self.create_limiter(zone)

    def serve(self, limiter, sends):
        """Play one request whose first sends fail."""
        self.requests.append(self.now_s)
        limiter.record_request(SERVICE)
        in_progress = self.chance(HALF)
        for _ in range(sends - 1):
            taken = _run(limiter.take(SERVICE, in_progress=in_progress))
            if not taken:
                return
            self.retries.append(self.now_s)

    def play(self, load, span_s=30.0):
        """Play a history."""
        rate = self.random.uniform(2, 120)
        busy = self._busy_limiters(load.busy)
        while self.now_s < span_s:
            self.now_s += STEP_S
            if load.lenders_fail and self.chance(LENDER_FAILURE):
                self.random.choice(self.zones).fail()
            if load.hosts_restart and self.chance(HOST_RESTART):
                self.restart()
                busy = self._busy_limiters(load.busy)
            sends = MAX_SENDS if self.now_s > load.calm_s else 1
            for _ in range(self._arrivals(rate * STEP_S)):
                self.serve(self.random.choice(busy), sends)

    def worst_excess(self):
        """Return the largest number of retries beyond the budget."""
        return max((self._excess(end_s) for end_s in self.retries), default=0)

    def _excess(self, end_s):
        retries = _count(self.retries, end_s)
        requests = max(
            _count(self.requests, end_s - shift * WINDOW_S)
            for shift in (0, HALF, 1)
        )
        return retries - RATIO * requests - SLACK

    def _arrivals(self, mean):
        whole = int(mean)
        return whole + (self.random.random() < mean - whole)

    def _busy_limiters(self, busy):
        match busy:
            case 'zone':
                return self.limiters[: self.zone_sizes[0]]
            case 'host':
                return self.limiters[:1]
            case _:
                return self.limiters

    def _split(self, host_count, zone_count):
        sizes = [1 for _ in range(zone_count)]
        for _ in range(host_count - zone_count):
            sizes[self.random.randrange(zone_count)] += 1
        return sizes


def _count(times, end_s):
    """Return how many of the sorted times lie in the window that ends."""
    first = bisect_right(times, end_s - WINDOW_S)
    return bisect_right(times, end_s) - first


def _run(coroutine):
    """Run a coroutine that never waits."""
    try:
        coroutine.send(None)
    except StopIteration as finished:
        return finished.value
    raise AssertionError('the coroutine waits')
