"""Replays of messages through the grouping of claims."""

from pytest_bdd import scenarios, then

from celerywharf.applications import _batches as batches
from celerywharf.applications._rows import (
    Change,
    ClaimRow,
    ClaimState,
    NotWritten,
    Taken,
    VersionedRow,
    Written,
)

scenarios('batching.feature')

DEADLINE_S = 1.5
FOUND_VERSION = 3


def read_row(text):
    name, _, state = text.partition('=')
    attempt, _, key = name.partition(':')
    row = ClaimRow(attempt, 'host', 1, 'digest', 0)
    state = ClaimState(state or 'claimed')
    return key, ClaimRow(*list_fields(row), state=state)


def list_fields(row):
    return row.attempt, row.host, row.incarnation, row.digest, row.expires_s


class Replay:
    """One logic, fed with messages written as text."""

    def __init__(self):
        self.logic = batches.BatchLogic()
        self.flown = []

    def step(self, text, now):
        kind, _, rest = text.partition(' ')
        actions = self.logic.decide(self.read(kind, rest, now), now)
        return ', '.join(self.write(action) for action in actions)

    def read(self, kind, rest, now):
        match kind:
            case 'add':
                key, row = read_row(rest)
                return batches.Added(Change(key, row, now + DEADLINE_S))
            case 'committed':
                versions = dict.fromkeys(self.flown, int(rest))
                return batches.Committed(versions)
            case 'conflict':
                key, row = read_row(rest)
                found = VersionedRow(FOUND_VERSION, row)
                return batches.Conflicted({key: found})
        return getattr(batches, kind.capitalize())()

    def write(self, action):
        match action:
            case batches.Arm(delay_s):
                return f'arm {delay_s}'
            case batches.Commit(changes):
                self.flown = [change.key for change in changes]
                written = ' '.join(
                    f'{name(one)}{name_state(one)}@{one.version}'
                    for one in changes
                )
                return f'commit {written}'
        return f'{name(action.change)} {name_outcome(action.outcome)}'


def name(change):
    return f'{change.row.attempt}:{change.key}'


def name_state(change):
    return '' if change.is_claim else f'={change.row.state.value}'


def name_outcome(outcome):
    match outcome:
        case Written():
            return 'written'
        case Taken():
            return 'taken'
        case NotWritten(doubtful):
            return 'not written, doubtful' if doubtful else 'not written'


@then('a replay gives')
def replay(datatable):
    replayed = Replay()
    given = [
        [at, message, replayed.step(message, float(at))]
        for at, message, _ in datatable[1:]
    ]
    assert given == datatable[1:]
