"""Faults of a soak that reach a process which another fault ends."""

import subprocess
import sys

import pytest

from soak.rigs import unless_killed
from standins.processes import ManagedProcess


@pytest.fixture
def member():
    process = subprocess.Popen(
        [sys.executable, '-c', 'input()'], stdin=subprocess.PIPE
    )
    yield ManagedProcess('e1', process, '', '')
    process.kill()
    process.communicate()


def test_a_call_that_fails_as_the_process_is_killed_is_no_failed_injection(
    member,
):
    with unless_killed(member):
        member.process.kill()
        raise ConnectionResetError


def test_a_call_that_fails_at_a_process_that_runs_on_is_a_failed_injection(
    member,
):
    with pytest.raises(ConnectionResetError), unless_killed(member):
        raise ConnectionResetError
