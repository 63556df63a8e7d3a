"""Eras of the platform's store."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass

from celerywharf.exceptions import PlatformUnavailableError

logger = logging.getLogger(__name__)

MAX_ERA_DIGITS = 15


@dataclass(frozen=True, slots=True, order=True)
class Position:
    """A version of the store in an era; those of later eras are greater.

    Attributes:
        era: how often the store has come back from an older copy.
        version: version of the store, which an older copy sets back.
    """

    era: int
    version: int


class StoreEra:
    """The newest era of the store that this host knows.

    A store that comes back from an older copy begins an era: its versions go
    back and are given out again.  What was read before says nothing about it.

    Attributes:
        current: number of the era; 0 if the store has not told it.
        subscribers: called when an era has ended.
    """

    def __init__(self) -> None:
        self.current = 0
        self.subscribers: list[Callable[[], None]] = []

    def observe(self, era: int) -> None:
        """Record the era in which something was said; 0 if it is unknown.

        Raises:
            PlatformUnavailableError: the era has ended.
        """
        if not era or era == self.current:
            return
        if era < self.current:
            raise PlatformUnavailableError(
                f'said in era {era} of the store, which has ended'
            )
        previous = self.current
        self.current = era
        if previous:
            logger.warning(
                'store restored', extra={'era': era, 'before': previous}
            )
            for subscriber in self.subscribers:
                subscriber()


def read_era(text: str | None) -> int:
    """Return the era in a header; 0 if it is missing or malformed."""
    if text and text.isdecimal() and len(text) <= MAX_ERA_DIGITS:
        return int(text)
    return 0
