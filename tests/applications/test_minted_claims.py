"""Claims of minted keys whose answers are lost on the way."""

import pytest

from celerywharf.applications._claim_logic import (
    ClaimLogic,
    ClaimWriteFinished,
    Record,
    RefuseAmbiguous,
    SendCall,
)
from celerywharf.applications._minting import MintLogic, MintOutcome
from celerywharf.applications._rows import (
    ClaimRow,
    Undetermined,
    Written,
)

ACCOUNT = 'account'
NOW_S = 1


@pytest.fixture
def minter():
    return MintLogic('a', 1, b'secret')


@pytest.fixture
def key(minter):
    return minter.mint(ACCOUNT, '0' * 32, NOW_S)


def make_row(attempt):
    return ClaimRow(
        attempt=attempt,
        host='b',
        incarnation=1,
        digest='digest',
        expires_s=100,
    )


def lose_answer(minter, key, attempt):
    """Claim a key; the claimant gets no answer and carries out its actions."""
    row = make_row(attempt)
    granted = minter.claim(key, ACCOUNT, row, NOW_S).outcome
    logic = ClaimLogic(row, sent_before=False)
    actions = logic.decide(ClaimWriteFinished(Undetermined()))
    for action in actions:
        if isinstance(action, Record):
            minter.record(key, action.row)
    return granted, actions


def test_a_key_can_be_claimed_again_after_the_answer_was_lost(minter, key):
    granted, actions = lose_answer(minter, key, '1')
    assert granted is MintOutcome.granted
    assert isinstance(actions[-1], RefuseAmbiguous)
    reply = minter.claim(key, ACCOUNT, make_row('2'), NOW_S)
    assert reply.outcome is MintOutcome.granted


def test_a_lost_answer_does_not_release_the_claim_of_another(minter, key):
    holder = make_row('1')
    minter.claim(key, ACCOUNT, holder, NOW_S)
    assert lose_answer(minter, key, '2')[0] is MintOutcome.taken
    reply = minter.claim(key, ACCOUNT, make_row('3'), NOW_S)
    assert reply.outcome is MintOutcome.taken
    assert reply.row == holder


def test_a_granted_claim_is_sent_and_not_released():
    logic = ClaimLogic(make_row('1'), sent_before=False)
    actions = logic.decide(ClaimWriteFinished(Written(0)))
    assert actions == [SendCall()]
