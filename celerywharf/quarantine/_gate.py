"""Keeps requests with quarantined prompt parts from backend servers."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass

from celerywharf.quarantine._records import Loss
from celerywharf.quarantine._register import PartRegister

logger = logging.getLogger(__name__)

TrialRule = Callable[[str, float], bool]


@dataclass(frozen=True, slots=True, eq=False)
class _Send:
    """A request that a backend server has not begun to answer, or not ended.

    Attributes:
        parts: the shared parts of its prompt.
        recall: called when one of them is quarantined; None if the send must
            not be interrupted.
    """

    parts: Sequence[str]
    recall: Callable[[], None] | None


class PartGate:
    """Checks requests against the register, and reports their ends to it.

    Attributes:
        register: decides which parts are quarantined.
        now: returns the time on the store's clock, seconds.
        is_trial_host: returns whether this host may let a request with a part
            through at a time; None if no host may.
        sends: sends in progress whose prompts have shared parts.
        quarantined: parts that were logged as quarantined.
    """

    def __init__(
        self,
        register: PartRegister,
        now: Callable[[], float],
    ) -> None:
        self.register = register
        self.now = now
        self.is_trial_host: TrialRule | None = None
        self.sends: set[_Send] = set()
        self.quarantined: set[str] = set()
        register.subscribers.append(self._on_change)

    def blocking_part(self, parts: Sequence[str]) -> str | None:
        """Return the part for which a request must not be sent; None if none.

        After some time one request is let through by one host of all, as a
        trial.
        """
        part = self.register.blocking_part(parts)
        if part is None or not self._may_try(part, parts):
            return part
        logger.info('quarantined part tried', extra={'prompt_part': part})
        return None

    @contextmanager
    def sending(
        self, parts: Sequence[str], recall: Callable[[], None] | None = None
    ) -> Iterator[None]:
        """Call ``recall`` if a part is quarantined while the body runs."""
        if not parts:
            yield
            return
        send = _Send(parts, recall)
        self.sends.add(send)
        try:
            yield
        finally:
            self.sends.discard(send)

    def lost(
        self,
        parts: Sequence[str],
        instance: str,
        availability_zone: str,
        *,
        begun: bool,
    ) -> None:
        """Record the loss of a server that worked on a request.

        Args:
            parts: the shared parts of the request's prompt.
            instance: the incarnation of the server.
            availability_zone: zone of the server.
            begun: whether the answer had just begun.
        """
        if parts:
            loss = Loss(self.now(), instance, availability_zone, begun)
            self.register.record_loss(parts, loss)

    def progressed(self, parts: Sequence[str]) -> None:
        """Record that a server has been answering a request for a while."""
        self.register.record_progress(parts)

    def completed(self, parts: Sequence[str]) -> None:
        """Record that a request has been answered completely."""
        self.register.record_completion(parts)

    def _may_try(self, part: str, parts: Sequence[str]) -> bool:
        now_s = self.now()
        if now_s < self.register.trial_due_s(part, parts):
            return False
        if self.is_trial_host is None or not self.is_trial_host(part, now_s):
            return False
        return not any(part in send.parts for send in self.sends)

    def _on_change(self, part: str) -> None:
        self._log(part)
        for send in tuple(self.sends):
            if send.recall is None or part not in send.parts:
                continue
            if self.register.blocking_part(send.parts) is not None:
                send.recall()

    def _log(self, part: str) -> None:
        record = self.register.records.get(part)
        is_quarantined = part in self.register.heavy
        if is_quarantined == (part in self.quarantined):
            return
        if is_quarantined:
            self.quarantined.add(part)
        else:
            self.quarantined.discard(part)
        logger.warning(
            'prompt part quarantined'
            if is_quarantined
            else 'prompt part released',
            extra={
                'prompt_part': part,
                'generation': record.generation if record else None,
                'lost_servers': sorted(record.instances) if record else [],
            },
        )
