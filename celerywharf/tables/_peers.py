"""Requests to the replicas of peers over the inner links."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from celerywharf.exceptions import CelerywharfError
from celerywharf.structures import Address
from celerywharf.tables._messages import decode_delta
from celerywharf.tables.changes import Delta
from celerywharf.tables.rows import Row
from celerywharf.wire import LinkService
from celerywharf.wire.tables import TableDigest, TablePull

REQUEST_TIMEOUT_S = 1.0
CONCURRENT_REQUESTS = 16


async def pull(links: LinkService, address: str, since: int) -> Delta:
    """Return the changes that a peer has after a revision, from all pages.

    Raises:
        CelerywharfError: the peer did not answer or sent invalid rows.
    """
    peer = Address.parse(address)
    rows: list[Row] = []
    cursor = since
    while True:
        page = await links.request(peer, TablePull(cursor), REQUEST_TIMEOUT_S)
        delta = decode_delta(page)
        rows.extend(delta.rows)
        if not page.more:
            return Delta(min(since, delta.upto), delta.upto, tuple(rows))
        cursor = delta.rows[-1].revision


async def exchange_digests(
    links: LinkService,
    addresses: Iterable[str],
    own_digest: TableDigest,
) -> dict[str, TableDigest | None]:
    """Exchange digests with peers, a limited number at a time.

    Returns:
        The digest of each peer by address, None if it is unreachable.
    """
    semaphore = asyncio.Semaphore(CONCURRENT_REQUESTS)
    addresses = list(addresses)
    exchanges = [
        _exchange_limited(semaphore, links, address, own_digest)
        for address in addresses
    ]
    answers = await asyncio.gather(*exchanges)
    return dict(zip(addresses, answers, strict=True))


async def exchange_digest(
    links: LinkService,
    address: str,
    own_digest: TableDigest,
) -> TableDigest | None:
    """Send a digest to a peer and return its own, None if unreachable."""
    peer = Address.parse(address)
    try:
        return await links.request(peer, own_digest, REQUEST_TIMEOUT_S)
    except CelerywharfError:
        return None


async def _exchange_limited(
    semaphore: asyncio.Semaphore,
    links: LinkService,
    address: str,
    own_digest: TableDigest,
) -> TableDigest | None:
    async with semaphore:
        return await exchange_digest(links, address, own_digest)
