"""What one generation adds to metrics, time line and usage."""

from __future__ import annotations

from typing import TYPE_CHECKING

from celerywharf.usage import EngineUse, RegionTransfer

if TYPE_CHECKING:
    from celerywharf.generations._running import Running
    from celerywharf.generations._runs import Run

# Recording costs as much as relaying several tokens.
OBSERVED_DELIVERY = 16
MILLISECONDS = 1000


class Observations:
    """Watches a generation at its owner.

    Attributes:
        last_s: when the last tokens arrived.
        silent_s: since when an interruption keeps tokens out, None when none
            does.
        silent_length: tokens in the journal at the interruption.
        fresh: nothing was delivered yet, here or by an earlier owner.
    """

    def __init__(self, running: Running, now: float) -> None:
        self.running = running
        self.host = running.part.host
        self.begun_s = now
        self.last_s = now
        self.silent_length = len(running.journal.tokens)
        # A takeover begins in the middle of a silence.
        self.silent_s = now if self.silent_length else None
        self.fresh = not self.silent_length
        self.delivered_s = now
        self.deliveries = 0

    def took(self, number: int, tokens: int, now: float) -> None:
        """Note tokens of an attempt, after the journal took them or not."""
        run = self.running.runs.by_number.get(number)
        if run is not None:
            run.tokens += tokens
        if self.silent_s is not None:
            self._look_for_resume(run, now)
        self.last_s = now

    def interrupted(self, number: int, kind: str) -> None:
        """Note that an attempt failed or was given up."""
        run = self.running.runs.by_number.get(number)
        self.running.part.record(
            'attempt_failed',
            self.running.journal,
            attempt=number,
            kind=kind,
            backend_server=run.backend_server.name if run else '',
        )
        if self.silent_s is None:
            self.silent_s = self.last_s
            self.silent_length = len(self.running.journal.tokens)

    def delivered(self, now: float) -> None:
        """Note that callers may have more tokens."""
        if self.fresh:
            self.fresh = False
            self.host.metrics.observe('first_token', now - self.begun_s)
            self.running.part.record('first_token', self.running.journal)
        self.deliveries += 1
        if self.deliveries % OBSERVED_DELIVERY == 0:
            self.host.metrics.observe('between_tokens', now - self.delivered_s)
        self.delivered_s = now

    def released(self, run: Run, now: float) -> None:
        """Charge an attempt that ended to its client account."""
        account = self.running.journal.spec.client_account
        server = run.backend_server
        use = EngineUse(account, server.name, now - run.started_s, run.tokens)
        self.host.usage.post(use)
        if server.region != self.host.identity.region:
            transferred = run.stream.received_bytes
            self.host.metrics.count('cross_region_bytes', transferred)
            self.host.usage.post(
                RegionTransfer(account, server.name, transferred),
            )

    def _look_for_resume(self, run: Run | None, now: float) -> None:
        if len(self.running.journal.tokens) <= self.silent_length:
            return
        silence_s = now - self.silent_s
        self.silent_s = None
        self.host.metrics.observe('resume_silence', silence_s)
        self.running.part.record(
            'resumed',
            self.running.journal,
            silence_ms=round(silence_s * MILLISECONDS),
            backend_server=run.backend_server.name if run else '',
        )
