"""Pace of each backend server, stated by itself or judged by its answers."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Container

from celerywharf.backends._answer_times import AnswerTimes
from celerywharf.backends._paces import UNKNOWN_PACE, Paces
from celerywharf.backends._servers import BackendServer

# A server judged by its answers is taken for slow above this pace: answers vary
# more than machines do.
MIN_SLOW_PACE = 1.5


class ServerPaces:
    """Holds one estimate of the pace of each server.

    A server that has stated its pace is no longer judged by its answers.

    Attributes:
        stating: names of the servers that have stated their pace.
        stated_paces: what the servers of each service state.
        judged_paces: how the answers of those compare that state none.
        answer_times: answer times of the servers of each service.
    """

    def __init__(self) -> None:
        self.stating: set[str] = set()
        self.stated_paces: defaultdict[str, Paces] = defaultdict(Paces)
        self.judged_paces: defaultdict[str, Paces] = defaultdict(_judged)
        self.answer_times: defaultdict[str, AnswerTimes] = defaultdict(
            AnswerTimes
        )

    def stated(self, server: BackendServer, pace: float, now_s: float) -> None:
        """Record the pace that a server states, 1 as usual."""
        self.stating.add(server.name)
        self.stated_paces[server.service].record(server.name, pace, now_s)

    def answered(
        self,
        server: BackendServer,
        region: str,
        answer_s: float,
        now_s: float,
    ) -> None:
        """Record how long a call took.

        Args:
            server: where it was sent.
            region: of the server.
            answer_s: seconds from sending to the whole answer.
            now_s: monotonic seconds.
        """
        if server.name in self.stating:
            return
        relative = self.answer_times[server.service].answered(
            region, server.name, answer_s, now_s
        )
        if relative is not None:
            self.judged_paces[server.service].record(
                server.name, relative, now_s
            )

    def expected(self, server: BackendServer, now_s: float) -> float:
        """Return how long work is expected to take on a server now.

        Relative to the other servers of its service; 1 if nothing is known.
        """
        if server.name in self.stating:
            return self.stated_paces[server.service].expected(
                server.name, now_s
            )
        paces = self.judged_paces.get(server.service)
        if paces is None:
            return UNKNOWN_PACE
        pace = paces.expected(server.name, now_s)
        return pace if pace >= MIN_SLOW_PACE else UNKNOWN_PACE

    def restarted(self, name: str) -> None:
        """Forget the pace of an earlier incarnation of a server."""
        for family in (self.stated_paces, self.judged_paces):
            for paces in family.values():
                paces.last.pop(name, None)

    def retain(self, names: Container[str]) -> None:
        """Forget all other servers."""
        self.stating = {name for name in self.stating if name in names}
        for family in (self.stated_paces, self.judged_paces):
            for paces in family.values():
                paces.retain(names)
        for answer_times in self.answer_times.values():
            answer_times.retain(names)


def _judged() -> Paces:
    """Return paces that count for nothing until they have proved steady."""
    return Paces(assumed_age_s=0)
