"""The newest configuration on this host and its freshness."""

from __future__ import annotations

import logging
import math
from collections.abc import Collection
from dataclasses import replace

from celerywharf.routing._configurations import Configuration
from celerywharf.routing._store_clock import AnswerTiming, StoreClock

logger = logging.getLogger(__name__)

# The store may state its clock this long after it has read the rows.
LEASE_MARGIN_S = 0.4
# After the store has come back from an older copy, the operator has written
# again what the copy lacks within this time.
REWRITE_S = 2.0


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
            last known current, seconds; ``-inf`` before that in its era.
        clock: converts the store's clock.
    """

    def __init__(self, lease_s: float) -> None:
        self.lease_s = lease_s
        self.configuration: Configuration | None = None
        self.current_at_s: float | None = None
        self.era = 0
        self.unconfirmed_until_s = float('-inf')
        self.confirmed_store_s = -math.inf
        self.clock = StoreClock()

    def synchronize(self, timing: AnswerTiming) -> None:
        """Learn from an answer what the store's clock and its era are."""
        self._enter_era(timing)
        if not self.clock.learn(timing):
            return
        offset = self.clock.offset
        logger.info(
            'clock of the store learned',
            extra={
                'offset_s': round(offset.least_s, 3),
                'error_s': round(offset.width_s, 3),
                'relayed': timing.relayed,
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
        current_at_s = self.clock.date(timing)
        if current_at_s is None:
            return
        if is_complete:
            self.confirmed_store_s = timing.store_s
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
        # The store's clock may have been set back with its rows.
        self.confirmed_store_s = -math.inf

    def store_time_s(self, now_s: float) -> float:
        """Return the earliest time that the store's clock may have, in seconds.

        Before the first answer of the store this host's own clock is used.
        """
        return self.clock.store_bounds_s(now_s)[0]

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
