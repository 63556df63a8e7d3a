"""Checks of servers under sends that were given up, without a network."""

import pytest

from celerywharf.backends import (
    Directory,
    Loads,
    LossChecks,
    Reachability,
    Suspicion,
)
from celerywharf.backends._loss_checks import MAX_CHECKED
from celerywharf.fronts._loss_probes import CONNECT_TIMEOUT_S
from celerywharf.quarantine._gate import GIVEN_UP_SUSPECT_S
from tests.backends.test_directory import make_server

SERVER = make_server('s1')


@pytest.fixture
def checks():
    directory = Directory()
    directory.update(SERVER, 0)
    return LossChecks(directory, Loads(), Reachability(directory))


def _play(checks, check):
    """Return when each check of a server that accepts connections is due."""
    due_s = []
    goes_on = True
    while goes_on:
        due_s.append(check.due_s)
        goes_on = checks.checked(check, check.due_s)
    return due_s


def test_a_server_is_checked_twice_while_its_loss_would_count(checks):
    check = checks.given_up(SERVER.incarnation, 10)
    first_s, last_s = _play(checks, check)
    assert first_s > 10
    assert last_s + CONNECT_TIMEOUT_S < 10 + GIVEN_UP_SUSPECT_S
    assert not checks.pending


def test_a_server_is_checked_after_the_last_of_several_sends(checks):
    check = checks.given_up(SERVER.incarnation, 10)
    assert checks.given_up(SERVER.incarnation, 11) is None
    due_s = _play(checks, check)
    assert 11 < due_s[-1] < 11 + GIVEN_UP_SUSPECT_S - CONNECT_TIMEOUT_S
    assert len(due_s) == 3


def test_a_silent_server_that_has_said_nothing_is_open(checks):
    check = checks.given_up(SERVER.incarnation, 10)
    assert checks.assess(check) is Suspicion.open


def test_a_server_that_has_answered_meanwhile_is_not_connected_to(checks):
    check = checks.given_up(SERVER.incarnation, 10)
    checks.loads.mark_alive(SERVER.name, 10.2)
    assert checks.assess(check) is Suspicion.unfounded


def test_a_server_that_answered_before_the_first_check_is_checked_again(checks):
    check = checks.given_up(SERVER.incarnation, 10)
    checks.loads.mark_alive(SERVER.name, 10.2)
    assert checks.checked(check, check.due_s)
    assert checks.assess(check) is Suspicion.open


def test_a_server_restarted_at_its_address_was_lost_though_it_answers(checks):
    check = checks.given_up(SERVER.incarnation, 10)
    checks.directory.update(make_server('s1', born_ms=2), 10.2)
    checks.loads.mark_alive(SERVER.name, 10.3)
    assert checks.assess(check) is Suspicion.confirmed


def test_a_server_that_said_that_it_leaves_was_not_lost(checks):
    check = checks.given_up(SERVER.incarnation, 10)
    checks.directory.update(make_server('s1', draining=True, sequence=2), 10.2)
    checks.directory.removed('s1', 10.3)
    assert checks.assess(check) is Suspicion.unfounded
    checks.directory.update(make_server('s1', born_ms=2), 10.4)
    assert checks.assess(check) is Suspicion.unfounded


def test_a_server_whose_entry_is_gone_is_connected_to(checks):
    check = checks.given_up(SERVER.incarnation, 10)
    checks.directory.removed('s1', 10.2)
    assert checks.assess(check) is Suspicion.open


def test_a_host_without_a_path_blames_no_server(checks):
    check = checks.given_up(SERVER.incarnation, 10)
    checks.reachability.unreachable(SERVER)
    assert checks.assess(check) is Suspicion.unfounded


@pytest.mark.parametrize(
    'incarnation', [make_server('s1', born_ms=2).incarnation, 's2/1']
)
def test_an_incarnation_that_is_not_known_is_not_checked(checks, incarnation):
    assert checks.given_up(incarnation, 10) is None
    assert not checks.pending


def test_a_bounded_number_of_servers_is_checked_at_a_time(checks):
    servers = [make_server(f's{number}') for number in range(MAX_CHECKED + 1)]
    begun = []
    for server in servers:
        checks.directory.update(server, 0)
        begun.append(checks.given_up(server.incarnation, 10))
    assert begun[-1] is None
    assert len(checks.pending) == MAX_CHECKED
    checks.ended(begun[0])
    assert checks.given_up(servers[-1].incarnation, 10)
