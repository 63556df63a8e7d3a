"""The operator's orders to move a service, and their status."""

from __future__ import annotations

import json
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from celerywharf.exceptions import ProtocolError
from celerywharf.platform._json import validate_json
from celerywharf.platform._store import Row
from celerywharf.rollouts import RolloutOrder, RolloutStep

ORDER_PREFIX = 'rollout/'
STATUS_TABLE = 'status'
MAX_NAME = 200
MAX_PERIOD_S = 604_800  # a week

Name = Annotated[str, Field(min_length=1, max_length=MAX_NAME)]


class _Order(BaseModel):
    model_config = ConfigDict(extra='ignore', allow_inf_nan=False)

    service: Name
    to: Name
    period_s: float = Field(alias='periodS', gt=0, le=MAX_PERIOD_S)


def ordered_service(key: str) -> str | None:
    """Return the service that a row orders to move; None for other rows."""
    service = key.removeprefix(ORDER_PREFIX)
    return service if key.startswith(ORDER_PREFIX) and service else None


def order_key(service: str) -> str:
    """Return the key of the row that orders to move a service."""
    return f'{ORDER_PREFIX}{service}'


def decode_order(row: Row, store_s: float) -> RolloutOrder:
    """Decode an order of the operator.

    Args:
        row: the row of the order.
        store_s: when the store answered with it, on its clock, seconds.

    Raises:
        ProtocolError: it is malformed.
    """
    try:
        order = validate_json(_Order, row.content or b'')
    except ValidationError as error:
        details = '; '.join(
            '{}: {}'.format('.'.join(map(str, each['loc'])), each['msg'])
            for each in error.errors()[:3]
        )
        raise ProtocolError(f'{row.key}: {details}') from None
    if order.service != ordered_service(row.key):
        raise ProtocolError(f'{row.key}: names service {order.service}')
    return RolloutOrder(
        order.service, order.to, order.period_s, row.version, store_s
    )


def encode_status(step: RolloutStep) -> bytes:
    """Return what the operator reads of a roll-out."""
    state = step.stage.value if step.stage.is_final else 'running'
    content = {'service': step.service, 'to': step.to, 'state': state}
    return json.dumps(content).encode()


def status_key(service: str) -> str:
    """Return the key of the row with the status of a service's roll-out."""
    return f'{ORDER_PREFIX}{service}'
