"""Metrics, timeline events and usage of one owned generation."""

from __future__ import annotations

from typing import TYPE_CHECKING

from celerywharf.usage import EngineUse, RegionTransfer

if TYPE_CHECKING:
    from celerywharf.generations._attempt_runner import AttemptRun
    from celerywharf.generations._owned_generation import OwnedGeneration

# Recording a sample costs as much as relaying several tokens.
DELIVERIES_PER_SAMPLE = 16
MS_PER_S = 1000


class Observations:
    """Reports on a generation at its owner.

    Attributes:
        owned_since_s: when this host became the owner.
        last_tokens_s: when the last tokens arrived.
        interrupted_since_s: start of the current interruption, None without
            one.
        interrupted_length: tokens in the journal at the interruption.
        awaits_first_token: nothing was delivered yet, here or by an earlier
            owner.
        last_delivery_s: when tokens were last delivered.
        deliveries: number of deliveries.
    """

    def __init__(self, owned: OwnedGeneration, now: float) -> None:
        self.owned = owned
        self.host = owned.generations.host
        self.owned_since_s = now
        self.last_tokens_s = now
        self.interrupted_length = len(owned.journal.tokens)
        # A takeover happens during an interruption.
        self.interrupted_since_s = now if self.interrupted_length else None
        self.awaits_first_token = not self.interrupted_length
        self.last_delivery_s = now
        self.deliveries = 0

    def tokens_received(self, number: int, tokens: int, now: float) -> None:
        """Record tokens of an attempt, accepted or not.

        Must be called after the journal was updated.
        """
        run = self.owned.attempt_runner.by_number.get(number)
        if run is not None:
            run.tokens += tokens
        if self.interrupted_since_s is not None:
            self._record_resume(run, now)
        self.last_tokens_s = now

    def attempt_interrupted(self, number: int, kind: str) -> None:
        """Record that an attempt failed or was abandoned."""
        run = self.owned.attempt_runner.by_number.get(number)
        self.owned.generations.record(
            'attempt_failed',
            self.owned.journal,
            attempt=number,
            kind=kind,
            backend_server=run.backend_server.name if run else '',
        )
        if self.interrupted_since_s is None:
            self.interrupted_since_s = self.last_tokens_s
            self.interrupted_length = len(self.owned.journal.tokens)

    def tokens_delivered(self, now: float) -> None:
        """Record that more tokens were made available to callers."""
        if self.awaits_first_token:
            self.awaits_first_token = False
            self.host.metrics.observe('first_token', now - self.owned_since_s)
            self.owned.generations.record('first_token', self.owned.journal)
        self.deliveries += 1
        if self.deliveries % DELIVERIES_PER_SAMPLE == 0:
            self.host.metrics.observe(
                'between_tokens', now - self.last_delivery_s
            )
        self.last_delivery_s = now

    def attempt_released(self, run: AttemptRun, now: float) -> None:
        """Charge an attempt that has ended to its client account."""
        account = self.owned.journal.spec.client_account
        server = run.backend_server
        use = EngineUse(account, server.name, now - run.started_s, run.tokens)
        self.host.usage.post(use)
        if server.region != self.host.identity.region:
            transferred = run.stream.received_bytes
            self.host.metrics.count('cross_region_bytes', transferred)
            self.host.usage.post(
                RegionTransfer(account, server.name, transferred),
            )

    def _record_resume(self, run: AttemptRun | None, now: float) -> None:
        if len(self.owned.journal.tokens) <= self.interrupted_length:
            return
        silence_s = now - self.interrupted_since_s
        self.interrupted_since_s = None
        self.host.metrics.observe('resume_silence', silence_s)
        self.owned.generations.record(
            'resumed',
            self.owned.journal,
            silence_ms=round(silence_s * MS_PER_S),
            backend_server=run.backend_server.name if run else '',
        )
