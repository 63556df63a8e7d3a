"""What hosts ask of each other about membership, and the answers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from celerywharf.exceptions import CelerywharfError, NotFoundError
from celerywharf.membership.states import is_live
from celerywharf.structures import Address
from celerywharf.wire import Sender
from celerywharf.wire.membership import (
    FindRequest,
    Gossip,
    IndirectProbe,
    PeerState,
    Probe,
    SampleRequest,
    View,
    ViewRequest,
)

if TYPE_CHECKING:
    from celerywharf.membership._part import Membership

SAMPLE_ANSWER_STATES = 3
HELP_FACTOR = 1.5


class Exchanges:
    """Sends the questions of one host and serves those of others."""

    def __init__(self, membership: Membership) -> None:
        self.membership = membership
        self.links = membership.host.links
        self.timeout_s = membership.host.settings.membership.probe_timeout_s
        self.links.subscribe(Gossip, self.serve_gossip)
        self.links.subscribe(Probe, self.serve_probe)
        self.links.subscribe(IndirectProbe, self.serve_indirect)
        self.links.subscribe(ViewRequest, self.serve_view)
        self.links.subscribe(SampleRequest, self.serve_sample)
        self.links.subscribe(FindRequest, self.serve_find)

    async def probe(self, target: PeerState) -> bool:
        """Probe a host; tell whether it answered."""
        return await self._probe(target.name, target.inner)

    async def probe_through(
        self,
        target: PeerState,
        helpers: tuple[PeerState, ...],
    ) -> bool:
        """Let others probe a host; tell whether any reached it."""
        reached = await asyncio.gather(
            *(self._help(target, helper) for helper in helpers),
        )
        return any(reached)

    async def view(self, address: Address) -> bool:
        """Ask a host for its view and learn it; tell whether it answered."""
        request = ViewRequest([self.membership.detector.own])
        return await self._learn_from(address, request)

    async def sample(self, state: PeerState) -> bool:
        """Refresh the sample of another zone; tell whether it answered."""
        zone = state.availability_zone
        known = self.membership.samples.of(zone)
        request = SampleRequest(
            self._few(),
            [one.name for one in known],
            self.membership.notices.current(),
        )
        return await self._learn_from(Address.parse(state.inner), request)

    async def find(self, state: PeerState, name: str) -> PeerState | None:
        """Ask a host for a host of its zone by name."""
        try:
            view = await self.links.request(
                Address.parse(state.inner),
                FindRequest(name),
                self.timeout_s,
            )
        except CelerywharfError:
            return None
        return next((one for one in view.states if one.name == name), None)

    def serve_gossip(self, sender: Sender, message: Gossip) -> None:
        """Learn news."""
        self.membership.hear(message.states, message.notices)

    def serve_probe(self, sender: Sender, message: Probe) -> Gossip:
        """Learn news, give a sign of life and news in return."""
        self.membership.hear(message.states, message.notices)
        return self._news(sender.host)

    async def serve_indirect(
        self,
        sender: Sender,
        message: IndirectProbe,
    ) -> None:
        """Probe in another host's place.

        Raises:
            NotFoundError: the target did not answer.
        """
        if not await self._probe(message.target, message.inner):
            raise NotFoundError(f'{message.target} did not answer')

    def serve_view(self, sender: Sender, message: ViewRequest) -> View:
        """Tell all that is known of the zone and the samples beyond."""
        membership = self.membership
        membership.hear(message.states, [])
        about_asker = membership.detector.news_for(sender.host)
        return View(
            [
                *membership.detector.live(),
                *membership.samples.all(),
                *about_asker,
            ],
            membership.notices.current(),
        )

    def serve_sample(self, sender: Sender, message: SampleRequest) -> View:
        """Tell a host of another zone about a few hosts of this one."""
        membership = self.membership
        membership.hear(message.states, message.notices)
        members = membership.detector.members
        wanted = [
            members[name].state for name in message.names if name in members
        ]
        return View([*wanted, *self._few()], membership.notices.current())

    def serve_find(self, sender: Sender, message: FindRequest) -> View:
        """Tell about one host of this zone."""
        membership = self.membership
        own = membership.detector.own
        member = membership.detector.members.get(message.name)
        known = own if message.name == own.name else None
        if member is not None and is_live(member.state):
            known = member.state
        return View([known] if known else [], [])

    def _few(self) -> list[PeerState]:
        membership = self.membership
        live = membership.detector.live()
        count = min(SAMPLE_ANSWER_STATES, len(live))
        return [membership.detector.own, *membership.rng.sample(live, count)]

    def _news(self, name: str) -> Gossip:
        return Gossip(
            self.membership.detector.news_for(name),
            self.membership.notices.current(),
        )

    async def _probe(self, name: str, inner: str) -> bool:
        news = self._news(name)
        request = Probe(news.states, news.notices)
        return await self._learn_from(Address.parse(inner), request)

    async def _help(self, target: PeerState, helper: PeerState) -> bool:
        request = IndirectProbe(target.name, target.inner)
        address = Address.parse(helper.inner)
        timeout_s = HELP_FACTOR * self.timeout_s
        try:
            await self.links.request(address, request, timeout_s)
        except CelerywharfError:
            return False
        return True

    async def _learn_from(
        self,
        address: Address,
        request: Probe | ViewRequest | SampleRequest,
    ) -> bool:
        try:
            answer = await self.links.request(
                address,
                request,
                self.timeout_s,
            )
        except CelerywharfError:
            return False
        self.membership.hear(answer.states, answer.notices)
        return True
