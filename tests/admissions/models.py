"""Runs queues of one backend server against its engine in virtual time."""

import functools
from collections import Counter, deque
from dataclasses import dataclass, field
from random import Random

from celerywharf.admissions import tickets
from celerywharf.admissions.loads import LoadView
from celerywharf.admissions.queues import BackendQueue
from celerywharf.tables import Share
from tests.virtual_time import Events

TICK_S = 0.1
POLL_S = 0.5
RENEW_S = 1.0
LAG_S = 0.4
STEP_S = 0.02


@dataclass
class Seen:
    """What a run showed; times in seconds."""

    served: Counter = field(default_factory=Counter)
    peaks: Counter = field(default_factory=Counter)
    excess_s: Counter = field(default_factory=Counter)
    outcomes: Counter = field(default_factory=Counter)
    refusals: list = field(default_factory=list)
    useful_s: float = 0
    late: int = 0


class Engine(Events):
    """An engine of a few slots, its owners and the holders of grants.

    Requests beyond the slots wait inside the engine.  `share` maps an
    account to its weight and limit.
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
        self.reports = deque([(0, {})])
        self.seen = Seen()
        self.mute = False
        self.open = True
        self.add_owner()
        for period_s, call in (
            (TICK_S, self.tick),
            (POLL_S, self.poll),
            (RENEW_S, self.renew),
            (STEP_S, self.measure),
        ):
            self.at(0, self.repeat, period_s, call)

    def repeat(self, period_s, call):
        call()
        self.at(period_s, self.repeat, period_s, call)

    def add_owner(self):
        view = LoadView(polled=True, capacity=self.capacity, started_s=self.now)
        self.owners.append(BackendQueue(self.share_of, view))
        return self.owners[-1]

    def share_of(self, account):
        weight, limit = self.shares[account]
        return Share('e', account, weight, limit)

    def tick(self):
        for owner in self.owners:
            self.decide(owner, tickets.Tick())

    def poll(self):
        while len(self.reports) > 1 and self.reports[1][0] <= self.now - LAG_S:
            self.reports.popleft()
        made_s, counts = self.reports[0]
        report = tickets.LoadReport(
            self.capacity,
            sum(counts.values()),
            self.now - made_s,
            counts,
        )
        for owner in self.owners:
            if not self.mute:
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
        self.reports.append((self.now, dict(counts)))
        for account, count in counts.items():
            self.seen.peaks[account] = max(self.seen.peaks[account], count)
            if count > self.shares[account][1]:
                self.seen.excess_s[account] += STEP_S
        for account, count in self.running.items():
            self.seen.served[account] += count * STEP_S

    def lose_owner(self):
        """Let the owner die: wishes and returns are lost."""
        self.owners = [None]

    def take_over(self):
        """Let another host own it; holders renew and ask again at once."""
        self.owners.clear()
        self.add_owner()
        self.renew()
        for entry in tuple(self.pending.values()):
            self.decide(self.owners[0], entry[0])

    def owner_of(self, holder):
        return self.owners[int(holder) % len(self.owners)]

    def ask(self, account, *, then=None, **fields):
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
                self.begin(entry)
            else:
                self.refuse(entry, action)

    def begin(self, entry):
        ticket, _, _ = entry
        self.seen.late += self.now > ticket.deadline_s
        self.seen.outcomes['granted'] += 1
        self.granted[ticket.id] = entry
        self.waiting.append(ticket.id)
        self.fill()

    def fill(self):
        while self.waiting and self.running.total() < self.capacity:
            ticket_id = self.waiting.popleft()
            hold_s = self.hold_s * self.rng.uniform(0.5, 1.5)
            ticket, _, _ = self.granted[ticket_id]
            self.running[ticket.client_account] += 1
            self.at(hold_s, self.finish, ticket_id, self.now)

    def finish(self, ticket_id, began_s):
        entry = self.granted.pop(ticket_id)
        ticket, _, then = entry
        self.running[ticket.client_account] -= 1
        held_s = self.now - began_s
        self.seen.useful_s += held_s
        self.decide(
            self.owner_of(ticket_id.holder),
            tickets.Returned(ticket_id, held_s),
        )
        self.fill()
        if then is not None:
            then()

    def refuse(self, entry, action):
        ticket, asked_s, then = entry
        self.seen.outcomes[action.reason.value] += 1
        waited_s = self.now - asked_s
        due_s = self.now + action.retry_after_s
        self.seen.refusals.append((ticket, waited_s, due_s))
        if then is not None:
            self.at(max(action.retry_after_s, TICK_S), then)

    def flood(self, account, outstanding):
        again = functools.partial(self.ask_again, account)
        for _ in range(outstanding):
            self.at(self.rng.random(), again)

    def ask_again(self, account):
        again = functools.partial(self.ask_again, account)
        self.ask(account, then=again)

    def arrive(self, account, per_s):
        if not self.open:
            return
        self.ask(account)
        delay_s = self.rng.expovariate(per_s)
        self.at(delay_s, self.arrive, account, per_s)
