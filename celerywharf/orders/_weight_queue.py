"""Transfers of model weights to availability zones."""

from __future__ import annotations

from typing import TYPE_CHECKING

from celerywharf.exceptions import (
    CelerywharfError,
    LimitReachedError,
)
from celerywharf.orders._weights import FAILED_FETCH_RETRY_S, ZoneQueue
from celerywharf.tables import BackendServer
from celerywharf.tasks import Part
from celerywharf.utils import rendezvous_order
from celerywharf.wire import Sender
from celerywharf.wire.orders import WeightQuestion, WeightVerdict

if TYPE_CHECKING:
    from celerywharf.hosts import Host
    from celerywharf.membership import Peer

FETCH_CHECK_PERIOD_S = 0.2


class WeightQueue(Part):
    """Requests weights from the host that runs the queue of a zone.

    One host of each zone runs its queue, chosen by rendezvous hashing.

    Attributes:
        zone_queues: by zone, the queues that this host received requests for.
    """

    def __init__(self, host: Host) -> None:
        super().__init__()
        self.host = host
        self.zone_queues: dict[str, ZoneQueue] = {}
        host.links.subscribe(WeightQuestion, self._serve_question)

    def start(self) -> None:
        """Start fetching weights."""
        super().start()
        self.host.timers.every(FETCH_CHECK_PERIOD_S, self.post, None)

    async def request(self, backend: BackendServer, model: str) -> bool:
        """Request the weights of a model for the zone of a backend server.

        Returns whether the model may be loaded now.  Until then the caller
        has to repeat the request, as requests expire.
        """
        zone = backend.availability_zone
        question = WeightQuestion(model, backend.name, zone)
        queue_host = self._queue_host(zone)
        if queue_host.name == self.host.identity.name:
            return self._enqueue(question)
        try:
            verdict = await self.host.links.request(queue_host.inner, question)
        except CelerywharfError:
            return False
        return verdict.ready

    def handle(self, message: None) -> None:
        """Start the transfers that are due in each zone."""
        for zone, zone_queue in self.zone_queues.items():
            model = zone_queue.next_fetch(self.host.timers.now())
            if model:
                self.spawn(self._fetch(zone, zone_queue, model))

    def _queue_host(self, availability_zone: str) -> Peer:
        membership = self.host.membership
        live = membership.live(availability_zone) or membership.live()
        peers = {peer.name: peer for peer in live}
        key = f'weights/{availability_zone}'
        return peers[rendezvous_order(key, list(peers))[0]]

    def _serve_question(
        self, sender: Sender, message: WeightQuestion
    ) -> WeightVerdict:
        return WeightVerdict(self._enqueue(message))

    def _enqueue(self, question: WeightQuestion) -> bool:
        zone_queue = self.zone_queues.setdefault(
            question.availability_zone,
            ZoneQueue(),
        )
        now = self.host.timers.now()
        return zone_queue.request(question.model, question.backend_server, now)

    async def _fetch(
        self, zone: str, zone_queue: ZoneQueue, model: str
    ) -> None:
        retry_after_s = FAILED_FETCH_RETRY_S
        try:
            await self.host.platform.fetch_weight(model, zone)
        except LimitReachedError as error:
            retry_after_s = error.retry_after_s
        except CelerywharfError as error:
            self._record('weights_failed', zone, model, error.code)
        else:
            zone_queue.finish_fetch(self.host.timers.now())
            self._record('weights_fetched', zone, model)
            return
        zone_queue.defer_fetch(retry_after_s, self.host.timers.now())

    def _record(self, name: str, zone: str, model: str, code: str = '') -> None:
        self.host.recorder.record(
            name,
            model=model,
            availability_zone=zone,
            code=code,
        )
