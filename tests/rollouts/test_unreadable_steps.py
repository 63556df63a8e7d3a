"""Rows of roll-out steps that something else has written."""

import json
from dataclasses import replace

import pytest

from celerywharf.platform import Row
from celerywharf.rollouts import RolloutStep, Stage
from celerywharf.sharing._rollout_rows import (
    STEP_TABLE,
    decode_row,
    encode_step,
)
from tests.rollouts.fleets import ORDERED_S, SERVICE, Version
from tests.rollouts.zoned_fleets import ZonedFleet

GOOD = Version()
BAD = Version(failing=0.9)
PERIOD_S = 12
TAKEOVER_S = 2
# The row is written again and confirmed.
REWRITE_S = 2
STEP = RolloutStep(SERVICE, 'v2', 7, PERIOD_S, ORDERED_S, era=1)
NESTED = b'[' * 200_000


def _odd(**fields):
    return json.dumps({**json.loads(encode_step(STEP)), **fields}).encode()


def _changed(name, text):
    """Return a step with the JSON text of one field exchanged."""
    return _odd(**{name: 'TEXT'}).replace(b'"TEXT"', text)


CONTENTS = {
    'none': None,
    'empty': b'',
    'no text': b'\xff\x00',
    'other JSON': b'[]',
    'nested': NESTED,
    'nested field': _changed('x', NESTED),
    'number too long': _changed('order_version', b'9' * 6000),
    'order of later': _odd(order_version=2**52),
    'infinite share': _changed('share', b'1e999'),
    'share of text': _odd(share='1'),
    'true share': _odd(share=True),
    'endless period': _odd(period_s=1e300),
    'endless time': _odd(stage='moving', move_s=1e300),
    'began before time': _odd(started_s=-1e300),
    'no version': _odd(to=''),
    'unknown stage': _odd(stage='paused'),
}
odd_contents = pytest.mark.parametrize(
    'content', CONTENTS.values(), ids=CONTENTS.keys()
)


def _played(version, hosts, seed, prepare):
    fleet = ZonedFleet(seed, hosts, version, rate=40)
    prepare(fleet)
    return fleet.run(PERIOD_S + TAKEOVER_S + 1)


@odd_contents
def test_an_odd_row_is_no_step(content):
    assert decode_row(Row(SERVICE, content, False, 8)) is None
    assert decode_row(Row(SERVICE, encode_step(STEP), False, 8)) == STEP


@odd_contents
def test_an_unreadable_row_from_before_does_not_block_an_order(content):
    fleet = _played(GOOD, 6, 1, lambda fleet: fleet.overwrite_step(content))
    assert fleet.stage == 'done'
    assert fleet.done_s <= PERIOD_S + 0.3
    assert fleet.is_within_bounds
    for host in fleet.readers.values():
        metrics = host.control.steps.metrics
        (count,) = metrics.counters['unreadable_rollout_steps'].values()
        assert count == 1


@pytest.mark.parametrize('stage', ['trial', 'moving'])
@pytest.mark.parametrize('content', [None, NESTED, _odd(share='1')])
@pytest.mark.parametrize('seed', range(1, 4))
def test_an_unreadable_row_does_not_block_a_good_version(stage, content, seed):
    fleet = _played(
        GOOD,
        6,
        seed,
        lambda fleet: fleet.overwrite_step_at(stage, content),
    )
    assert fleet.stage == 'done'
    assert fleet.done_s <= PERIOD_S + REWRITE_S
    assert fleet.is_within_bounds
    assert 'its row was unreadable' in {step.reason for _, step in fleet.steps}


@pytest.mark.parametrize('seed', range(1, 4))
def test_an_unreadable_row_does_not_block_a_roll_back(seed):
    fleet = _played(
        BAD, 6, seed, lambda fleet: fleet.overwrite_step_at('trial', b'?')
    )
    assert fleet.stage == 'rolled_back'
    assert fleet.is_within_bounds


def test_another_host_decides_if_the_row_is_unreadable_too():
    def prepare(fleet):
        fleet.at(4, fleet.kill_decider)
        fleet.at(4, fleet.overwrite_step, b'?')

    for seed in range(1, 4):
        fleet = _played(GOOD, 12, seed, prepare)
        assert fleet.stage == 'done', seed
        assert fleet.done_s <= PERIOD_S + TAKEOVER_S, seed
        assert fleet.is_within_bounds, seed


def test_hosts_keep_their_step_and_do_not_move_on_an_unreadable_row():
    fleet = ZonedFleet(1, 3, GOOD)
    steps = fleet.readers['north-1'].control.steps
    register = steps.register
    register.set_order(SERVICE, fleet.order)
    moving = replace(STEP, stage=Stage.moving, share=0.1, move_s=ORDERED_S + 9)
    steps.apply_rows([Row(SERVICE, encode_step(moving), False, 8)])
    steps.confirm()
    fleet.now_s = ORDERED_S + 8.5
    steps.apply_rows([Row(SERVICE, b'?', False, 9)])
    steps.confirm()
    assert register.steps() == [(moving, 8)]
    assert register.confirmed_s == ORDERED_S
    fleet.now_s = ORDERED_S + 9.5
    assert register.choose(SERVICE).software_version is None


def test_a_row_that_was_overwritten_twice_is_replaced():
    def prepare(fleet):
        fleet.at(3, fleet.overwrite_step, b'?')
        fleet.at(3.05, fleet.overwrite_step, b'!')
        fleet.at(5, fleet.overwrite_step, b'?')

    fleet = _played(GOOD, 6, 1, prepare)
    assert fleet.stage == 'done'
    row = fleet.store.rows[STEP_TABLE, SERVICE]
    assert decode_row(row).stage is Stage.done
