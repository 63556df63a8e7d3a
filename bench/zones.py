"""Two availability zones of hosts and engines, with failure injection.

Hosts a and c are in the first zone, b and d in the second.  Other hosts reach
each of them through a separate link, so that the zones can be partitioned.
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
# Nothing connects out from this address, so no outgoing connection can take
# the port of a killed engine before it is restarted.
ENGINE_IP = '127.0.4.1'
CONVERGENCE_TIMEOUT_S = 12.0
POLL_INTERVAL_S = 0.02
ACTIVE_STATES = frozenset(('waiting', 'running'))
OPERATOR_AUTH = {'Authorization': f'Bearer {OPERATOR_KEY}'}


class Zones:
    """The started system.

    Attributes:
        fleet: its processes; stopped by the code that created it.
        hosts: addresses for callers, by name of the host.
        engines: addresses of engines, by name.
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
        """Start an engine at an address that it keeps when restarted."""
        listen = f'{ENGINE_IP}:0'
        self.rig.add_engine(name, place, listen=listen, **self.options)
        self.engines[name] = self.fleet.members[name].address

    def start_hosts(self, **sections: Any) -> None:
        """Start the hosts and fill the table."""
        for name, place in HOSTS.items():
            self.hosts[name] = self.rig.add_linked_host(name, place, **sections)
            if len(self.hosts) == 1:
                self.rig.fill_table(self.hosts[name])
        self.wait_for_convergence()

    def set_policy(self, policy: str) -> None:
        """Change the service's policy and wait until all hosts have it.

        Raises:
            ConnectionError: the host refused the change.
        """
        address = self.hosts['a']
        path = f'/operator/table/service/{SERVICE}'
        row = call(address, 'GET', path, headers=OPERATOR_AUTH)[1]
        if row['fields']['policy'] == policy:
            return
        row['fields']['policy'] = policy
        status, body = call(address, 'PUT', path, row, OPERATOR_AUTH)
        if status >= 300:  # noqa: WPS432
            raise ConnectionError(str(body))
        self.wait_for_convergence()

    def start_caller(
        self,
        hosts: str,
        max_tokens: int,
        key: str = '',
        **wanted: Any,
    ) -> Caller:
        """Start a caller that tries hosts in turn.

        Callers with the same key send the same prompt; each caller without a
        key sends a different one.

        Args:
            hosts: one-letter names of the hosts, such as ``ab``.
            max_tokens: number of tokens to generate.
            key: Idempotency-Key, empty to send none.
            wanted: further fields of `CallerOptions`.
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

    def start_reader(self, hosts: str, generation: str) -> Caller:
        """Start a caller that reads an existing generation from its start."""
        addresses = [self.hosts[name] for name in hosts]
        started = Caller(CallerOptions({}, caller_headers(), addresses))
        started.history.received.generation = generation
        started.start()
        return started

    def runs(self, generation: str = '') -> list[dict[str, Any]]:
        """Return the recorded runs of a generation, or of all when empty.

        Each run has the name of its engine as ``engine``.
        """
        return [
            {**run, 'engine': name}
            for name in self.engines
            for run in self.fleet.record(name)['runs']
            if generation in {'', run['generation']}
        ]

    def engine_of(self, caller: Caller) -> str:
        """Wait for an engine to run a caller's generation and return its name.

        Raises:
            TimeoutError: no engine runs it in time.
        """
        return wait_until(
            lambda: self._engine_working_on(caller.history.received.generation),
            'an engine to work on a generation',
        )

    def replica_of(self, caller: Caller, owner: str) -> str:
        """Return the host that is first choice for the journal's replica."""
        others = [
            name for name, place in HOSTS.items() if place != HOSTS[owner]
        ]
        return rendezvous_order(caller.history.received.generation, others)[0]

    def kill_engine(self, name: str) -> None:
        """Kill an engine's process."""
        self.fleet.kill(name)

    def restore_engine(self, name: str) -> None:
        """Resume or restart an engine and clear its faults."""
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
        """Resume or restart a host."""
        if self.fleet.members[name].is_paused:
            self.fleet.resume(name)
        if not self.fleet.members[name].is_running:
            self.rig.restart_host(name)

    def cut_zones(self) -> None:
        """Block all traffic between the hosts of the two zones."""
        for name, place in HOSTS.items():
            other = SECOND if place == FIRST else FIRST
            self.fleet.control(f'{name}-link', cut_sources=[other.ip])

    def restore_links(self) -> None:
        """Unblock the links of all hosts."""
        for name in HOSTS:
            self.fleet.control(f'{name}-link', cut_sources=[], cut=False)

    def restore(self) -> None:
        """Clear all failures and wait until the hosts have converged."""
        self.fleet.control('platform', down=False)
        for engine in self.engines:
            self.restore_engine(engine)
        for host in self.hosts:
            self.restore_host(host)
        self.restore_links()
        self.wait_for_convergence()

    def wait_for_convergence(self) -> None:
        """Wait until all hosts know each other and have the same table.

        Raises:
            TimeoutError: they did not within `CONVERGENCE_TIMEOUT_S`.
        """
        wait_until(
            self._has_converged,
            'the hosts to know each other',
            CONVERGENCE_TIMEOUT_S,
        )

    def check(self, callers: Iterable[Caller]) -> Findings:
        """Compare what callers received with the engines' records."""
        records = [self.fleet.record(name) for name in self.engines]
        return check_all(
            [caller.history.received for caller in callers],
            records,
        )

    def _engine_working_on(self, generation: str) -> str:
        working = [
            run['engine']
            for run in self.runs(generation)
            if run.get('state') in ACTIVE_STATES
        ]
        return working[-1] if generation and working else ''

    def _has_converged(self) -> bool:
        revisions = set()
        for address in self.hosts.values():
            listed = call(
                address, 'GET', '/operator/hosts', headers=OPERATOR_AUTH
            )
            names = {host['host'] for host in listed[1]['hosts']}
            if not names.issuperset(self.hosts):
                return False
            status = call(
                address, 'GET', '/operator/status', headers=OPERATOR_AUTH
            )
            revisions.add(status[1]['revision'])
        return len(revisions) == 1


def wait_until(
    condition: Callable[[], Any],
    description: str,
    timeout_s: float = CONVERGENCE_TIMEOUT_S,
) -> Any:
    """Poll a condition and return its first true value.

    Raises:
        TimeoutError: it stayed false; the message holds ``description``.
    """
    deadline = time.monotonic() + timeout_s
    while True:
        outcome = condition()
        if outcome:
            return outcome
        if time.monotonic() > deadline:
            raise TimeoutError(f'waited for {description}')
        time.sleep(POLL_INTERVAL_S)
