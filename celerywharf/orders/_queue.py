"""Brings weights into availability zones, one queue for each."""

from __future__ import annotations

from typing import TYPE_CHECKING

from celerywharf.exceptions import (
    CelerywharfError,
    LimitReachedError,
)
from celerywharf.orders._weights import FAILED_RETRY_S, WeightLogic
from celerywharf.tables import BackendServer
from celerywharf.tasks import Part
from celerywharf.utils import rendezvous_order
from celerywharf.wire import Sender
from celerywharf.wire.orders import WeightQuestion, WeightVerdict

if TYPE_CHECKING:
    from celerywharf.hosts import Host
    from celerywharf.membership import Peer

KICK_PERIOD_S = 0.2


class WeightQueue(Part):
    """Asks the host that keeps a zone's queue, and keeps it when chosen.

    Attributes:
        logics: queue of each zone that this host was asked about.
    """

    def __init__(self, host: Host) -> None:
        super().__init__()
        self.host = host
        self.logics: dict[str, WeightLogic] = {}
        host.links.subscribe(WeightQuestion, self._asked)

    def start(self) -> None:
        """Begin fetching."""
        super().start()
        self.host.timers.every(KICK_PERIOD_S, self.post, None)

    async def ask(self, backend: BackendServer, model: str) -> bool:
        """Tell whether a model may be loaded now; ask again until it may."""
        zone = backend.availability_zone
        question = WeightQuestion(model, backend.name, zone)
        keeper = self._keeper(zone)
        if keeper.name == self.host.identity.name:
            return self._note(question)
        try:
            verdict = await self.host.links.request(keeper.inner, question)
        except CelerywharfError:
            return False
        return verdict.ready

    def handle(self, message: None) -> None:
        """Start the transfers that are due."""
        for zone, logic in self.logics.items():
            model = logic.next_fetch(self.host.timers.now())
            if model:
                self.spawn(self._fetch(zone, logic, model))

    def _keeper(self, availability_zone: str) -> Peer:
        membership = self.host.membership
        live = membership.live(availability_zone) or membership.live()
        peers = {peer.name: peer for peer in live}
        key = f'weights/{availability_zone}'
        return peers[rendezvous_order(key, list(peers))[0]]

    def _asked(self, sender: Sender, message: WeightQuestion) -> WeightVerdict:
        return WeightVerdict(self._note(message))

    def _note(self, question: WeightQuestion) -> bool:
        logic = self.logics.setdefault(
            question.availability_zone,
            WeightLogic(),
        )
        now = self.host.timers.now()
        return logic.ask(question.model, question.backend_server, now)

    async def _fetch(self, zone: str, logic: WeightLogic, model: str) -> None:
        retry_after_s = FAILED_RETRY_S
        try:
            await self.host.platform.fetch_weight(model, zone)
        except LimitReachedError as error:
            retry_after_s = error.retry_after_s
        except CelerywharfError as error:
            self._record('weights_failed', zone, model, error.code)
        else:
            logic.fetched(self.host.timers.now())
            self._record('weights_fetched', zone, model)
            return
        logic.refused(retry_after_s, self.host.timers.now())

    def _record(self, name: str, zone: str, model: str, code: str = '') -> None:
        self.host.recorder.record(
            name,
            model=model,
            availability_zone=zone,
            code=code,
        )
