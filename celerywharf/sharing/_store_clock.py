"""How the hosts of a zone learn the store's clock."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import replace
from random import Random

from celerywharf.exceptions import CelerywharfError
from celerywharf.platform import StoreClient, boot_time_s
from celerywharf.routing import ClockOffset, ConfigurationCache, StoreClock
from celerywharf.sharing._entries import READER_TABLE
from celerywharf.tasks import Part
from celerywharf.wire.sharing import TableAnswer

logger = logging.getLogger(__name__)

# The fronts of a zone need the clock at the same time; keys are accepted for
# longer than this without it.
MIN_PERIOD_S = 0.5
MAX_PERIOD_S = 1.5
# Keys are accepted for less time by as much as the clock is uncertain.
MAX_WIDTH_S = 0.2
# A reader answers each question for the configuration within this time.
RELAYED_S = 3.0
# Until the next try if the store is slow or does not answer.
PAUSE_S = 30.0


class ClockKeeper(Part):
    """Keeps the store's clock known to a host without a zone's reader."""

    def __init__(
        self,
        store: StoreClient,
        configuration_cache: ConfigurationCache,
        zone: str,
        random: Random,
    ) -> None:
        super().__init__()
        self.store = store
        self.configuration_cache = configuration_cache
        self.zone = zone
        self.random = random

    def start(self) -> None:
        """Start to read the clock when it is uncertain."""
        super().start()
        self.spawn(
            keep_clock_known(
                self.store, self.configuration_cache, self.zone, self.random
            )
        )


async def keep_clock_known(
    store: StoreClient,
    configuration_cache: ConfigurationCache,
    zone: str,
    random: Random,
) -> None:
    """Read the store's clock whenever too little is known of it.

    A configuration is known to be current as of a time on that clock.  An
    answer that was on its way or unread for long sets wide bounds, and those
    of an earlier era do not hold.
    """
    clock = configuration_cache.clock
    while True:
        await asyncio.sleep(random.uniform(MIN_PERIOD_S, MAX_PERIOD_S))
        if not needs_reading(clock, boot_time_s()):
            continue
        try:
            reading = await store.read_row(READER_TABLE, zone)
        except CelerywharfError as error:
            logger.info(
                "store's clock not read", extra={'reason': error.message}
            )
        else:
            configuration_cache.synchronize(reading.timing)
        if needs_reading(clock, boot_time_s()) and not clock.is_outdated:
            await asyncio.sleep(PAUSE_S * random.uniform(1, 2))


def needs_reading(clock: StoreClock, now_s: float) -> bool:
    """Return whether this host has to read the store's clock itself.

    The zone's reader states all that it knows itself.

    Args:
        clock: what is known of it.
        now_s: seconds of CLOCK_BOOTTIME.
    """
    if clock.offset is None:
        return False  # the first answer of the store is on its way
    offset = clock.offset_at(now_s)
    if offset is None:
        return True
    return offset.width_s > MAX_WIDTH_S and now_s - clock.relayed_s > RELAYED_S


def with_store_clock(
    reply: TableAnswer, clock: StoreClock, arrived_s: float, now_s: float
) -> TableAnswer:
    """Return an answer to another host with the store's clock in it.

    Args:
        reply: the answer.
        clock: what this host knows of it.
        arrived_s: when the question arrived, seconds of CLOCK_BOOTTIME.
        now_s: time of the answer.
    """
    if clock.offset_at(now_s) is None or clock.era != reply.era:
        return reply
    return replace(
        reply,
        clock_known=True,
        latest_arrival_s=clock.store_bounds_s(arrived_s)[1],
        earliest_reply_s=clock.store_bounds_s(now_s)[0],
    )


def relayed_offset(
    reply: TableAnswer, sent_s: float, received_s: float
) -> ClockOffset | None:
    """Return the bounds that a reader's answer sets.

    Args:
        reply: the answer.
        sent_s: when the question was sent, seconds of CLOCK_BOOTTIME.
        received_s: when the answer was received.

    Returns:
        None if the reader does not know it or has an earlier release.
    """
    if not reply.clock_known:
        return None
    return ClockOffset(
        sent_s - reply.latest_arrival_s, received_s - reply.earliest_reply_s
    )
