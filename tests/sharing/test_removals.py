"""Which API keys configurations have taken away."""

import json

import pytest

from celerywharf.platform import Row
from celerywharf.sharing._removals import KEPT, Removals


def row(version, keys):
    document = {'version': version}
    if keys is not None:
        document['tenants'] = [{'name': 'account', 'apiKeys': list(keys)}]
    return Row('config', json.dumps(document).encode(), False, version)


@pytest.fixture
def removals():
    known = Removals()
    known.learn(1, row(10, 'abc'), 10)
    return known


def test_nothing_is_gone_since_the_newest(removals):
    assert removals.after(10) == []


def test_what_was_before_the_first_is_unknown(removals):
    assert removals.after(9) is None
    assert removals.after(-1) is None


def test_removals_of_several_configurations_add_up(removals):
    removals.learn(1, row(12, 'bcd'), 12)
    removals.learn(1, row(15, 'cd'), 15)
    assert removals.after(10) == ['a', 'b']
    assert removals.after(12) == ['b']


def test_a_key_that_is_back_is_not_gone(removals):
    removals.learn(1, row(12, 'bc'), 12)
    removals.learn(1, row(13, 'abc'), 13)
    assert removals.after(10) == []


def test_keys_that_begin_to_be_required_are_unknown(removals):
    removals.learn(1, row(12, None), 12)
    removals.learn(1, row(13, 'a'), 13)
    assert removals.after(12) is None
    assert removals.after(13) == []


def test_an_era_begins_with_nothing_known(removals):
    removals.learn(2, row(11, 'a'), 11)
    assert removals.after(10) is None
    assert removals.after(11) == []


def test_only_the_last_removals_are_kept(removals):
    for version in range(11, 13 + KEPT):
        removals.learn(1, row(version, str(version)), version)
    assert removals.after(10) is None
    assert removals.after(12 + KEPT) == []


def test_keys_of_a_configuration_that_was_missed_are_unknown(removals):
    removals.learn(1, row(10, 'abc'), 11)
    removals.learn(1, row(15, 'bc'), 16)
    assert removals.after(12) is None
    assert removals.after(14) is None
    assert removals.after(11) == ['a']
    assert removals.after(15) == []
