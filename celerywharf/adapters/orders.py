"""Orders to engines, and what engines say of their state.

The outer protocol is described in ``docs/PROTOCOLS.md``.
"""

from __future__ import annotations

import enum
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

from celerywharf.adapters.transports import (
    HttpRequest,
    HttpResponse,
    Transport,
)
from celerywharf.exceptions import (
    BackendServerError,
    NotRunError,
    StaleFencingError,
    TransportError,
)
from celerywharf.structures import Verdict

REPORT_TIMEOUT_S = 1.0


class OrderKind(enum.StrEnum):
    """What an engine can be told to do."""

    load = 'load'
    unload = 'unload'
    role = 'role'
    version = 'version'


@dataclass(frozen=True, slots=True)
class Order:
    """One order.

    Attributes:
        kind: what to do.
        name: model, role or version.
    """

    kind: OrderKind
    name: str


@dataclass(frozen=True, slots=True)
class EngineState:
    """What an engine says of itself.

    Attributes:
        models: loaded models.
        role: its role.
        version: the version it runs.
        busy: it runs or queues requests.
        age_s: how old the statement is, in seconds.
    """

    models: frozenset[str]
    role: str
    version: str
    busy: bool
    age_s: float


class OrderClient:
    """Sends orders and reads states."""

    def __init__(self, transport: Transport) -> None:
        self.transport = transport

    async def read_state(self, url: str) -> EngineState:
        """Ask an engine for its state.

        Raises:
            BackendServerError: it does not answer as agreed.
            TransportError: it does not answer.
        """
        request = HttpRequest(
            'GET',
            f'{url}/v1/load',
            timeout_s=REPORT_TIMEOUT_S,
        )
        return _state(await self.transport.fetch(request))

    async def issue(
        self,
        url: str,
        order: Order,
        *,
        fencing: int,
        order_id: str,
        timeout_s: float,
        guard: Callable[[], bool],
    ) -> EngineState:
        """Give an order and return the state after it.

        Args:
            url: base URL of the engine.
            order: what to do.
            fencing: fencing number of the lease.
            order_id: unique id.
            timeout_s: longest time on its way.
            guard: asked right before the order is written; False stops it.

        Raises:
            StaleFencingError: the engine knows a higher fencing number.
            NotRunError: the order has not reached the engine.
            TransportError: it may have.
        """
        content = {
            'order': order.kind.value,
            'name': order.name,
            'fencing': fencing,
            'order_id': order_id,
        }
        request = HttpRequest.with_json(
            'POST',
            f'{url}/v1/orders',
            content,
            timeout_s=timeout_s,
            fresh_connection=True,
            guard=guard,
        )
        try:
            response = await self.transport.fetch(request)
        except TransportError as error:
            if error.verdict is Verdict.not_run:
                raise NotRunError(error.message) from None
            raise
        if response.status == HTTPStatus.CONFLICT:
            raise StaleFencingError('the engine knows a newer holder')
        return _state(response)


def _state(response: HttpResponse) -> EngineState:
    if response.status != HTTPStatus.OK:
        raise BackendServerError(f'the engine answered {response.status}')
    try:
        content = response.json()
    except ValueError:
        raise BackendServerError('the engine did not answer JSON') from None
    return EngineState(
        models=frozenset(content['models']),
        role=content['role'],
        version=content['version'],
        busy=bool(content['running'] or content['waiting']),
        age_s=content['report_age_s'],
    )
