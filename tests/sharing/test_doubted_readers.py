"""A reader that another front of its zone has replaced."""

from random import Random

import pytest

from celerywharf.sharing._election import Reader, ReaderElection
from celerywharf.structures import Address


@pytest.fixture
def election():
    own = Reader(Address('127.0.0.1', 1), b'own', 1)
    found = ReaderElection(own, Random(1))
    found.apply_row(own, 0)
    return found


def test_a_sound_reader_checks_its_row_seldom(election):
    election.record_request(4)
    assert not election.check_due(9)


def test_requests_of_followers_do_not_put_off_the_check_of_a_reader(election):
    for tenth in range(100):
        election.record_request(tenth / 10)
    assert election.check_due(10)


def test_requests_of_followers_do_not_put_off_the_check_of_a_doubted_reader(
    election,
):
    election.doubt(4)
    election.record_request(4.05)
    election.record_request(4.1)
    assert election.check_due(4.1)
    election.apply_row(election.candidate, 4.2)
    assert not election.check_due(4.3)
