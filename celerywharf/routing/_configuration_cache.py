"""How fresh the knowledge of the configuration is on this host."""

from __future__ import annotations

from dataclasses import dataclass

from celerywharf.routing._configurations import Configuration

LEASE_MARGIN_S = 0.4  # covers the error of mapping the store's clock to ours


@dataclass(frozen=True, slots=True)
class AnswerTiming:
    """One answer of the store.

    Attributes:
        sent_s: when the call left, in seconds of CLOCK_BOOTTIME.
        received_s: when the answer was here, same clock.
        store_s: the store's steady clock in the answer, seconds.
        relayed: another host asked and passed the answer on, so ``sent_s``
            does not bound its age.
    """

    sent_s: float
    received_s: float
    store_s: float
    relayed: bool = False


class ConfigurationCache:
    """Keeps the newest configuration and the moment it was surely current.

    A key may be taken away while this host does not hear from the store, so
    the host accepts keys only for a bounded time after that moment.  The
    moment is taken from the store's clock where possible: a long poll is
    answered long after it was sent.
    """

    def __init__(self, lease_s: float) -> None:
        self.lease_s = lease_s
        self.configuration: Configuration | None = None
        self.current_at_s: float | None = None
        self.clock_offset_s: float | None = None

    def synchronize(self, timing: AnswerTiming) -> None:
        """Map the store's clock to ours by an answer to a call of our own."""
        if timing.relayed:
            return
        offset_s = timing.received_s - timing.store_s
        if self.clock_offset_s is None or offset_s < self.clock_offset_s:
            self.clock_offset_s = offset_s

    def confirm(self, timing: AnswerTiming) -> None:
        """Note that the store was heard and nothing newer is missing here."""
        self.synchronize(timing)
        if self.clock_offset_s is None:
            return
        moment_s = timing.store_s + self.clock_offset_s
        if not timing.relayed:
            moment_s = max(moment_s, timing.sent_s)
        moment_s = min(moment_s, timing.received_s)
        if self.current_at_s is None or moment_s > self.current_at_s:
            self.current_at_s = moment_s

    def offer(self, configuration: Configuration) -> bool:
        """Take a configuration unless it is older; tell whether it is new."""
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return False
        self.configuration = configuration
        return True

    def age_s(self, now_s: float) -> float | None:
        """Return the seconds since the configuration was surely current."""
        if self.current_at_s is None:
            return None
        return max(0, now_s - self.current_at_s)

    def accepts_keys(self, now_s: float) -> bool:
        """Tell whether a key that is known here may still be accepted."""
        age_s = self.age_s(now_s)
        return age_s is not None and age_s < self.lease_s - LEASE_MARGIN_S
