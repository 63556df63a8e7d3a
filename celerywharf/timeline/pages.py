"""Draws the timeline as a self-contained HTML page, one lane per process."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from tornado.template import Template

from celerywharf.timeline._recorder import Event
from celerywharf.timeline.gaps import Gap
from celerywharf.timeline.text_tables import (
    MICROS_PER_MILLISECOND,
    clock_text,
    details_text,
)

TEMPLATE = Path(__file__).parent / 'page.html'
WIDTH_PX = 1180
MARGIN_PX = 130
LANE_PX = 92
HEADER_PX = 34
TICK_COUNT = 8
# Smallest distance of labels in a row, and the space for them at the right.
LABEL_SPACE_PX = 118
LABEL_ROW_COUNT = 4
LABEL_ROW_PX = 14

PLAIN = 'plain'
FAILURE_EVENTS = frozenset(
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
RESUME_EVENTS = frozenset(
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
    """The drawing of an event.

    Attributes:
        left_px: distance from the left edge.
        top_px: top of the lane.
        label_px: additional height of the label above the lane.
        kind: ``failure``, ``resume`` or ``plain``.
        label: name of the event, empty where it would overlap another label.
        title: text shown on hover.
    """

    left_px: float
    top_px: int
    label_px: int
    kind: str
    label: str
    title: str


@dataclass(frozen=True, slots=True)
class Band:
    """The drawing of a period in a lane: a silence or a gap."""

    left_px: float
    width_px: float
    top_px: int
    kind: str
    label: str


class Scale:
    """Maps times to horizontal positions.

    The first event is at the left margin and the last one at the right.
    """

    def __init__(self, events: list[Event]) -> None:
        self.first_micros = events[0].stamp.micros if events else 0
        last_micros = events[-1].stamp.micros if events else 1
        self.span_micros = max(last_micros - self.first_micros, 1)

    def x_px(self, micros: int) -> float:
        """Return the distance of a time from the left edge."""
        inner_px = WIDTH_PX - MARGIN_PX - LABEL_SPACE_PX
        elapsed_micros = min(
            max(micros - self.first_micros, 0), self.span_micros
        )
        return round(
            MARGIN_PX + inner_px * elapsed_micros / self.span_micros, 1
        )

    def ticks(self) -> list[tuple[float, str]]:
        """Return positions and labels of the ticks of the time axis."""
        steps_micros = [
            self.span_micros * tick // TICK_COUNT
            for tick in range(TICK_COUNT + 1)
        ]
        return [
            (
                self.x_px(self.first_micros + step_micros),
                f'+{step_micros / MICROS_PER_MILLISECOND:,.0f} ms',
            )
            for step_micros in steps_micros
        ]


def render_page(title: str, events: list[Event], gaps: list[Gap]) -> str:
    """Return the page as HTML."""
    scale = Scale(events)
    hosts = {event.host for event in events} | {gap.host for gap in gaps}
    lanes = {
        host: HEADER_PX + LANE_PX * index
        for index, host in enumerate(sorted(hosts))
    }
    template = Template(TEMPLATE.read_text(encoding='utf-8'))
    return template.generate(
        title=title,
        begin=clock_text(scale.first_micros),
        lanes=lanes,
        lane_px=LANE_PX,
        width_px=WIDTH_PX,
        margin_px=MARGIN_PX,
        height_px=HEADER_PX + LANE_PX * len(lanes),
        ticks=scale.ticks(),
        marks=_marks(events, lanes, scale),
        bands=[
            *_silence_bands(events, lanes, scale),
            *_gap_bands(gaps, lanes, scale),
        ],
        events=events,
        gaps=gaps,
        clock_text=clock_text,
        details_text=details_text,
        kind_of=kind_of,
    ).decode()


def kind_of(event: Event) -> str:
    """Return ``failure``, ``resume`` or ``plain``."""
    if event.name in FAILURE_EVENTS:
        return 'failure'
    return 'resume' if event.name in RESUME_EVENTS else PLAIN


def _marks(
    events: list[Event],
    lanes: dict[str, int],
    scale: Scale,
) -> list[Mark]:
    label_positions: dict[tuple[str, int], list[float]] = {}
    # Labels of failures and resumes have precedence over others.
    ordered = sorted(events, key=lambda event: kind_of(event) == PLAIN)
    return [_mark(event, lanes, scale, label_positions) for event in ordered]


def _mark(
    event: Event,
    lanes: dict[str, int],
    scale: Scale,
    label_positions: dict[tuple[str, int], list[float]],
) -> Mark:
    left_px = scale.x_px(event.stamp.micros)
    row = _free_row(label_positions, event.host, left_px)
    if row is not None:
        label_positions.setdefault((event.host, row), []).append(left_px)
    time_text = clock_text(event.stamp.micros)
    return Mark(
        left_px,
        lanes[event.host],
        LABEL_ROW_PX * (row or 0),
        kind_of(event),
        '' if row is None else event.name,
        f'{time_text} {event.name} {details_text(event)}',
    )


def _free_row(
    label_positions: dict[tuple[str, int], list[float]],
    host: str,
    left_px: float,
) -> int | None:
    for row in range(LABEL_ROW_COUNT):
        positions = label_positions.get((host, row), ())
        if all(abs(x_px - left_px) >= LABEL_SPACE_PX for x_px in positions):
            return row
    return None


def _silence_bands(
    events: list[Event],
    lanes: dict[str, int],
    scale: Scale,
) -> list[Band]:
    bands = []
    failures: dict[str, Event] = {}
    for event in events:
        if kind_of(event) == 'failure' and event.generation:
            failures.setdefault(event.generation, event)
        if event.name in {'resumed', 'reattached'}:
            failure = failures.pop(event.generation, None)
            if failure is not None:
                bands.append(_silence_band(failure, event, lanes, scale))
    return bands


def _silence_band(
    failure: Event,
    resume: Event,
    lanes: dict[str, int],
    scale: Scale,
) -> Band:
    # The failure is recorded only after the silence has lasted a while; the
    # owner's own measure of the silence is used if the event has it.
    elapsed_micros = resume.stamp.micros - failure.stamp.micros
    silence_ms = resume.details.get(
        'silence_ms', elapsed_micros / MICROS_PER_MILLISECOND
    )
    start_micros = int(
        resume.stamp.micros - silence_ms * MICROS_PER_MILLISECOND
    )
    left_px = scale.x_px(start_micros)
    width_px = max(scale.x_px(resume.stamp.micros) - left_px, 1)
    label = f'silence {silence_ms:,.0f} ms'
    return Band(left_px, width_px, lanes[resume.host], 'silence', label)


def _gap_bands(
    gaps: list[Gap], lanes: dict[str, int], scale: Scale
) -> list[Band]:
    right_px = WIDTH_PX - LABEL_SPACE_PX
    return [
        Band(
            scale.x_px(gap.after_micros),
            max(right_px - scale.x_px(gap.after_micros), 1),
            lanes[gap.host],
            'gap',
            gap.reason,
        )
        for gap in gaps
    ]
