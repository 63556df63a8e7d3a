"""What a host sends where, between orders, steps and changes of both."""

from dataclasses import replace
from random import Random

import pytest

from celerywharf.backends import BackendServer, Directory
from celerywharf.rollouts import (
    RolloutOrder,
    RolloutRegister,
    RolloutStep,
    Stage,
)
from celerywharf.structures import Address

SERVICE = 'desk'
ORDER = RolloutOrder(SERVICE, 'v2', 10, 7)
TRIAL = RolloutStep(SERVICE, 'v2', 7, 10, 0, share=0.1, replaced=('v1',), era=1)
DONE = replace(TRIAL, stage=Stage.done)
ROLLED_BACK = replace(TRIAL, stage=Stage.rolled_back)
MOVING = replace(TRIAL, stage=Stage.moving, move_s=50)


class Clock:
    now_s = 0


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def register(clock):
    directory = Directory()
    for number, version in enumerate(('v1', 'v1', 'v2', 'v2')):
        directory.update(_server(number, version), 0)
    return RolloutRegister(
        directory,
        lambda: clock.now_s,
        lambda: clock.now_s,
        Random(1),
        is_enabled=True,
    )


def _server(number, version):
    return BackendServer(
        f's{number}',
        SERVICE,
        Address('127.0.0.1', 1000 + number),
        'north-1',
        6,
        draining=False,
        born_ms=1,
        sequence=1,
        warm_up_left_s=0,
        software_version=version,
    )


def _served(register, count=100):
    """Return how many of some requests may go to each version."""
    served = dict.fromkeys(('v1', 'v2', 'v3'), 0)
    for _ in range(count):
        register.record_request(SERVICE)
        choice = register.choose(SERVICE)
        for version in served:
            only = choice.software_version
            if only in {None, version} and version not in choice.excluded:
                served[version] += 1
    return served


def test_without_an_order_any_version_is_used(register):
    assert _served(register) == {'v1': 100, 'v2': 100, 'v3': 100}


def test_where_roll_outs_are_not_allowed_orders_change_nothing(register):
    register.is_enabled = False
    register.set_order(SERVICE, ORDER)
    register.learn_step(ROLLED_BACK, 8)
    assert _served(register)['v2'] == 100


def test_before_the_first_step_the_new_version_gets_nothing(register):
    register.set_order(SERVICE, ORDER)
    assert _served(register) == {'v1': 100, 'v2': 0, 'v3': 100}


def test_a_version_that_serves_alone_goes_on(register):
    for number in range(2):
        register.directory.drop(f's{number}')
    register.set_order(SERVICE, ORDER)
    assert _served(register)['v2'] == 100


def test_a_trial_gets_its_share(register):
    register.set_order(SERVICE, ORDER)
    register.learn_step(TRIAL, 8)
    served = _served(register)
    assert served['v2'] == pytest.approx(10, abs=1)
    assert served['v1'] == 100 - served['v2']


def test_sends_that_reach_the_trial_otherwise_count(register):
    register.set_order(SERVICE, ORDER)
    register.learn_step(TRIAL, 8)
    for _ in range(5):
        register.started(_server(2, 'v2'), 'look', counted=False)
    assert _served(register)['v2'] <= 6
    (tally,) = register.tallies()
    assert tally.exposed <= 11


def test_a_choice_without_a_server_is_given_back(register):
    register.set_order(SERVICE, ORDER)
    register.learn_step(replace(TRIAL, share=1), 8)
    register.record_request(SERVICE)
    choice = register.choose(SERVICE)
    assert choice.software_version == 'v2'
    other = register.choose_again(choice)
    assert other.excluded == {'v2'}
    assert register.choose_again(other) is None
    (tally,) = register.tallies()
    assert not tally.exposed


def test_all_move_at_the_stated_time(register, clock):
    register.set_order(SERVICE, ORDER)
    register.learn_step(MOVING, 8)
    clock.now_s = 49
    register.confirm()
    assert _served(register)['v1'] > 80
    clock.now_s = 50
    assert _served(register) == {'v1': 0, 'v2': 100, 'v3': 0}


