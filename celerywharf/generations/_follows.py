"""Tokens of a generation that another host owns."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

from celerywharf.exceptions import (
    CelerywharfError,
    NotFoundError,
    PeerUnreachableError,
)
from celerywharf.generations._readers import Reader
from celerywharf.generations.journals import Position
from celerywharf.membership import Peer
from celerywharf.structures import Address
from celerywharf.wire import Failure, Sender
from celerywharf.wire.journals import (
    Following,
    FollowStart,
    FollowStop,
    FollowTokens,
    JournalFind,
)

if TYPE_CHECKING:
    from celerywharf.generations._part import Generations

FOLLOW_TIMEOUT_S = 0.4
PUSH_TIMEOUT_S = 10.0
READY_LIMIT_S = 8.0
CHECK_PERIOD_S = 0.5


class RemoteReader(Reader):
    """A caller at another host, as the owner sees it.

    One batch is under way at a time; its answer says that the caller's
    connection has taken it, which bounds what is buffered for slow callers.
    """

    def __init__(
        self,
        part: Generations,
        follower: FollowStart,
        address: Address,
    ) -> None:
        super().__init__(follower.generation, follower.epoch, follower.offset)
        self.part = part
        self.follower = follower.follower
        self.address = address

    def write_tokens(self, epoch: int, tokens: list[str]) -> None:
        """Send a batch."""
        self.epoch = epoch
        self._push(tokens)
        self.offset += len(tokens)

    def write_finish(self, reason: str) -> None:
        """Send the finish reason."""
        self.closed = True
        self._push([], finish_reason=reason)

    def write_error(self, error: CelerywharfError) -> None:
        """Send the error that ended the generation."""
        self.closed = True
        self._push([], error=error)

    def drop(self, error: CelerywharfError) -> None:
        """Say nothing: the follower notices that this is no owner now."""
        self.closed = True

    def _push(
        self,
        tokens: list[str],
        finish_reason: str = '',
        error: CelerywharfError | None = None,
    ) -> None:
        self.busy = True
        message = FollowTokens(
            self.follower,
            self.epoch,
            self.offset,
            tokens,
            finish_reason,
            error.code if error else '',
            error.message if error else '',
        )
        self.part.spawn(self._exchange(message))

    async def _exchange(self, message: FollowTokens) -> None:
        try:
            await self.part.host.links.request(
                self.address,
                message,
                PUSH_TIMEOUT_S,
            )
        except CelerywharfError:
            self.leave()
            return
        self.ready()


class Follow:
    """A caller here that reads from an owner elsewhere."""

    def __init__(self, owner: Peer, reader: Reader, account: str) -> None:
        self.owner = owner
        self.reader = reader
        self.account = account
        self.waiting: asyncio.Event = asyncio.Event()

    def take(self, message: FollowTokens) -> None:
        """Pass a batch on to the caller.

        Raises:
            NotFoundError: the batch does not continue the caller's tokens.
        """
        reader = self.reader
        if reader.closed or message.offset != reader.offset:
            raise NotFoundError('the follower is gone or elsewhere')
        reader.epoch = message.epoch
        if message.tokens:
            reader.write_tokens(message.epoch, message.tokens)
        if message.error_code:
            failure = Failure(
                message.error_code,
                message.error_message,
                'may_have_run',
            )
            reader.write_error(failure.error())
        elif message.finish_reason:
            reader.write_finish(message.finish_reason)

    def on_ready(self, reader: Reader) -> None:
        """Let the owner's batch be answered."""
        self.waiting.set()

    async def until_ready(self) -> None:
        """Wait until the caller's connection has taken everything."""
        while self.reader.busy and not self.reader.closed:
            self.waiting.clear()
            async with asyncio.timeout(READY_LIMIT_S):
                await self.waiting.wait()


class Follows:
    """All callers here whose generations are owned elsewhere."""

    def __init__(self, part: Generations) -> None:
        self.part = part
        self.numbers = itertools.count(1)
        self.by_id: dict[str, Follow] = {}
        links = part.host.links
        links.subscribe(FollowStart, self._on_start)
        links.subscribe(FollowTokens, self._on_tokens)
        links.subscribe(FollowStop, self._on_stop)

    async def start(
        self,
        owner: Peer,
        position: Position,
        account: str,
        reader: Reader,
    ) -> None:
        """Ask an owner for its tokens from a position on.

        Raises:
            NotFoundError: that host does not own the generation.
            PeerUnreachableError: it does not answer.
            GenerationLostError: the position is not on its journal.
        """
        follower = f'{self.part.host.identity.name}-{next(self.numbers)}'
        follow = Follow(owner, reader, account)
        reader.offset = position.offset
        reader.on_ready = follow.on_ready
        reader.on_gone = lambda _reader: self._leave(follower)
        self.by_id[follower] = follow
        request = FollowStart(
            position.generation,
            account,
            follower,
            position.epoch,
            position.offset,
        )
        try:
            answer = await self.part.host.links.request(
                owner.inner,
                request,
                FOLLOW_TIMEOUT_S,
            )
        except CelerywharfError:
            self.by_id.pop(follower)
            raise
        reader.epoch = max(reader.epoch, answer.epoch)
        reader.service = answer.service
        reader.open()
        self.part.spawn(self._watch(follower, follow))

    async def _watch(self, follower: str, follow: Follow) -> None:
        """Look for a new owner once the present one fails."""
        reader = follow.reader
        while not reader.closed:
            await asyncio.sleep(CHECK_PERIOD_S)
            if reader.closed or await self._is_owner(follow):
                continue
            self.by_id.pop(follower, None)
            position = Position(reader.generation, reader.epoch, reader.offset)
            try:
                await self.part.entrance.attach(
                    position, follow.account, reader
                )
            except CelerywharfError as error:
                reader.write_error(error)
            return
        self.by_id.pop(follower, None)

    async def _is_owner(self, follow: Follow) -> bool:
        try:
            found = await self.part.host.links.request(
                follow.owner.inner,
                JournalFind(follow.reader.generation),
                FOLLOW_TIMEOUT_S,
            )
        except PeerUnreachableError:
            return False
        return found.owned

    def _leave(self, follower: str) -> None:
        follow = self.by_id.pop(follower, None)
        if follow is not None:
            follow.waiting.set()
            message = FollowStop(follow.reader.generation, follower)
            self.part.host.links.send(follow.owner.inner, message)

    async def _on_start(
        self, sender: Sender, message: FollowStart
    ) -> Following:
        running = await self.part.owned(message.generation)
        spec = running.journal.spec
        if spec.client_account != message.client_account:
            raise NotFoundError(f'no generation {message.generation}')
        position = Position(message.generation, message.epoch, message.offset)
        running.journal.check(position)
        reader = RemoteReader(self.part, message, sender.inner)
        # The answer has to be there before the first batch.
        asyncio.get_running_loop().call_soon(running.attach, reader, position)
        return Following(spec.service, running.journal.epoch)

    async def _on_tokens(self, sender: Sender, message: FollowTokens) -> None:
        follow = self.by_id.get(message.follower)
        if follow is None:
            raise NotFoundError('the follower is gone')
        follow.take(message)
        try:
            await follow.until_ready()
        except TimeoutError:
            raise NotFoundError('the follower is too slow') from None

    def _on_stop(self, sender: Sender, message: FollowStop) -> None:
        running = self.part.running.get(message.generation)
        if running is None:
            return
        for reader in tuple(running.readers):
            if getattr(reader, 'follower', '') == message.follower:
                reader.leave()
