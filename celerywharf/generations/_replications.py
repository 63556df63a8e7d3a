"""When tokens may be delivered: once a replica holds them."""

from __future__ import annotations

from dataclasses import dataclass, field

from celerywharf.generations.messages import (
    Action,
    ChooseReplica,
    Deliver,
    Replicate,
)

REFRESH_PART = 0.25
CALM_S = 1.0
AVOID_S = 2.0
CHOOSE_PERIOD_S = 1.0

Actions = list[Action]
REPLICATE = Replicate()


@dataclass(slots=True)
class ReplicationLogic:
    """Decides on replica and delivery; knows no socket and no clock.

    An acknowledgement permits delivery only if it was asked for after the
    last pause of this process: a host that was stopped may have lost the
    generation to a new owner meanwhile.

    Attributes:
        bound_s: longest wait for a replica before delivery without one.
        keep_s: how long a replica keeps a journal it hears nothing of.
        replica: name of the replica, empty when there is none.
        choosing: a new replica was asked for.
        stored: number of tokens the replica holds.
        stored_finish: it holds the finish reason.
        degraded: tokens are delivered without a replica.
        waiting_s: since when something waits for the replica, or None.
        valid_from_s: acknowledgements of earlier requests do not count.
        heard_s: when the replica was last heard.
        chosen_s: when a replica was last looked for.
        lost_at: when each host failed as replica.
    """

    bound_s: float
    keep_s: float
    replica: str = ''
    choosing: bool = False
    stored: int = 0
    stored_finish: bool = False
    degraded: bool = False
    waiting_s: float | None = None
    valid_from_s: float = 0
    heard_s: float = 0
    chosen_s: float = 0
    lost_at: dict[str, float] = field(default_factory=dict)

    def begin(self, now: float) -> Actions:
        """Look for the first replica."""
        self.heard_s = now
        return self._choose(now)

    def adopt(self, replica: str, length: int, now: float) -> Actions:
        """Go on with the replica a journal was taken from."""
        self.replica = replica
        self.stored = length
        self.heard_s = now
        self.waiting_s = now
        return [REPLICATE]

    def grew(self, length: int, now: float, *, finished: bool) -> Actions:
        """Take note of new tokens or the end in the journal."""
        if self.degraded:
            return [REPLICATE, Deliver(length, finished)]
        if self.waiting_s is None:
            self.waiting_s = now
        return [REPLICATE]

    def took(
        self,
        replica: str,
        offset: int,
        sent_s: float,
        now: float,
        *,
        finished: bool,
        length: int,
    ) -> Actions:
        """Take an acknowledgement."""
        if replica != self.replica:
            if not self.choosing:
                return []
            self.replica = replica
            self.stored = 0
            self.stored_finish = False
            self.choosing = False
        self.stored = max(self.stored, offset)
        self.stored_finish = self.stored_finish or finished
        self.heard_s = now
        if sent_s < self.valid_from_s:
            return [REPLICATE]
        self.degraded = False
        behind = self.stored < length
        self.waiting_s = sent_s if behind else None
        return [Deliver(self.stored, self.stored_finish)]

    def took_usual(
        self,
        offset: int,
        sent_s: float,
        now: float,
        length: int,
    ) -> int:
        """Take an acknowledgement of the present replica; return its tokens."""
        if offset > self.stored:
            self.stored = offset
        self.heard_s = now
        self.degraded = False
        self.waiting_s = sent_s if self.stored < length else None
        return self.stored

    def calm(self, now: float) -> bool:
        """Say whether the replica is there and in time."""
        if self.degraded or not self.replica:
            return False
        if now - self.heard_s > CALM_S:
            return False
        return self.waiting_s is None or now - self.waiting_s < self.bound_s

    def lose(self, replica: str, sent_s: float, now: float) -> Actions:
        """Replace a replica that cannot be reached.

        A request from before a pause of this process proves nothing: the
        answer may have come while nobody listened.  The same replica is asked
        again, since another would not know of a newer owner.
        """
        if replica == self.replica and sent_s < self.valid_from_s:
            return [REPLICATE]
        self.lost_at[replica] = now
        if replica != self.replica and not self.choosing:
            return []
        return self._choose(now)

    def miss(self, length: int, now: float, *, finished: bool) -> Actions:
        """Deliver without a replica because there is no other host."""
        self.choosing = False
        self.replica = ''
        if now - self.valid_from_s < self.bound_s and self.valid_from_s:
            return []
        return self._degrade(length, finished=finished)

    def woke(self, now: float) -> Actions:
        """Trust no earlier acknowledgement after a pause of this process."""
        self.valid_from_s = now
        self.waiting_s = now
        self.degraded = False
        return [REPLICATE] if self.replica else self._choose(now)

    def tick(self, length: int, now: float, *, finished: bool) -> Actions:
        """Look for an overdue replica; refresh a quiet one."""
        overdue = (
            self.waiting_s is not None
            and now - self.waiting_s > self.bound_s
            and not self.degraded
        )
        if overdue:
            if self.replica:
                self.lost_at[self.replica] = now
            return [
                *self._choose(now),
                *self._degrade(length, finished=finished),
            ]
        if self.degraded and now - self.chosen_s > CHOOSE_PERIOD_S:
            return self._choose(now)
        if self.replica and now - self.heard_s > REFRESH_PART * self.keep_s:
            self.heard_s = now
            return [REPLICATE]
        return []

    def _choose(self, now: float) -> Actions:
        self.replica = ''
        self.choosing = True
        self.chosen_s = now
        avoided = [
            name
            for name, lost_s in self.lost_at.items()
            if now - lost_s < AVOID_S
        ]
        return [ChooseReplica(frozenset(avoided))]

    def _degrade(self, length: int, *, finished: bool) -> Actions:
        self.degraded = True
        return [Deliver(length, finished)]
