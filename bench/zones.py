"""Two availability zones of hosts and engines, with failures by name.

Hosts a and c stand in the first zone, b and d in the second; each is reached
by the others through a link of its own, so that zones can be cut apart.
"""

import itertools
import time
from collections.abc import Callable, Iterable
from typing import Any

from bench.rigs import (
    OPERATOR_KEY,
    SERVICE,
    Place,
    Rig,
    caller_headers,
    completion,
)
from celerywharf.utils import rendezvous_order
from standins.callers import Caller, CallerOptions
from standins.calls import call
from standins.checking import Findings, check_all
from standins.launching import Fleet

FIRST = Place(availability_zone='zone-a1', ip='127.0.1.1')
SECOND = Place(availability_zone='zone-a2', ip='127.0.2.1')
HOSTS = {'a': FIRST, 'b': SECOND, 'c': FIRST, 'd': SECOND}
ENGINES = {'e1': FIRST, 'e2': SECOND, 'e3': FIRST, 'e4': SECOND}
# No outgoing connection takes the port of a killed engine at this address.
ENGINE_IP = '127.0.4.1'
SETTLE_S = 12.0
POLL_S = 0.02
WORKING = frozenset(('waiting', 'running'))
OPERATOR = {'Authorization': f'Bearer {OPERATOR_KEY}'}


class Zones:
    """The started system.

    Attributes:
        fleet: its processes; whoever made it ends it.
        hosts: addresses for callers by name of the host.
        engines: addresses by name of the engine.
        options: command line options of each engine.
    """

    def __init__(self, fleet: Fleet, policy: str, **options: Any) -> None:
        self.fleet = fleet
        self.options = options
        self.rig = Rig.start(fleet, policy)
        self.engines: dict[str, str] = {}
        for name, place in ENGINES.items():
            self.add_engine(name, place)
        self.hosts: dict[str, str] = {}
        self.numbers = itertools.count(1)

    def add_engine(self, name: str, place: Place) -> None:
        """Start an engine at an address it can be started again at."""
        listen = f'{ENGINE_IP}:0'
        self.rig.add_engine(name, place, listen=listen, **self.options)
        self.engines[name] = self.fleet.members[name].address

    def start_hosts(self, **sections: Any) -> None:
        """Start the hosts and fill the table."""
        for name, place in HOSTS.items():
            self.hosts[name] = self.rig.add_linked_host(name, place, **sections)
            if len(self.hosts) == 1:
                self.rig.fill_table(self.hosts[name])
        self.settle()

    def set_policy(self, policy: str) -> None:
        """Change the service's policy and wait until all hosts have it."""
        address = self.hosts['a']
        path = f'/operator/table/service/{SERVICE}'
        row = call(address, 'GET', path, headers=OPERATOR)[1]
        if row['fields']['policy'] == policy:
            return
        row['fields']['policy'] = policy
        status, body = call(address, 'PUT', path, row, OPERATOR)
        if status >= 300:  # noqa: WPS432
            raise ConnectionError(str(body))
        self.settle()

    def caller(
        self,
        hosts: str,
        max_tokens: int,
        key: str = '',
        **wanted: Any,
    ) -> Caller:
        """Start a caller of hosts in turn, such as ``ab``.

        Each asks for a text of its own, those with a key for the key's.
        """
        number = next(self.numbers)
        prompt = f'{key or number} quiet streets by the lake'
        started = Caller(
            CallerOptions(
                completion(prompt, max_tokens),
                caller_headers(),
                [self.hosts[name] for name in hosts],
                key,
                **wanted,
            ),
        )
        started.start()
        return started

    def reader(self, hosts: str, generation: str) -> Caller:
        """Start a caller that reads a generation from the beginning."""
        addresses = [self.hosts[name] for name in hosts]
        started = Caller(CallerOptions({}, caller_headers(), addresses))
        started.history.received.generation = generation
        started.start()
        return started

    def runs(self, generation: str = '') -> list[dict[str, Any]]:
        """Return the engines' runs, each with its engine's name."""
        return [
            {**run, 'engine': name}
            for name in self.engines
            for run in self.fleet.record(name)['runs']
            if generation in {'', run['generation']}
        ]

    def engine_of(self, caller: Caller) -> str:
        """Return the engine that works on a caller's generation.

        Raises:
            TimeoutError: none does.
        """
        return wait_until(
            lambda: self._working_on(caller.history.received.generation),
            'an engine to work on a generation',
        )

    def replica_of(self, caller: Caller, owner: str) -> str:
        """Return the host that holds a generation's journal first."""
        others = [
            name for name, place in HOSTS.items() if place != HOSTS[owner]
        ]
        return rendezvous_order(caller.history.received.generation, others)[0]

    def kill_engine(self, name: str) -> None:
        """End an engine's process."""
        self.fleet.kill(name)

    def restore_engine(self, name: str) -> None:
        """Start an engine again, wake it, and take its faults away."""
        member = self.fleet.members[name]
        if member.is_paused:
            self.fleet.resume(name)
        if not member.is_running:
            self.fleet.start_engine(
                name,
                models='narrative',
                listen=self.engines[name],
                **self.options,
            )
        self.fleet.control(name, dead=False, die_after_tokens=None)

    def restore_host(self, name: str) -> None:
        """Start a host again or wake it."""
        if self.fleet.members[name].is_paused:
            self.fleet.resume(name)
        if not self.fleet.members[name].is_running:
            self.rig.restart_host(name)

    def cut_zones(self) -> None:
        """Let no byte pass between the two zones' hosts."""
        for name, place in HOSTS.items():
            other = SECOND if place == FIRST else FIRST
            self.fleet.control(f'{name}-link', cut_sources=[other.ip])

    def mend_links(self) -> None:
        """Let all bytes pass again."""
        for name in HOSTS:
            self.fleet.control(f'{name}-link', cut_sources=[], cut=False)

    def restore(self) -> None:
        """Take all failures away and wait until the system is whole."""
        self.fleet.control('platform', down=False)
        for engine in self.engines:
            self.restore_engine(engine)
        for host in self.hosts:
            self.restore_host(host)
        self.mend_links()
        self.settle()

    def settle(self) -> None:
        """Wait until all hosts know each other and the same table."""
        wait_until(self._is_whole, 'the hosts to know each other', SETTLE_S)

    def check(self, callers: Iterable[Caller]) -> Findings:
        """Compare what callers received with the engines' records."""
        records = [self.fleet.record(name) for name in self.engines]
        return check_all(
            [caller.history.received for caller in callers],
            records,
        )

    def _working_on(self, generation: str) -> str:
        working = [
            run['engine']
            for run in self.runs(generation)
            if run.get('state') in WORKING
        ]
        return working[-1] if generation and working else ''

    def _is_whole(self) -> bool:
        revisions = set()
        for address in self.hosts.values():
            listed = call(address, 'GET', '/operator/hosts', headers=OPERATOR)
            names = {one['host'] for one in listed[1]['hosts']}
            if not names.issuperset(self.hosts):
                return False
            status = call(address, 'GET', '/operator/status', headers=OPERATOR)
            revisions.add(status[1]['revision'])
        return len(revisions) == 1


def wait_until(
    condition: Callable[[], Any],
    what: str,
    timeout_s: float = SETTLE_S,
) -> Any:
    """Return a condition's first true outcome.

    Raises:
        TimeoutError: it did not come true.
    """
    deadline = time.monotonic() + timeout_s
    while True:
        outcome = condition()
        if outcome:
            return outcome
        if time.monotonic() > deadline:
            raise TimeoutError(f'waited for {what}')
        time.sleep(POLL_S)
