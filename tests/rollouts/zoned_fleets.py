"""Hosts in zones whose readers decide roll-outs, on a virtual clock."""

import types
from random import Random

from celerywharf.exceptions import PeerUnreachableError
from celerywharf.metrics import Metrics
from celerywharf.platform import Row, TransactionResult
from celerywharf.sharing import RolloutControl, StoredSteps
from celerywharf.sharing._rollout_rows import STEP_TABLE, to_message
from celerywharf.structures import Address, HostIdentity
from celerywharf.wire.rollouts import RolloutQuestion
from tests.rollouts.fleets import BOUNDS, ORDERED_S, SERVICE, Fleet

ZONES = ('north-1', 'north-2', 'south-1')
HOST_PERIOD_S = 0.5
READER_PERIOD_S = 0.25
STORE_PERIOD_S = 0.1
CHECK_S = 0.1  # until a host has read the row that names its zone's reader
# Until the hosts of a zone have another reader.
ELECTION_S = (0.8, 2.2)


class Store:
    """Rows that are written on the condition that they are unchanged."""

    def __init__(self, version):
        self.era = types.SimpleNamespace(current=1)
        self.rows = {}
        self.version = version

    def put(self, table, key, content):
        """Write a row without a condition."""
        self.version += 1
        self.rows[table, key] = Row(key, content, False, self.version)

    async def read_row(self, table, key):
        row = self.rows.get((table, key))
        return types.SimpleNamespace(rows=[row] if row else [])

    async def transact(self, table, changes):
        named = [(change.table or table, change.key) for change in changes]
        current = [self.rows.get(name) for name in named]
        versions = [0 if row is None else row.version for row in current]
        if versions != [change.expected_version for change in changes]:
            return TransactionResult(None, tuple(filter(None, current)))
        self.version += 1
        for name, change in zip(named, changes, strict=True):
            self.rows[name] = Row(name[1], change.content, False, self.version)
        return TransactionResult(self.version)


class Links:
    """Links of one host to the readers of other zones."""

    def __init__(self, fleet, identity):
        self.fleet = fleet
        self.identity = identity

    @property
    def own_zone(self):
        return self.identity.availability_zone

    @property
    def readers(self):
        """Return the rows of the other zones' readers, which do not expire."""
        return {
            zone: None for zone in self.fleet.zones if zone != self.own_zone
        }

    async def request(self, zone, question, timeout_s):
        reader = self.fleet.readers.get(zone)
        if (
            reader is None
            or reader.is_dead
            or self.own_zone in self.fleet.silent
        ):
            raise PeerUnreachableError('no answer')
        reader.control.learn_counts(None, question)


class Host:
    """One host, which may be the reader of its zone."""

    def __init__(self, fleet, number, register):
        self.number = number
        self.zone = fleet.zones[number % len(fleet.zones)]
        self.name = f'f{number}'
        self.is_dead = False
        self.register = register
        identity = HostIdentity(
            self.name, 'north', self.zone, Address('127.0.0.1', 1 + number), 1
        )
        self.control = RolloutControl(
            StoredSteps(register, Metrics()),
            fleet.store,
            Links(fleet, identity),
            BOUNDS,
            lambda: fleet.at(CHECK_S, fleet.check_role, self),
            Random(number),
        )


