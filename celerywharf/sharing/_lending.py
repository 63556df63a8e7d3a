"""Lends retries to the fronts of a zone, or borrows them from its reader."""

from __future__ import annotations

from celerywharf.exceptions import CelerywharfError, PeerUnreachableError
from celerywharf.platform import boot_time_s
from celerywharf.retries import (
    HostShare,
    RetryClaim,
    RetryLender,
    RetryPool,
)
from celerywharf.structures import Address
from celerywharf.wire import LinkService, Sender
from celerywharf.wire.sharing import RetryAnswer, RetryQuestion

# A round trip in the zone takes milliseconds; a caller is waiting.
BORROW_TIMEOUT_S = 0.15
# Hosts ask their reader several times within this time.
HOST_TIMEOUT_S = 5.0
SILENT_S = 2.0


class Lending(RetryLender):
    """The reader of a zone lends retries; the other fronts ask it.

    Attributes:
        ratio: retries allowed per reported request.
        fixed: retries that a reader lends in addition within a window.
        share: learns how many hosts the zone has.
        window_s: length of the window in which retries are limited.
        pool: what this front may lend; None unless it is the reader.
        reader: address and link of the reader; None without one.
        seen_s: when each other front last asked this one, by name.
        followed: another front has answered this one as its reader.
        lost_host: a front of the zone was lost since this one started, as far
            as known.
    """

    def __init__(
        self,
        ratio: float,
        fixed: float,
        window_s: float,
        share: HostShare,
    ) -> None:
        self.ratio = ratio
        self.fixed = fixed
        self.share = share
        self.window_s = window_s
        self.pool: RetryPool | None = None
        self.reader: tuple[Address, LinkService] | None = None
        self.seen_s: dict[str, float] = {}
        self.followed = False
        self.lost_host = False

    def begin(self, *, after_another: bool) -> None:
        """Lend retries, because this front is the reader.

        Args:
            after_another: another front may have lent retries until now.
        """
        self.reader = None
        self.lost_host = self.lost_host or self.followed
        if self.pool is None:
            wait_s = self.window_s if after_another else 0
            self.pool = RetryPool(
                self.ratio, self.fixed, self.window_s, boot_time_s() + wait_s
            )

    def follow(self, address: Address, client: LinkService) -> None:
        """Borrow retries from the reader."""
        self.pool = None
        self.reader = (address, client)

    def apply_ratio(self, ratio: float) -> None:
        """Apply a changed ratio of retries to requests."""
        self.ratio = ratio
        if self.pool is not None:
            self.pool.ratio = ratio

    def reader_lost(self) -> None:
        """Stop asking a reader that does not answer."""
        self.reader = None

    def is_intact(self) -> bool:
        """Return whether no front of the zone was lost since this one started.

        A front that leaves as planned counts as lost.
        """
        oldest_s = boot_time_s() - SILENT_S
        if any(seen_s < oldest_s for seen_s in self.seen_s.values()):
            self.lost_host = True
        return not self.lost_host

    def link_ended(self, _: Sender) -> None:
        """Record that the link of another front has ended."""
        self.lost_host = True

    def record_host(self, name: str) -> None:
        """Record that another front relies on this one."""
        self.seen_s[name] = boot_time_s()

    async def borrow(self, claim: RetryClaim) -> bool | None:
        """Ask for one retry; None without a reader to ask.

        A question without an answer is a refusal: the reader may have counted
        what it reports, which must not be counted twice.
        """
        if self.pool is not None:
            return self.pool.lend(claim, boot_time_s())
        if self.reader is None:
            return None
        address, client = self.reader
        question = RetryQuestion(
            claim.service,
            list(claim.requests),
            claim.retries,
            claim.in_progress,
        )
        try:
            reply = await client.request(address, question, BORROW_TIMEOUT_S)
        except CelerywharfError:
            return False
        self.learn_hosts(reply.zone_hosts)
        return reply.lent

    def learn_hosts(self, zone_hosts: int) -> None:
        """Record how many hosts the reader knows; zero if it does not say."""
        self.followed = True
        if zone_hosts > 0:
            self.share.zone_hosts = zone_hosts

    async def answer(
        self, sender: Sender, question: RetryQuestion
    ) -> RetryAnswer:
        """Answer another front.

        Raises:
            PeerUnreachableError: this front is not the reader.
        """
        if self.pool is None:
            raise PeerUnreachableError('this front is not the reader')
        claim = RetryClaim(
            question.service,
            tuple(question.requests),
            max(question.retries, 0),
            question.in_progress,
        )
        self.record_host(sender.host)
        lent = self.pool.lend(claim, boot_time_s())
        return RetryAnswer(lent, self.count_hosts())

    def count_hosts(self) -> int:
        """Return how many fronts rely on this one, itself included."""
        self.is_intact()
        oldest_s = boot_time_s() - HOST_TIMEOUT_S
        self.seen_s = {
            name: seen_s
            for name, seen_s in self.seen_s.items()
            if seen_s > oldest_s
        }
        self.share.zone_hosts = len(self.seen_s) + 1
        return self.share.zone_hosts
