"""Keeps requests with quarantined traits from backend servers."""

from __future__ import annotations

import logging
import math
from collections import deque
from collections.abc import Callable, Iterator, Mapping, Sequence
from contextlib import contextmanager
from dataclasses import dataclass

from celerywharf.quarantine._records import Loss
from celerywharf.quarantine._register import LossRegister
from celerywharf.quarantine._traits import REQUEST_PREFIX, is_request

logger = logging.getLogger(__name__)

TrialRule = Callable[[str, float], bool]

# A server that is lost this soon before or after a request was given up may
# have been crashed by it.
GIVEN_UP_SUSPECT_S = 2.0
MAX_GIVEN_UP = 512


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


@dataclass(frozen=True, slots=True, eq=False)
class _GivenUpSend:
    """A request whose end this host did not wait for.

    Attributes:
        at_s: when it was given up, on the store's clock, seconds.
        traits: its traits that may crash a server.
        instance: the incarnation of the server that it was sent to.
        availability_zone: zone of the server.
    """

    at_s: float
    traits: Sequence[str]
    instance: str
    availability_zone: str

    def is_suspect(self, at_s: float) -> bool:
        """Return whether it may have crashed a server that was lost then."""
        return abs(at_s - self.at_s) <= GIVEN_UP_SUSPECT_S


class QuarantineGate:
    """Checks requests against the register, and reports their ends to it.

    Attributes:
        register: decides which traits are quarantined.
        now: returns the time on the store's clock, seconds.
        is_trial_host: returns whether this host may let a request with a trait
            through at a time; None if no host may.
        sends: sends in progress.
        given_up_sends: the most recent sends whose end was not awaited.
        on_given_up: called with the incarnation of the server of each of them;
            None if nobody checks the servers.
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
        self.given_up_sends: deque[_GivenUpSend] = deque(maxlen=MAX_GIVEN_UP)
        self.on_given_up: Callable[[str], None] | None = None
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

    def given_up(
        self, traits: Sequence[str], instance: str, availability_zone: str
    ) -> None:
        """Record that the end of a request was not awaited.

        If its server is lost at about the same time, whichever host notices
        it, the request may have crashed it.
        """
        given_up = _GivenUpSend(self.now(), traits, instance, availability_zone)
        lost_s = self.register.last_lost_s(instance)
        if lost_s is not None and given_up.is_suspect(lost_s):
            self._record_loss(given_up, lost_s)
            return
        self.given_up_sends.append(given_up)
        if self.on_given_up is not None:
            self.on_given_up(instance)

    def unreachable(self, instance: str) -> None:
        """Record that a server accepts no connections."""
        self._record_losses({instance: self.now()})

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

    def _record_losses(self, lost_s: Mapping[str, float]) -> None:
        """Record losses under requests that were given up.

        Args:
            lost_s: when each server was lost, by incarnation.
        """
        suspects = [
            given_up
            for given_up in self.given_up_sends
            if given_up.is_suspect(lost_s.get(given_up.instance, -math.inf))
        ]
        # Removed first, because each recorded loss leads here again.
        for given_up in suspects:
            self.given_up_sends.remove(given_up)
        for given_up in suspects:
            self._record_loss(given_up, lost_s[given_up.instance])

    def _record_loss(self, given_up: _GivenUpSend, at_s: float) -> None:
        loss = Loss(
            at_s, given_up.instance, given_up.availability_zone, begun=False
        )
        self.register.record_loss(given_up.traits, loss)

    def _on_change(self, trait: str) -> None:
        self._log(trait)
        record = self.register.records.get(trait)
        if record is not None and self.given_up_sends:
            self._record_losses(
                {loss.instance: loss.at_s for loss in record.losses}
            )
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
