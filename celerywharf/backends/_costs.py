"""Expected time of a request at a backend server, as the cost of placing it."""

from __future__ import annotations

from celerywharf.backends._loads import Loads
from celerywharf.backends._servers import BackendServer

# A running stream delays a prompt as much as a quarter of a prompt would.
RUNNING_COST = 0.25


class ExpectedTime:
    """Estimates how long a request takes beyond its usual work.

    The estimate is in units of the work that the request is at a server of
    usual pace without other requests: the time for a call, the reading of the
    prompt for a stream.  What is ahead of it and its own work take longer by
    the pace of the machine, so a slow machine that is idle may be worse than a
    loaded one.

    Attributes:
        loads: load and pace of the servers.
    """

    def __init__(self, loads: Loads) -> None:
        self.loads = loads

    def beyond_work(
        self,
        server: BackendServer,
        tokens: int,
        now_s: float,
        *,
        is_held_back: bool = False,
    ) -> float:
        """Return the expected time at a server beyond the usual work.

        Args:
            server: the backend server.
            tokens: token memory the request needs; 0 for plain calls.
            now_s: monotonic seconds.
            is_held_back: this host has no share of what may be in progress at
                a server that starts or recovers; it assumes that all slots are
                in use.

        Returns:
            Units of usual work; negative on a machine faster than usual.
        """
        ahead = self._ahead(server, tokens, now_s)
        if is_held_back:
            full = server.slots * RUNNING_COST if tokens else 1
            ahead = max(ahead, full)
        return self.loads.paces.expected(server, now_s) * (1 + ahead) - 1

    def _ahead(self, server: BackendServer, tokens: int, now_s: float) -> float:
        if not tokens:
            return self.loads.slots_used(server, now_s)
        prompts = self.loads.prompts(server.name, now_s)
        running = self.loads.running(server.name, now_s)
        return prompts + running * RUNNING_COST
