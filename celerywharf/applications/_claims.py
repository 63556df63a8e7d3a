"""Runs calls that have an idempotency key."""

from __future__ import annotations

import asyncio
import secrets
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from celerywharf.adapters.applications import Answer, Call
from celerywharf.applications._claim_logic import (
    Action,
    AskHolder,
    CallAnswered,
    CallFailed,
    ClaimLogic,
    ClaimWriteFinished,
    HolderAnswered,
    HolderUnavailable,
    Record,
    RefuseAmbiguous,
    RefuseNotRun,
    RefuseReusedKey,
    Replay,
    SendCall,
)
from celerywharf.applications._messages import (
    from_answer_fields,
    to_answer_fields,
)
from celerywharf.applications._minting import MintedKey
from celerywharf.applications._rows import (
    ClaimRow,
    ClaimState,
    RecordedAnswer,
    call_digest,
)
from celerywharf.applications._stores import (
    RELEASE_TIMEOUT_S,
    ClaimStore,
    MintStore,
    TableStore,
)
from celerywharf.applications._sweeping import Sweeper
from celerywharf.exceptions import (
    AmbiguousCallError,
    CelerywharfError,
    KeyReusedError,
    PlatformUnavailableError,
)
from celerywharf.structures import Verdict
from celerywharf.wire import Sender
from celerywharf.wire.claims import AttemptAnswer, AttemptQuestion

if TYPE_CHECKING:
    from celerywharf.hosts import Host

ATTEMPT_ID_BYTES = 12
HOUR_S = 3600
# A key that is repeated later than this runs again.
CLAIM_RETENTION_S = 24 * HOUR_S
DRAIN_TIMEOUT_S = 2.0
# How long a repeat waits for the answer of an attempt still in progress.
ANSWER_TIMEOUT_S = 1.5
# Added to ANSWER_TIMEOUT_S for the exchange with the other host.
LINK_MARGIN_S = 0.5
# A host that read the claim just before the answer was recorded still asks
# this host for the answer.
ANSWER_RETENTION_S = 5.0
RETRY_AFTER_S = 1.0
SENT_LIMIT_KEYS = 20_000

SendFunction = Callable[[], Awaitable[Answer]]
AnswerFuture = asyncio.Future[RecordedAnswer | None]


@dataclass(frozen=True, slots=True)
class KeyedCall:
    """A call with an idempotency key, and the function that sends it."""

    call: Call
    send: SendFunction


class Claims:
    """Claims keys before calls are sent, and records their answers.

    Attributes:
        table_store: claims of keys that callers chose.
        mint_store: claims of keys that hosts minted.
        sweeper: removes expired claims.
        answers_by_attempt: futures of the answers to this host's attempts,
            by attempt id.
        sent_keys: client account and key of the most recent calls that this
            host sent, at most ``SENT_LIMIT_KEYS``.
    """

    def __init__(self, host: Host) -> None:
        self.host = host
        self.table_store = TableStore(host)
        self.mint_store = MintStore(host)
        self.sweeper = Sweeper(host)
        self.answers_by_attempt: dict[str, AnswerFuture] = {}
        self.sent_keys: OrderedDict[tuple[str, str], None] = OrderedDict()
        host.links.subscribe(AttemptQuestion, self._on_attempt_question)

    def start(self) -> None:
        """Begin writing and sweeping claims."""
        self.table_store.ledger.start()
        self.sweeper.start()
        self.mint_store.start()

    async def stop(self) -> None:
        """Stop at once; keys whose answer is not recorded stay claimed."""
        await self.sweeper.stop()
        await self.table_store.ledger.stop()

    async def drain(self) -> None:
        """Wait up to ``DRAIN_TIMEOUT_S`` until known answers are recorded."""
        if self.table_store.ledger.children:
            await asyncio.wait(
                tuple(self.table_store.ledger.children),
                timeout=DRAIN_TIMEOUT_S,
            )

    async def call(self, keyed: KeyedCall) -> Answer:
        """Send a call, or return the earlier answer if its key was used.

        Raises:
            CelerywharfError: its verdict says whether the call may have run.
        """
        call = keyed.call
        store = (
            self.mint_store if MintedKey.parse(call.key) else self.table_store
        )
        identity = self.host.identity
        row = ClaimRow(
            attempt=secrets.token_hex(ATTEMPT_ID_BYTES),
            host=identity.name,
            incarnation=identity.incarnation,
            digest=call_digest(call),
            expires_s=self.host.timers.wall() + CLAIM_RETENTION_S,
        )
        sent_before = (call.client_account, call.key) in self.sent_keys
        logic = ClaimLogic(row, sent_before=sent_before)
        return await _ClaimAttempt(self, keyed, store, logic).run()

    async def fetch_answer(self, row: ClaimRow) -> RecordedAnswer | None:
        """Return the answer to an attempt from the host that makes it.

        Waits up to ``ANSWER_TIMEOUT_S`` for an attempt in progress.  Returns
        None if the host cannot be reached, has restarted or has no answer.
        """
        identity = self.host.identity
        if (row.host, row.incarnation) == (
            identity.name,
            identity.incarnation,
        ):
            return await self._await_answer(row.attempt)
        peer = self.host.membership.peer(row.host)
        if peer is None or peer.incarnation != row.incarnation:
            return None
        try:
            reply = await self.host.links.request(
                peer.inner,
                AttemptQuestion(row.attempt),
                ANSWER_TIMEOUT_S + LINK_MARGIN_S,
            )
        except CelerywharfError:
            return None
        return from_answer_fields(reply.answer)

    def mark_sent(self, call: Call) -> None:
        """Note that this host sends a call under its key."""
        self.sent_keys[call.client_account, call.key] = None
        if len(self.sent_keys) > SENT_LIMIT_KEYS:
            self.sent_keys.popitem(last=False)

    def unmark_sent(self, call: Call) -> None:
        """Undo ``mark_sent`` for a call that did not run."""
        self.sent_keys.pop((call.client_account, call.key), None)

    async def _on_attempt_question(
        self,
        sender: Sender,
        message: AttemptQuestion,
    ) -> AttemptAnswer:
        answer = await self._await_answer(message.attempt)
        return AttemptAnswer(to_answer_fields(answer))

    async def _await_answer(self, attempt: str) -> RecordedAnswer | None:
        answer_future = self.answers_by_attempt.get(attempt)
        if answer_future is None:
            return None
        await asyncio.wait((answer_future,), timeout=ANSWER_TIMEOUT_S)
        return answer_future.result() if answer_future.done() else None


