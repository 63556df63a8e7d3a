"""Many hosts and one deciding host, without a network, on a virtual clock."""

import heapq
import itertools
import math
from dataclasses import dataclass, field, replace
from random import Random

from celerywharf.backends import BackendServer, Directory
from celerywharf.rollouts import (
    RolloutBounds,
    RolloutOrder,
    RolloutRegister,
    ServiceTally,
    StepDecider,
    View,
    first_step,
)
from celerywharf.structures import Address

BOUNDS = RolloutBounds(0.1, 50, 5)
NUMBERS = itertools.count()
TICK_S = 0.05
ORDERED_S = 100.0
SERVICE = 'desk'
ROUTES = ('buy', 'look', 'rare')
ROUTE_WEIGHTS = (60, 37, 3)
# Until all hosts have told the deciding one, and until they know its step.
REPORT_S = 0.8
ENDING_REPORT_S = 0.35  # shortly before the last step
TELL_S = 0.7


@dataclass(frozen=True)
class Version:
    """How a version answers.

    Attributes:
        failing: part of its answers that are failures.
        slower: how many times longer it takes.
        from_s: since when it is bad, seconds after the order.
        route: the only route on which it is; None for all.
    """

    failing: float = 0
    slower: float = 1
    from_s: float = 0
    route: str | None = None

    @property
    def is_bad(self):
        return bool(self.failing) or self.slower > 1

    def applies(self, route, since_s):
        return since_s >= self.from_s and self.route in {None, route}


@dataclass
class Trouble:
    """What happens besides the roll-out.

    Attributes:
        base_failing: part of the requests that fail at any version.
        bursts: when one begins, how long it lasts and how many times the
            usual requests come.
        cut_off: numbers of hosts that hear and are heard no more.
        restarts_at_s: when another host takes over the decision.
        early: servers of the new version serve before the order.
    """

    base_failing: float = 0.02
    bursts: list = field(default_factory=list)
    cut_off: set = field(default_factory=set)
    restarts_at_s: set = field(default_factory=set)
    early: bool = False


