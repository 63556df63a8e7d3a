"""Finds orders of roll-outs that hosts cannot carry out."""

from __future__ import annotations

import json
from collections.abc import Container, Iterator, Mapping
from itertools import chain
from typing import Any

from celerywharf.backends import BackendServer
from celerywharf.configuration_checks._findings import (
    Finding,
    Kind,
    engine_entry,
    rollout_entry,
)
from celerywharf.exceptions import ProtocolError
from celerywharf.platform import (
    Row,
    decode_backend_server,
    decode_order,
    list_configuration,
    order_key,
    parse_json,
)
from celerywharf.rollouts import RolloutOrder


def check_rollouts(
    document: bytes, orders: bytes, engines: bytes | None = None
) -> list[Finding]:
    """Return the findings on orders to move services to other versions.

    Orders and engines are decoded as hosts do it.

    Args:
        document: a configuration that hosts take.
        orders: an order, or a JSON array of orders.
        engines: a JSON object of the engines' entries by name; None if they
            are not known.  Engines that drain take no new requests and do not
            count.

    Raises:
        ProtocolError: a document is malformed.
    """
    services = {
        service.name for service in list_configuration(document).services
    }
    findings: list[Finding] = []
    versions = None
    if engines is not None:
        servers = list(_decode_engines(engines, findings))
        versions = _versions_by_service(servers)
    checked = [
        _check_order(content, services, versions)
        for content in _list_orders(orders)
    ]
    return [*findings, *chain.from_iterable(checked)]


def _check_order(
    content: Any,
    services: Container[str],
    versions: Mapping[str, Container[str]] | None,
) -> Iterator[Finding]:
    service = content.get('service') if isinstance(content, dict) else None
    entry = rollout_entry(str(service))
    try:
        order = _decode_order(str(service), content)
    except ProtocolError as error:
        yield Finding(Kind.error, 'invalid_order', entry, str(error))
        return
    if order.service not in services:
        yield Finding(
            Kind.contradiction,
            'rollout_of_unknown_service',
            entry,
            f'service {order.service!r} is not listed; correct the order',
        )
    elif versions is not None:
        found = versions.get(order.service, ())
        if order.to not in found:
            yield Finding(
                Kind.contradiction,
                'rollout_without_engine',
                entry,
                f'no engine of the service that is ready has version '
                f'{order.to!r}; start some, or order one of: '
                f'{", ".join(sorted(found)) or "none"}',
            )


def _decode_order(service: str, content: Any) -> RolloutOrder:
    row = Row(order_key(service), json.dumps(content).encode(), False, 0)
    return decode_order(row, 0)


def _list_orders(text: bytes) -> list[Any]:
    content = _parse(text, 'orders')
    return content if isinstance(content, list) else [content]


def _decode_engines(
    text: bytes, findings: list[Finding]
) -> Iterator[BackendServer]:
    """Yield the valid engines and append a finding for each other entry."""
    entries = _parse(text, 'engines')
    if not isinstance(entries, dict):
        raise ProtocolError('engines: not an object of entries by name')
    for name, content in entries.items():
        try:
            yield decode_backend_server(name, json.dumps(content).encode())
        except ProtocolError as error:
            findings.append(
                Finding(
                    Kind.unreachable,
                    'invalid_engine',
                    engine_entry(name),
                    f'hosts do not use it: {error}',
                )
            )


def _versions_by_service(
    servers: list[BackendServer],
) -> dict[str, set[str]]:
    versions: dict[str, set[str]] = {}
    for server in servers:
        if not server.draining:
            found = versions.setdefault(server.service, set())
            found.add(server.software_version)
    return versions


def _parse(text: bytes, name: str) -> Any:
    try:
        return parse_json(text)
    except ValueError as error:
        raise ProtocolError(f'{name}: {error}') from None
