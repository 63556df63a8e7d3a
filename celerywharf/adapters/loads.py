"""Client of engines' load reports and cache events."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

from pydantic import BaseModel, Field, ValidationError

from celerywharf.adapters.transports import HttpRequest, Transport
from celerywharf.exceptions import BackendServerError

LOAD_TIMEOUT_S = 1.0
LEAVING = 'leaving'


class AttemptModel(BaseModel):
    """A running attempt; only the fields that admission uses."""

    client_account: str = ''


class LoadModel(BaseModel):
    """The body of a load report; unknown fields are ignored.

    Attributes:
        capacity: maximum number of requests that run concurrently.
        running: requests that were running when the report was made.
        waiting: requests that were queued when the report was made.
        report_age_s: age of the report in seconds.
        attempts: the running attempts.
        state: ``leaving`` when the engine accepts no new work.
    """

    capacity: int = Field(ge=0)
    running: int = Field(default=0, ge=0)
    waiting: int = Field(default=0, ge=0)
    report_age_s: float = Field(default=0, ge=0)
    attempts: tuple[AttemptModel, ...] = ()
    state: str = ''

    @property
    def leaving(self) -> bool:
        """Return whether the engine reports that it is leaving."""
        return self.state == LEAVING

    def by_account(self) -> dict[str, int]:
        """Return the number of running attempts by client account."""
        return count_names(attempt.client_account for attempt in self.attempts)


class CacheEventModel(BaseModel):
    """One change of the prefix cache."""

    number: int
    kind: str
    prefix: str


class CacheEventsModel(BaseModel):
    """The body of a response with cache events.

    Attributes:
        incarnation: identifies the run of the engine process.
        events: changes of the cache; they may be late and have gaps.
        next: event number to pass as ``after`` in the next call.
    """

    incarnation: int = 0
    events: tuple[CacheEventModel, ...] = ()
    next: int = 0


@dataclass(frozen=True, slots=True)
class LoadClient:
    """Fetches load reports and cache events from engines."""

    transport: Transport

    async def load(self, url: str) -> LoadModel:
        """Fetch the load report.

        Raises:
            TransportError: no response.
            BackendServerError: the status is not 200, or the body is not a
                JSON object.
            ValidationError: a field is missing or invalid.
        """
        return LoadModel.model_validate(await self._get(f'{url}/v1/load'))

    async def cache_events(self, url: str, after: int) -> CacheEventsModel:
        """Fetch cache events after a number; raises the errors of ``load``."""
        path = f'{url}/v1/cache-events?after={after}'
        return CacheEventsModel.model_validate(await self._get(path))

    async def _get(self, url: str) -> Any:
        request = HttpRequest('GET', url, timeout_s=LOAD_TIMEOUT_S)
        response = await self.transport.fetch(request)
        if response.status != HTTPStatus.OK:
            raise BackendServerError(f'{url} answered {response.status}')
        try:
            return _require_object(response.json())
        except (ValueError, ValidationError) as error:
            raise BackendServerError(f'{url}: {error}') from None


def count_names(names: Iterable[str]) -> dict[str, int]:
    """Return the number of occurrences of each name."""
    counts: dict[str, int] = {}
    for name in names:
        counts[name] = counts.get(name, 0) + 1
    return counts


def _require_object(content: Any) -> Any:
    if not isinstance(content, dict):
        raise ValueError('not a JSON object')
    return content
