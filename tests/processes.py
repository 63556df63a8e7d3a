"""Fixture that starts real processes; see `standins.launching`."""

from collections.abc import Iterator

import pytest

from standins.launching import Fleet


@pytest.fixture
def fleet() -> Iterator[Fleet]:
    """Yield a fleet whose processes are stopped at the end of the test."""
    with Fleet() as started:
        yield started
