"""Takes over settings that change while a front runs."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from celerywharf import settings
from celerywharf.exceptions import SettingsError
from celerywharf.settings import FrontSettings
from celerywharf.tasks import Part
from celerywharf.timers import TimerService

logger = logging.getLogger(__name__)

LOOK_PERIOD_S = 2.0  # the file may change without a signal


@dataclass(frozen=True, slots=True)
class Look:
    """Time to see whether the file has changed."""


@dataclass(frozen=True, slots=True)
class Reload:
    """A signal says that the file has changed."""


class SettingsWatcher(Part):
    """Reads the settings again after a change; wrong ones are not taken."""

    def __init__(
        self,
        path: Path,
        timers: TimerService,
        apply: Callable[[FrontSettings], None],
    ) -> None:
        super().__init__()
        self.path = path
        self.timers = timers
        self.apply = apply
        self.content = self._read()

    def start(self) -> None:
        """Look from now on."""
        super().start()
        self.timers.every(LOOK_PERIOD_S, self.post, Look())

    def handle(self, message: Any) -> None:
        """Take the settings over if they changed or a signal came."""
        content = self._read()
        if content == self.content and isinstance(message, Look):
            return
        self.content = content
        try:
            loaded = settings.load(self.path, FrontSettings)
        except SettingsError as error:
            logger.error('settings kept', extra={'reason': error.message})
            return
        self.apply(loaded)
        logger.info(
            'settings read again',
            extra={'bounds': loaded.bounds.model_dump()},
        )

    def _read(self) -> bytes | None:
        try:
            return self.path.read_bytes()
        except OSError as error:
            logger.error('settings unreadable', extra={'reason': str(error)})
            return None
