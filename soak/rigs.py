"""Processes of a soak, and the faults injected into them."""

from __future__ import annotations

import contextlib
import signal
import time
from collections.abc import Iterable, Iterator
from concurrent.futures import ThreadPoolExecutor
from http import HTTPStatus

from soak.entries import EnlargeEntries, MalformPriority, WriteEntries
from soak.faults import (
    ChangeKey,
    DrainServer,
    HarmLink,
    HarmStore,
    KillFront,
    KillFronts,
    KillReaders,
    KillServer,
    LeaveFront,
    PauseFront,
    PauseServer,
    ReloadFront,
    SpoilServer,
)
from soak.records import Disruption, Evidence, read_runs
from soak.schedules import Event, Targets
from soak.writers import WritingRig
from standins.launching import Fleet
from standins.processes import ManagedProcess

# Availability zone of each front.
FRONTS = {'f1': 'north-1', 'f2': 'north-1', 'f3': 'north-2', 'f4': 'north-2'}
# Service and availability zone of each backend server.
SERVERS = {
    'e1': ('narrator', 'north-1'),
    'e2': ('narrator', 'north-2'),
    'e3': ('narrator', 'north-1'),
    'd1': ('desk', 'north-1'),
    'd2': ('desk', 'north-2'),
}
# The platform drops the entry of a server after three short heartbeats.
ENTRY_EXPIRY_S = 1.5
DRAIN_PERIOD_S = 2.5  # a draining server keeps serving this long
FRONT_EXIT_TIMEOUT_S = 5.0  # grace period of a front, 4 s, and 1 s more
POLL_PERIOD_S = 0.05
KILL_TIMEOUT_S = 1.0  # from the kernel's signal to the end of the process
FRONT_STARTUP_S = 3.0  # time that a front takes to start on a busy machine
# Values that end a fault, by switch; all other switches are set to false.
NORMAL_SETTINGS: dict[str, float | None] = {
    'delay_ms': 0,
    'late_ms': 0,
    'status': HTTPStatus.OK,
    'break_after': None,
}


@contextlib.contextmanager
def unless_killed(member: ManagedProcess) -> Iterator[None]:
    """Pass over a call that fails because another fault ends the process.

    Raises:
        OSError: the call failed, but the process runs on.
    """
    try:
        yield
    except OSError:
        ends_s = time.monotonic() + KILL_TIMEOUT_S
        while member.is_running and time.monotonic() < ends_s:
            time.sleep(POLL_PERIOD_S)
        if member.is_running:
            raise


