"""Replays of messages through the logic that batches claim changes."""

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


def parse_row(text):
    label, _, state = text.partition('=')
    attempt, _, key = label.partition(':')
    row = ClaimRow(attempt, 'host', 1, 'digest', 0)
    state = ClaimState(state or 'claimed')
    return key, ClaimRow(*row_fields(row), state=state)


def row_fields(row):
    return row.attempt, row.host, row.incarnation, row.digest, row.expires_s


class Replay:
    """A batch logic whose messages and actions are written as text."""

    def __init__(self):
        self.logic = batches.BatchLogic()
        self.committed_keys = []

    def step(self, text, now):
        kind, _, rest = text.partition(' ')
        actions = self.logic.decide(self.parse_message(kind, rest, now), now)
        return ', '.join(self.format_action(action) for action in actions)

    def parse_message(self, kind, rest, now):
        match kind:
            case 'add':
                key, row = parse_row(rest)
                return batches.ChangeAdded(Change(key, row, now + DEADLINE_S))
            case 'committed':
                versions = dict.fromkeys(self.committed_keys, int(rest))
                return batches.Committed(versions)
            case 'conflict':
                key, row = parse_row(rest)
                found = VersionedRow(FOUND_VERSION, row)
                return batches.Conflicted({key: found})
        return getattr(batches, kind.capitalize())()

    def format_action(self, action):
        match action:
            case batches.ArmTimer(delay_s):
                return f'arm {delay_s}'
            case batches.Commit(changes):
                self.committed_keys = [change.key for change in changes]
                written = ' '.join(
                    f'{change_label(change)}{state_suffix(change)}@{change.version}'
                    for change in changes
                )
                return f'commit {written}'
        return (
            f'{change_label(action.change)} {describe_outcome(action.outcome)}'
        )


def change_label(change):
    return f'{change.row.attempt}:{change.key}'


def state_suffix(change):
    return '' if change.is_claim else f'={change.row.state.value}'


def describe_outcome(outcome):
    match outcome:
        case Written():
            return 'written'
        case Taken():
            return 'taken'
        case NotWritten(in_doubt):
            return 'not written, in doubt' if in_doubt else 'not written'


@then('a replay gives')
def replay(datatable):
    batch_replay = Replay()
    observed = [
        [at, message, batch_replay.step(message, float(at))]
        for at, message, _ in datatable[1:]
    ]
    assert observed == datatable[1:]
