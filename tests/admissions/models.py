"""Simulation of the queues of one backend server in virtual time."""

import functools
from collections import Counter, deque
from dataclasses import dataclass, field
from random import Random

from celerywharf.admissions import tickets
from celerywharf.admissions.loads import LoadView
from celerywharf.admissions.queues import BackendQueue
from celerywharf.tables import Share
from tests.virtual_time import Events

TICK_INTERVAL_S = 0.1
POLL_INTERVAL_S = 0.5
RENEW_INTERVAL_S = 1.0
REPORT_LAG_S = 0.4
MEASURE_INTERVAL_S = 0.02


@dataclass
class Measurements:
    """Results of a simulation; times in seconds."""

    served: Counter = field(default_factory=Counter)
    peaks: Counter = field(default_factory=Counter)
    excess_s: Counter = field(default_factory=Counter)
    outcomes: Counter = field(default_factory=Counter)
    refusals: list = field(default_factory=list)
    useful_s: float = 0
    late_grants: int = 0


class Simulation(Events):
    """An engine with a few slots, its owners and the holders of grants.

    Requests beyond the slots wait inside the engine.  `shares` maps an
    account to its weight and limit.  While `silent` is set, the engine sends
    no load reports.
    """

    def __init__(self, shares, capacity=16, hold_s=1, seed=1):
        super().__init__()
        self.shares = shares
        self.capacity = capacity
        self.hold_s = hold_s
        self.rng = Random(seed)
        self.owners = []
        self.pending = {}
        self.granted = {}
        self.waiting = deque()
        self.running = Counter()
        self.load_history = deque([(0, {})])
        self.measured = Measurements()
        self.silent = False
        self.accepts_arrivals = True
        self.add_owner()
        for interval_s, call in (
            (TICK_INTERVAL_S, self.tick),
            (POLL_INTERVAL_S, self.poll),
            (RENEW_INTERVAL_S, self.renew),
            (MEASURE_INTERVAL_S, self.measure),
        ):
            self.at(0, self.repeat, interval_s, call)

    def repeat(self, interval_s, call):
        call()
        self.at(interval_s, self.repeat, interval_s, call)

    def add_owner(self):
        load = LoadView(polled=True, capacity=self.capacity, started_s=self.now)
        self.owners.append(BackendQueue(self.share_of, load))
        return self.owners[-1]

    def share_of(self, account):
        weight, limit = self.shares[account]
        return Share('e', account, weight, limit)

    def tick(self):
        for owner in self.owners:
            self.decide(owner, tickets.Tick())

    def poll(self):
        while (
            len(self.load_history) > 1
            and self.load_history[1][0] <= self.now - REPORT_LAG_S
        ):
            self.load_history.popleft()
        measured_s, counts = self.load_history[0]
        report = tickets.LoadReport(
            self.capacity,
            sum(counts.values()),
            self.now - measured_s,
            counts,
        )
        for owner in self.owners:
            if not self.silent:
                self.decide(owner, report)

    def renew(self):
        for ticket, _, _ in tuple(self.granted.values()):
            owner = self.owner_of(ticket.id.holder)
            message = tickets.Renewed(ticket.id, ticket.client_account)
            self.decide(owner, message)

    def measure(self):
        counts = Counter()
        for ticket, _, _ in self.granted.values():
            counts[ticket.client_account] += 1
        self.load_history.append((self.now, dict(counts)))
        for account, count in counts.items():
            self.measured.peaks[account] = max(
                self.measured.peaks[account], count
            )
            if count > self.shares[account][1]:
                self.measured.excess_s[account] += MEASURE_INTERVAL_S
        for account, count in self.running.items():
            self.measured.served[account] += count * MEASURE_INTERVAL_S

    def stop_owner(self):
        """Stop the owner; grant requests and returns to it are lost."""
        self.owners = [None]

    def start_new_owner(self):
        """Start a new owner; holders renew and repeat requests at once."""
        self.owners.clear()
        self.add_owner()
        self.renew()
        for entry in tuple(self.pending.values()):
            self.decide(self.owners[0], entry[0])

    def owner_of(self, holder):
        return self.owners[int(holder) % len(self.owners)]

    def request(self, account, *, then=None, **fields):
        defaults = {
            'priority': 0,
            'resume': False,
            'deadline_s': self.now + 5,
            'may_wait': True,
        }
        number = next(self.numbers)
        holder = str(number % 4)
        ticket = tickets.Ticket(
            id=tickets.TicketId(holder, 1, number),
            client_account=account,
            **{**defaults, **fields},
        )
        self.pending[ticket.id] = (ticket, self.now, then)
        self.decide(self.owner_of(holder), ticket)
        return ticket

    def decide(self, owner, message):
        if owner is None:
            return
        for action in owner.decide(message, self.now):
            entry = self.pending.pop(action.ticket.id)
            if isinstance(action, tickets.Granted):
                self.start_request(entry)
            else:
                self.refuse(entry, action)

    def start_request(self, entry):
        ticket, _, _ = entry
        self.measured.late_grants += self.now > ticket.deadline_s
        self.measured.outcomes['granted'] += 1
        self.granted[ticket.id] = entry
        self.waiting.append(ticket.id)
        self.fill_slots()

    def fill_slots(self):
        while self.waiting and self.running.total() < self.capacity:
            ticket_id = self.waiting.popleft()
            hold_s = self.hold_s * self.rng.uniform(0.5, 1.5)
            ticket, _, _ = self.granted[ticket_id]
            self.running[ticket.client_account] += 1
            self.at(hold_s, self.finish, ticket_id, self.now)

    def finish(self, ticket_id, started_s):
        entry = self.granted.pop(ticket_id)
        ticket, _, then = entry
        self.running[ticket.client_account] -= 1
        held_s = self.now - started_s
        self.measured.useful_s += held_s
        self.decide(
            self.owner_of(ticket_id.holder),
            tickets.Returned(ticket_id, held_s),
        )
        self.fill_slots()
        if then is not None:
            then()

    def refuse(self, entry, action):
        ticket, requested_s, then = entry
        self.measured.outcomes[action.reason.value] += 1
        waited_s = self.now - requested_s
        due_s = self.now + action.retry_after_s
        self.measured.refusals.append((ticket, waited_s, due_s))
        if then is not None:
            self.at(max(action.retry_after_s, TICK_INTERVAL_S), then)

    def flood(self, account, outstanding):
        request_again = functools.partial(self.request_again, account)
        for _ in range(outstanding):
            self.at(self.rng.random(), request_again)

    def request_again(self, account):
        request_again = functools.partial(self.request_again, account)
        self.request(account, then=request_again)

    def add_arrivals(self, account, requests_per_s):
        if not self.accepts_arrivals:
            return
        self.request(account)
        delay_s = self.rng.expovariate(requests_per_s)
        self.at(delay_s, self.add_arrivals, account, requests_per_s)
