"""Logs of processes that outlive a failed test."""

import pytest

from standins import processes
from standins.launching import Fleet

NEVER_READY = '127.0.0.1:1'


class FailedTestError(Exception):
    """Stands in for the failure of a test."""


def test_logs_of_a_process_that_does_not_start_are_kept(tmp_path, monkeypatch):
    monkeypatch.setattr(processes, 'KEPT_LOGS', tmp_path)
    with pytest.raises(ChildProcessError), Fleet() as fleet:
        fleet.start_host('h', '[unknown]\nsection = 1\n', NEVER_READY)
    kept = next(tmp_path.glob('fleet-*/h.err'))
    assert 'unknown' in kept.read_text()


def test_logs_are_not_kept_without_a_failure(tmp_path, monkeypatch):
    monkeypatch.setattr(processes, 'KEPT_LOGS', tmp_path)
    with Fleet() as fleet:
        fleet.start_store()
    assert not list(tmp_path.iterdir())


def test_a_closed_fleet_is_no_longer_among_the_open_ones():
    with pytest.raises(FailedTestError), Fleet() as fleet:
        assert fleet in Fleet.open_groups
        raise FailedTestError
    assert fleet not in Fleet.open_groups
