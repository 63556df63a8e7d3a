"""Reads ``regressions.ini``: seeds that had findings, with the cause."""

from __future__ import annotations

from configparser import ConfigParser
from pathlib import Path

PATH = Path(__file__).with_suffix('.ini')


def read_regressions() -> list[tuple[int, float]]:
    """Return each seed and its span: faults start within this many seconds."""
    parser = ConfigParser()
    parser.read_string(PATH.read_text())
    return [
        (int(seed), parser.getfloat(seed, 'span_s'))
        for seed in parser.sections()
    ]
