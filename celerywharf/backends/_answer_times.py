"""Pace of backend servers that do not state it, judged by their answers."""

from __future__ import annotations

import statistics
from collections.abc import Container
from dataclasses import dataclass, field

MIN_SAMPLES = 5
MIN_SERVERS = 3  # with fewer, a slow server is taken for the usual one
SMOOTHING = 0.2  # weight of a new sample in a server's mean
USUAL_MAX_AGE_S = 0.25


@dataclass(slots=True)
class _Mean:
    answer_s: float
    samples: int = 1


@dataclass(slots=True)
class _Group:
    means: dict[str, _Mean] = field(default_factory=dict)
    usual_s: float = 0
    usual_at_s: float = float('-inf')


class AnswerTimes:
    """Compares the answer times of servers at the same distance.

    Answers the load of a service whose servers do not say how fast they are.
    A server's own mean is compared with the median of the means of all servers
    of its region.
    """

    def __init__(self) -> None:
        self.groups: dict[str, _Group] = {}

    def answered(
        self, region: str, name: str, answer_s: float, now_s: float
    ) -> float | None:
        """Record the time an answer took.

        Returns:
            The time relative to what is usual in the region; None if that is
            not known.
        """
        group = self.groups.setdefault(region, _Group())
        mean = group.means.get(name)
        if mean is None:
            group.means[name] = _Mean(answer_s)
        else:
            mean.answer_s += SMOOTHING * (answer_s - mean.answer_s)
            mean.samples += 1
        usual_s = self._usual_s(group, now_s)
        return answer_s / usual_s if usual_s else None

    def retain(self, names: Container[str]) -> None:
        """Forget other servers."""
        for group in self.groups.values():
            group.means = {
                name: mean
                for name, mean in group.means.items()
                if name in names
            }

    def _usual_s(self, group: _Group, now_s: float) -> float:
        if now_s - group.usual_at_s < USUAL_MAX_AGE_S:
            return group.usual_s
        means = [
            mean.answer_s
            for mean in group.means.values()
            if mean.samples >= MIN_SAMPLES
        ]
        group.usual_at_s = now_s
        group.usual_s = (
            statistics.median(means) if len(means) >= MIN_SERVERS else 0
        )
        return group.usual_s
