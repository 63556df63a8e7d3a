"""Tells hosts which other hosts reach a service."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Sequence
from random import Random

from celerywharf.exceptions import CelerywharfError
from celerywharf.peers import PeerDirectory, PeerHost, PeerSource
from celerywharf.platform import boot_time_s
from celerywharf.sharing._readers import ZoneReaders
from celerywharf.sharing._store import SharedStore
from celerywharf.structures import Address
from celerywharf.units import MAX_NAME_CHARACTERS
from celerywharf.wire import Sender
from celerywharf.wire.peers import PeerAnswer, PeerEntry, PeerQuestion

READER_TIMEOUT_S = 0.3  # the reader may have to ask other zones
ZONE_TIMEOUT_S = 0.15  # a round trip between regions takes 40 ms
# Some of those that are known may be lost as well.
ENOUGH_HOSTS = 3
MAX_CUT_OFF = 64  # services that one host names


class PeerExchange(PeerSource):
    """Finds hosts by the readers of the zones, to which hosts announce them.

    Hosts of other zones are asked for only if few of the own zone reach the
    service.  Without a reader of the own zone the readers of the others are
    asked directly.

    Attributes:
        directory: the hosts of the zone that have announced themselves.
        own: returns what this host announces; None if it takes in nothing.
        other_zones: names of the other availability zones.
    """

    def __init__(
        self,
        shared_store: SharedStore,
        readers: ZoneReaders,
        own: Callable[[], PeerHost | None],
        zones: Sequence[str],
        random: Random,
    ) -> None:
        self.shared_store = shared_store
        self.readers = readers
        self.own = own
        self.other_zones = [zone for zone in zones if zone != readers.own_zone]
        self.directory = PeerDirectory(random)
        shared_store.inquiries.announcer = self
        shared_store.server.subscribe(PeerQuestion, self._answer)

    async def find(self, service: str) -> Sequence[PeerHost]:
        """Return some hosts that reach a service."""
        shared = self.shared_store
        reader = shared.election.reader
        question = PeerQuestion(service, passed_on=False)
        if not shared.is_reader and reader and shared.client:
            with contextlib.suppress(CelerywharfError):
                reply = await shared.client.request(
                    reader.address, question, READER_TIMEOUT_S
                )
                return _from_entries(reply.peers)
        own = self.own()
        entries = await self._find(question, '' if own is None else own.name)
        return _from_entries(entries)

    def announcement(self) -> list[PeerEntry]:
        """Return what the reader is told of this host.

        A host that reaches so few services is of little use to others, and
        would be chosen for those that are not named.
        """
        own = self.own()
        if own is None or len(own.cut_off) > MAX_CUT_OFF:
            return []
        return [_to_entry(own)]

    def on_announced(self, entries: Sequence[PeerEntry]) -> None:
        """Learn what another host tells of itself."""
        for host in _from_entries(entries):
            self.directory.learn(host, boot_time_s())

    async def _find(
        self, question: PeerQuestion, asking: str
    ) -> list[PeerEntry]:
        """Return hosts of this zone; if they are few, also of other zones."""
        own = self.own()
        if own is not None:
            self.directory.learn(own, boot_time_s())
        hosts = self.directory.choose(
            question.service, (asking,), boot_time_s()
        )
        entries = list(map(_to_entry, hosts))
        if len(hosts) < ENOUGH_HOSTS and not question.passed_on:
            entries.extend(await self._ask_zones(question.service))
        return entries

    async def _ask_zones(self, service: str) -> list[PeerEntry]:
        await self.readers.ensure_known()
        question = PeerQuestion(service, passed_on=True)
        replies = await asyncio.gather(
            *(
                self.readers.request(zone, question, ZONE_TIMEOUT_S)
                for zone in self.other_zones
            ),
            return_exceptions=True,
        )
        return [
            entry
            for reply in replies
            if isinstance(reply, PeerAnswer)
            for entry in reply.peers
        ]

    async def _answer(
        self, sender: Sender, question: PeerQuestion
    ) -> PeerAnswer:
        return PeerAnswer(await self._find(question, sender.host))


def _to_entry(host: PeerHost) -> PeerEntry:
    return PeerEntry(
        host.name,
        host.availability_zone,
        str(host.address),
        host.key,
        host.load,
        sorted(host.cut_off)[:MAX_CUT_OFF],
    )


def _from_entries(entries: Sequence[PeerEntry]) -> list[PeerHost]:
    """Convert messages; those that exceed a bound are left out."""
    hosts = []
    for entry in entries:
        texts = (entry.name, entry.availability_zone, *entry.cut_off)
        if len(entry.cut_off) > MAX_CUT_OFF or any(
            len(text) > MAX_NAME_CHARACTERS for text in texts
        ):
            continue
        try:
            address = Address.parse(entry.address)
        except ValueError:
            continue  # an entry without a usable address names no host
        hosts.append(
            PeerHost(
                entry.name,
                entry.availability_zone,
                address,
                entry.key,
                entry.load,
                frozenset(entry.cut_off),
            )
        )
    return hosts
