"""Decides when tokens may be delivered: once a replica holds them."""

from __future__ import annotations

from dataclasses import dataclass, field

from celerywharf.generations.messages import (
    Action,
    ChooseReplica,
    Deliver,
    Replicate,
)

# A replica is sent a message after this fraction of ``keep_s`` without one,
# so that it does not drop the journal.
REFRESH_FRACTION = 0.25
# A replica that answered this recently needs no check.
STEADY_ANSWER_AGE_S = 1.0
# How long a host that failed as replica is not chosen again.
AVOID_LOST_S = 2.0
# Time between attempts to find a replica while there is none.
CHOICE_RETRY_S = 1.0

Actions = list[Action]
REPLICATE = Replicate()


@dataclass(slots=True)
class ReplicationLogic:
    """Decides on replica and delivery, without I/O or reading a clock.

    An acknowledgement permits delivery only if its request was sent after
    the last pause of this process: during a pause another host may have
    taken the generation over.

    Attributes:
        max_wait_s: longest wait for a replica before delivery without one.
        keep_s: how long a replica keeps a journal without messages.
        replica: name of the replica, empty when there is none.
        choosing: a new replica was requested.
        stored: number of tokens the replica holds.
        stored_finish: it holds the finish reason.
        degraded: tokens are delivered without a replica.
        waiting_since_s: since when tokens wait for an acknowledgement, None
            if none do.
        valid_from_s: acknowledgements of earlier requests are ignored.
        last_answer_s: when the replica last answered or was refreshed.
        last_choice_s: when a replica was last chosen.
        lost_at: when each host last failed as a replica.
    """

    max_wait_s: float
    keep_s: float
    replica: str = ''
    choosing: bool = False
    stored: int = 0
    stored_finish: bool = False
    degraded: bool = False
    waiting_since_s: float | None = None
    valid_from_s: float = 0
    last_answer_s: float = 0
    last_choice_s: float = 0
    lost_at: dict[str, float] = field(default_factory=dict)

    def begin(self, now: float) -> Actions:
        """Choose the first replica."""
        self.last_answer_s = now
        return self._choose(now)

    def adopt(self, replica: str, length: int, now: float) -> Actions:
        """Continue with the replica that the journal was taken from."""
        self.replica = replica
        self.stored = length
        self.last_answer_s = now
        self.waiting_since_s = now
        return [REPLICATE]

    def journal_extended(
        self, length: int, now: float, *, finished: bool
    ) -> Actions:
        """Replicate new tokens or the finish reason of the journal."""
        if self.degraded:
            return [REPLICATE, Deliver(length, finished)]
        if self.waiting_since_s is None:
            self.waiting_since_s = now
        return [REPLICATE]

    def acknowledge(
        self,
        replica: str,
        offset: int,
        sent_s: float,
        now: float,
        *,
        finished: bool,
        length: int,
    ) -> Actions:
        """Handle an acknowledgement.

        Acknowledgements of other replicas are ignored, unless a new replica
        was requested.
        """
        if replica != self.replica:
            if not self.choosing:
                return []
            self.replica = replica
            self.stored = 0
            self.stored_finish = False
            self.choosing = False
        self.stored = max(self.stored, offset)
        self.stored_finish = self.stored_finish or finished
        self.last_answer_s = now
        if sent_s < self.valid_from_s:
            return [REPLICATE]
        self.degraded = False
        behind = self.stored < length
        self.waiting_since_s = sent_s if behind else None
        return [Deliver(self.stored, self.stored_finish)]

    def acknowledge_fast(
        self,
        offset: int,
        sent_s: float,
        now: float,
        length: int,
    ) -> int:
        """Handle a valid acknowledgement of the current replica.

        Returns:
            Number of tokens that the replica holds.
        """
        if offset > self.stored:
            self.stored = offset
        self.last_answer_s = now
        self.degraded = False
        self.waiting_since_s = sent_s if self.stored < length else None
        return self.stored

    def is_steady(self, now: float) -> bool:
        """Return whether the replica answers in time."""
        if self.degraded or not self.replica:
            return False
        if now - self.last_answer_s > STEADY_ANSWER_AGE_S:
            return False
        return (
            self.waiting_since_s is None
            or now - self.waiting_since_s < self.max_wait_s
        )

    def replace_lost(self, replica: str, sent_s: float, now: float) -> Actions:
        """Replace an unreachable replica.

        A time-out of a request sent before a pause of this process does not
        count: the answer may have arrived during the pause.  The same replica
        is asked again, since another would not know of a newer owner.
        """
        if replica == self.replica and sent_s < self.valid_from_s:
            return [REPLICATE]
        self.lost_at[replica] = now
        if replica != self.replica and not self.choosing:
            return []
        return self._choose(now)

    def no_candidate(
        self, length: int, now: float, *, finished: bool
    ) -> Actions:
        """Deliver without a replica because no host is available.

        After a pause of this process, delivery waits for ``max_wait_s``.
        """
        self.choosing = False
        self.replica = ''
        if now - self.valid_from_s < self.max_wait_s and self.valid_from_s:
            return []
        return self._degrade(length, finished=finished)

    def process_resumed(self, now: float) -> Actions:
        """Invalidate earlier requests after a pause of this process."""
        self.valid_from_s = now
        self.waiting_since_s = now
        self.degraded = False
        return [REPLICATE] if self.replica else self._choose(now)

    def tick(self, length: int, now: float, *, finished: bool) -> Actions:
        """Replace an overdue replica; refresh one without recent messages."""
        overdue = (
            self.waiting_since_s is not None
            and now - self.waiting_since_s > self.max_wait_s
            and not self.degraded
        )
        if overdue:
            if self.replica:
                self.lost_at[self.replica] = now
            return [
                *self._choose(now),
                *self._degrade(length, finished=finished),
            ]
        if self.degraded and now - self.last_choice_s > CHOICE_RETRY_S:
            return self._choose(now)
        if (
            self.replica
            and now - self.last_answer_s > REFRESH_FRACTION * self.keep_s
        ):
            self.last_answer_s = now
            return [REPLICATE]
        return []

    def _choose(self, now: float) -> Actions:
        self.replica = ''
        self.choosing = True
        self.last_choice_s = now
        avoided = [
            name
            for name, lost_s in self.lost_at.items()
            if now - lost_s < AVOID_LOST_S
        ]
        return [ChooseReplica(frozenset(avoided))]

    def _degrade(self, length: int, *, finished: bool) -> Actions:
        self.degraded = True
        return [Deliver(length, finished)]
