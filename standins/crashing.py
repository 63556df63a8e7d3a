"""Engines that requests crash, and that come back as new instances."""

from __future__ import annotations

import threading
import time

from standins.fronts import PlatformRig

POLL_S = 0.02


class CrashingEngines(threading.Thread):
    """Runs engines that requests crash; replaces those that ended.

    Attributes:
        rig: the platform that the engines belong to.
        service: service of the engines.
        switches: what crashes an engine, as switches of the stand-in.
        zones: availability zone of each running engine, by name.
        crashes: when each engine was seen to have ended, by name, monotonic
            seconds.
        started: number of engines started so far.
        stopped: event that ends the replacement of engines.
        replacing: held while an engine is replaced.
    """

    def __init__(self, rig: PlatformRig, service: str, **switches: str) -> None:
        super().__init__(daemon=True)
        self.rig = rig
        self.service = service
        self.switches = switches
        self.zones: dict[str, str] = {}
        self.crashes: dict[str, float] = {}
        self.started = 0
        self.stopped = threading.Event()
        self.replacing = threading.Lock()

    def add(self, zone: str) -> None:
        """Start and register an engine."""
        self.started += 1
        name = f'engine-{self.started}'
        self.rig.add_server(name, self.service, zone, **self.switches)
        self.zones[name] = zone

    def run(self) -> None:
        """Replace engines that have ended, until stopped."""
        while not self.stopped.wait(POLL_S):
            members = self.rig.fleet.members
            ended = [
                name
                for name in tuple(self.zones)
                if not members[name].is_running
            ]
            for name in ended:
                with self.replacing:
                    self._replace(name, self.zones.pop(name))

    def mend(self) -> None:
        """Let no engine crash any more; return when all are running."""
        # An engine that is being started has the former switches.
        with self.replacing:
            self.switches = dict.fromkeys(self.switches, '')
        while self.count_running() < len(self.zones):
            time.sleep(POLL_S)
        for name in tuple(self.zones):
            self.rig.fleet.control(name, **self.switches)

    def count_running(self) -> int:
        """Return how many of the current engines run."""
        members = self.rig.fleet.members
        names = tuple(self.zones)
        return sum(members[name].is_running for name in names)

    def stop(self) -> None:
        """Stop the replacement; engines started by it end as well."""
        self.stopped.set()
        self.join()

    def _replace(self, name: str, zone: str) -> None:
        self.crashes[name] = time.monotonic()
        self.rig.servers.pop(name)
        self.rig.put('servers', name, None)
        self.add(zone)
