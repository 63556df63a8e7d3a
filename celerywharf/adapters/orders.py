"""Client that sends orders to engines and reads their state.

The protocol is described in ``docs/PROTOCOLS.md``.
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
    """Kinds of orders that engines accept."""

    load = 'load'
    unload = 'unload'
    role = 'role'
    version = 'version'


@dataclass(frozen=True, slots=True)
class Order:
    """An order to an engine.

    Attributes:
        kind: the action.
        name: name of the model, role or version.
    """

    kind: OrderKind
    name: str


@dataclass(frozen=True, slots=True)
class EngineState:
    """The state that an engine reports.

    Attributes:
        models: names of the loaded models.
        role: current role.
        version: version that the engine runs.
        busy: requests are running or queued.
        age_s: age of the report in seconds.
    """

    models: frozenset[str]
    role: str
    version: str
    busy: bool
    age_s: float


class OrderClient:
    """Sends orders to engines and reads their state."""

    def __init__(self, transport: Transport) -> None:
        self.transport = transport

    async def read_state(self, url: str) -> EngineState:
        """Read the state of an engine.

        Raises:
            BackendServerError: the status is not 200, or the body is not JSON.
            TransportError: no response.
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
        """Send an order and return the state after it.

        Args:
            url: base URL of the engine.
            order: the order.
            fencing: fencing number of the lease.
            order_id: unique id of the order.
            timeout_s: time-out of the whole exchange.
            guard: called right before the order is sent; if it returns
                False, the engine never receives the order.

        Raises:
            StaleFencingError: the engine has seen a higher fencing number.
            NotRunError: the order did not reach the engine.
            TransportError: the order may have reached the engine.
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
            raise StaleFencingError(
                'the engine has seen a higher fencing number'
            )
        return _state(response)


def _state(response: HttpResponse) -> EngineState:
    if response.status != HTTPStatus.OK:
        raise BackendServerError(f'the engine answered {response.status}')
    try:
        content = response.json()
    except ValueError:
        raise BackendServerError('the engine did not answer JSON') from None
    try:
        return EngineState(
            models=frozenset(content['models']),
            role=content['role'],
            version=content['version'],
            busy=bool(content['running'] or content['waiting']),
            age_s=float(content['report_age_s']),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise BackendServerError(
            f'the engine reported no valid state: {error!r}'
        ) from None
