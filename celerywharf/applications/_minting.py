"""Idempotency keys minted by a host, claimed in that host's memory."""

from __future__ import annotations

import enum
import hashlib
import hmac
import re
from dataclasses import dataclass

from celerywharf.applications._rows import ClaimRow, ClaimState

KEY_PATTERN = re.compile(
    r'cw\.(?P<host>[a-z0-9_-]{1,63})\.(?P<incarnation>\d{1,20})'
    r'\.(?P<expires_s>\d{1,12})\.[0-9a-f]{32}\.[0-9a-f]{32}',
)
KEY_LIFE_S = 3600
MAC_CHARACTERS = 32
CLAIM_LIMIT = 100_000
KIBIBYTE = 1024
ANSWER_LIMIT_BYTES = 8 * KIBIBYTE
ANSWERS_LIMIT_BYTES = KIBIBYTE * KIBIBYTE * 10


@dataclass(frozen=True, slots=True)
class MintedKey:
    """A key as its text tells it.

    Attributes:
        host: host that minted it.
        incarnation: which run of that host.
        expires_s: seconds since 1970, by the minter's clock.
    """

    host: str
    incarnation: int
    expires_s: int

    @classmethod
    def parse(cls, text: str) -> MintedKey | None:
        """Read a key; None when it is not a minted one."""
        match = KEY_PATTERN.fullmatch(text)
        if match is None:
            return None
        named = match.groupdict()
        return cls(
            host=named['host'],
            incarnation=int(named['incarnation']),
            expires_s=int(named['expires_s']),
        )


class MintOutcome(enum.StrEnum):
    """What the minter says to a claim."""

    granted = 'granted'
    taken = 'taken'
    full = 'full'
    expired = 'expired'
    invalid = 'invalid'


@dataclass(frozen=True, slots=True)
class MintReply:
    """What the minter says, with the claim that holds the key."""

    outcome: MintOutcome
    row: ClaimRow


class MintLogic:
    """Mints keys and grants each to one attempt.

    Nothing is kept of a key until it is claimed; its text proves itself.
    Claims are kept until the key expires, and end with the process.
    """

    def __init__(self, host: str, incarnation: int, secret: bytes) -> None:
        self.host = host
        self.incarnation = incarnation
        self.secret = secret
        self.claims: dict[str, ClaimRow] = {}
        self.answers_bytes = 0

    def mint(self, client_account: str, nonce: str, wall: float) -> str:
        """Return a new key.

        Args:
            client_account: name of the only account that may use it.
            nonce: 32 random hexadecimal digits.
            wall: seconds since 1970.
        """
        expires_s = int(wall) + KEY_LIFE_S
        head = f'cw.{self.host}.{self.incarnation}.{expires_s}.{nonce}'
        return f'{head}.{self._mac(client_account, head)}'

    def claim(
        self,
        text: str,
        client_account: str,
        row: ClaimRow,
        wall: float,
    ) -> MintReply:
        """Grant a key to an attempt, or tell who holds it."""
        if not self._is_valid(text, client_account):
            return MintReply(MintOutcome.invalid, row)
        held = self.claims.get(text)
        if held is not None and held.state is not ClaimState.released:
            mine = held.attempt == row.attempt
            outcome = MintOutcome.granted if mine else MintOutcome.taken
            return MintReply(outcome, held)
        if wall >= MintedKey.parse(text).expires_s:
            return MintReply(MintOutcome.expired, row)
        if held is None and len(self.claims) >= CLAIM_LIMIT:
            return MintReply(MintOutcome.full, row)
        self.claims[text] = row
        return MintReply(MintOutcome.granted, row)

    def record(self, text: str, row: ClaimRow) -> None:
        """Take what became of the attempt that holds the key."""
        held = self.claims.get(text)
        if held is None or held.attempt != row.attempt:
            return
        if held.state is not ClaimState.claimed:
            return
        self.answers_bytes += _answer_bytes(row)
        if self.answers_bytes > ANSWERS_LIMIT_BYTES:
            self.answers_bytes -= _answer_bytes(row)
            return
        self.claims[text] = row

    def forget_expired(self, wall: float) -> None:
        """Drop the claims of keys that can no longer be claimed."""
        expired = [
            text
            for text in self.claims
            if wall >= MintedKey.parse(text).expires_s
        ]
        for text in expired:
            self.answers_bytes -= _answer_bytes(self.claims.pop(text))

    def _is_valid(self, text: str, client_account: str) -> bool:
        head, _, mac = text.rpartition('.')
        return hmac.compare_digest(mac, self._mac(client_account, head))

    def _mac(self, client_account: str, head: str) -> str:
        message = f'{client_account}\n{head}'.encode()
        digest = hmac.new(self.secret, message, hashlib.sha256)
        return digest.hexdigest()[:MAC_CHARACTERS]


def _answer_bytes(row: ClaimRow) -> int:
    if row.answer is None or row.answer.body is None:
        return 0
    return len(row.answer.body)
