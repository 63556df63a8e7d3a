"""Failure switches of an engine, and the faults of its event streams."""

from collections.abc import Iterable
from dataclasses import dataclass

from standins import control
from standins.streams import TokenStream


@dataclass(slots=True)
class EngineSwitches(control.Switches):
    """Failure switches of an engine; `freeze` also stops its batch steps.

    Attributes:
        leaving: report the state ``leaving``; runs are still accepted.
        dead: reset all calls and do nothing.
        die_after_tokens: die after that many more tokens were sent.
        stop_after_tokens: end runs with ``stop`` at that offset.
        cross: how many times two streams get each other's event.
        repeat: how many times an event is sent twice.
        gap: how many times an event is left out.
        reorder: how many times an event is sent after its successor.
        truncate_event: how many times half an event ends the stream.
        token_interval_ms: interval of batch steps.
        prefill_ms: prefill time of each run.
        cache_event_lag_ms: delay of cache events.
        cache_event_drop_ratio: share of cache events that are dropped.
        load_report_lag_ms: delay of load reports.
        check_fencing: refuse orders with old fencing numbers.
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


def inject_fault(
    switches: EngineSwitches,
    stream: TokenStream,
    events: list[bytes],
) -> list[bytes]:
    """Apply at most one pending fault; return the events to write instead.

    Args:
        switches: counts of pending faults; the count of an applied one drops.
        stream: stream of the events; a truncated one is closed.
        events: at least one token event.
    """
    events = [events[0], *stream.delayed_events, *events[1:]]
    stream.delayed_events = []
    if switches.repeat > 0:
        switches.repeat -= 1
        return [*events, events[-1]]
    if switches.gap > 0:
        switches.gap -= 1
        return events[1:]
    if switches.reorder > 0:
        switches.reorder -= 1
        stream.delayed_events = events[:1]
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
    """Swap the next events of two streams, if `cross` says so.

    Both must have an event to write; otherwise the fault stays pending.
    """
    if switches.cross <= 0:
        return
    ready = [stream for stream in streams if stream.pending_count]
    if len(ready) > 1:
        switches.cross -= 1
        left, right = ready[:2]
        left.replacement = right.format_next()
        right.replacement = left.format_next()