class SoakRig(WritingRig):
    """Fronts, backend servers and a store, with links between them.

    Each server in `SERVERS` is run by one process at a time. When a fault ends
    it, a new process with a new name, the next instance, replaces it.

    Attributes:
        caller_addresses: address at which callers reach each front.
        current_instances: name of the current instance of each server.
        instances_started: number of instances started so far.
        restarted_s: monotonic time of the last restart of each front.
    """

    def __init__(self, fleet: Fleet) -> None:
        super().__init__(fleet)
        self.evidence.fronts = tuple(FRONTS)
        # The system kills a process when the thread that started it ends, so
        # all restarts run on this thread, which outlives the faults.
        self.starter = ThreadPoolExecutor(1)
        self.caller_addresses: dict[str, str] = {}
        self.current_instances: dict[str, str] = {}
        self.instances_started = 0
        self.restarted_s: dict[str, float] = {}
        for server in SERVERS:
            self.start_instance(server)
        for name, zone in FRONTS.items():
            store = fleet.start_link(f'store-{name}', self.store)
            self.add_front(name, store.address, zone=zone, shares=True)
            link = fleet.start_link(f'caller-{name}', self.fronts[name])
            self.caller_addresses[name] = link.address

    def targets(self) -> Targets:
        """Return the names that faults may affect."""
        links = [
            *(f'store-{name}' for name in FRONTS),
            *(f'caller-{name}' for name in FRONTS),
            *(f'server-{server}' for server in SERVERS),
        ]
        return Targets(tuple(FRONTS), tuple(SERVERS), tuple(links))

    def start_instance(self, server: str) -> None:
        """Start and register a new instance of a server."""
        self.instances_started += 1
        name = f'{server}-{self.instances_started}'
        address = self.start_server(name)
        link = self.fleet.start_link(f'server-{name}', address)
        self.servers[name] = link.address
        self.current_instances[server] = name
        self.register(name, *SERVERS[server])

    def inject(self, event: Event) -> None:
        """Inject a fault; return when it has ended and is recorded."""
        began_s = time.monotonic()
        try:
            affected = self.apply(event)
        except Exception as error:
            self.evidence.errors.append(
                f'fault injection failed: {event}: {error!r}'
            )
            raise
        ended_s = time.monotonic()
        for name in affected:
            disruption = Disruption(began_s, ended_s, name, repr(event))
            self.evidence.disruptions.append(disruption)

    def apply(self, event: Event) -> list[str]:
        """Apply a fault for its span; return the fronts or servers affected."""
        match event.fault:
            case KillFront(name) | LeaveFront(name) | PauseFront(name):
                self.apply_to_front(event)
                return [name]
            case KillFronts(fronts):
                return self.kill_fronts(fronts, event.span_s)
            case KillReaders():
                return self.kill_fronts(self.find_readers(FRONTS), event.span_s)
            case WriteEntries():
                self.write_entries(event.fault, event.span_s)
            case EnlargeEntries():
                self.enlarge_entries(event.fault)
            case MalformPriority():
                self.malform_priority(event.fault)
            case ReloadFront(front):
                self.signal(front, signal.SIGHUP)
            case ChangeKey():
                self.rotate_key()
            case HarmStore(switch, setting):
                self.hold_switch('store', switch, setting, event.span_s)
            case HarmLink(link, switch, setting):
                return self.harm_link(link, switch, setting, event.span_s)
            case _:
                return self.apply_to_server(event)
        return []

    def apply_to_front(self, event: Event) -> None:
        """Kill, restart or suspend a front."""
        match event.fault:
            case KillFront(front):
                self.fleet.kill(front)
                time.sleep(event.span_s)
                self.restart_if_ended(front)
            case LeaveFront(front):
                self.terminate_front(front)
            case PauseFront(front):
                self.pause(front, event.span_s)

    def kill_fronts(self, fronts: Iterable[str], span_s: float) -> list[str]:
        """Kill fronts and restart them after a span; return their names."""
        for front in fronts:
            self.fleet.kill(front)
        time.sleep(span_s)
        for front in fronts:
            self.restart_if_ended(front)
        return list(fronts)

    def apply_to_server(self, event: Event) -> list[str]:
        """Apply a fault to the current instance of a server; return it."""
        name = self.current_instances[event.fault.server]
        match event.fault:
            case KillServer(server):
                with unless_killed(self.fleet.members[name]):
                    self.fleet.kill(name)
                time.sleep(ENTRY_EXPIRY_S)
                self.put('servers', name, None)
                time.sleep(event.span_s)
                self.replace_instance(server, name)
            case DrainServer(server) if not self.is_responsive(name):
                pass  # already killed or suspended, so it cannot drain
            case DrainServer(server):
                with unless_killed(self.fleet.members[name]):
                    self.register(
                        name, *SERVERS[server], state='draining', seq=2
                    )
                self.replace_instance(server, name)
                time.sleep(DRAIN_PERIOD_S + event.span_s)
                self.put('servers', name, None)
                with unless_killed(self.fleet.members[name]):
                    self.fleet.kill(name)
            case PauseServer():
                self.pause(name, event.span_s)
            case SpoilServer(_, switch, setting):
                self.hold_switch(name, switch, setting, event.span_s)
        return [name]

    def is_responsive(self, name: str) -> bool:
        """Return whether a process runs and is not suspended."""
        member = self.fleet.members[name]
        return member.is_running and not member.is_paused

    def replace_instance(self, server: str, name: str) -> None:
        """Start a new instance, unless this one has been replaced already."""
        with self.lock:
            if self.current_instances[server] == name:
                self.starter.submit(self.start_instance, server).result()

    def harm_link(
        self,
        link: str,
        switch: str,
        setting: bool | float,
        span_s: float,
    ) -> list[str]:
        """Disturb a link; return the front or server that it belongs to."""
        side, _, name = link.partition('-')
        if side == 'server':
            name = self.current_instances[name]
            link = f'server-{name}'
        self.hold_switch(link, switch, setting, span_s)
        return [name]

    def hold_switch(
        self,
        name: str,
        switch: str,
        setting: bool | float,
        span_s: float,
    ) -> None:
        """Set a switch of a running stand-in for a span, then restore it."""
        member = self.fleet.members[name]
        if not self.is_responsive(name):
            return
        with unless_killed(member):
            self.fleet.control(name, **{switch: setting})
        time.sleep(span_s)
        while member.is_paused:
            time.sleep(POLL_PERIOD_S)
        if member.is_running:
            with unless_killed(member):
                self.fleet.control(
                    name, **{switch: NORMAL_SETTINGS.get(switch, False)}
                )

    def pause(self, name: str, span_s: float) -> None:
        """Suspend a process for a span."""
        member = self.fleet.members[name]
        self.fleet.pause(name)
        time.sleep(span_s)
        member.process.send_signal(signal.SIGCONT)
        member.is_paused = False

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process."""
        process = self.fleet.members[name].process
        process.send_signal(number)

    def terminate_front(self, front: str) -> None:
        """End a front with SIGTERM and restart it.

        One that does not exit in time is killed; that is recorded unless
        another fault affected the front meanwhile.
        """
        member = self.fleet.members[front]
        if not member.is_running:
            return
        member.process.terminate()
        exit_deadline_s = time.monotonic() + FRONT_EXIT_TIMEOUT_S
        while member.is_running and time.monotonic() < exit_deadline_s:
            time.sleep(POLL_PERIOD_S)
        if member.is_running and not self.was_recently_disrupted(front):
            self.evidence.exits.append(f'{front} did not exit after SIGTERM')
        member.process.kill()
        member.process.wait()
        self.restart_if_ended(front)

    def was_recently_disrupted(self, front: str) -> bool:
        """Return whether a front is suspended or a fault just affected it."""
        since_s = time.monotonic() - FRONT_EXIT_TIMEOUT_S
        paused = self.fleet.members[front].is_paused
        return paused or any(
            disruption.target_name == front and disruption.ended_s > since_s
            for disruption in self.evidence.disruptions
        )

    def restart_if_ended(self, front: str) -> None:
        """Start a front again if it has ended."""
        with self.lock:
            if not self.fleet.members[front].is_running:
                self.starter.submit(self.fleet.restart_front, front).result()
                self.restarted_s[front] = time.monotonic()

    def add_servers(self) -> None:
        """Add a server to each zone, which all fronts have yet to learn of."""
        for zone in dict.fromkeys(FRONTS.values()):
            name = f'added-{zone}'
            self.add_server(name, 'desk', zone)
            self.evidence.added_servers += (name,)

    def record_failed_exits(self) -> None:
        """Record fronts that have exited with an error."""
        for name in FRONTS:
            process = self.fleet.members[name].process
            code = process.poll()
            if code is None or code in {0, -signal.SIGKILL}:
                continue
            restarted_s = self.restarted_s.get(name, float('-inf'))
            starting = time.monotonic() < restarted_s + FRONT_STARTUP_S
            # A front that is still starting has accepted no request, so it may
            # exit on SIGTERM at once.
            if code == -signal.SIGTERM and starting:
                continue
            self.evidence.exits.append(f'{name}: {code}')

    def collect_evidence(self) -> Evidence:
        """Return the evidence with the runs of servers and errors of fronts."""
        paths = sorted(self.fleet.folder.glob('*.runs'))
        self.evidence.runs = read_runs(paths)
        for name in FRONTS:
            lines = self.fleet.log(name).splitlines()
            self.evidence.errors.extend(
                f'{name}: {line}'
                for line in lines
                if '"level": "error"' in line or 'Traceback' in line
            )
        return self.evidence
