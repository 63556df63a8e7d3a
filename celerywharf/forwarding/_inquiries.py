"""Asks an engine about a stream with events that has fallen silent."""

from __future__ import annotations

import asyncio
import enum
import logging
from types import MappingProxyType

from celerywharf.forwarding._context import ForwardingContext
from celerywharf.forwarding._requests import IncomingRequest
from celerywharf.forwarding._silence import Liveness, assess_run
from celerywharf.forwarding._stream_sends import StreamSend

logger = logging.getLogger(__name__)

# Long enough for a round trip between regions.  What is left of the gap target
# is needed to reach another engine.
ANSWER_WITHIN_S = 0.1
MILLISECONDS = 1000


class Evidence(enum.Enum):
    """What is known of the engine of a silent stream."""

    # The engine works on the next event.
    at_work = 'at work'
    # It has produced events that have not arrived.
    events_lost = 'events lost'
    # It has no such run, or has put it back.
    not_running = 'not running'
    unreachable = 'unreachable'
    no_answer = 'no answer'
    # Others in its zone have just failed.
    zone_failure = 'zone failure'
    # The silence is too long for any report.
    stalled = 'stalled'
    # It has stated a limit of requests.
    not_asked = 'not asked'


EVIDENCE_OF_REPORTS = MappingProxyType(
    {
        Liveness.alive: Evidence.at_work,
        Liveness.suspect: Evidence.events_lost,
        Liveness.dead: Evidence.not_running,
    }
)


class Inquiry:
    """Tells an engine that is slow between two events from one that is lost.

    It answers the load of batches that read long prompts: their events are far
    apart, while nothing is wrong with the engine.  A successor would use up the
    copy of the run and a retry.

    Attributes:
        context: components of the host.
        request: the caller's request.
    """

    def __init__(
        self, context: ForwardingContext, request: IncomingRequest
    ) -> None:
        self.context = context
        self.request = request

    async def assess(self, send: StreamSend) -> Liveness:
        """Ask the engine of a stream whose silence exceeds its limit.

        If it is at work on the stream, the detector of the send is told so.

        Returns:
            ``dead`` if a successor is needed now.
        """
        began_s = self.context.timers.now()
        detector = send.relay.detector
        last_s = detector.last_s
        evidence = self._evidence_at_hand(send, began_s)
        if evidence is None:
            evidence = await self._ask(send)
        if detector.last_s > last_s or send.relay.done.done():
            return Liveness.alive
        self._record(send, evidence, began_s - last_s)
        now_s = self.context.timers.now()
        match evidence:
            case Evidence.at_work:
                detector.record_at_work(now_s)
                return Liveness.alive
            case Evidence.events_lost:
                alive_at_s = self.context.loads.alive_at_s(send.server.name)
                return detector.assess(now_s, alive_at_s)
            case _:
                return Liveness.dead

    def _evidence_at_hand(
        self, send: StreamSend, now_s: float
    ) -> Evidence | None:
        """Return what is known without asking; None if that is nothing."""
        if send.relay.detector.is_stalled(now_s):
            return Evidence.stalled
        if self.context.limits.is_limited(send.server.incarnation):
            return Evidence.not_asked
        if self.context.health.suspect(send.server, now_s):
            return Evidence.zone_failure
        return None

    async def _ask(self, send: StreamSend) -> Evidence:
        asking = asyncio.ensure_future(self.context.reports.probe(send.server))
        try:
            await asyncio.wait(
                {asking, send.relay.done},
                timeout=ANSWER_WITHIN_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not asking.done():
                return Evidence.no_answer
        finally:
            asking.cancel()
        report = asking.result()
        if report is None:
            return Evidence.unreachable
        liveness = assess_run(
            report,
            self.request.headers.request_id,
            send.relay.progress.last_event or 0,
        )
        return EVIDENCE_OF_REPORTS[liveness]

    def _record(
        self, send: StreamSend, evidence: Evidence, silent_s: float
    ) -> None:
        self.context.metrics.count('silent_streams', evidence=evidence.value)
        logger.info(
            'silent stream',
            extra={
                'request_id': self.request.headers.request_id,
                'backend_server': send.server.name,
                'evidence': evidence.value,
                'silent_ms': round(silent_s * MILLISECONDS),
            },
        )
