"""Log lines of a request."""

from __future__ import annotations

import logging
from typing import Any

from celerywharf.backends import BackendServer
from celerywharf.forwarding._outcomes import (
    Answered,
    Finished,
    Lost,
    Outcome,
    PeerAnswered,
    PeerFailed,
    Recalled,
    Refused,
)
from celerywharf.forwarding._plans import Fail, PassOn, Step
from celerywharf.forwarding._requests import IncomingRequest
from celerywharf.origins import OriginKnowledge
from celerywharf.peers import PeerHost

logger = logging.getLogger(__name__)

MILLISECONDS = 1000
MAX_LOGGED_PARTS = 8


class RequestLog:
    """Logs the decisions about one request and what they were based on.

    Attributes:
        version: version of the configuration that was used.
        sends: number of sends so far.
        servers: names of the backend servers it was sent to, in order.
        software_versions: their software versions.
        peers: names of the hosts it was passed to, in order.
    """

    def __init__(self, request: IncomingRequest, version: int) -> None:
        self.request = request
        self.version = version
        self.sends = 0
        self.servers: list[str] = []
        self.software_versions: list[str] = []
        self.peers: list[str] = []

    def log_send(
        self,
        server: BackendServer,
        outcome: Outcome,
        step: Step,
        **details: Any,
    ) -> None:
        """Count a send; log it unless its answer goes to the caller."""
        self.sends += 1
        self.servers.append(server.name)
        self.software_versions.append(server.software_version)
        if isinstance(outcome, Finished) or isinstance(step, PassOn):
            return
        logger.info(
            'send failed',
            extra={
                'request_id': self.request.headers.request_id,
                'request_digest': self.request.digest,
                'backend_server': server.name,
                'send': self.sends,
                'outcome': _describe(outcome),
                'then': type(step).__name__,
                'software_version': server.software_version,
                **self._prompt_parts(),
                **details,
            },
        )

    def log_kept(self, reason: str) -> None:
        """Log why a silent send is kept."""
        logger.info(
            'silent send kept',
            extra={
                'request_id': self.request.headers.request_id,
                'reason': reason,
            },
        )

    def log_waited_in_vain(
        self, reason: str, now_s: float, expected_s: float
    ) -> None:
        """Log why a request that waited for room is refused."""
        waited_s = now_s - self.request.arrived_s
        logger.info(
            'refused while engines lack room',
            extra={
                'request_id': self.request.headers.request_id,
                'reason': str(reason),
                'waited_ms': round(waited_s * MILLISECONDS),
                'expected_wait_ms': round(expected_s * MILLISECONDS),
            },
        )

    def log_origin(self, knowledge: OriginKnowledge) -> None:
        """Log which software versions may have begun a resumed stream."""
        fields: dict[str, Any] = {
            'request_id': self.request.headers.request_id,
            'resumed_request': self.request.headers.resumed_request,
            'possible_versions': sorted(knowledge.possible()),
            'evidence': knowledge.evidence.value,
        }
        if knowledge.age_s is not None:
            fields['age_ms'] = round(knowledge.age_s * MILLISECONDS)
        logger.info('resumed stream', extra=fields)

    def log_relay(self, peer: PeerHost, outcome: Outcome, step: Step) -> None:
        """Log that the request was passed to another host."""
        self.peers.append(peer.name)
        logger.info(
            'passed on',
            extra={
                'request_id': self.request.headers.request_id,
                'host_passed_to': peer.name,
                'load': peer.load,
                'outcome': _describe(outcome),
                'then': type(step).__name__,
            },
        )

    def _prompt_parts(self) -> dict[str, Any]:
        parts = self.request.headers.shared_parts[:MAX_LOGGED_PARTS]
        return {'prompt_parts': parts} if parts else {}

    def log_end(self, step: Step, now_s: float, **details: Any) -> None:
        """Log how the request ended for the caller."""
        fields: dict[str, Any] = {
            'request_id': self.request.headers.request_id,
            'route': self.request.route.name,
            'configuration': self.version,
            'sends': self.sends,
            'backend_servers': self.servers,
            'software_versions': self.software_versions,
            'took_ms': round(
                (now_s - self.request.arrived_s) * MILLISECONDS,
                1,
            ),
            **details,
            'status': int(step.status),
        }
        if self.peers:
            fields['peers'] = self.peers
        if self.request.relay is not None:
            fields['from_host'] = True
        if isinstance(step, Fail):
            fields['reason'] = step.reason
        else:
            fields['routine'] = self.sends == 1
        logger.info('request ended', extra=fields)


def _describe(outcome: Outcome) -> str:
    match outcome:
        case Answered():
            return f'answered {outcome.response.status}'
        case Refused():
            return f'not run: {outcome.reason}'
        case Lost():
            return f'lost: {outcome.reason}'
        case Recalled():
            return f'recalled: {outcome.reason}'
        case PeerAnswered():
            return f'answered {outcome.response.status}'
        case PeerFailed():
            return f'failed {int(outcome.status)}: {outcome.reason}'
        case Finished():
            return 'finished'
