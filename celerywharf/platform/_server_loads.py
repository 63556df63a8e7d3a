"""Parses the load that a backend server states in the head of an answer."""

from __future__ import annotations

import math

from celerywharf.backends import ServerLoad

FIGURES = 4  # running, waiting, slots and the pace, which may be missing
REQUIRED_FIGURES = 3
USUAL_PACE = 100
# Nothing is this many times slower or faster than usual and still answers.
MAX_PACE = 100
MAX_REQUESTS = 1_000_000


def read_server_load(text: str | None) -> tuple[ServerLoad | None, bool]:
    """Parse ``Engine-Load``.

    Returns:
        What is sound of it, None if nothing is; and whether all of it is
        sound.  A missing header is.
    """
    if text is None:
        return None, True
    figures = [figure.strip() for figure in text.split(',')]
    sound = REQUIRED_FIGURES <= len(figures) <= FIGURES
    stated = figures[FIGURES - 1 : FIGURES]
    counts = [_count(figure) for figure in figures[:REQUIRED_FIGURES]]
    pace = _pace(stated[0]) if stated else None
    if stated and pace is None:
        sound = False
    if len(counts) < REQUIRED_FIGURES or None in counts or not counts[-1]:
        load = None if pace is None else ServerLoad(None, None, None, pace)
        return load, False
    return ServerLoad(*counts, pace), sound


def _count(figure: str) -> int | None:
    if not (figure.isascii() and figure.isdigit()):
        return None
    count = int(figure) if len(figure) <= len(str(MAX_REQUESTS)) else None
    return count if count is not None and count <= MAX_REQUESTS else None


def _pace(figure: str) -> float | None:
    try:
        pace = float(figure) / USUAL_PACE
    except ValueError:
        return None
    if math.isfinite(pace) and 1 / MAX_PACE <= pace <= MAX_PACE:
        return pace
    return None
