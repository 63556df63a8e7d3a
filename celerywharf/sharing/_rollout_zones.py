"""What the readers of other zones have told the host that decides."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import TypeVar

from celerywharf.rollouts import COUNTED_S, ServiceTally

# A zone that has told nothing for longer has no reader for now.
SILENT_S = 1.5
# Its counts are not waited for longer: by then another host of the zone would
# have become its reader.
GONE_S = 2.5

Tallies = dict[str, ServiceTally]
Time = TypeVar('Time')


@dataclass(slots=True)
class ZoneReports:
    """When a zone has told its counts, in monotonic seconds.

    Attributes:
        first_s: the first report without a longer pause until the last.
        last_s: the last report.
    """

    first_s: float
    last_s: float

    def record(self, now_s: float) -> None:
        """Record a report."""
        if now_s - self.last_s > SILENT_S:
            self.first_s = now_s
        self.last_s = now_s

    def is_complete(self, now_s: float) -> bool:
        """Return whether the counts of all hosts of the zone are known."""
        is_recent = now_s - self.last_s <= SILENT_S
        return is_recent and now_s - self.first_s >= COUNTED_S


class ZoneCounts:
    """The counts of other zones, and whether they are complete.

    All times are monotonic seconds.  Each service may have a host of its own
    that decides.

    Attributes:
        tallies: the counts by zone and service.
        reports: when each zone told them, by service and zone.
        complete_s: when they were last complete here, or at the host that
            decided before, by service and zone.
    """

    def __init__(self) -> None:
        self.tallies: dict[str, Tallies] = {}
        self.reports: dict[tuple[str, str], ZoneReports] = {}
        self.complete_s: dict[tuple[str, str], float] = {}

    def learn(self, zone: str, tallies: Tallies, now_s: float) -> None:
        """Learn the counts of a zone."""
        known = self.tallies.setdefault(zone, {})
        for service, tally in tallies.items():
            _keep_totals(tally, known.get(service))
            reports = self.reports.setdefault(
                (service, zone), ZoneReports(now_s, now_s)
            )
            reports.record(now_s)
        known.update(tallies)

    def of_order(self, service: str, version: int) -> dict[str, ServiceTally]:
        """Return the counts of a service by zone, since an order."""
        return {
            zone: tallies[service]
            for zone, tallies in self.tallies.items()
            if service in tallies and tallies[service].order_version == version
        }

    def decided_until(self, service: str, zone: str, now_s: float) -> None:
        """Record that another host decides, in a zone that answers."""
        self.complete_s[service, zone] = now_s

    def are_complete(
        self, service: str, zones: Iterable[str], now_s: float
    ) -> bool:
        """Return whether the counts of a service are known of all zones.

        Those of a zone that has told nothing for some time are not waited
        for: all of its hosts may be lost, and its row does not expire.
        """
        waits = False
        for zone in zones:
            reports = self.reports.get((service, zone))
            if reports is not None and reports.is_complete(now_s):
                self.complete_s[service, zone] = now_s
                continue
            since_s = self.complete_s.setdefault((service, zone), now_s)
            waits |= now_s - since_s < GONE_S
        return not waits

    def forget_reports(self, service: str) -> None:
        """Forget when zones told their counts, as they tell another host."""
        self.reports = _without(service, self.reports)
        self.complete_s = _without(service, self.complete_s)

    def clear(self) -> None:
        """Forget all counts."""
        self.tallies.clear()
        self.reports.clear()
        self.complete_s.clear()


def _without(
    service: str, times: dict[tuple[str, str], Time]
) -> dict[tuple[str, str], Time]:
    return {key: time for key, time in times.items() if key[0] != service}


def _keep_totals(tally: ServiceTally, known: ServiceTally | None) -> None:
    """Keep the totals of a zone whose hosts have been lost meanwhile."""
    if known is not None and known.order_version == tally.order_version:
        tally.requests = max(tally.requests, known.requests)
        tally.exposed = max(tally.exposed, known.exposed)
