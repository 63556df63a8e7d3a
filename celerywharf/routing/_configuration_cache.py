"""The newest configuration on this host and its freshness."""

from __future__ import annotations

import logging
from collections.abc import Collection
from dataclasses import dataclass, replace

from celerywharf.routing._configurations import Configuration

logger = logging.getLogger(__name__)

# Covers the error of converting the store's clock to this host's clock.
LEASE_MARGIN_S = 0.4
# After the store has come back from an older copy, the operator has written
# again what the copy lacks within this time.
REWRITE_S = 2.0
# Relayed answers are this old at most.
MAX_RELAY_AGE_S = 4.0


@dataclass(frozen=True, slots=True)
class AnswerTiming:
    """When a call to the store was sent and answered.

    Attributes:
        sent_s: when the call was sent, in seconds of CLOCK_BOOTTIME.
        received_s: when the answer was received, same clock.
        store_s: the store's monotonic clock as stated in the answer, seconds.
        era: era of the store in which it answered; 0 if unknown.
        relayed: another host made the call and relayed the answer, so
            ``sent_s`` does not bound the age of the answer.
    """

    sent_s: float
    received_s: float
    store_s: float
    relayed: bool = False
    era: int = 0


class ConfigurationCache:
    """Holds the newest configuration and when it was last known current.

    A key may be revoked while this host cannot reach the store, so keys are
    accepted only for a bounded time after the configuration was last known
    current.  That time is derived from the store's clock where possible,
    because a long poll is answered long after it was sent.

    Attributes:
        lease_s: how long a revoked key may still be accepted.
        configuration: None until one has been received.
        current_at_s: when the configuration was last known current, in seconds
            of CLOCK_BOOTTIME; None until confirmed.
        era: era of the store in which the configuration was last confirmed.
        unconfirmed_until_s: answers of the store before this time do not show
            that a configuration is current, seconds of CLOCK_BOOTTIME.
        confirmed_store_s: time of the store at which the configuration was
            last known current, seconds.
        clock_offset_s: this host's clock minus the store's clock, estimated
            from the fastest answer; None until an answer was not relayed.
        clock_dropped: the offset was dropped in a new era, and no answer has
            told it since.
    """

    def __init__(self, lease_s: float) -> None:
        self.lease_s = lease_s
        self.configuration: Configuration | None = None
        self.current_at_s: float | None = None
        self.era = 0
        self.unconfirmed_until_s = float('-inf')
        self.confirmed_store_s = float('-inf')
        self.clock_offset_s: float | None = None
        self.clock_dropped = False

    def synchronize(self, timing: AnswerTiming) -> None:
        """Update the clock offset from an answer that was not relayed.

        Relayed answers are ignored: the time they spent at the other host is
        unknown.
        """
        self._enter_era(timing)
        if timing.relayed:
            return
        self.clock_dropped = False
        offset_s = timing.received_s - timing.store_s
        if self.clock_offset_s is None or offset_s < self.clock_offset_s:
            self.clock_offset_s = offset_s
            logger.info(
                'clock of the store estimated',
                extra={
                    'offset_s': round(offset_s, 3),
                    'error_s': round(timing.received_s - timing.sent_s, 3),
                },
            )

    def confirm(
        self, timing: AnswerTiming, *, is_complete: bool = True
    ) -> None:
        """Record that the configuration was current as of a store's answer.

        Args:
            timing: of the answer.
            is_complete: no newer configuration is known.  If one is, only this
                host knows what it takes away, so others are not told the time.
        """
        self.synchronize(timing)
        if timing.received_s < self.unconfirmed_until_s:
            return
        if self.clock_offset_s is None:
            return
        if is_complete:
            self.confirmed_store_s = timing.store_s
        current_at_s = timing.store_s + self.clock_offset_s
        if not timing.relayed:
            current_at_s = max(current_at_s, timing.sent_s)
        current_at_s = min(current_at_s, timing.received_s)
        if self.current_at_s is None or current_at_s > self.current_at_s:
            self.current_at_s = current_at_s

    def store_restored(self, now_s: float) -> None:
        """Record that the store has come back from an older copy.

        Also a host that has no configuration yet must not take one as current
        that the operator has yet to replace.
        """
        self.unconfirmed_until_s = now_s + REWRITE_S

    def _enter_era(self, timing: AnswerTiming) -> None:
        if timing.era <= self.era:
            return
        if self.era:
            self.store_restored(timing.received_s)
        self.era = timing.era
        if self.clock_offset_s is None:
            return
        # The store's clock may have been set back with its rows.
        age_s = self.store_time_s(timing.received_s) - timing.store_s
        if not -LEASE_MARGIN_S <= age_s <= MAX_RELAY_AGE_S:
            self.clock_offset_s = None
            self.clock_dropped = True

    def store_time_s(self, now_s: float) -> float:
        """Convert a time of this host to the store's clock, in seconds.

        Before the first answer of the store this host's own clock is used.
        """
        return now_s - (self.clock_offset_s or 0)

    def has_service(self, name: str) -> bool:
        """Return whether the configuration has a service."""
        configuration = self.configuration
        return configuration is not None and name in configuration.services

    def offer(self, configuration: Configuration) -> bool:
        """Install a configuration if its version is newer.

        Returns:
            Whether it was installed.
        """
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return False
        self.configuration = configuration
        return True

    def remove_keys(self, keys: Collection[str]) -> None:
        """Stop to accept keys that a newer configuration lacks.

        That configuration is known of but has yet to arrive.
        """
        current = self.configuration
        if current is None or current.accounts.keys().isdisjoint(keys):
            return
        accounts = {
            key: account
            for key, account in current.accounts.items()
            if key not in keys
        }
        self.configuration = replace(current, accounts=accounts)

    def age_s(self, now_s: float) -> float | None:
        """Return the seconds since the configuration was last known current.

        None if it has never been confirmed.
        """
        if self.current_at_s is None:
            return None
        return max(0, now_s - self.current_at_s)

    def accepts_keys(self, now_s: float) -> bool:
        """Return whether keys of the configuration may still be accepted."""
        age_s = self.age_s(now_s)
        return age_s is not None and age_s < self.lease_s - LEASE_MARGIN_S