def test_no_more_move_before_the_deadline_than_was_planned(register, clock):
    register.set_order(SERVICE, ORDER)
    register.learn_step(replace(MOVING, share=0, move_s=8.75), 8)
    clock.now_s = 8.8
    for _ in range(88):
        register.record_request(SERVICE)
    register.confirm()
    served = _served(register)
    assert served['v2'] == pytest.approx(16, abs=2)
    assert served['v1'] == 100 - served['v2']
    clock.now_s = 10
    assert _served(register) == {'v1': 0, 'v2': 100, 'v3': 0}


def test_a_host_that_hears_nothing_does_not_move(register, clock):
    register.set_order(SERVICE, ORDER)
    register.learn_step(MOVING, 8)
    register.confirm()
    clock.now_s = 51
    assert _served(register)['v1'] > 80
    register.confirm()
    assert _served(register)['v1'] == 0
    clock.now_s = 90
    assert _served(register)['v1'] == 0


def test_done_leaves_the_old_versions(register):
    register.set_order(SERVICE, ORDER)
    register.learn_step(DONE, 8)
    assert _served(register) == {'v1': 0, 'v2': 100, 'v3': 100}


def test_rolled_back_stays_also_without_its_order(register):
    register.set_order(SERVICE, ORDER)
    register.learn_step(ROLLED_BACK, 8)
    assert _served(register)['v2'] == 0
    register.set_order(SERVICE, None)
    assert _served(register)['v2'] == 0


def test_streams_go_on_at_their_version_unless_rolled_back(register):
    register.set_order(SERVICE, ORDER)
    assert register.go_on(SERVICE, 'v2').software_version == 'v2'
    register.learn_step(ROLLED_BACK, 8)
    assert 'v2' in register.go_on(SERVICE, 'v2').excluded
    assert register.go_on(SERVICE, 'v1').software_version == 'v1'


def test_a_withdrawn_order_ends_the_trial(register):
    register.set_order(SERVICE, ORDER)
    register.learn_step(TRIAL, 8)
    register.set_order(SERVICE, None)
    assert _served(register)['v2'] == 0
    assert not register.is_active


def test_a_repeated_order_begins_anew(register):
    register.set_order(SERVICE, ORDER)
    register.learn_step(ROLLED_BACK, 8)
    register.set_order(SERVICE, replace(ORDER, version=20))
    assert _served(register)['v2'] == 0
    register.learn_step(replace(TRIAL, order_version=20), 21)
    assert _served(register)['v2'] == pytest.approx(10, abs=1)


@pytest.mark.parametrize('step', [None, TRIAL, ROLLED_BACK])
def test_another_order_keeps_an_unproven_version_out(register, step):
    register.set_order(SERVICE, ORDER)
    if step is not None:
        register.learn_step(step, 8)
    register.set_order(SERVICE, RolloutOrder(SERVICE, 'v3', 10, 20))
    assert _served(register) == {'v1': 100, 'v2': 0, 'v3': 0}


def test_an_order_goes_back_to_the_version_before(register):
    register.set_order(SERVICE, ORDER)
    register.learn_step(DONE, 8)
    register.set_order(SERVICE, RolloutOrder(SERVICE, 'v1', 10, 20))
    assert _served(register)['v1'] == 0
    back = replace(TRIAL, to='v1', order_version=20, replaced=('v2',))
    register.learn_step(back, 21)
    served = _served(register)
    assert served['v1'] == pytest.approx(10, abs=1)
    assert served['v2'] == 100 - served['v1']


def test_an_older_copy_of_the_store_brings_no_version_back(register):
    register.set_order(SERVICE, ORDER)
    register.learn_step(ROLLED_BACK, 12)
    register.learn_step(replace(TRIAL, era=2), 8)
    assert _served(register)['v2'] == 0


def test_late_steps_change_nothing(register):
    register.set_order(SERVICE, ORDER)
    register.learn_step(replace(TRIAL, share=0), 9)
    register.learn_step(replace(TRIAL, share=1), 8)
    assert _served(register)['v2'] <= 1
