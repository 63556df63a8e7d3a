"""Replays recorded messages through the decisions of an owner.

A trace is a file of JSON lines.  The first describes the generation; each
other line is ``[seconds, message, field, ...]``, in the order in which the
owner received the messages.
"""

import dataclasses
import json
from pathlib import Path

from celerywharf import exceptions
from celerywharf.generations import messages
from celerywharf.generations._engine_latencies import EngineLatencies
from celerywharf.generations._logic import Bounds, GenerationLogic
from celerywharf.generations.journals import Journal
from celerywharf.tables import Policy
from celerywharf.wire.journals import JournalLine, JournalSpec

FOLDER = Path(__file__).parent / 'traces'
BOUNDS = Bounds(replicate_s=0.2, keep_s=120, deadline_s=30)


@dataclasses.dataclass
class Outcome:
    """Result of a replayed trace."""

    logic: GenerationLogic
    actions: list = dataclasses.field(default_factory=list)
    delivered: list[str] = dataclasses.field(default_factory=list)
    ended: str = ''
    runs: list[dict] = dataclasses.field(default_factory=list)

    def apply(self, now, actions):
        for action in actions:
            self.actions.append((now, action))
            match action:
                case messages.Deliver(offset, finished):
                    tokens = self.logic.journal.tokens[:offset]
                    assert tokens[: len(self.delivered)] == self.delivered
                    self.delivered = tokens
                    if finished:
                        self.ended = self.logic.journal.finish_reason
                case messages.Fail(error):
                    self.ended = error.code
                case messages.Stop():
                    self.ended = 'stopped'

    def of_type(self, kind):
        return [
            action for _, action in self.actions if isinstance(action, kind)
        ]

    def started(self):
        kinds = (messages.StartAttempt, messages.Reattach)
        return [
            action for _, action in self.actions if isinstance(action, kinds)
        ]

    def cancelled(self):
        return [
            f'{action.attempt}:{action.kind}'.rstrip(':')
            for action in self.of_type(messages.CancelAttempt)
        ]


def journal_of(head):
    spec = JournalSpec('g-a-1', 'narratives', 'x', 'p', head['max'], 1)
    lines = [JournalLine(*line) for line in head.get('lines', [[7, 0]])]
    journal = Journal(spec, lines, list(head.get('tokens', [])))
    number, epoch, backend_server = head.get('attempt', (0, 0, ''))
    journal.attempt = number
    journal.attempt_epoch = epoch
    journal.backend_server = backend_server
    return journal


def replay(name):
    lines = (FOLDER / f'{name}.jsonl').read_text().splitlines()
    head, *received = [json.loads(line) for line in lines]
    latencies = EngineLatencies(3.0, 0.8)
    policy = Policy(head.get('policy', 'patient'))
    logic = GenerationLogic(journal_of(head), policy, latencies, BOUNDS, 0)
    outcome = Outcome(logic, runs=head.get('runs', []))
    for at_s, kind, *fields in received:
        if kind == 'AttemptRefused':
            fields[1] = getattr(exceptions, fields[1])('refused')
        message = getattr(messages, kind)(*fields)
        outcome.apply(at_s, decide(logic, message, at_s))
    return outcome


def decide(logic, message, now):
    """Use the fast paths of the decisions where an owner does."""
    match message:
        case messages.Tick() if logic.is_steady(now):
            return ()
        case messages.ReplicaStored(replica, offset, False, sent_s):
            stored = logic.take_acknowledgement(replica, offset, sent_s, now)
            if stored >= 0:
                return (messages.Deliver(stored, finished=False),)
    return logic.handle(message, now)
