"""Reads ``regressions.ini``: seeds that had findings, with the cause."""

from __future__ import annotations

from configparser import ConfigParser
from dataclasses import dataclass
from pathlib import Path

PATH = Path(__file__).with_suffix('.ini')


@dataclass(frozen=True, slots=True)
class Regression:
    """A seed that had findings; see `soak.soaks.run_soak`."""

    seed: int
    span_s: float
    has_series: bool


def read_regressions() -> list[Regression]:
    """Return the seeds; those found before there were series have none."""
    parser = ConfigParser()
    parser.read_string(PATH.read_text())
    return [
        Regression(
            int(seed),
            parser.getfloat(seed, 'span_s'),
            parser.getboolean(seed, 'series', fallback=False),
        )
        for seed in parser.sections()
    ]
