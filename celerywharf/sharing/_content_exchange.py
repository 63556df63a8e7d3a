"""Passes large contents between the hosts of a zone, piece by piece."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable
from dataclasses import dataclass, field

from celerywharf.exceptions import (
    CelerywharfError,
    NotFoundError,
    PeerUnreachableError,
    ProtocolError,
)
from celerywharf.metrics import Metrics
from celerywharf.platform import boot_time_s
from celerywharf.sharing._contents import ContentCache
from celerywharf.sharing._election import Reader
from celerywharf.sharing._turns import OWN, ContentTurns, Giver
from celerywharf.structures import Address
from celerywharf.units import SMALL_MESSAGE_BYTES
from celerywharf.wire import LinkService, Sender
from celerywharf.wire.sharing import ContentAnswer, ContentQuestion

logger = logging.getLogger(__name__)

# 13 ms of 10 Mbit/s: what the answers behind a piece wait for it.
PIECE_BYTES = SMALL_MESSAGE_BYTES // 4
PIECE_TIMEOUT_S = 0.8
TURN_WAIT_S = 0.4
# A transfer without a new piece for this long has failed.
STALL_S = 2.5
RETRY_WAIT_S = 0.05
KEPT_PARTS = 2


@dataclass(slots=True)
class Source:
    """A host that is asked for a content, and the link to it."""

    address: Address
    link: LinkService


@dataclass(slots=True)
class Part:
    """What has been received of a content.

    Attributes:
        packed: the first bytes of the compressed content.
        size: bytes of the whole; None until an answer has told it.
        progressed_s: when the last piece arrived.
    """

    packed: bytearray = field(default_factory=bytearray)
    size: int | None = None
    progressed_s: float = 0

    @property
    def whole(self) -> bool:
        """Return whether nothing is missing."""
        return self.size is not None and len(self.packed) >= self.size


class ContentExchange:
    """Gives large contents to other hosts and gets them.

    The reader of a zone says from whom: from itself, or from a host that has
    the content already.  A host that gets no more pieces asks the reader
    again; what it has received is kept, whoever gives the rest.

    Attributes:
        own: where this host serves others, with its key.
        cache: the contents that this host has.
        turns: decides whom the other hosts ask.
        parts: contents that have not been received whole, by digest.
    """

    def __init__(
        self,
        own: Reader,
        create_link: Callable[[bytes], LinkService],
        metrics: Metrics,
    ) -> None:
        self.own = own
        self.create_link = create_link
        self.metrics = metrics
        self.cache = ContentCache()
        self.turns = ContentTurns()
        self.parts: dict[bytes, Part] = {}
        self.turns_changed = asyncio.Event()

    async def answer(
        self, sender: Sender, question: ContentQuestion
    ) -> ContentAnswer:
        """Answer another host's question for a piece.

        Raises:
            NotFoundError: this host does not have the content.
        """
        content = self.cache.find(question.digest)
        if content is None:
            raise NotFoundError('this host does not have the content')
        size = len(content.packed)
        if question.whole:
            giver = Giver(question.address, question.key)
            self.turns.has_whole(question.digest, sender.host, giver)
            self._notify()
            return ContentAnswer(b'', size)
        giver = await self._find_giver(question.digest, sender.host)
        if giver != OWN:
            return ContentAnswer(b'', size, giver.address, giver.key)
        ends = question.offset + PIECE_BYTES
        piece = content.packed[max(question.offset, 0) : ends]
        if ends >= size:
            self.turns.end(question.digest, sender.host)
            self._notify()
        self.metrics.count('content_bytes_sent', len(piece))
        return ContentAnswer(piece, size)

    async def fetch(self, digest: bytes, reader: Source) -> None:
        """Get a content from the hosts that the reader names.

        Raises:
            PeerUnreachableError: no piece has come for ``STALL_S``, or the
                reader does not answer.
            CelerywharfError: the error with which the reader replied.
        """
        part = self._part(digest)
        started_s = boot_time_s()
        part.progressed_s = started_s
        async with contextlib.AsyncExitStack() as links:
            while not part.whole:
                await self._get_pieces(digest, part, reader, links)
            self.parts.pop(digest, None)
            try:
                content = self.cache.unpack(digest, bytes(part.packed))
            except ProtocolError as error:
                raise PeerUnreachableError(error.message) from None
            logger.info(
                'content received',
                extra={
                    'packed_bytes': len(content.packed),
                    'bytes': len(content.plain),
                    'took_s': round(boot_time_s() - started_s, 3),
                },
            )
            with contextlib.suppress(CelerywharfError):
                await self._ask(digest, part, reader, whole=True)

    async def _find_giver(self, digest: bytes, host: str) -> Giver:
        """Return who gives a content to a host; wait for its turn."""
        ends_s = boot_time_s() + TURN_WAIT_S
        while True:
            now_s = boot_time_s()
            giver = self.turns.ask(digest, host, now_s)
            if giver is not None:
                return giver
            if now_s >= ends_s:
                raise PeerUnreachableError('all givers are busy')
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(ends_s - now_s):
                    await self.turns_changed.wait()

    async def _get_pieces(
        self,
        digest: bytes,
        part: Part,
        reader: Source,
        links: contextlib.AsyncExitStack,
    ) -> None:
        """Get pieces from the reader, or from whom it names."""
        reply = await self._ask_reader(digest, part, reader)
        if not reply.giver_address:
            self._receive(part, reply)
            return
        link = self.create_link(reply.giver_key)
        links.push_async_callback(link.close)
        giver = Source(Address.parse(reply.giver_address), link)
        resumed = bool(part.packed)
        try:
            while not part.whole:
                reply = await self._ask(digest, part, giver)
                self._receive(part, reply)
        except CelerywharfError as error:
            self.metrics.count('content_givers_lost')
            logger.info(
                'giver of a content lost',
                extra={'giver': str(giver.address), 'reason': error.message},
            )
        if resumed:
            self.metrics.count('content_transfers_resumed')

    async def _ask_reader(
        self, digest: bytes, part: Part, reader: Source
    ) -> ContentAnswer:
        """Ask the reader until it gives a piece or names a giver."""
        while True:
            try:
                return await self._ask(digest, part, reader)
            except PeerUnreachableError:
                if boot_time_s() - part.progressed_s > STALL_S:
                    raise
            await asyncio.sleep(RETRY_WAIT_S)

    async def _ask(
        self, digest: bytes, part: Part, source: Source, *, whole: bool = False
    ) -> ContentAnswer:
        return await source.link.request(
            source.address,
            ContentQuestion(
                digest,
                len(part.packed),
                whole,
                str(self.own.address),
                self.own.key,
            ),
            PIECE_TIMEOUT_S,
        )

    def _receive(self, part: Part, reply: ContentAnswer) -> None:
        if not reply.piece:
            raise PeerUnreachableError('an answer without a piece')
        part.packed += reply.piece
        part.size = reply.size
        part.progressed_s = boot_time_s()
        self.metrics.count('content_bytes_received', len(reply.piece))

    def _part(self, digest: bytes) -> Part:
        part = self.parts.setdefault(digest, Part())
        while len(self.parts) > KEPT_PARTS:
            self.parts.pop(next(iter(self.parts)))
        return part

    def _notify(self) -> None:
        self.turns_changed.set()
        self.turns_changed = asyncio.Event()
