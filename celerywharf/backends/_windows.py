"""How much may be in progress at servers that have started or recovered."""

from __future__ import annotations

import enum
import math
from collections.abc import Callable, Container
from dataclasses import dataclass
from random import Random

from celerywharf.backends._demands import ServiceDemand
from celerywharf.backends._loads import Loads, ServerUse
from celerywharf.backends._servers import BackendServer

# Part of its slots that a server that has started gets at once.
STARTED_FRACTION = 0.25
# One that was ejected has to prove itself with a single request.
EJECTED_WINDOW = 1.0
# A report tells the load as of some 150 ms ago and is asked for again after
# 200 ms; later it says little about what the other hosts have sent since.
STATEMENT_MAX_AGE_S = 0.4
# A window that grows with time doubles no sooner.
MIN_QUIET_S = 0.5
# A window that has grown with time, without an answer to this host, closes
# after this many such times only.
CLOSING_ROUNDS = 4
# Answers this many times slower than usual raise no window, or halve it.
SLOW_FACTOR = 2.0
MUCH_SLOWER_FACTOR = 4.0
MIN_DRAW_S = 0.05
MAX_DRAW_S = 1.0


class Reason(enum.Enum):
    """Why a window is opened or changed."""

    started = enum.auto()
    ejected = enum.auto()
    answered = enum.auto()
    answering_others = enum.auto()
    in_time = enum.auto()
    no_bad_news = enum.auto()
    refused = enum.auto()
    failed = enum.auto()
    slow = enum.auto()


@dataclass(frozen=True, slots=True)
class WindowChange:
    """A window was opened, raised, halved or closed, or did not hold.

    Attributes:
        event: ``opened``, ``raised``, ``halved`` or ``closed``; ``exceeded``
            if a request is sent though this host has no share left.
        server: the server whose window it is.
        size: requests that may be in progress there, of all hosts together.
        reason: why.
    """

    event: str
    server: BackendServer
    size: float
    reason: Reason


@dataclass(slots=True)
class _Window:
    server: BackendServer
    size: float
    grown_s: float
    reason: Reason
    proven: bool = False
    answer_s: float = 0
    has_room: bool = True
    drawn_s: float = float('-inf')
    draw_lasts_s: float = 0
    allowed: float = 0
    sent: int = 0


def _one_host() -> int:
    return 1


def _no_leases(service: str) -> bool:
    return False


