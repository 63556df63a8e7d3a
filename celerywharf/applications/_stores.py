"""Storage of claims: the platform's table, or the minting host's memory."""

from __future__ import annotations

import asyncio
import secrets
from typing import TYPE_CHECKING, Protocol

from celerywharf.adapters.applications import Answer, Call
from celerywharf.applications._ledger import ClaimLedger
from celerywharf.applications._messages import (
    from_claim_fields,
    to_claim_fields,
)
from celerywharf.applications._minting import (
    ANSWER_LIMIT_BYTES,
    MintedKey,
    MintLogic,
    MintOutcome,
    MintReply,
)
from celerywharf.applications._rows import (
    Change,
    ClaimRow,
    NotWritten,
    RecordedAnswer,
    Taken,
    Undetermined,
    VersionedRow,
    WriteOutcome,
    Written,
    row_key,
)
from celerywharf.exceptions import (
    AnswerNotKeptError,
    BadRequestError,
    CelerywharfError,
    PeerUnreachableError,
)
from celerywharf.wire import Sender
from celerywharf.wire.claims import ClaimQuestion, ClaimRecord, ClaimVerdict

if TYPE_CHECKING:
    from celerywharf.hosts import Host

CLAIM_TIMEOUT_S = 1.5
RECORD_TIMEOUT_S = 60.0
# How long a caller's error is held back for the release of its claim.
RELEASE_TIMEOUT_S = 0.05
MINTER_TIMEOUT_S = 0.5
MINTER_ATTEMPT_LIMIT = 2
NONCE_BYTES = 16
SECRET_BYTES = 32
EVICTION_PERIOD_S = 60


class ClaimStore(Protocol):
    """Stores claims and the answers recorded under them."""

    async def claim(self, call: Call, row: ClaimRow) -> WriteOutcome:
        """Claim the key of a call for the attempt of ``row``."""

    async def record(self, call: Call, row: ClaimRow, version: int) -> None:
        """Store the outcome of the attempt that holds the key."""

    async def load(self, answer: RecordedAnswer) -> Answer:
        """Return a recorded answer with its body.

        Raises:
            AnswerNotKeptError: the call ran, but its body was not kept or
                cannot be read.
        """


class TableStore:
    """Claims in the platform's table, large answers in its object store."""

    def __init__(self, host: Host) -> None:
        self.host = host
        self.ledger = ClaimLedger(host)

    async def claim(self, call: Call, row: ClaimRow) -> WriteOutcome:
        """Claim a key; see ``ClaimStore``."""
        deadline_s = self.host.timers.now() + CLAIM_TIMEOUT_S
        return await self.ledger.write(Change(row_key(call), row, deadline_s))

    async def record(self, call: Call, row: ClaimRow, version: int) -> None:
        """Store the outcome of an attempt; see ``ClaimStore``."""
        key = row_key(call)
        if row.answer is not None:
            row = row.answered(await self._offload_body(key, row))
        deadline_s = self.host.timers.now() + RECORD_TIMEOUT_S
        await self.ledger.write(Change(key, row, deadline_s, version))

    async def load(self, answer: RecordedAnswer) -> Answer:
        """Return an answer with its body; see ``ClaimStore``."""
        body = answer.body
        if body is None and answer.object_name:
            body = await self._read_object(answer.object_name)
        return _complete_answer(answer, body)

    async def _offload_body(self, key: str, row: ClaimRow) -> RecordedAnswer:
        answer = row.answer
        if len(answer.body) <= ANSWER_LIMIT_BYTES:
            return answer
        name = f'{key}/{row.attempt}'
        try:
            await self.host.platform.put_object(name, answer.body)
        except CelerywharfError:
            name = ''
        return RecordedAnswer(answer.status, answer.headers, None, name)

    async def _read_object(self, name: str) -> bytes | None:
        try:
            return await self.host.platform.get_object(name)
        except CelerywharfError:
            return None


