"""A short soak of a fixed seed; longer soaks are run by hand."""

import pytest

from soak.soaks import run_soak

SPAN_S = 8.0
SEEDS = (101,)


@pytest.mark.parametrize('seed', SEEDS)
def test_a_short_soak_finds_nothing(seed, tmp_path):
    outcome = run_soak(seed, SPAN_S, logs_folder=tmp_path, has_series=False)
    assert not outcome.findings
    assert outcome.faults
    assert outcome.served > outcome.attempts / 2


@pytest.mark.parametrize('seed', SEEDS)
def test_a_short_soak_with_a_series_finds_nothing(seed, tmp_path):
    outcome = run_soak(seed, SPAN_S, logs_folder=tmp_path)
    assert not outcome.findings
    assert outcome.served
