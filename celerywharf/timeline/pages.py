"""The time line as one self-contained HTML page, a lane a process."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from tornado.template import Template

from celerywharf.timeline._recorder import Event
from celerywharf.timeline.gaps import Gap
from celerywharf.timeline.tables import (
    MICROS_PER_MILLISECOND,
    clock_text,
    details_text,
)

TEMPLATE = Path(__file__).parent / 'page.html'
WIDTH_PX = 1180
MARGIN_PX = 130
LANE_PX = 92
HEAD_PX = 34
TICKS = 8
LABEL_GAP_PX = 118
LABEL_ROWS = 4
ROW_PX = 14

PLAIN = 'plain'
FAILURES = frozenset(
    (
        'attempt_failed',
        'attempt_silent',
        'backend_suspected',
        'peer_suspected',
        'peer_dead',
        'owner_dead',
        'replica_lost',
        'generation_lost',
        'lease_lost',
        'refused',
        'degraded',
    )
)
RESUMES = frozenset(
    (
        'resumed',
        'resume',
        'takeover',
        'taken_over',
        'reattached',
        'replica_chosen',
    )
)


@dataclass(frozen=True, slots=True)
class Mark:
    """An event in the picture.

    Attributes:
        left_px: horizontal place.
        top_px: top of its lane.
        label_px: height of its label above the lane's middle.
        kind: ``failure``, ``resume`` or ``plain``.
        label: event name, empty where it would cover its neighbour.
        title: shown on hover.
    """

    left_px: float
    top_px: int
    label_px: int
    kind: str
    label: str
    title: str


@dataclass(frozen=True, slots=True)
class Band:
    """A stretch of time in a lane: a silence or a gap."""

    left_px: float
    width_px: float
    top_px: int
    kind: str
    label: str


class Scale:
    """Maps times to horizontal places."""

    def __init__(self, events: list[Event]) -> None:
        self.first = events[0].stamp.micros if events else 0
        last = events[-1].stamp.micros if events else 1
        self.span = max(last - self.first, 1)

    def place(self, micros: int) -> float:
        """Return pixels from the left edge."""
        inner = WIDTH_PX - MARGIN_PX - LABEL_GAP_PX
        passed = min(max(micros - self.first, 0), self.span)
        return round(MARGIN_PX + inner * passed / self.span, 1)

    def ticks(self) -> list[tuple[float, str]]:
        """Return places and texts of the time axis."""
        steps = [self.span * step // TICKS for step in range(TICKS + 1)]
        return [
            (
                self.place(self.first + step),
                f'+{step / MICROS_PER_MILLISECOND:,.0f} ms',
            )
            for step in steps
        ]


def page(title: str, events: list[Event], gaps: list[Gap]) -> str:
    """Return the page."""
    scale = Scale(events)
    hosts = {event.host for event in events} | {gap.host for gap in gaps}
    lanes = {
        host: HEAD_PX + LANE_PX * index
        for index, host in enumerate(sorted(hosts))
    }
    template = Template(TEMPLATE.read_text(encoding='utf-8'))
    return template.generate(
        title=title,
        begin=clock_text(scale.first),
        lanes=lanes,
        lane_px=LANE_PX,
        width_px=WIDTH_PX,
        margin_px=MARGIN_PX,
        height_px=HEAD_PX + LANE_PX * len(lanes),
        ticks=scale.ticks(),
        marks=_marks(events, lanes, scale),
        bands=[*_silences(events, lanes, scale), *_gaps(gaps, lanes, scale)],
        events=events,
        gaps=gaps,
        clock_text=clock_text,
        details_text=details_text,
        kind_of=kind_of,
    ).decode()


def kind_of(event: Event) -> str:
    """Return how an event is drawn."""
    if event.name in FAILURES:
        return 'failure'
    return 'resume' if event.name in RESUMES else PLAIN


def _marks(
    events: list[Event],
    lanes: dict[str, int],
    scale: Scale,
) -> list[Mark]:
    taken: dict[tuple[str, int], list[float]] = {}
    # Failures and resumes get their labels first.
    ordered = sorted(events, key=lambda event: kind_of(event) == PLAIN)
    return [_mark(event, lanes, scale, taken) for event in ordered]


def _mark(
    event: Event,
    lanes: dict[str, int],
    scale: Scale,
    taken: dict[tuple[str, int], list[float]],
) -> Mark:
    left = scale.place(event.stamp.micros)
    row = _free_row(taken, event.host, left)
    if row is not None:
        taken.setdefault((event.host, row), []).append(left)
    moment = clock_text(event.stamp.micros)
    return Mark(
        left,
        lanes[event.host],
        ROW_PX * (row or 0),
        kind_of(event),
        '' if row is None else event.name,
        f'{moment} {event.name} {details_text(event)}',
    )


def _free_row(
    taken: dict[tuple[str, int], list[float]],
    host: str,
    left: float,
) -> int | None:
    for row in range(LABEL_ROWS):
        places = taken.get((host, row), ())
        if all(abs(place - left) >= LABEL_GAP_PX for place in places):
            return row
    return None


def _silences(
    events: list[Event],
    lanes: dict[str, int],
    scale: Scale,
) -> list[Band]:
    bands = []
    failed: dict[str, Event] = {}
    for event in events:
        if kind_of(event) == 'failure' and event.generation:
            failed.setdefault(event.generation, event)
        if event.name in {'resumed', 'reattached'}:
            begin = failed.pop(event.generation, None)
            if begin is not None:
                bands.append(_silence(begin, event, lanes, scale))
    return bands


def _silence(
    begin: Event,
    end: Event,
    lanes: dict[str, int],
    scale: Scale,
) -> Band:
    # The owner knows since when nothing came; the failure was seen later.
    passed = end.stamp.micros - begin.stamp.micros
    known_ms = end.details.get('silence_ms', passed / MICROS_PER_MILLISECOND)
    begin_micros = int(end.stamp.micros - known_ms * MICROS_PER_MILLISECOND)
    left = scale.place(begin_micros)
    width = max(scale.place(end.stamp.micros) - left, 1)
    label = f'silence {known_ms:,.0f} ms'
    return Band(left, width, lanes[end.host], 'silence', label)


def _gaps(gaps: list[Gap], lanes: dict[str, int], scale: Scale) -> list[Band]:
    right = WIDTH_PX - LABEL_GAP_PX
    return [
        Band(
            scale.place(gap.after_micros),
            max(right - scale.place(gap.after_micros), 1),
            lanes[gap.host],
            'gap',
            gap.reason,
        )
        for gap in gaps
    ]
