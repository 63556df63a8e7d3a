"""What engines report of themselves: load, and changes of their cache."""

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
    """A running attempt, as far as admission looks at it."""

    client_account: str = ''


class LoadModel(BaseModel):
    """The body of a load report; unknown fields are ignored.

    Attributes:
        capacity: requests the engine runs at once.
        running: requests it ran when the report was made.
        waiting: requests it held back.
        report_age_s: age of the report in seconds.
        attempts: what ran.
        state: ``leaving`` when the engine says that it takes no new work.
    """

    capacity: int = Field(ge=0)
    running: int = Field(default=0, ge=0)
    waiting: int = Field(default=0, ge=0)
    report_age_s: float = Field(default=0, ge=0)
    attempts: tuple[AttemptModel, ...] = ()
    state: str = ''

    @property
    def leaving(self) -> bool:
        """Tell whether the engine itself says that it is leaving."""
        return self.state == LEAVING

    def by_account(self) -> dict[str, int]:
        """Count the running attempts by client account."""
        return count(attempt.client_account for attempt in self.attempts)


class CacheEventModel(BaseModel):
    """One change of the prefix cache."""

    number: int
    kind: str
    prefix: str


class CacheEventsModel(BaseModel):
    """The body of an answer with cache events.

    Attributes:
        incarnation: which run of the engine.
        events: late and with gaps.
        next: number after which to ask the next time.
    """

    incarnation: int = 0
    events: tuple[CacheEventModel, ...] = ()
    next: int = 0


@dataclass(frozen=True, slots=True)
class LoadClient:
    """Asks engines for their reports."""

    transport: Transport

    async def load(self, url: str) -> LoadModel:
        """Read the load report.

        Raises:
            TransportError: no answer.
            BackendServerError: the answer is not a report.
        """
        return LoadModel.model_validate(await self._get(f'{url}/v1/load'))

    async def cache_events(self, url: str, after: int) -> CacheEventsModel:
        """Read cache events after a number; errors as of ``load``."""
        path = f'{url}/v1/cache-events?after={after}'
        return CacheEventsModel.model_validate(await self._get(path))

    async def _get(self, url: str) -> Any:
        request = HttpRequest('GET', url, timeout_s=LOAD_TIMEOUT_S)
        response = await self.transport.fetch(request)
        if response.status != HTTPStatus.OK:
            raise BackendServerError(f'{url} answered {response.status}')
        try:
            return _checked(response.json())
        except (ValueError, ValidationError) as error:
            raise BackendServerError(f'{url}: {error}') from None


def count(names: Iterable[str]) -> dict[str, int]:
    """Count how often each name occurs."""
    counts: dict[str, int] = {}
    for name in names:
        counts[name] = counts.get(name, 0) + 1
    return counts


def _checked(content: Any) -> Any:
    if not isinstance(content, dict):
        raise ValueError('not a JSON object')
    return content