class MintStore:
    """Claims of minted keys, each in the memory of the host that minted it."""

    def __init__(self, host: Host) -> None:
        self.host = host
        self.logic = MintLogic(
            host.identity.name,
            host.identity.incarnation,
            secrets.token_bytes(SECRET_BYTES),
        )
        host.links.subscribe(ClaimQuestion, self._on_claim_question)
        host.links.subscribe(ClaimRecord, self._on_claim_record)

    def start(self) -> None:
        """Begin evicting expired claims."""
        self.host.timers.every(EVICTION_PERIOD_S, self._evict_expired, None)

    def mint(self, client_account: str, count: int) -> list[str]:
        """Return new keys for a client account."""
        wall_s = self.host.timers.wall()
        return [
            self.logic.mint(
                client_account,
                secrets.token_hex(NONCE_BYTES),
                wall_s,
            )
            for _ in range(count)
        ]

    async def claim(self, call: Call, row: ClaimRow) -> WriteOutcome:
        """Claim a key; see ``ClaimStore``."""
        reply = await self._request_claim(call, row)
        if reply is None:
            return Undetermined()
        match reply.outcome:
            case MintOutcome.granted:
                return Written(0)
            case MintOutcome.taken:
                return Taken(VersionedRow(0, reply.row))
            case MintOutcome.full:
                return NotWritten()
            case MintOutcome.invalid:
                raise BadRequestError(
                    'the idempotency key is not valid for this client account'
                )
        return Undetermined()

    async def record(self, call: Call, row: ClaimRow, version: int) -> None:
        """Send the outcome of an attempt to the minter; see ``ClaimStore``."""
        if row.answer and len(row.answer.body) > ANSWER_LIMIT_BYTES:
            stripped = RecordedAnswer(
                row.answer.status, row.answer.headers, None
            )
            row = row.answered(stripped)
        if self._is_minted_here(MintedKey.parse(call.key)):
            self.logic.record(call.key, row)
            return
        message = ClaimRecord(call.key, to_claim_fields(row))
        await self._request_minter(call.key, message)

    async def load(self, answer: RecordedAnswer) -> Answer:
        """Return an answer with its body; see ``ClaimStore``."""
        return _complete_answer(answer, answer.body)

    async def _request_claim(
        self, call: Call, row: ClaimRow
    ) -> MintReply | None:
        if self._is_minted_here(MintedKey.parse(call.key)):
            return self._claim(call.key, call.client_account, row)
        fields = to_claim_fields(row)
        question = ClaimQuestion(call.key, call.client_account, fields)
        verdict = await self._request_minter(call.key, question)
        if verdict is None:
            return None
        return MintReply(
            MintOutcome(verdict.outcome),
            from_claim_fields(verdict.claim),
        )

    async def _request_minter(
        self,
        key: str,
        message: ClaimQuestion | ClaimRecord,
    ) -> ClaimVerdict | None:
        """Ask the minting host; None if it has restarted or is unreachable."""
        minted = MintedKey.parse(key)
        peer = self.host.membership.peer(minted.host)
        if peer is None or peer.incarnation != minted.incarnation:
            return None
        for _ in range(MINTER_ATTEMPT_LIMIT):
            try:
                return await self.host.links.request(
                    peer.inner,
                    message,
                    MINTER_TIMEOUT_S,
                )
            except PeerUnreachableError:
                await asyncio.sleep(0)
        return None

    def _is_minted_here(self, key: MintedKey) -> bool:
        identity = self.host.identity
        this_host = identity.name, identity.incarnation
        return (key.host, key.incarnation) == this_host

    def _claim(self, key: str, account: str, row: ClaimRow) -> MintReply:
        return self.logic.claim(key, account, row, self.host.timers.wall())

    def _on_claim_question(
        self, sender: Sender, message: ClaimQuestion
    ) -> ClaimVerdict:
        row = from_claim_fields(message.claim)
        reply = self._claim(message.key, message.client_account, row)
        return ClaimVerdict(reply.outcome.value, to_claim_fields(reply.row))

    def _on_claim_record(self, sender: Sender, message: ClaimRecord) -> None:
        self.logic.record(message.key, from_claim_fields(message.claim))

    def _evict_expired(self, _message: None) -> None:
        self.logic.evict_expired(self.host.timers.wall())


def _complete_answer(answer: RecordedAnswer, body: bytes | None) -> Answer:
    if body is None:
        raise AnswerNotKeptError(
            f'the call ran with status {answer.status};'
            ' its answer was not kept',
        )
    return Answer(answer.status, answer.headers, body)
