"""Simulation of hosts that ask for requests to a server with a limit."""

from random import Random

from celerywharf.limits import LimitPool, LimitStatement
from celerywharf.sharing._limit_exchange import HOSTS_FRACTION, ZONES_FRACTION
from tests.virtual_time import Events

ZONE_HOP_S = 0.002
REGION_HOP_S = 0.04
NAME = 's1'


class Fleet(Events):
    """Hosts of several zones, a granting host and a server.

    Attributes:
        arrivals: when requests reached the server.
        cut_zones: zones that do not reach the granting host.
        lost_readers: zones whose hosts do not reach their reader.
    """

    def __init__(self, hosts, zones, limit, seed):
        super().__init__()
        self.random = Random(seed)
        self.hosts = [number % zones for number in range(hosts)]
        self.zones = zones
        self.statement = LimitStatement(NAME, 0, limit, 0)
        self.arrivals = []
        self.cut_zones = set()
        self.lost_readers = set()
        self.pool = LimitPool()
        self.zone_pools = [
            LimitPool(ZONES_FRACTION / zones) for _ in range(zones)
        ]
        hosts_fraction = HOSTS_FRACTION / max(hosts, zones)
        self.host_pools = [LimitPool(hosts_fraction) for _ in self.hosts]
        self.waits_s = dict.fromkeys(range(hosts), 0)

    def replace_grantor(self):
        """Let another host grant, which knows nothing of earlier grants."""
        self.pool = LimitPool()

    def repeat(self, per_s, chosen):
        """Have requests at random hosts of those chosen."""
        self.request(self.random.choice(chosen))
        self.at(self.random.expovariate(per_s), self.repeat, per_s, chosen)

    def request(self, number):
        """Ask for one request at a host, unless it is to wait."""
        if self.now < self.waits_s[number]:
            return
        zone = self.hosts[number]
        pool, delay_s = self.pool, ZONE_HOP_S
        if zone in self.lost_readers:
            pool = self.host_pools[number]
        elif zone in self.cut_zones:
            pool = self.zone_pools[zone]
        elif zone:
            delay_s += REGION_HOP_S
        self.at(delay_s, self.decide, number, pool, delay_s)

    def decide(self, number, pool, delay_s):
        """Let a pool decide; the answer takes as long as the question."""
        grant = pool.take(self.statement, self.now)
        if grant.granted:
            self.at(delay_s + ZONE_HOP_S, self.arrive)
        else:
            self.waits_s[number] = self.now + delay_s + grant.wait_s

    def arrive(self):
        """Record that a request reached the server."""
        self.arrivals.append(self.now)

    def most_within(self, span_s):
        """Return the largest number of arrivals within a span."""
        return max(
            (
                sum(at_s <= other < at_s + span_s for other in self.arrivals)
                for at_s in self.arrivals
            ),
            default=0,
        )