class Fleet:
    """Hosts that serve one service, which is rolled out.

    Attributes:
        exposed: requests that reached the new version until the deadline, as
            the test counts them.
        requests: to the service until the deadline.
        bad_at_s: when each bad answer of the new version arrived.
        sent_at_s: when each request was sent to the new version.
    """

    def __init__(self, seed, hosts, version, *, rate=110, period_s=12, skew=0):
        self.random = Random(seed)
        self.version = version
        self.rate = rate  # requests a second to all hosts
        self.order = RolloutOrder(SERVICE, 'v2', period_s, 7, ORDERED_S)
        self.now_s = ORDERED_S
        self.directory = Directory()
        self.add_servers('v1')
        self.hosts = [self.make_host() for _ in range(hosts)]
        self.weights = [(each + 1) ** -skew for each in range(hosts)]
        self.trouble = Trouble()
        self.decider = StepDecider(BOUNDS)
        self.steps = []
        self.messages = []
        self.requests = 0
        self.exposed = 0
        self.bad_at_s = []
        self.sent_at_s = []

    def run(self, for_s=None):
        """Play the roll-out until some time after its deadline."""
        if self.trouble.early:
            self.add_servers('v2')
        else:
            self.at(1, self.add_servers, 'v2')
        end_s = ORDERED_S + (for_s or self.order.period_s + 2)
        for host in self.hosts:
            self.at(self.random.uniform(0, 0.6), self.learn_order, host)
        self.at(0.7, self.begin)
        self.at(1, self.decide)
        while self.now_s < end_s:
            while self.messages and self.messages[0][0] <= self.now_s:
                _, _, act, arguments = heapq.heappop(self.messages)
                act(*arguments)
            for _ in range(self.arrivals()):
                self.request(self.random.choices(self.hosts, self.weights)[0])
            self.now_s += TICK_S
        return self

    def add_servers(self, version):
        for number in range(3):
            self.directory.update(_server(number, version), 0)

    def make_host(self):
        return RolloutRegister(
            self.directory,
            self.read_clock,
            self.read_clock,
            self.random,
            is_enabled=True,
        )

    def read_clock(self):
        return self.now_s

    def at(self, delay_s, act, *arguments):
        entry = (self.now_s + delay_s, next(NUMBERS), act, arguments)
        heapq.heappush(self.messages, entry)

    def arrivals(self):
        since_s = self.now_s - ORDERED_S
        factor = 1
        for begins_s, lasts_s, times in self.trouble.bursts:
            if begins_s <= since_s < begins_s + lasts_s:
                factor *= times
        mean = self.rate * factor * TICK_S
        count, product = 0, self.random.random()
        while product > math.exp(-mean):
            count += 1
            product *= self.random.random()
        return count

    def learn_order(self, host):
        host.set_order(SERVICE, self.order)

    def begin(self):
        (state,) = self.hosts[0].services.values()
        step = first_step(self.order, BOUNDS)
        self.tell(replace(step, early_part=state.early_part))

    def tell(self, step):
        self.steps.append((self.now_s - ORDERED_S, step))
        for number, host in enumerate(self.hosts):
            if number not in self.trouble.cut_off:
                self.at(
                    self.random.uniform(0.05, TELL_S),
                    host.learn_step,
                    step,
                    len(self.steps),
                )

    def decide(self):
        for number, host in enumerate(self.hosts):
            if number not in self.trouble.cut_off:
                host.confirm()
        if self.trouble.restarts_at_s and self.now_s - ORDERED_S > min(
            self.trouble.restarts_at_s
        ):
            self.trouble.restarts_at_s.remove(min(self.trouble.restarts_at_s))
            self.decider = StepDecider(BOUNDS)
        tally = ServiceTally(SERVICE, self.order.version)
        for number, host in enumerate(self.hosts):
            if number not in self.trouble.cut_off:
                tally.add_all(host.tallies())
        is_ending = bool(self.steps) and self.step.is_ending(self.now_s)
        report_s = ENDING_REPORT_S if is_ending else REPORT_S
        self.at(report_s, self.apply, tally)
        self.at(0.25, self.decide)

    def apply(self, tally):
        view = View(tally, *self.hosts[0].slots(SERVICE, 'v2'))
        step = self.decider.decide(self.step, view, self.now_s)
        if step is not None:
            self.tell(step)

    def request(self, host):
        since_s = self.now_s - ORDERED_S
        counts = since_s <= self.order.period_s
        self.requests += counts
        host.record_request(SERVICE)
        (route,) = self.random.choices(ROUTES, ROUTE_WEIGHTS)
        choice = host.choose(SERVICE)
        server = self.place(choice)
        while server is None:
            choice = host.choose_again(choice)
            server = self.place(choice)
        is_new = server.software_version == 'v2'
        if is_new:
            self.exposed += counts
            self.sent_at_s.append(self.now_s)
        send = host.started(server, route, counted=choice.counted)
        took_s = self.random.lognormvariate(math.log(0.06), 0.5)
        fails = self.random.random() < self.trouble.base_failing
        if is_new and self.version.applies(route, since_s):
            took_s *= self.version.slower
            is_bad = self.random.random() < self.version.failing
            if is_bad or self.version.slower > 1:
                self.at(took_s, self.bad_at_s.append, self.now_s + took_s)
            fails |= is_bad
        if send is not None:
            self.at(took_s, self.end, send, fails)

    def end(self, send, fails):
        if fails:
            send.failed(self.now_s)
        else:
            send.answered(self.now_s)

    def place(self, choice):
        servers = [
            server
            for server in self.directory.usable(SERVICE)
            if choice.software_version in {None, server.software_version}
            and server.software_version not in choice.excluded
        ]
        return self.random.choice(servers) if servers else None

    @property
    def step(self):
        return self.steps[-1][1]

    @property
    def stage(self):
        return self.step.stage.value

    @property
    def is_within_bounds(self):
        """Return whether EXPOSURE holds, by the test's own counts."""
        allowed = BOUNDS.exposure_share * self.requests + BOUNDS.exposure_slack
        if self.exposed > allowed:
            return False
        if len(self.bad_at_s) < 50:
            return True
        limit_s = sorted(self.bad_at_s)[49] + BOUNDS.rollback_s
        return all(sent_s <= limit_s for sent_s in self.sent_at_s)


def _server(number, version):
    return BackendServer(
        f'{version}-{number}',
        SERVICE,
        Address('127.0.0.1', 1000 * int(version[1:]) + number),
        'north-1',
        6,
        draining=False,
        born_ms=1,
        sequence=1,
        warm_up_left_s=0,
        software_version=version,
    )
