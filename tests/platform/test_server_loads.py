"""The load that servers state, sound and malformed."""

import pytest

from celerywharf.backends import ServerLoad
from celerywharf.platform import read_answer_headers

NO_COUNTS = (None, None, None)


@pytest.mark.parametrize(
    ('text', 'load'),
    [
        ('3,0,8', ServerLoad(3, 0, 8)),
        ('3, 1, 8', ServerLoad(3, 1, 8)),
        ('3,0,8,250', ServerLoad(3, 0, 8, 2.5)),
        ('3,0,8,62.5', ServerLoad(3, 0, 8, 0.625)),
    ],
)
def test_a_sound_load_is_read_whole(text, load):
    answer = read_answer_headers({'engine-load': text})
    assert answer.load == load
    assert answer.has_sound_load


@pytest.mark.parametrize(
    'pace', ['0', '-100', 'nan', 'inf', '100000', 'fast', '']
)
def test_an_absurd_pace_leaves_the_counts(pace):
    answer = read_answer_headers({'engine-load': f'3,0,8,{pace}'})
    assert answer.load == ServerLoad(3, 0, 8)
    assert not answer.has_sound_load


@pytest.mark.parametrize(
    'counts', ['3,0,0', '-3,0,8', 'x,0,8', '3,nan,8', '3,0,99999999', '3,,8']
)
def test_absurd_counts_leave_the_pace(counts):
    answer = read_answer_headers({'engine-load': f'{counts},250'})
    assert answer.load == ServerLoad(*NO_COUNTS, 2.5)
    assert not answer.has_sound_load


def test_a_fifth_figure_leaves_the_others():
    answer = read_answer_headers({'engine-load': '3,0,8,250,1'})
    assert answer.load == ServerLoad(3, 0, 8, 2.5)
    assert not answer.has_sound_load


@pytest.mark.parametrize('text', ['', '3', '3,0', 'x,0,8', '3,0,0,0', ',,,'])
def test_nothing_sound_is_no_load(text):
    answer = read_answer_headers({'engine-load': text})
    assert answer.load is None
    assert not answer.has_sound_load


def test_a_missing_load_is_not_malformed():
    answer = read_answer_headers({})
    assert answer.load is None
    assert answer.has_sound_load
