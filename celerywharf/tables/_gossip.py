"""Asks peers about their replicas over the inner links."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from celerywharf.exceptions import CelerywharfError
from celerywharf.structures import Address
from celerywharf.tables._messages import delta_of
from celerywharf.tables.changes import Delta
from celerywharf.tables.rows import Row
from celerywharf.wire import LinkService
from celerywharf.wire.tables import TableDigest, TablePull

ASK_TIMEOUT_S = 1.0
CONCURRENT_ASKS = 16


async def pull(links: LinkService, address: str, since: int) -> Delta:
    """Return all that a peer has beyond a revision, page by page.

    Raises:
        CelerywharfError: the peer did not answer.
    """
    peer = Address.parse(address)
    rows: list[Row] = []
    cursor = since
    while True:
        page = await links.request(peer, TablePull(cursor), ASK_TIMEOUT_S)
        delta = delta_of(page)
        rows.extend(delta.rows)
        if not page.more:
            return Delta(min(since, delta.upto), delta.upto, tuple(rows))
        cursor = delta.rows[-1].revision


async def ask_all(
    links: LinkService,
    addresses: Iterable[str],
    question: TableDigest,
) -> dict[str, TableDigest | None]:
    """Compare digests with peers, some at a time; None where unreachable."""
    gate = asyncio.Semaphore(CONCURRENT_ASKS)
    addresses = list(addresses)
    asked = [
        _compare_gated(gate, links, address, question) for address in addresses
    ]
    answers = await asyncio.gather(*asked)
    return dict(zip(addresses, answers, strict=True))


async def compare(
    links: LinkService,
    address: str,
    question: TableDigest,
) -> TableDigest | None:
    """Compare digests with one peer; None when unreachable."""
    peer = Address.parse(address)
    try:
        return await links.request(peer, question, ASK_TIMEOUT_S)
    except CelerywharfError:
        return None


async def _compare_gated(
    gate: asyncio.Semaphore,
    links: LinkService,
    address: str,
    question: TableDigest,
) -> TableDigest | None:
    async with gate:
        return await compare(links, address, question)