class ZonedFleet(Fleet):
    """Hosts in zones, each with a reader; one of the readers decides.

    Attributes:
        zones: names of the zones.
        readers: the host that reads the store, by zone.
        replaced: hosts that have not learned yet that they no longer do.
        silent: zones whose reports do not arrive.
    """

    def __init__(self, seed, hosts, version, *, zones=ZONES, **options):
        super().__init__(seed, hosts, version, **options)
        self.zones = zones
        self.store = Store(self.order.version)
        self.silent = set()
        self.members = [
            Host(self, number, register)
            for number, register in enumerate(self.hosts)
        ]
        self.readers = {}
        self.replaced = set()
        for zone in zones:
            self.elect(zone)
        for host in self.members:
            self.at(self.random.uniform(0, HOST_PERIOD_S), self.report, host)

    def begin(self):
        """Leave it to the readers."""

    def decide(self):
        """Leave it to the readers."""

    def elect(self, zone):
        """Make a living host the reader of a zone, if there is one."""
        living = [
            host
            for host in self.members
            if host.zone == zone and not host.is_dead
        ]
        if living:
            reader = self.random.choice(living)
            self.readers[zone] = reader
            self.at(0, self.follow, reader)
            self.at(
                self.random.uniform(0, READER_PERIOD_S), self.attend, reader
            )

    def follow(self, host):
        """Read the steps from the store."""
        if not self.reads(host):
            return
        row = self.store.rows.get((STEP_TABLE, SERVICE))
        host.control.steps.apply_rows([row] if row else [])
        host.control.steps.confirm()
        self.at(STORE_PERIOD_S, self.follow, host)

    def attend(self, host):
        """Decide or report."""
        if not self.reads(host):
            return
        before = self.store.version
        if host.register.services:
            _finish(host.control.attend())
        if self.store.version > before:
            steps = host.control.steps
            stored = steps.rows[SERVICE].step
            self.steps.append((self.now_s - ORDERED_S, stored))
        self.at(READER_PERIOD_S, self.attend, host)

    def report(self, host):
        """Tell the reader of the zone what was counted, and get the steps."""
        reader = self.readers[host.zone]
        if host.is_dead:
            return
        self.at(HOST_PERIOD_S, self.report, host)
        if reader is host or reader.is_dead:
            return
        counts = [to_message(tally) for tally in host.register.tallies()]
        sender = types.SimpleNamespace(host=host.name, incarnation=1)
        reader.control.learn_counts(sender, RolloutQuestion(counts, ''))
        for step, version in reader.register.steps():
            host.register.learn_step(step, version)
        host.register.confirm(
            self.now_s - reader.register.confirmed_s + READER_PERIOD_S
        )

    def reads(self, host):
        is_reader = self.readers[host.zone] is host
        return (is_reader or host in self.replaced) and not host.is_dead

    def check_role(self, host):
        self.replaced.discard(host)

    def replace_reader(self):
        """Elect another reader beside one who does not learn it."""
        zone = next(
            each for each in self.zones if each != self.decider_host.zone
        )
        before = self.readers[zone]
        self.replaced.add(before)
        while self.readers[zone] is before:
            self.elect(zone)

    def overwrite_step(self, content):
        """Write the service's row as something else would."""
        self.store.put(STEP_TABLE, SERVICE, content)

    def overwrite_step_at(self, stage, content):
        """Write the service's row after the first step of a stage."""
        if self.steps and self.stage == stage:
            self.overwrite_step(content)
        else:
            self.at(STORE_PERIOD_S, self.overwrite_step_at, stage, content)

    def kill(self, host):
        """End a host; its callers go to the others."""
        host.is_dead = True
        self.weights[host.number] = 0
        if self.readers[host.zone] is host:
            self.at(self.random.uniform(*ELECTION_S), self.elect, host.zone)

    def kill_decider(self):
        self.kill(self.decider_host)

    def kill_zone_without_decider(self):
        decider_zone = self.decider_host.zone
        self.kill_zone(each for each in self.zones if each != decider_zone)

    def kill_zone_of_decider(self):
        self.kill_zone(iter((self.decider_host.zone,)))

    def kill_zone(self, zones):
        """End all hosts of the first of some zones."""
        zone = next(zones)
        for host in self.members:
            if host.zone == zone:
                self.kill(host)

    def pause_reports(self, for_s):
        """Lose what one of the other zones tells for some time."""
        zone = next(
            each for each in self.zones if each != self.decider_host.zone
        )
        self.silent.add(zone)
        self.at(for_s, self.silent.discard, zone)

    def kill_decider_at(self, stage, after_s=0.5):
        """Kill the deciding host some time after the first step of a stage."""
        if self.steps and self.stage == stage:
            self.at(after_s, self.kill_decider)
        elif self.now_s < ORDERED_S + self.order.period_s:
            self.at(READER_PERIOD_S, self.kill_decider_at, stage, after_s)

    @property
    def decider_host(self):
        name, _, _ = self.step.host.partition('/')
        (decider,) = (host for host in self.members if host.name == name)
        return decider

    @property
    def done_s(self):
        """Return when the version got all requests, seconds after the order."""
        last_s, last = self.steps[-1]
        return last_s if last.stage == 'done' else float('inf')


def _finish(coroutine):
    """Run a coroutine that waits for nothing."""
    try:
        coroutine.send(None)
    except StopIteration:
        return
    raise AssertionError('waits')