class RecoveryWindows:
    """Limits the requests in progress at servers that start or recover.

    Answers the load that all hosts together put on a server that has just
    appeared idle: each host by itself would send it a few requests, which many
    hosts multiply to a flood.  The window is a number for all hosts together.
    It starts small and doubles with each answer that comes at the usual time;
    it is raised to twice what the server states to be answering already, and
    grows with time while this host has nothing there or streams in progress
    whose first part has arrived.  Refusals, failures and answers that are much
    slower than usual halve it.  A failure before the first answer ends the use
    of the server, as does any after an ejection.  It closes when answers,
    statements or time raise it to the server's slots.

    What the server states to have in progress is shared truth, it sums over
    all hosts; the rest of the window is free.  Each host takes part in it by
    chance, so that the sends that all hosts are expected to make until the
    next statement, or without one until the next answer, fill the free rest.

    Attributes:
        loads: stated load of the servers.
        demand: requests of this host to each service.
        random: source of the chance.
        hosts: returns the number of hosts that send to the servers.
        grants_leases: returns whether the servers of a service limit the
            requests in progress themselves.
        windows: the open windows, by name of the server.
        subscribers: called with each change.
    """

    def __init__(
        self,
        loads: Loads,
        demand: ServiceDemand,
        random: Random,
    ) -> None:
        self.loads = loads
        self.demand = demand
        self.random = random
        self.hosts: Callable[[], int] = _one_host
        self.grants_leases: Callable[[str], bool] = _no_leases
        self.windows: dict[str, _Window] = {}
        self.subscribers: list[Callable[[WindowChange], None]] = []

    def started(self, server: BackendServer, now_s: float) -> None:
        """Open a window for a server that has just started.

        A server that grants leases takes no more than it has room for, and
        tells each host so before a send: it needs none.
        """
        if self.grants_leases(server.service):
            self.windows.pop(server.name, None)
            return
        size = math.ceil(server.slots * STARTED_FRACTION)
        if size < server.slots:
            warm_s = now_s + server.warm_up_left_s
            self._open(_Window(server, size, warm_s, Reason.started))

    def ejected(self, server: BackendServer, until_s: float) -> None:
        """Open a window for a server that is not used until a time."""
        self._open(_Window(server, EJECTED_WINDOW, until_s, Reason.ejected))

    def is_open(self, name: str) -> bool:
        """Return whether a server has a window."""
        return name in self.windows

    def was_ejected(self, name: str) -> bool:
        """Return whether a server has a window since it was ejected."""
        window = self.windows.get(name)
        return window is not None and window.reason is Reason.ejected

    def allows(self, name: str, now_s: float) -> bool:
        """Return whether a server may be sent another request of this host.

        The answer of chance holds until the next statement is due.
        """
        window = self.windows.get(name)
        if window is None:
            return True
        use = self.loads.in_use(name, now_s - STATEMENT_MAX_AGE_S)
        self._grow(window, use, now_s)
        if now_s - window.drawn_s >= window.draw_lasts_s:
            self._draw(window, use, now_s)
        is_full = use is not None and use.requests >= window.size
        window.has_room = window.sent < window.allowed and not is_full
        return window.has_room

    def sent(self, name: str) -> None:
        """Record the start of a request."""
        window = self.windows.get(name)
        if window is None:
            return
        window.sent += 1
        if not window.has_room:
            self._tell('exceeded', window, window.reason)

    def answered(
        self, server: BackendServer, answer_s: float, now_s: float
    ) -> None:
        """Record the time to the first part of an answer.

        Args:
            server: the server that answered.
            answer_s: seconds since the request was sent.
            now_s: monotonic seconds.
        """
        window = self.windows.get(server.name)
        usual_s = self.demand.usual_answer_s(server.service)
        if window is None:
            self.demand.answered(server.service, answer_s)
            return
        window.proven = True
        window.answer_s = answer_s
        if answer_s >= usual_s * MUCH_SLOWER_FACTOR:
            self._halve(window, now_s, Reason.slow)
        elif answer_s < usual_s * SLOW_FACTOR:
            # In a round of answers this host sees about one of them.
            self._raise(window, window.size * 2, now_s, Reason.answered)
        elif window.size >= server.slots:
            # It has grown with time.
            self._raise(window, window.size, now_s, Reason.in_time)

    def refused(self, name: str, now_s: float) -> bool:
        """Record a refusal; return whether nothing is left of the window."""
        window = self.windows.get(name)
        if window is None:
            return False
        was_ejected = window.reason is Reason.ejected
        return self._halve(window, now_s, Reason.refused) or was_ejected

    def failed(self, name: str, now_s: float) -> bool:
        """Record a failure; return whether the server must not be used."""
        window = self.windows.get(name)
        if window is None:
            return False
        was_ejected = window.reason is Reason.ejected
        is_left = self._halve(window, now_s, Reason.failed) or was_ejected
        return is_left or not window.proven

    def retain(self, names: Container[str]) -> None:
        """Evict the windows of other servers."""
        self.windows = {
            name: window
            for name, window in self.windows.items()
            if name in names
        }

    def _open(self, window: _Window) -> None:
        self.windows[window.server.name] = window
        self._tell('opened', window, window.reason)

    def _grow(
        self, window: _Window, use: ServerUse | None, now_s: float
    ) -> None:
        """Learn of answers to others; double the window if all is quiet."""
        known = use.answering * 2 if use else 0
        if known > window.size:
            self._raise(window, known, now_s, Reason.answering_others)
        if use or not self._is_quiet(window):
            return  # answers will tell
        slots = window.server.slots
        rounds = int((now_s - window.grown_s) / self._round_s(window))
        lacks_rounds = math.ceil(math.log2(max(slots / window.size, 1)))
        closing_rounds = lacks_rounds
        if not window.proven:
            closing_rounds += CLOSING_ROUNDS
        closes = window.reason is Reason.started or window.proven
        if closes and rounds >= closing_rounds:
            self._raise(window, slots, now_s, Reason.no_bad_news)
        elif rounds > 0 and lacks_rounds:
            size = min(window.size * 2 ** min(rounds, lacks_rounds), slots)
            self._resize(window, size, now_s, Reason.no_bad_news)

    def _is_quiet(self, window: _Window) -> bool:
        """Return whether this host waits for no first part there.

        It may wait for some while other streams there have made progress.
        """
        own = self.loads.own_use(window.server.name)
        return own.answering > 0 or not own.requests

    def _round_s(self, window: _Window) -> float:
        """Return the time of a round of answers, seconds."""
        usual_s = self.demand.usual_answer_s(window.server.service)
        return max(usual_s, window.answer_s, MIN_QUIET_S)

    def _draw(
        self, window: _Window, use: ServerUse | None, now_s: float
    ) -> None:
        """Draw whether, and with how many requests, this host takes part."""
        server = window.server
        lasts_s = STATEMENT_MAX_AGE_S
        free = window.size
        window.sent = 0
        if use is None:
            lasts_s = self.demand.usual_answer_s(server.service)
            own = self.loads.own_use(server.name)
            window.sent = own.requests - own.answering
        else:
            free -= use.requests
        lasts_s = min(max(lasts_s, MIN_DRAW_S), MAX_DRAW_S)
        hosts = max(self.hosts(), 1)
        rate_per_s = self.demand.rate_per_s(server.service, now_s)
        takes_part = self.random.random() * hosts * rate_per_s * lasts_s < free
        window.drawn_s = now_s
        window.draw_lasts_s = lasts_s
        window.allowed = max(1, int(free / hosts)) if takes_part else 0

    def _raise(
        self, window: _Window, size: float, now_s: float, why: Reason
    ) -> None:
        if size < window.server.slots:
            self._resize(window, size, now_s, why)
            return
        self.windows.pop(window.server.name, None)
        window.size = size
        self._tell('closed', window, why)

    def _resize(
        self, window: _Window, size: float, now_s: float, why: Reason
    ) -> None:
        event = 'raised' if size > window.size else 'halved'
        window.size = size
        window.grown_s = max(window.grown_s, now_s)
        window.drawn_s = float('-inf')
        self._tell(event, window, why)

    def _halve(self, window: _Window, now_s: float, why: Reason) -> bool:
        """Halve a window; return whether it had room for one request only."""
        if window.size <= EJECTED_WINDOW:
            return True
        size = max(window.size / 2, EJECTED_WINDOW)
        self._resize(window, size, now_s, why)
        return False

    def _tell(self, event: str, window: _Window, reason: Reason) -> None:
        change = WindowChange(event, window.server, window.size, reason)
        for subscriber in self.subscribers:
            subscriber(change)
