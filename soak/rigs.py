"""The processes of a soak and what harms them."""

from __future__ import annotations

import secrets
import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from http import HTTPStatus

from soak.faults import (
    ChangeKey,
    DrainServer,
    HarmLink,
    HarmStore,
    KillFront,
    KillServer,
    LeaveFront,
    PauseFront,
    PauseServer,
    ReloadFront,
    SpoilServer,
)
from soak.records import Evidence, Span, read_runs
from soak.schedules import Event, Targets
from standins.fronts import PlatformRig
from standins.launching import Fleet

FRONTS = {'f1': 'north-1', 'f2': 'north-1', 'f3': 'north-2', 'f4': 'north-2'}
SERVERS = {
    'e1': ('narrator', 'north-1'),
    'e2': ('narrator', 'north-2'),
    'e3': ('narrator', 'north-1'),
    'd1': ('desk', 'north-1'),
    'd2': ('desk', 'north-2'),
}
ENTRY_LAPSES_S = 1.5  # three short heartbeats
DRAIN_S = 2.5  # a leaving server serves on for this long
END_LATE_S = 5.0  # grace time of a front and its last second
CHECK_PERIOD_S = 0.05
STARTS_S = 3.0  # a front that is loading on a busy machine
# What ends a harm, by switch; others are set to false.
CALM: dict[str, float | None] = {
    'delay_ms': 0,
    'late_ms': 0,
    'status': HTTPStatus.OK,
    'break_after': None,
}