class _ClaimAttempt:
    """One attempt to run a call under an idempotency key."""

    def __init__(
        self,
        claims: Claims,
        keyed: KeyedCall,
        store: ClaimStore,
        logic: ClaimLogic,
    ) -> None:
        self.claims = claims
        self.host = claims.host
        self.call = keyed.call
        self.send = keyed.send
        self.store = store
        self.logic = logic
        self.answer_future: AnswerFuture = (
            asyncio.get_running_loop().create_future()
        )

    async def run(self) -> Answer:
        """Claim the key, then carry out what the logic decides."""
        started_s = self.host.timers.now()
        # Other hosts may read the claim and ask for its answer before this
        # task resumes after the write.
        self.claims.answers_by_attempt[self.logic.row.attempt] = (
            self.answer_future
        )
        try:
            outcome = await self.store.claim(self.call, self.logic.row)
            self.host.metrics.observe(
                'claim', self.host.timers.now() - started_s
            )
            return await self._process(ClaimWriteFinished(outcome))
        finally:
            self._publish_answer(None)

    async def _process(self, message: ClaimWriteFinished) -> Answer:
        for action in self.logic.decide(message):
            match action:
                case SendCall():
                    return await self._send()
                case Replay(answer):
                    return await self.store.load(answer)
                case AskHolder(row):
                    return await self._ask_holder(row)
                case _:
                    self._perform(action)
        raise AmbiguousCallError('the claim ended without a decision')

    def _perform(self, action: Action) -> asyncio.Task | None:
        match action:
            case Record(row, version):
                return self._record(row, version)
            case RefuseReusedKey():
                raise KeyReusedError(
                    'the idempotency key was used for another call',
                )
            case RefuseNotRun():
                raise PlatformUnavailableError(
                    'the idempotency key cannot be claimed now;'
                    ' retry with the same key',
                    retry_after_s=RETRY_AFTER_S,
                )
            case RefuseAmbiguous():
                raise AmbiguousCallError(
                    'an earlier attempt with this idempotency key may have run',
                )
        return None

    async def _ask_holder(self, row: ClaimRow) -> Answer:
        answer = await self.claims.fetch_answer(row)
        message = (
            HolderUnavailable() if answer is None else HolderAnswered(answer)
        )
        return await self._process(message)

    async def _send(self) -> Answer:
        self.claims.mark_sent(self.call)
        try:
            answer = await self.send()
        except CelerywharfError as error:
            await self._release(error.verdict)
            raise
        recorded = RecordedAnswer.of(answer)
        self._publish_answer(recorded)
        for action in self.logic.decide(CallAnswered(recorded)):
            self._perform(action)
        return answer

    def _publish_answer(self, answer: RecordedAnswer | None) -> None:
        """Pass the answer, or None, to the repeats that wait for it."""
        if self.answer_future.done():
            return
        self.answer_future.set_result(answer)
        if answer is None:
            self.claims.answers_by_attempt.pop(self.logic.row.attempt, None)

    async def _release(self, verdict: Verdict) -> None:
        """Release the claim if the call was not run.

        Waits up to ``RELEASE_TIMEOUT_S`` for the write, which goes on.
        """
        for action in self.logic.decide(CallFailed(verdict)):
            self.claims.unmark_sent(self.call)
            await asyncio.wait(
                (self._perform(action),), timeout=RELEASE_TIMEOUT_S
            )

    def _record(self, row: ClaimRow, version: int) -> asyncio.Task:
        task = self.claims.table_store.ledger.spawn(
            self.store.record(self.call, row, version),
        )
        if row.state is ClaimState.answered:
            task.add_done_callback(self._evict_answer_later)
        return task

    def _evict_answer_later(self, _recorded: asyncio.Task) -> None:
        asyncio.get_running_loop().call_later(
            ANSWER_RETENTION_S,
            self.claims.answers_by_attempt.pop,
            self.logic.row.attempt,
            None,
        )
