"""Keeps requests with quarantined traits from backend servers."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass

from celerywharf.quarantine._records import Loss
from celerywharf.quarantine._register import LossRegister
from celerywharf.quarantine._traits import REQUEST_PREFIX, is_request

logger = logging.getLogger(__name__)

TrialRule = Callable[[str, float], bool]


@dataclass(frozen=True, slots=True, eq=False)
class _Send:
    """A request that a backend server has not begun to answer, or not ended.

    Attributes:
        traits: the traits of the request.
        recall: called when one of them is quarantined; None if the send must
            not be interrupted.
    """

    traits: Sequence[str]
    recall: Callable[[], None] | None


class QuarantineGate:
    """Checks requests against the register, and reports their ends to it.

    Attributes:
        register: decides which traits are quarantined.
        now: returns the time on the store's clock, seconds.
        is_trial_host: returns whether this host may let a request with a trait
            through at a time; None if no host may.
        sends: sends in progress.
        quarantined: traits that were logged as quarantined.
    """

    def __init__(
        self,
        register: LossRegister,
        now: Callable[[], float],
    ) -> None:
        self.register = register
        self.now = now
        self.is_trial_host: TrialRule | None = None
        self.sends: set[_Send] = set()
        self.quarantined: set[str] = set()
        register.subscribers.append(self._on_change)

    def blocking_trait(self, traits: Sequence[str]) -> str | None:
        """Return the trait for which a request must not be sent; None if none.

        After some time one request is let through by one host of all, as a
        trial.
        """
        trait = self.register.blocking_trait(traits)
        if trait is None or not self._may_try(trait, traits):
            return trait
        logger.info('quarantined trait tried', extra=_log_fields(trait))
        return None

    @contextmanager
    def sending(
        self, traits: Sequence[str], recall: Callable[[], None] | None = None
    ) -> Iterator[None]:
        """Call ``recall`` if a trait is quarantined while the body runs."""
        send = _Send(traits, recall)
        self.sends.add(send)
        try:
            yield
        finally:
            self.sends.discard(send)

    def lost(
        self,
        traits: Sequence[str],
        instance: str,
        availability_zone: str,
        *,
        begun: bool,
    ) -> None:
        """Record the loss of a server that worked on a request.

        Args:
            traits: the traits of the request that may have crashed it.
            instance: the incarnation of the server.
            availability_zone: zone of the server.
            begun: whether the server was at work on the request itself.
        """
        loss = Loss(self.now(), instance, availability_zone, begun)
        self.register.record_loss(traits, loss)

    def progressed(self, traits: Sequence[str]) -> None:
        """Record that a server has been answering a request for a while."""
        self.register.record_progress(traits)

    def completed(self, traits: Sequence[str]) -> None:
        """Record that a request has been answered completely."""
        self.register.record_completion(traits)

    def _may_try(self, trait: str, traits: Sequence[str]) -> bool:
        now_s = self.now()
        if now_s < self.register.trial_due_s(trait, traits):
            return False
        if self.is_trial_host is None or not self.is_trial_host(trait, now_s):
            return False
        return not any(trait in send.traits for send in self.sends)

    def _on_change(self, trait: str) -> None:
        self._log(trait)
        for send in tuple(self.sends):
            if send.recall is None or trait not in send.traits:
                continue
            if self.register.blocking_trait(send.traits) is not None:
                send.recall()

    def _log(self, trait: str) -> None:
        record = self.register.records.get(trait)
        is_quarantined = trait in self.register.heavy
        if is_quarantined == (trait in self.quarantined):
            return
        if is_quarantined:
            self.quarantined.add(trait)
        else:
            self.quarantined.discard(trait)
        subject = 'request' if is_request(trait) else 'prompt part'
        change = 'quarantined' if is_quarantined else 'released'
        logger.warning(
            f'{subject} {change}',
            extra={
                **_log_fields(trait),
                'generation': record.generation if record else None,
                'lost_servers': sorted(record.instances) if record else [],
            },
        )


def _log_fields(trait: str) -> dict[str, str]:
    if is_request(trait):
        return {'request_digest': trait.removeprefix(REQUEST_PREFIX)}
    return {'prompt_part': trait}
