"""Checks that a reader does not speak for an earlier store."""

from __future__ import annotations

import math

from celerywharf.exceptions import PeerUnreachableError
from celerywharf.platform import StoreEra
from celerywharf.wire.sharing import TableAnswer

# Reordered calls differ by less than this; a larger decrease means that the
# store's clock was restarted.
MAX_CLOCK_DECREASE_S = 10.0


class ReplyCheck:
    """Compares the replies of readers with what is known of the store.

    Attributes:
        era: the newest era of the store that this front knows.
        replied_era: the newest era that a reply has named.
        newest_store_s: the latest time of the store's clock in a reply of
            that era, seconds; ``-inf`` before the first.
    """

    def __init__(self, era: StoreEra) -> None:
        self.era = era
        self.replied_era = 0
        self.newest_store_s = -math.inf

    def check(self, reply: TableAnswer) -> None:
        """Record what a reply says of the store.

        A reader that has confirmed nothing yet in its era states no time.

        Raises:
            PeerUnreachableError: it speaks for an earlier store.
        """
        if reply.era and reply.era < self.era.current:
            raise PeerUnreachableError('an era of the store has ended')
        self.era.observe(reply.era)
        if reply.era > self.replied_era:
            self.replied_era = reply.era
            self.newest_store_s = -math.inf
        if math.isinf(reply.store_s):
            return
        if reply.store_s < self.newest_store_s - MAX_CLOCK_DECREASE_S:
            self.newest_store_s = -math.inf
            raise PeerUnreachableError("the store's clock was restarted")
        self.newest_store_s = max(self.newest_store_s, reply.store_s)
