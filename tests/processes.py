"""Fixture of real processes for tests; see `standins.launching`."""

from collections.abc import Iterator

import pytest

from standins.launching import Fleet


@pytest.fixture
def fleet() -> Iterator[Fleet]:
    """Give a fleet of processes that all end with the test."""
    with Fleet() as started:
        yield started
