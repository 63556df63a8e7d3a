"""Finds what is missing from a collected time line."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from celerywharf.timeline._recorder import Event


@dataclass(frozen=True, slots=True)
class Gap:
    """A host's part that could not be had.

    Attributes:
        host: whose events are missing.
        after_micros: time of the last event that is there, 0 when none is.
        reason: why, for a person.
    """

    host: str
    after_micros: int
    reason: str


def find_gaps(
    events: Iterable[Event], silent_hosts: Iterable[str]
) -> list[Gap]:
    """Return a gap for each host that did not answer or restarted.

    What a run recorded after its last shipped batch is lost with it, so the
    last known event of every earlier run ends in a gap too.
    """
    last: dict[str, dict[int, int]] = {}
    for event in events:
        runs = last.setdefault(event.host, {})
        runs[event.incarnation] = max(
            runs.get(event.incarnation, 0),
            event.stamp.micros,
        )
    gaps = []
    for host, runs in last.items():
        latest = max(runs)
        gaps.extend(
            Gap(host, micros, 'the host was restarted')
            for incarnation, micros in runs.items()
            if incarnation != latest
        )
    for host in silent_hosts:
        known = last.get(host, {})
        micros = max(known.values(), default=0)
        gaps.append(Gap(host, micros, 'the host does not answer'))
    return sorted(gaps, key=lambda gap: (gap.after_micros, gap.host))
