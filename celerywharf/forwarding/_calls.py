"""Forwarding of plain calls to application servers."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from http import HTTPStatus

from celerywharf.backends import BackendServer, Demand
from celerywharf.forwarding._base import Forwarding
from celerywharf.forwarding._context import ForwardingContext
from celerywharf.forwarding._outcomes import SILENCE, Outcome, Refused
from celerywharf.forwarding._peer_sends import send_call_to_peer
from celerywharf.forwarding._plans import PassOn, SendAgain, Step
from celerywharf.forwarding._request_log import RequestLog
from celerywharf.forwarding._requests import IncomingRequest
from celerywharf.forwarding._sends import record_outcome, send_call
from celerywharf.forwarding._silence import KEPT_S
from celerywharf.forwarding._version_counts import record_version
from celerywharf.peers import PeerHost, Relay
from celerywharf.rollouts import ANY_VERSION, Choice

# Fraction of the remaining time after which an idempotent call that has no
# answer is sent to a second server.
FIRST_SEND_FRACTION = 0.6
MIN_ANSWER_TIMEOUT_S = 0.02


@dataclass(frozen=True, slots=True, eq=False)
class CallSend:
    """A send in progress.

    Attributes:
        server: where it goes.
        task: returns its outcome.
    """

    server: BackendServer
    task: asyncio.Task[Outcome]


class CallForwarding(Forwarding):
    """Sends a call until it is answered or must not be retried.

    Attributes:
        tried_names: names of the servers it was sent to.
        unreachable_names: those of them that could not be connected to.
        choice: software versions that the latest server was chosen from.
    """

    def __init__(
        self,
        context: ForwardingContext,
        request: IncomingRequest,
        service: str,
        request_log: RequestLog,
    ) -> None:
        super().__init__(context, request, service, request_log)
        self.tried_names: set[str] = set()
        self.unreachable_names: set[str] = set()
        self.choice = ANY_VERSION

    async def send(self) -> Step:
        """Send the call, preferably to a server not tried yet.

        An idempotent call that has no answer after a part of its time is sent
        to a second server, if it may be; the first answer of the two counts.
        """
        if self.remaining_s() <= 0:
            return self.plan.timed_out()
        server = await self._choose()
        if server is None:
            return self.give_up_for_now()
        sends = [self._start(server)]
        try:
            return await self._await_answer(sends)
        finally:
            for send in sends:
                send.task.cancel()

    async def _await_answer(self, sends: list[CallSend]) -> Step:
        """Return the next step once a send has an answer or all have ended."""
        while True:
            done, _ = await asyncio.wait(
                {send.task for send in sends},
                timeout=self._wait_s(sends),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done:
                await self._add_send(sends)
            ended = [send for send in sends if send.task in done]
            for send in ended:
                step = self._conclude(send, send.task.result())
                sends.remove(send)
                if not sends or self._is_answer(step):
                    self._conclude_silent(sends)
                    return step

    def _wait_s(self, sends: list[CallSend]) -> float | None:
        """Return how long to wait before another server is tried.

        None if no other is.
        """
        remaining_s = self.remaining_s()
        if len(sends) > 1 or not self.plan.may_replace(remaining_s):
            return None
        if self.kept_for:
            return KEPT_S
        return remaining_s * FIRST_SEND_FRACTION

    async def _add_send(self, sends: list[CallSend]) -> None:
        """Send the call to a second server, if that is assured to be allowed.

        The first send is kept: its server may answer yet.
        """
        silent = sends[0]
        if self.is_quarantined():
            self.keep('quarantined')
            return
        server = await self._choose_untried()
        if server is None:
            self.keep('no other server')
        elif silent.task.done():
            return
        elif not await self.take_retry():
            self.keep('no retry left')
        elif self._may_add(silent, server):
            record_outcome(self.context, silent.server, SILENCE)
            sends.append(self._start(server))

    def _may_add(self, silent: CallSend, server: BackendServer) -> bool:
        """Return whether a second server is still to be used."""
        return (
            not silent.task.done()
            and not self.is_quarantined()
            and self.eligibility.may_send(server)
        )

    def _start(self, server: BackendServer) -> CallSend:
        self.tried_names.add(server.name)
        return CallSend(
            server, asyncio.get_running_loop().create_task(self._send(server))
        )

    async def _send(self, server: BackendServer) -> Outcome:
        remaining_s = self.remaining_s()
        version_send = self.context.rollouts.started(
            server, self.request.route.name, counted=self.choice.counted
        )
        outcome = None
        try:
            with self.sending(server):
                outcome = await send_call(
                    self.context,
                    self.request,
                    server,
                    remaining_s,
                    max(remaining_s, MIN_ANSWER_TIMEOUT_S),
                )
        finally:
            record_version(self.context, server, version_send, outcome)
        return outcome

    def _conclude(self, send: CallSend, outcome: Outcome) -> Step:
        """Record the outcome of a send; return the next step."""
        self.record_end(send.server, outcome)
        if isinstance(outcome, Refused) and not outcome.reached:
            self.unreachable_names.add(send.server.name)
        step = self.plan.next_step(outcome, self.remaining_s())
        self.request_log.log_send(send.server, outcome, step)
        return step

    def _conclude_silent(self, sends: list[CallSend]) -> None:
        """Log the sends that were overtaken by another one."""
        for send in sends:
            self.request_log.log_send(send.server, SILENCE, SendAgain())

    def _is_answer(self, step: Step) -> bool:
        """Return whether a step ends the request while a send is open."""
        return isinstance(step, PassOn) and (
            step.status < HTTPStatus.INTERNAL_SERVER_ERROR
        )

    async def send_to_peer(
        self, peer: PeerHost, relay: Relay, remaining_s: float
    ) -> Outcome:
        """Pass the call to another host and wait for the answer."""
        return await send_call_to_peer(
            self.context, self.request, peer, relay, remaining_s
        )

    async def _choose(self) -> BackendServer | None:
        """Choose an untried server, else a tried one that was reachable."""
        server = await self._choose_untried()
        if server is None:
            server = await self._choose_except(self.unreachable_names)
        return server

    async def _choose_untried(self) -> BackendServer | None:
        return await self._choose_except(self.tried_names)

    async def _choose_except(self, names: set[str]) -> BackendServer | None:
        rollouts = self.context.rollouts
        choice: Choice | None = rollouts.choose(self.service)
        server = None
        while server is None and choice is not None:
            self.choice = choice
            server = await self._choose_of(choice, names)
            if server is None:
                choice = rollouts.choose_again(choice)
        return server

    async def _choose_of(
        self, choice: Choice, names: set[str]
    ) -> BackendServer | None:
        ranked = self.context.placement.ranked(
            Demand(
                self.service,
                excluded=names,
                software_version=choice.software_version,
                excluded_versions=choice.excluded,
            ),
            self.context.timers.now(),
        )
        return await self.eligibility.first_eligible(ranked)
