"""Polls the rows in force at each host, for checks after the run."""

import bisect
import json
import threading
import time
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from http import client

from standins.clusters import HEADERS, Member
from standins.serving import split_address

POLL_INTERVAL_S = 0.02
REQUEST_TIMEOUT_S = 10


@dataclass(frozen=True, slots=True)
class Sample:
    """Shares in force at a host at one time.

    Attributes:
        at_s: monotonic time of the response.
        revision: revision of the table.
        limits: version and limit of each share, by key.
    """

    at_s: float
    revision: int
    limits: Mapping[str, tuple[int, int]]


@dataclass(slots=True)
class Outages:
    """Outages of a host, as pairs of monotonic start and end times."""

    spans: list[tuple[float, float]] = field(default_factory=list)

    def reachable_since(self, start_s: float, end_s: float) -> float:
        """Return from when on a host was reachable until ``end_s``.

        That is the end of the last outage that overlaps the span, at most
        ``end_s``, or ``start_s`` without such an outage.
        """
        ends = [
            min(until, end_s)
            for since, until in self.spans
            if since < end_s and until > start_s
        ]
        return max([start_s, *ends])


class Watcher(threading.Thread):
    """Polls one host.

    Attributes:
        samples: samples in the order of time.
    """

    def __init__(self, member: Member) -> None:
        super().__init__(daemon=True)
        self.member = member
        self.samples: list[Sample] = []
        self.stopping = threading.Event()

    def run(self) -> None:
        """Poll until stopped; reconnect after errors."""
        while not self.stopping.is_set():
            try:
                self._poll()
            except (OSError, client.HTTPException):
                self.stopping.wait(POLL_INTERVAL_S)

    def revision(self) -> int:
        """Return the revision last seen, 0 before the first sample."""
        return self.samples[-1].revision if self.samples else 0

    def first_with(self, revision: int) -> float | None:
        """Return when the host was first seen at a revision or a later one.

        None when it was not.
        """
        index = bisect.bisect_left(
            self.samples,
            revision,
            key=lambda sample: sample.revision,
        )
        if index == len(self.samples):
            return None
        return self.samples[index].at_s

    def reverts(self) -> int:
        """Count samples whose revision or row version is lower than before."""
        count = 0
        latest: dict[str, int] = {}
        revision = 0
        for sample in self.samples:
            versions = {key: share[0] for key, share in sample.limits.items()}
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

    def _poll(self) -> None:
        host, port = split_address(self.member.edge)
        connection = client.HTTPConnection(
            host, port, timeout=REQUEST_TIMEOUT_S
        )
        try:
            while not self.stopping.wait(POLL_INTERVAL_S):
                connection.request(
                    'GET',
                    '/operator/table?kind=share',
                    headers=HEADERS,
                )
                self._store_sample(connection.getresponse().read())
        finally:
            connection.close()

    def _store_sample(self, body: bytes) -> None:
        answer = json.loads(body)
        limits = {
            row['key']: (row['version'], row['fields']['limit'])
            for row in answer['rows']
        }
        sample = Sample(time.monotonic(), answer['revision'], limits)
        self.samples.append(sample)


def percentile(values: Iterable[float], ratio: float) -> float:
    """Return a quantile by the nearest rank, 0 without values."""
    ordered = sorted(values)
    if not ordered:
        return 0
    rank = min(len(ordered) - 1, int(ratio * len(ordered)))
    return ordered[rank]
