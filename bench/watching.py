"""Watches the rows in force at each host and judges them afterwards."""

import bisect
import json
import threading
import time
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from http import client

from standins.clusters import HEADERS, Member
from standins.serving import split_address

PERIOD_S = 0.02
TIMEOUT_S = 10


@dataclass(frozen=True, slots=True)
class Sample:
    """What a host had in force.

    Attributes:
        at_s: monotonic time of the answer.
        revision: revision of the table.
        limits: version and limit of each share by key.
    """

    at_s: float
    revision: int
    limits: Mapping[str, tuple[int, int]]


@dataclass(slots=True)
class Outages:
    """When a host could not be reached, as pairs of monotonic times."""

    spans: list[tuple[float, float]] = field(default_factory=list)

    def reachable_since(self, start_s: float, end_s: float) -> float:
        """Return the end of the last outage that overlaps, else the start."""
        ends = [
            min(until, end_s)
            for since, until in self.spans
            if since < end_s and until > start_s
        ]
        return max([start_s, *ends])


class Watcher(threading.Thread):
    """Asks one host again and again.

    Attributes:
        samples: what it answered, in order.
    """

    def __init__(self, member: Member) -> None:
        super().__init__(daemon=True)
        self.member = member
        self.samples: list[Sample] = []
        self.stopping = threading.Event()

    def run(self) -> None:
        """Ask until stopped; a host that does not answer is asked again."""
        while not self.stopping.is_set():
            try:
                self._ask_on()
            except (OSError, client.HTTPException):
                self.stopping.wait(PERIOD_S)

    def revision(self) -> int:
        """Return the revision last seen."""
        return self.samples[-1].revision if self.samples else 0

    def first_with(self, revision: int) -> float | None:
        """Return when the host was first seen at or beyond a revision."""
        index = bisect.bisect_left(
            self.samples,
            revision,
            key=lambda sample: sample.revision,
        )
        if index == len(self.samples):
            return None
        return self.samples[index].at_s

    def reverts(self) -> int:
        """Count the samples in which something had gone back."""
        count = 0
        latest: dict[str, int] = {}
        revision = 0
        for sample in self.samples:
            versions = {key: one[0] for key, one in sample.limits.items()}
            count += sample.revision < revision or any(
                versions.get(key, 0) < version
                for key, version in latest.items()
            )
            revision = max(revision, sample.revision)
            latest = {
                key: max(version, latest.get(key, 0))
                for key, version in versions.items()
            }
        return count

    def _ask_on(self) -> None:
        host, port = split_address(self.member.edge)
        connection = client.HTTPConnection(host, port, timeout=TIMEOUT_S)
        try:
            while not self.stopping.wait(PERIOD_S):
                connection.request(
                    'GET',
                    '/operator/table?kind=share',
                    headers=HEADERS,
                )
                self._keep(connection.getresponse().read())
        finally:
            connection.close()

    def _keep(self, body: bytes) -> None:
        answer = json.loads(body)
        limits = {
            row['key']: (row['version'], row['fields']['limit'])
            for row in answer['rows']
        }
        sample = Sample(time.monotonic(), answer['revision'], limits)
        self.samples.append(sample)


def percentile(values: Iterable[float], ratio: float) -> float:
    """Return a quantile by the nearest rank; 0 of nothing."""
    ordered = sorted(values)
    if not ordered:
        return 0
    rank = min(len(ordered) - 1, int(ratio * len(ordered)))
    return ordered[rank]
