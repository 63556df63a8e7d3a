"""Membership requests between hosts: the client and the handlers."""

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

SAMPLE_MESSAGE_STATES = 3
# The timeout of an indirect probe has to cover the probe of the helper.
INDIRECT_TIMEOUT_FACTOR = 1.5


class MembershipRpc:
    """Sends the membership requests of this host and handles incoming ones.

    Membership states and notices in requests and responses are applied.
    """

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
        """Probe a host; return whether it responded in time."""
        return await self._probe(target.name, target.inner)

    async def probe_indirectly(
        self,
        target: PeerState,
        helpers: tuple[PeerState, ...],
    ) -> bool:
        """Have other hosts probe a host; return whether any reached it."""
        reached = await asyncio.gather(
            *(self._request_probe(target, helper) for helper in helpers),
        )
        return any(reached)

    async def request_view(self, address: Address) -> bool:
        """Request a host's view of its zone and apply it.

        Returns False when the host did not respond.
        """
        request = ViewRequest([self.membership.detector.own])
        return await self._request_states(address, request)

    async def request_sample(self, target: PeerState) -> bool:
        """Refresh the sample of another zone by asking one of its hosts.

        Returns False when the host did not respond.
        """
        zone = target.availability_zone
        known = self.membership.samples.of(zone)
        request = SampleRequest(
            self._sample_states(),
            [state.name for state in known],
            self.membership.notices.current(),
        )
        return await self._request_states(
            Address.parse(target.inner),
            request,
        )

    async def find(self, target: PeerState, name: str) -> PeerState | None:
        """Ask ``target`` for the host of this name in its zone.

        Returns None when it is unknown there or ``target`` did not respond.
        """
        try:
            view = await self.links.request(
                Address.parse(target.inner),
                FindRequest(name),
                self.timeout_s,
            )
        except CelerywharfError:
            return None
        return next(
            (state for state in view.states if state.name == name), None
        )

    def serve_gossip(self, sender: Sender, message: Gossip) -> None:
        """Apply gossip sent without a request."""
        self.membership.receive(message.states, message.notices)

    def serve_probe(self, sender: Sender, message: Probe) -> Gossip:
        """Apply the gossip of a probe and respond with our own."""
        self.membership.receive(message.states, message.notices)
        return self._gossip_for(sender.host)

    async def serve_indirect(
        self,
        sender: Sender,
        message: IndirectProbe,
    ) -> None:
        """Probe a host on behalf of the sender.

        Raises:
            NotFoundError: the target did not respond.
        """
        if not await self._probe(message.target, message.inner):
            raise NotFoundError(f'{message.target} did not respond')

    def serve_view(self, sender: Sender, message: ViewRequest) -> View:
        """Respond with the hosts of this zone and the samples of others."""
        membership = self.membership
        membership.receive(message.states, [])
        about_sender = membership.detector.states_for(sender.host)
        return View(
            [
                *membership.detector.live(),
                *membership.samples.all(),
                *about_sender,
            ],
            membership.notices.current(),
        )

    def serve_sample(self, sender: Sender, message: SampleRequest) -> View:
        """Respond to a host of another zone with a few hosts of this one."""
        membership = self.membership
        membership.receive(message.states, message.notices)
        members = membership.detector.members
        requested = [
            members[name].state for name in message.names if name in members
        ]
        return View(
            [*requested, *self._sample_states()], membership.notices.current()
        )

    def serve_find(self, sender: Sender, message: FindRequest) -> View:
        """Respond with the live host of this name in this zone, if any."""
        membership = self.membership
        own = membership.detector.own
        member = membership.detector.members.get(message.name)
        known = own if message.name == own.name else None
        if member is not None and is_live(member.state):
            known = member.state
        return View([known] if known else [], [])

    def _sample_states(self) -> list[PeerState]:
        membership = self.membership
        live = membership.detector.live()
        count = min(SAMPLE_MESSAGE_STATES, len(live))
        return [
            membership.detector.own,
            *membership.rng.sample(live, count),
        ]

    def _gossip_for(self, name: str) -> Gossip:
        return Gossip(
            self.membership.detector.states_for(name),
            self.membership.notices.current(),
        )

    async def _probe(self, name: str, inner: str) -> bool:
        gossip = self._gossip_for(name)
        request = Probe(gossip.states, gossip.notices)
        return await self._request_states(Address.parse(inner), request)

    async def _request_probe(
        self, target: PeerState, helper: PeerState
    ) -> bool:
        request = IndirectProbe(target.name, target.inner)
        address = Address.parse(helper.inner)
        timeout_s = INDIRECT_TIMEOUT_FACTOR * self.timeout_s
        try:
            await self.links.request(address, request, timeout_s)
        except CelerywharfError:
            return False
        return True

    async def _request_states(
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
        self.membership.receive(answer.states, answer.notices)
        return True
