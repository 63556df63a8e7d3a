"""Idempotency keys minted by a host, claimed in that host's memory."""

from __future__ import annotations

import enum
import hashlib
import hmac
import re
from dataclasses import dataclass

from celerywharf.applications._rows import ClaimRow, ClaimState
from celerywharf.units import KIBIBYTE

KEY_PATTERN = re.compile(
    r'cw\.(?P<host>[a-z0-9_-]{1,63})\.(?P<incarnation>\d{1,20})'
    r'\.(?P<expires_s>\d{1,12})\.[0-9a-f]{32}\.[0-9a-f]{32}',
)
KEY_LIFETIME_S = 3600
MAC_CHARACTERS = 32
CLAIM_LIMIT_KEYS = 100_000
ANSWER_LIMIT_BYTES = 8 * KIBIBYTE
STORED_ANSWERS_LIMIT_BYTES = KIBIBYTE * KIBIBYTE * 10


@dataclass(frozen=True, slots=True)
class MintedKey:
    """The parts of a minted key, as its text states them; not verified.

    Attributes:
        host: host that minted it.
        incarnation: incarnation of that host, new with each start.
        expires_s: seconds since 1970 on the clock of that host.
    """

    host: str
    incarnation: int
    expires_s: int

    @classmethod
    def parse(cls, text: str) -> MintedKey | None:
        """Return the parts of a key, None if it is not in this format."""
        match = KEY_PATTERN.fullmatch(text)
        if match is None:
            return None
        groups = match.groupdict()
        return cls(
            host=groups['host'],
            incarnation=int(groups['incarnation']),
            expires_s=int(groups['expires_s']),
        )


class MintOutcome(enum.StrEnum):
    """How the minting host answers a claim.

    ``full``: the host holds ``CLAIM_LIMIT_KEYS`` claims already.
    ``invalid``: the key was not minted here for this client account.
    """

    granted = 'granted'
    taken = 'taken'
    full = 'full'
    expired = 'expired'
    invalid = 'invalid'


@dataclass(frozen=True, slots=True)
class MintReply:
    """The answer of the minting host to a claim.

    Attributes:
        outcome: whether the claim was granted, or why not.
        row: the claim that holds the key, else the one that was refused.
    """

    outcome: MintOutcome
    row: ClaimRow


class MintLogic:
    """Mints keys and grants each to one attempt.

    Nothing is stored for a key until it is claimed: its text holds a keyed
    digest that authenticates it.  Claims are kept in memory until the key
    expires and are lost when the process ends.

    Attributes:
        claims: the claim of each claimed key.
        stored_answer_bytes: total size of the answer bodies in the claims.
    """

    def __init__(self, host: str, incarnation: int, secret: bytes) -> None:
        self.host = host
        self.incarnation = incarnation
        self.secret = secret
        self.claims: dict[str, ClaimRow] = {}
        self.stored_answer_bytes = 0

    def mint(self, client_account: str, nonce: str, wall_s: float) -> str:
        """Return a new key.

        Args:
            client_account: name of the only account that may use it.
            nonce: 32 random hexadecimal digits.
            wall_s: seconds since 1970.
        """
        expires_s = int(wall_s) + KEY_LIFETIME_S
        unsigned_key = f'cw.{self.host}.{self.incarnation}.{expires_s}.{nonce}'
        return f'{unsigned_key}.{self._mac(client_account, unsigned_key)}'

    def claim(
        self,
        key: str,
        client_account: str,
        row: ClaimRow,
        wall_s: float,
    ) -> MintReply:
        """Grant a key to an attempt, or return the claim that holds it."""
        if not self._is_valid(key, client_account):
            return MintReply(MintOutcome.invalid, row)
        held = self.claims.get(key)
        if held is not None and held.state is not ClaimState.released:
            same_attempt = held.attempt == row.attempt
            outcome = MintOutcome.granted if same_attempt else MintOutcome.taken
            return MintReply(outcome, held)
        if wall_s >= MintedKey.parse(key).expires_s:
            return MintReply(MintOutcome.expired, row)
        if held is None and len(self.claims) >= CLAIM_LIMIT_KEYS:
            return MintReply(MintOutcome.full, row)
        self.claims[key] = row
        return MintReply(MintOutcome.granted, row)

    def record(self, key: str, row: ClaimRow) -> None:
        """Store the outcome of the attempt that holds the key.

        Answers beyond ``STORED_ANSWERS_LIMIT_BYTES`` in total are not stored:
        the claim then stays without an outcome.
        """
        held = self.claims.get(key)
        if held is None or held.attempt != row.attempt:
            return
        if held.state is not ClaimState.claimed:
            return
        self.stored_answer_bytes += _body_size_bytes(row)
        if self.stored_answer_bytes > STORED_ANSWERS_LIMIT_BYTES:
            self.stored_answer_bytes -= _body_size_bytes(row)
            return
        self.claims[key] = row

    def evict_expired(self, wall_s: float) -> None:
        """Remove the claims of expired keys, which can no longer be claimed."""
        expired = [
            key
            for key in self.claims
            if wall_s >= MintedKey.parse(key).expires_s
        ]
        for key in expired:
            self.stored_answer_bytes -= _body_size_bytes(self.claims.pop(key))

    def _is_valid(self, key: str, client_account: str) -> bool:
        unsigned_key, _, mac = key.rpartition('.')
        return hmac.compare_digest(mac, self._mac(client_account, unsigned_key))

    def _mac(self, client_account: str, unsigned_key: str) -> str:
        message = f'{client_account}\n{unsigned_key}'.encode()
        digest = hmac.new(self.secret, message, hashlib.sha256)
        return digest.hexdigest()[:MAC_CHARACTERS]


def _body_size_bytes(row: ClaimRow) -> int:
    if row.answer is None or row.answer.body is None:
        return 0
    return len(row.answer.body)
