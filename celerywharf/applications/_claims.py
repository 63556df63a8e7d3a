"""Carries out calls that bear an idempotency key."""

from __future__ import annotations

import asyncio
import secrets
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from celerywharf.adapters.applications import Answer, Call
from celerywharf.applications._keyed import (
    Action,
    AskHolder,
    CallAnswered,
    CallFailed,
    ClaimLogic,
    ClaimWritten,
    HolderAnswered,
    HolderSilent,
    Record,
    RefuseAmbiguous,
    RefuseNotRun,
    RefuseReuse,
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
    RELEASE_WAIT_S,
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
KEEP_S = 24 * HOUR_S
DRAIN_WAIT_S = 2.0
HOLDER_WAIT_S = 1.5
LINK_SLACK_S = 0.5
ANSWER_KEEP_S = 5.0
RETRY_AFTER_S = 1.0
SENT_LIMIT_KEYS = 20_000

SendNow = Callable[[], Awaitable[Answer]]
Answers = asyncio.Future[RecordedAnswer | None]


@dataclass(frozen=True, slots=True)
class KeyedCall:
    """A call with a key, and how to send it once that is allowed."""

    call: Call
    send: SendNow


class Claims:
    """Claims keys before calls are sent, and records their answers.

    Attributes:
        table: claims of the callers' own keys.
        mint: claims of keys that hosts minted.
        sweeper: removes claims that have expired.
        attempts: answers to come of attempts that this host makes.
        sent: keys under which this host sent a call, the latest ones.
    """

    def __init__(self, host: Host) -> None:
        self.host = host
        self.table = TableStore(host)
        self.mint = MintStore(host)
        self.sweeper = Sweeper(host)
        self.attempts: dict[str, Answers] = {}
        self.sent: OrderedDict[tuple[str, str], None] = OrderedDict()
        host.links.subscribe(AttemptQuestion, self._asked)

    def start(self) -> None:
        """Begin writing claims."""
        self.table.ledger.start()
        self.sweeper.start()
        self.mint.start()

    async def stop(self) -> None:
        """Stop at once; what was not recorded stays claimed."""
        await self.sweeper.stop()
        await self.table.ledger.stop()

    async def drain(self) -> None:
        """Wait a little until what is known has been recorded."""
        if self.table.ledger.children:
            await asyncio.wait(
                tuple(self.table.ledger.children),
                timeout=DRAIN_WAIT_S,
            )

    async def call(self, keyed: KeyedCall) -> Answer:
        """Send a call unless its key was used; return the one answer.

        Raises:
            CelerywharfError: its verdict tells whether the call may have run.
        """
        call = keyed.call
        store = self.mint if MintedKey.parse(call.key) else self.table
        identity = self.host.identity
        row = ClaimRow(
            attempt=secrets.token_hex(ATTEMPT_ID_BYTES),
            host=identity.name,
            incarnation=identity.incarnation,
            digest=call_digest(call),
            expires_s=self.host.timers.wall() + KEEP_S,
        )
        sent_before = (call.client_account, call.key) in self.sent
        logic = ClaimLogic(row, sent_before=sent_before)
        return await _Attempt(self, keyed, store, logic).run()

    async def answer_of(self, row: ClaimRow) -> RecordedAnswer | None:
        """Ask the host of an attempt for its answer and wait a little."""
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
                HOLDER_WAIT_S + LINK_SLACK_S,
            )
        except CelerywharfError:
            return None
        return from_answer_fields(reply.answer)

    def note_sent(self, call: Call) -> None:
        """Remember that a call was sent under its key."""
        self.sent[call.client_account, call.key] = None
        if len(self.sent) > SENT_LIMIT_KEYS:
            self.sent.popitem(last=False)

    def note_not_sent(self, call: Call) -> None:
        """Forget what ``note_sent`` noted: it did not run."""
        self.sent.pop((call.client_account, call.key), None)

    async def _asked(
        self,
        sender: Sender,
        message: AttemptQuestion,
    ) -> AttemptAnswer:
        answer = await self._await_answer(message.attempt)
        return AttemptAnswer(to_answer_fields(answer))

    async def _await_answer(self, attempt: str) -> RecordedAnswer | None:
        answers = self.attempts.get(attempt)
        if answers is None:
            return None
        await asyncio.wait((answers,), timeout=HOLDER_WAIT_S)
        return answers.result() if answers.done() else None


class _Attempt:
    """One attempt under a key."""

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
        self.answers: Answers = asyncio.get_running_loop().create_future()

    async def run(self) -> Answer:
        """Claim, then do as the logic decides."""
        started_s = self.host.timers.now()
        # Others may read the claim before this task hears that it is written.
        self.claims.attempts[self.logic.row.attempt] = self.answers
        try:
            outcome = await self.store.claim(self.call, self.logic.row)
            self.host.metrics.observe(
                'claim', self.host.timers.now() - started_s
            )
            return await self._carry_out(ClaimWritten(outcome))
        finally:
            self._settle(None)

    async def _carry_out(self, message: ClaimWritten) -> Answer:
        for action in self.logic.decide(message):
            match action:
                case SendCall():
                    return await self._send()
                case Replay(answer):
                    return await self.store.load(answer)
                case AskHolder(row):
                    return await self._ask(row)
                case _:
                    self._act(action)
        raise AmbiguousCallError('the claim was left undecided')

    def _act(self, action: Action) -> asyncio.Task | None:
        match action:
            case Record(row, version):
                return self._record(row, version)
            case RefuseReuse():
                raise KeyReusedError(
                    'the idempotency key was used for another call',
                )
            case RefuseNotRun():
                raise PlatformUnavailableError(
                    'the key cannot be claimed now; repeat with the same key',
                    retry_after_s=RETRY_AFTER_S,
                )
            case RefuseAmbiguous():
                raise AmbiguousCallError(
                    'an earlier attempt with this key may have run',
                )
        return None

    async def _ask(self, row: ClaimRow) -> Answer:
        answer = await self.claims.answer_of(row)
        message = HolderSilent() if answer is None else HolderAnswered(answer)
        return await self._carry_out(message)

    async def _send(self) -> Answer:
        self.claims.note_sent(self.call)
        try:
            answer = await self.send()
        except CelerywharfError as error:
            await self._failed(error.verdict)
            raise
        recorded = RecordedAnswer.of(answer)
        self._settle(recorded)
        for action in self.logic.decide(CallAnswered(recorded)):
            self._act(action)
        return answer

    def _settle(self, answer: RecordedAnswer | None) -> None:
        """Let those go on who wait for this attempt's answer."""
        if self.answers.done():
            return
        self.answers.set_result(answer)
        if answer is None:
            self.claims.attempts.pop(self.logic.row.attempt, None)

    async def _failed(self, verdict: Verdict) -> None:
        """Release the claim of a call that was not sent, within a bound."""
        for action in self.logic.decide(CallFailed(verdict)):
            self.claims.note_not_sent(self.call)
            await asyncio.wait((self._act(action),), timeout=RELEASE_WAIT_S)

    def _record(self, row: ClaimRow, version: int) -> asyncio.Task:
        task = self.claims.table.ledger.spawn(
            self.store.record(self.call, row, version),
        )
        if row.state is ClaimState.answered:
            task.add_done_callback(self._forget_later)
        return task

    def _forget_later(self, _recorded: asyncio.Task) -> None:
        # Who read the claim just before the answer was recorded still asks.
        asyncio.get_running_loop().call_later(
            ANSWER_KEEP_S,
            self.claims.attempts.pop,
            self.logic.row.attempt,
            None,
        )
