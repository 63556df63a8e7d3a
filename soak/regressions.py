"""Seeds that have found something; ``regressions.ini`` has their causes."""

from __future__ import annotations

from configparser import ConfigParser
from pathlib import Path

PATH = Path(__file__).with_suffix('.ini')


def read_regressions() -> list[tuple[int, float]]:
    """Return seeds and the seconds in which their faults begin."""
    parser = ConfigParser()
    parser.read_string(PATH.read_text())
    return [
        (int(seed), parser.getfloat(seed, 'span_s'))
        for seed in parser.sections()
    ]