class SoakRig(PlatformRig):
    """Fronts, servers and a store, with a link before each of them.

    Attributes:
        evidence: what happened, as far as the rig knows it.
        callers_at: where callers reach each front.
        current: the server that holds each place.
        began: how many servers there were.
        started_s: when a front was last started again.
    """

    def __init__(self, fleet: Fleet) -> None:
        super().__init__(fleet)
        self.evidence = Evidence()
        self.lock = threading.Lock()
        # Processes end with the thread that started them, so this one stays.
        self.starter = ThreadPoolExecutor(1)
        self.callers_at: dict[str, str] = {}
        self.current: dict[str, str] = {}
        self.began = 0
        self.started_s: dict[str, float] = {}
        for place in SERVERS:
            self.add_place(place)
        for name, zone in FRONTS.items():
            store = fleet.start_link(f'store-{name}', self.store)
            self.add_front(name, store.address, zone=zone, shares=True)
            link = fleet.start_link(f'caller-{name}', self.fronts[name])
            self.callers_at[name] = link.address

    def targets(self) -> Targets:
        """Return what may be harmed."""
        links = [
            *(f'store-{name}' for name in FRONTS),
            *(f'caller-{name}' for name in FRONTS),
            *(f'server-{place}' for place in SERVERS),
        ]
        return Targets(tuple(FRONTS), tuple(SERVERS), tuple(links))

    def add_place(self, place: str) -> None:
        """Start a server for a place and let it register."""
        self.began += 1
        name = f'{place}-{self.began}'
        server = self.start_server(name)
        link = self.fleet.start_link(f'server-{name}', server)
        self.servers[name] = link.address
        self.current[place] = name
        self.register(name, *SERVERS[place])

    def play(self, event: Event) -> None:
        """Let a fault happen; returns when it is over."""
        began_s = time.monotonic()
        try:
            hit = self.apply(event)
        except Exception as error:
            self.evidence.errors.append(f'the soak failed: {event}: {error!r}')
            raise
        ended_s = time.monotonic()
        for what in hit:
            span = Span(began_s, ended_s, what, repr(event))
            self.evidence.harmed.append(span)

    def apply(self, event: Event) -> list[str]:
        """Do what an event says; return the names of what it harmed."""
        match event.fault:
            case KillFront(name) | LeaveFront(name) | PauseFront(name):
                self.apply_to_front(event)
                return [name]
            case ReloadFront(front):
                self.signal(front, signal.SIGHUP)
            case ChangeKey():
                self.change_key()
            case HarmStore(switch, setting):
                self.switch('store', switch, setting, event.span_s)
            case HarmLink(link, switch, setting):
                return self.harm_link(link, switch, setting, event.span_s)
            case _:
                return self.apply_to_server(event)
        return []

    def apply_to_front(self, event: Event) -> None:
        """Stop a front for a while, one way or another."""
        match event.fault:
            case KillFront(front):
                self.fleet.kill(front)
                time.sleep(event.span_s)
                self.start_again(front)
            case LeaveFront(front):
                self.leave(front)
            case PauseFront(front):
                self.pause(front, event.span_s)

    def apply_to_server(self, event: Event) -> list[str]:
        """Do what an event says to the server that holds a place."""
        name = self.current[event.fault.server]
        match event.fault:
            case KillServer(place):
                self.fleet.kill(name)
                time.sleep(ENTRY_LAPSES_S)
                self.put('servers', name, None)
                time.sleep(event.span_s)
                self.replace(place, name)
            case DrainServer(place) if not self.is_up(name):
                pass  # it was killed before it could say so
            case DrainServer(place):
                self.register(name, *SERVERS[place], state='draining', seq=2)
                self.replace(place, name)
                time.sleep(DRAIN_S + event.span_s)
                self.put('servers', name, None)
                self.fleet.kill(name)
            case PauseServer():
                self.pause(name, event.span_s)
            case SpoilServer(_, switch, setting):
                self.switch(name, switch, setting, event.span_s)
        return [name]

    def is_up(self, name: str) -> bool:
        """Tell whether a process runs."""
        member = self.fleet.members[name]
        return member.is_running and not member.is_paused

    def replace(self, place: str, name: str) -> None:
        """Start another server, unless one has come meanwhile."""
        with self.lock:
            if self.current[place] == name:
                self.starter.submit(self.add_place, place).result()

    def harm_link(
        self,
        link: str,
        switch: str,
        setting: bool | float,
        span_s: float,
    ) -> list[str]:
        """Harm a link; return the name of what lies behind or before it."""
        side, _, name = link.partition('-')
        if side == 'server':
            name = self.current[name]
            link = f'server-{name}'
        self.switch(link, switch, setting, span_s)
        return [name]

    def switch(
        self,
        name: str,
        switch: str,
        setting: bool | float,
        span_s: float,
    ) -> None:
        """Set a switch of a stand-in for a while."""
        member = self.fleet.members[name]
        if not self.is_up(name):
            return
        self.fleet.control(name, **{switch: setting})
        time.sleep(span_s)
        while member.is_paused:
            time.sleep(CHECK_PERIOD_S)
        if member.is_running:
            self.fleet.control(name, **{switch: CALM.get(switch, False)})

    def pause(self, name: str, span_s: float) -> None:
        """Stop a process for a while."""
        member = self.fleet.members[name]
        self.fleet.pause(name)
        time.sleep(span_s)
        member.process.send_signal(signal.SIGCONT)
        member.is_paused = False

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process."""
        process = self.fleet.members[name].process
        process.send_signal(number)

    def leave(self, front: str) -> None:
        """Ask a front to end, and start it again."""
        member = self.fleet.members[front]
        if not member.is_running:
            return
        member.process.terminate()
        ends_s = time.monotonic() + END_LATE_S
        while member.is_running and time.monotonic() < ends_s:
            time.sleep(CHECK_PERIOD_S)
        if member.is_running and not self.was_paused(front):
            self.evidence.exits.append(f'{front} is still there')
        member.process.kill()
        member.process.wait()
        self.start_again(front)

    def was_paused(self, front: str) -> bool:
        """Tell whether a front was stopped a short time ago."""
        since_s = time.monotonic() - END_LATE_S
        paused = self.fleet.members[front].is_paused
        return paused or any(
            span.what == front and span.ended_s > since_s
            for span in self.evidence.harmed
        )

    def start_again(self, front: str) -> None:
        """Start a front that has ended, unless it runs."""
        with self.lock:
            if not self.fleet.members[front].is_running:
                self.starter.submit(self.fleet.restart_front, front).result()
                self.started_s[front] = time.monotonic()

    def change_key(self) -> None:
        """Replace the newest key."""
        with self.lock:
            old = self.keys[-1]
            self.keys.append(secrets.token_hex(8))
            self.configure()
            self.evidence.keys[old] = time.monotonic()

    def configuration(self) -> dict[str, object]:
        """Return the configuration; only the newest key is valid."""
        told = super().configuration()
        told['tenants'] = [{'name': 'lakeshore', 'apiKeys': self.keys[-1:]}]
        return told

    def watch_exits(self) -> None:
        """Note fronts that have ended with an error."""
        for name in FRONTS:
            process = self.fleet.members[name].process
            code = process.poll()
            if code is None or code in {0, -signal.SIGKILL}:
                continue
            started_s = self.started_s.get(name, float('-inf'))
            starting = time.monotonic() < started_s + STARTS_S
            # It had accepted nothing, so it may end without its requests.
            if code == -signal.SIGTERM and starting:
                continue
            self.evidence.exits.append(f'{name}: {code}')

    def close_evidence(self) -> Evidence:
        """Read what servers and fronts wrote."""
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
