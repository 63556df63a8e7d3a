"""Replaces a silent send of a stream without giving it up too early."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterator
from http import HTTPStatus

from celerywharf.forwarding._outcomes import SILENCE, Answered, Finished
from celerywharf.forwarding._stream_sender import StreamSender
from celerywharf.forwarding._stream_sends import (
    RESUMED,
    StreamPlacement,
    StreamSend,
    end_race,
    race,
)

# Both sends of a stream are open for at most this long.
OVERLAP_S = 0.3


class Handover:
    """Lets another engine go on with a stream whose engine is silent.

    The silent send is kept until its successor is assured: the request may be
    sent again, an engine has just answered, and the successor has begun or has
    at least not been refused at once.  Whichever of the two receives the next
    event goes on, and the other one ends.

    Attributes:
        sender: carries out the sends.
    """

    def __init__(self, sender: StreamSender) -> None:
        self.sender = sender

    async def replace(self, silent: StreamSend) -> StreamSend | None:
        """Replace a silent send if its successor is assured.

        Returns:
            The successor, after the silent send has ended; None if that send
            is kept, or has ended before there was a successor.
        """
        placement = await self._prepare(silent)
        if placement is None:
            silent.relay.detector.postpone(self._now())
            return None
        silent.has_unused_copy &= placement.resumption.copy_at is None
        successor = self.sender.start(placement)
        try:
            return await self._race(silent, successor)
        except asyncio.CancelledError:
            self.sender.conclude(successor, RESUMED)
            raise

    async def _prepare(self, silent: StreamSend) -> StreamPlacement | None:
        """Return where a successor may be sent, with its retry taken.

        None if there is no successor, or the silent send has gone on or ended.
        """
        heard = asyncio.get_running_loop().create_future()
        preparing = asyncio.ensure_future(self._find_placement(silent))
        is_wanted = False
        try:
            with _listening(silent, heard):
                await asyncio.wait(
                    {preparing, silent.relay.done, heard},
                    timeout=max(self.sender.remaining_s(), 0),
                    return_when=asyncio.FIRST_COMPLETED,
                )
            if not (silent.relay.done.done() or heard.done()):
                is_wanted = preparing.done() and self._may_start(
                    preparing.result()
                )
        finally:
            if not is_wanted:
                preparing.add_done_callback(self._drop)
                preparing.cancel()
        return preparing.result() if is_wanted else None

    async def _find_placement(
        self, silent: StreamSend
    ) -> StreamPlacement | None:
        sender = self.sender
        if not sender.plan.may_replace(sender.remaining_s()):
            return sender.keep('no attempt left')
        if sender.is_quarantined():
            return sender.keep('quarantined')
        sender.placer.silent_name = silent.server.name
        sender.placer.lost_zones.add(silent.server.availability_zone)
        sender.placer.copy_holder = (
            silent.copy_holder if silent.relay.events else None
        )
        try:
            placement = await sender.place()
        finally:
            sender.placer.silent_name = ''
        if placement is None:
            return sender.keep('no other engine')
        is_sendable = False
        try:
            answers = await sender.placer.has_answered_lately(placement.server)
            if not answers:
                return sender.keep('the other engine is silent as well')
            is_sendable = await sender.take_retry()
        finally:
            if not is_sendable:
                self._release(placement)
        return placement if is_sendable else sender.keep('no retry left')

    def _may_start(self, placement: StreamPlacement | None) -> bool:
        """Return whether a successor may be sent after all the waiting."""
        if placement is None:
            return False
        if self.sender.is_quarantined():
            self.sender.keep('quarantined')
            return False
        if not self.sender.eligibility.may_send(placement.server):
            self.sender.keep('no other engine')
            return False
        return True

    async def _race(
        self, silent: StreamSend, successor: StreamSend
    ) -> StreamSend | None:
        race(silent, successor)
        try:
            await asyncio.wait(
                {silent.relay.done, successor.relay.done},
                timeout=min(OVERLAP_S, max(self.sender.remaining_s(), 0)),
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            end_race(silent, successor)
        if self._goes_on(silent, successor):
            successor.relay.settle(RESUMED)
            self.sender.conclude(successor, successor.relay.done.result())
            silent.relay.detector.postpone(self._now())
            return None
        silent.relay.settle(SILENCE)
        return successor

    def _goes_on(self, silent: StreamSend, successor: StreamSend) -> bool:
        """Return whether the silent send is the one to keep."""
        if not successor.relay.done.done():
            return silent.relay.done.done() and isinstance(
                silent.relay.done.result(), Finished
            )
        outcome = successor.relay.done.result()
        if silent.relay.done.done() and outcome is not RESUMED:
            return isinstance(silent.relay.done.result(), Finished)
        match outcome:
            case Answered(response=response):
                return (
                    self.sender.in_progress()
                    or response.status >= HTTPStatus.INTERNAL_SERVER_ERROR
                )
            case Finished():
                return False
            case _:
                return True

    def _drop(self, preparing: asyncio.Future[StreamPlacement | None]) -> None:
        placement = None if preparing.cancelled() else preparing.result()
        if placement is not None:
            self._release(placement)

    def _release(self, placement: StreamPlacement) -> None:
        self.sender.drop(placement)

    def _now(self) -> float:
        return self.sender.context.timers.now()


@contextlib.contextmanager
def _listening(send: StreamSend, heard: asyncio.Future[None]) -> Iterator[None]:
    """Complete a future when the send receives an event."""

    def on_event() -> None:  # noqa: WPS430
        if not heard.done():
            heard.set_result(None)

    send.relay.detector.on_event = on_event
    try:
        yield
    finally:
        send.relay.detector.on_event = None
