"""Failure switches of an engine, and the faults of its streams."""

from collections.abc import Iterable
from dataclasses import dataclass

from standins import control
from standins.streams import TokenStream


@dataclass(slots=True)
class EngineSwitches(control.Switches):
    """Failure switches of an engine; counts are of one-shot faults.

    `leaving` makes it say so in its load reports; it still takes work.
    """

    leaving: bool = False
    dead: bool = False
    die_after_tokens: int | None = None
    stop_after_tokens: int | None = None
    cross: int = 0
    repeat: int = 0
    gap: int = 0
    reorder: int = 0
    truncate_event: int = 0
    token_interval_ms: float = 20
    prefill_ms: float = 0
    cache_event_lag_ms: float = 0
    cache_event_drop_ratio: float = 0
    load_report_lag_ms: float = 0
    check_fencing: bool = True


def distort(
    switches: EngineSwitches,
    stream: TokenStream,
    events: list[bytes],
) -> list[bytes]:
    """Return the events to write instead, using up one-shot faults.

    Args:
        switches: counts of faults to come.
        stream: where the events go; may be truncated.
        events: at least one token event.
    """
    events = [events[0], *stream.held, *events[1:]]
    stream.held = []
    if switches.repeat > 0:
        switches.repeat -= 1
        return [*events, events[-1]]
    if switches.gap > 0:
        switches.gap -= 1
        return events[1:]
    if switches.reorder > 0:
        switches.reorder -= 1
        stream.held = events[:1]
        return events[1:]
    if switches.truncate_event > 0:
        switches.truncate_event -= 1
        stream.truncate(events[0])
        return []
    return events


def cross_streams(
    switches: EngineSwitches,
    streams: Iterable[TokenStream],
) -> None:
    """Let two streams with a token to write get each other's event."""
    if switches.cross <= 0:
        return
    ready = [stream for stream in streams if stream.pending]
    if len(ready) > 1:
        switches.cross -= 1
        left, right = ready[:2]
        left.replacement = right.format_next()
        right.replacement = left.format_next()
