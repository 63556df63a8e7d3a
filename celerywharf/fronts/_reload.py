"""Reloads the settings of a running front."""

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

CHECK_PERIOD_S = 2.0  # the file may be changed without a signal


@dataclass(frozen=True, slots=True)
class CheckFile:
    """Timer message: reload the file if its content has changed."""


@dataclass(frozen=True, slots=True)
class Reload:
    """SIGHUP was received: reload the file unconditionally."""


class SettingsWatcher(Part):
    """Reloads the settings file after a change or a signal.

    Invalid settings are logged and not applied.
    """

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
        """Start to check the file periodically."""
        super().start()
        self.timers.every(CHECK_PERIOD_S, self.post, CheckFile())

    def handle(self, message: Any) -> None:
        """Reload the file if it has changed or a signal was received."""
        content = self._read()
        if content == self.content and isinstance(message, CheckFile):
            return
        self.content = content
        try:
            loaded = settings.load(self.path, FrontSettings)
        except SettingsError as error:
            logger.error(
                'invalid settings not applied',
                extra={'reason': error.message},
            )
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
            logger.error(
                'settings file unreadable',
                extra={'reason': str(error)},
            )
            return None
