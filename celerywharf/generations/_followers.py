"""Relays tokens from a generation's owner to callers at other hosts."""

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
    from celerywharf.generations._generations import Generations

FOLLOW_TIMEOUT_S = 0.4
PUSH_TIMEOUT_S = 10.0
READY_TIMEOUT_S = 8.0
OWNER_CHECK_PERIOD_S = 0.5


class RemoteReader(Reader):
    """A caller at another host, represented at the owner.

    One batch is in flight at a time.  It is acknowledged once the caller's
    connection has accepted it, which bounds the buffer for slow callers.
    """

    def __init__(
        self,
        generations: Generations,
        request: FollowStart,
        address: Address,
    ) -> None:
        super().__init__(request.generation, request.epoch, request.offset)
        self.generations = generations
        self.follower = request.follower
        self.address = address

    def write_tokens(self, epoch: int, tokens: list[str]) -> None:
        """Send the tokens to the follower."""
        self.epoch = epoch
        self._push(tokens)
        self.offset += len(tokens)

    def write_finish(self, reason: str) -> None:
        """Send the finish reason to the follower."""
        self.closed = True
        self._push([], finish_reason=reason)

    def write_error(self, error: CelerywharfError) -> None:
        """Send the error that ended the generation to the follower."""
        self.closed = True
        self._push([], error=error)

    def drop(self, error: CelerywharfError) -> None:
        """Close without a message.

        The follower's periodic check finds that this host is not the owner.
        """
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
        self.generations.spawn(self._exchange(message))

    async def _exchange(self, message: FollowTokens) -> None:
        try:
            await self.generations.host.links.request(
                self.address,
                message,
                PUSH_TIMEOUT_S,
            )
        except CelerywharfError:
            self.disconnect()
            return
        self.mark_ready()


class Follower:
    """A caller at this host whose generation another host owns."""

    def __init__(self, owner: Peer, reader: Reader, account: str) -> None:
        self.owner = owner
        self.reader = reader
        self.account = account
        self.ready_event: asyncio.Event = asyncio.Event()

    def write_batch(self, message: FollowTokens) -> None:
        """Write a batch to the caller.

        Raises:
            NotFoundError: the batch does not continue the caller's tokens.
        """
        reader = self.reader
        if reader.closed or message.offset != reader.offset:
            raise NotFoundError(
                'the follower has disconnected or is at another offset'
            )
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
        """Let the owner's batch be acknowledged."""
        self.ready_event.set()

    async def deliver(self, message: FollowTokens) -> None:
        """Write a batch and wait until the caller has accepted it.

        A batch may arrive before the caller's connection is attached to the
        reader, so it waits for that too.  A caller that accepts nothing for
        ``READY_TIMEOUT_S`` is disconnected: its owner stops sending, so it has
        to reconnect.

        Raises:
            NotFoundError: the caller disconnected, was too slow, or the batch
                does not continue its tokens.
        """
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                await self._until_ready()
                self.write_batch(message)
                await self._until_ready()
        except TimeoutError:
            error = NotFoundError('the caller did not accept a batch in time')
            self.reader.drop(error)
            raise error from None

    async def _until_ready(self) -> None:
        while self.reader.busy and not self.reader.closed:
            self.ready_event.clear()
            await self.ready_event.wait()


class Followers:
    """All callers at this host whose generations other hosts own.

    Also answers the followers of generations that this host owns.
    """

    def __init__(self, generations: Generations) -> None:
        self.generations = generations
        self.numbers = itertools.count(1)
        self.by_id: dict[str, Follower] = {}
        links = generations.host.links
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
        """Request the tokens from a position on from an owner.

        Raises:
            NotFoundError: the host does not own the generation.
            PeerUnreachableError: the host did not answer.
            GenerationLostError: the position is not in the journal.
        """
        follower_id = (
            f'{self.generations.host.identity.name}-{next(self.numbers)}'
        )
        follower = Follower(owner, reader, account)
        reader.offset = position.offset
        reader.on_ready = follower.on_ready
        reader.on_disconnect = lambda _reader: self._on_disconnect(follower_id)
        self.by_id[follower_id] = follower
        request = FollowStart(
            position.generation,
            account,
            follower_id,
            position.epoch,
            position.offset,
        )
        try:
            answer = await self.generations.host.links.request(
                owner.inner,
                request,
                FOLLOW_TIMEOUT_S,
            )
        except CelerywharfError:
            self.by_id.pop(follower_id)
            raise
        reader.epoch = max(reader.epoch, answer.epoch)
        reader.service = answer.service
        reader.open()
        self.generations.spawn(self._watch(follower_id, follower))

    async def _watch(self, follower_id: str, follower: Follower) -> None:
        """Attach the caller to a new owner when the current one fails."""
        reader = follower.reader
        while not reader.closed:
            await asyncio.sleep(OWNER_CHECK_PERIOD_S)
            if reader.closed or await self._is_owner(follower):
                continue
            self.by_id.pop(follower_id, None)
            position = Position(reader.generation, reader.epoch, reader.offset)
            try:
                await self.generations.attachments.attach(
                    position, follower.account, reader
                )
            except CelerywharfError as error:
                reader.write_error(error)
            return
        self.by_id.pop(follower_id, None)

    async def _is_owner(self, follower: Follower) -> bool:
        try:
            found = await self.generations.host.links.request(
                follower.owner.inner,
                JournalFind(follower.reader.generation),
                FOLLOW_TIMEOUT_S,
            )
        except PeerUnreachableError:
            return False
        return found.owned

    def _on_disconnect(self, follower_id: str) -> None:
        follower = self.by_id.pop(follower_id, None)
        if follower is not None:
            follower.ready_event.set()
            message = FollowStop(follower.reader.generation, follower_id)
            self.generations.host.links.send(follower.owner.inner, message)

    async def _on_start(
        self, sender: Sender, message: FollowStart
    ) -> Following:
        owned = await self.generations.wait_owned(message.generation)
        spec = owned.journal.spec
        if spec.client_account != message.client_account:
            raise NotFoundError(f'no generation {message.generation}')
        position = Position(message.generation, message.epoch, message.offset)
        owned.journal.check_position(position)
        reader = RemoteReader(self.generations, message, sender.inner)
        # The answer must be sent before the first batch.
        asyncio.get_running_loop().call_soon(owned.attach, reader, position)
        return Following(spec.service, owned.journal.epoch)

    async def _on_tokens(self, sender: Sender, message: FollowTokens) -> None:
        follower = self.by_id.get(message.follower)
        if follower is None:
            raise NotFoundError('the follower has disconnected')
        await follower.deliver(message)

    def _on_stop(self, sender: Sender, message: FollowStop) -> None:
        owned = self.generations.owned.get(message.generation)
        if owned is None:
            return
        for reader in tuple(owned.readers):
            if getattr(reader, 'follower', '') == message.follower:
                reader.disconnect()
