"""Which servers are checked for a loss after a send was given up."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from celerywharf.backends._directory import Directory
from celerywharf.backends._loads import Loads
from celerywharf.backends._reachability import Reachability
from celerywharf.backends._servers import BackendServer, server_name

# A request may crash its server after it was given up; a loss within two
# seconds counts as one under the request.
FIRST_CHECK_S = 0.5
LAST_CHECK_S = 1.4
CHECK_PERIOD_S = LAST_CHECK_S - FIRST_CHECK_S
MAX_CHECKED = 64


class Suspicion(enum.Enum):
    """What is known of a server when it is due to be checked."""

    unfounded = 'unfounded'
    open = 'open'
    confirmed = 'confirmed'


@dataclass(slots=True, eq=False)
class LossCheck:
    """Checks of one server.

    Attributes:
        server: the incarnation that is checked.
        since_s: the last check, or when the first send was given up.
        due_s: when the server is checked next.
        last_due_s: when it is checked for the last time.
    """

    server: BackendServer
    since_s: float
    due_s: float
    last_due_s: float


class LossChecks:
    """Decides which servers are checked, and when.

    A send whose end is not awaited does not show whether its server crashed
    under it, and nobody else may connect to the server for a while.

    Times are monotonic seconds.

    Attributes:
        directory: the known backend servers.
        loads: when they last responded.
        reachability: the services that this host has no path to.
        pending: the servers being checked, by incarnation.
    """

    def __init__(
        self, directory: Directory, loads: Loads, reachability: Reachability
    ) -> None:
        self.directory = directory
        self.loads = loads
        self.reachability = reachability
        self.pending: dict[str, LossCheck] = {}

    def given_up(self, incarnation: str, now_s: float) -> LossCheck | None:
        """Record that a send was given up.

        Returns:
            The check to begin; None if the server is being checked already,
            is not in use, or too many others are being checked.
        """
        check = self.pending.get(incarnation)
        if check is not None:
            check.last_due_s = now_s + LAST_CHECK_S
            return None
        server = self.directory.servers.get(server_name(incarnation))
        if server is None or server.incarnation != incarnation:
            return None
        if server.draining or len(self.pending) >= MAX_CHECKED:
            return None
        check = LossCheck(
            server, now_s, now_s + FIRST_CHECK_S, now_s + LAST_CHECK_S
        )
        self.pending[incarnation] = check
        return check

    def assess(self, check: LossCheck) -> Suspicion:
        """Return what is known of a server without connecting to it."""
        server = check.server
        if self.directory.has_departed(server.incarnation):
            return Suspicion.unfounded
        known = self.directory.servers.get(server.name)
        if known is not None and known.incarnation != server.incarnation:
            return Suspicion.confirmed
        if self.loads.alive_at_s(server.name) > check.since_s:
            return Suspicion.unfounded
        if self.reachability.is_cut_off(server.service):
            return Suspicion.unfounded
        return Suspicion.open

    def checked(self, check: LossCheck, now_s: float) -> bool:
        """Record that a check was made; return whether another one follows."""
        if check.due_s >= check.last_due_s:
            self.ended(check)
            return False
        check.since_s = now_s
        check.due_s = now_s + CHECK_PERIOD_S
        if check.last_due_s < check.due_s + FIRST_CHECK_S:
            check.due_s = check.last_due_s
        return True

    def ended(self, check: LossCheck) -> None:
        """Record that a server is not checked any more."""
        self.pending.pop(check.server.incarnation, None)
