"""Finds the parts of a collected timeline that are missing."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from celerywharf.timeline._recorder import Event


@dataclass(frozen=True, slots=True)
class Gap:
    """A period for which the events of a host are missing.

    Attributes:
        host: name of the host.
        after_micros: hybrid time of the last known event before the gap,
            microseconds since 1970; 0 when there is none.
        reason: why the events are missing, for people to read.
    """

    host: str
    after_micros: int
    reason: str


def find_gaps(
    events: Iterable[Event], silent_hosts: Iterable[str]
) -> list[Gap]:
    """Return a gap for each silent host and each earlier incarnation.

    Events that an incarnation recorded after its last stored batch are lost
    when it ends, so a gap follows its last known event.

    Args:
        events: the collected events.
        silent_hosts: names of hosts whose memory could not be read.
    """
    last_micros: dict[str, dict[int, int]] = {}
    for event in events:
        runs = last_micros.setdefault(event.host, {})
        runs[event.incarnation] = max(
            runs.get(event.incarnation, 0),
            event.stamp.micros,
        )
    gaps = []
    for host, runs in last_micros.items():
        latest = max(runs)
        gaps.extend(
            Gap(host, micros, 'the host was restarted')
            for incarnation, micros in runs.items()
            if incarnation != latest
        )
    for host in silent_hosts:
        known = last_micros.get(host, {})
        micros = max(known.values(), default=0)
        gaps.append(Gap(host, micros, 'the host does not answer'))
    return sorted(gaps, key=lambda gap: (gap.after_micros, gap.host))
