"""Messages about journals of generations: replication and takeover."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class JournalSpec:
    """What a caller asked for; fixed for the life of a generation.

    Attributes:
        generation: id of the generation.
        service: name of the service.
        client_account: name of the account that pays.
        prompt: text the engine starts from.
        max_tokens: offset at which the generation ends.
        seed: passed to every attempt.
    """

    generation: str
    service: str
    client_account: str
    prompt: str
    max_tokens: int
    seed: int


@dataclass(frozen=True, slots=True)
class JournalLine:
    """A stretch of tokens that one owner wrote.

    Attributes:
        epoch: the owner's epoch.
        offset: offset of the stretch's first token.
    """

    epoch: int
    offset: int


@dataclass(frozen=True, slots=True)
class JournalOpen:
    """A whole journal: to begin a replica, or what a replica holds.

    Attributes:
        spec: what the caller asked for.
        owner: name of the owning host.
        lines: stretches in order of offsets; the last is the owner's own.
        tokens: all tokens so far.
        finish_reason: empty while the generation runs.
        attempt: number of the latest attempt, 0 before the first.
        attempt_epoch: epoch the attempt was started in.
        backend_server: name of the server that runs it, or empty.
    """

    spec: JournalSpec
    owner: str
    lines: list[JournalLine]
    tokens: list[str]
    finish_reason: str
    attempt: int
    attempt_epoch: int
    backend_server: str


@dataclass(frozen=True, slots=True)
class JournalPlaced:
    """The latest attempt of a generation and where it runs."""

    generation: str
    epoch: int
    attempt: int
    backend_server: str


@dataclass(frozen=True, slots=True)
class JournalAppend:
    """New tokens of many generations, in columns.

    Attributes:
        generations: ids.
        epochs: epoch of each owner.
        offsets: offset of each generation's first token here.
        counts: number of tokens of each generation.
        tokens: tokens of all generations, one after the other.
        finish_reasons: reason per generation; empty when none finished.
    """

    generations: list[str]
    epochs: list[int]
    offsets: list[int]
    counts: list[int]
    tokens: list[str]
    finish_reasons: list[str]


@dataclass(frozen=True, slots=True)
class JournalAppended:
    """Answer to ``JournalAppend``; all generations not named were stored.

    Attributes:
        stale: ids that have a newer owner.
        unknown: ids whose journal is missing or has a gap here.
    """

    stale: list[str]
    unknown: list[str]


@dataclass(frozen=True, slots=True)
class JournalFind:
    """Question whether a host owns or replicates a generation."""

    generation: str


@dataclass(frozen=True, slots=True)
class JournalFound:
    """Answer to ``JournalFind``.

    Attributes:
        owned: the answering host is the owner.
        epoch: the highest epoch known, 0 when the generation is unknown.
        length: number of tokens held.
        owner: name of the owner as far as known.
    """

    owned: bool
    epoch: int
    length: int
    owner: str


@dataclass(frozen=True, slots=True)
class JournalTake:
    """Request of a host to become owner with a higher epoch."""

    generation: str
    epoch: int
    owner: str


@dataclass(frozen=True, slots=True)
class FollowStart:
    """Request to send a generation's tokens on to the asking host.

    Attributes:
        generation: id of the generation.
        client_account: the account of the caller.
        follower: id of the stream, unique at the asking host.
        epoch: epoch of the caller's position, 0 for the beginning.
        offset: offset of the first token the caller lacks.
    """

    generation: str
    client_account: str
    follower: str
    epoch: int
    offset: int


@dataclass(frozen=True, slots=True)
class Following:
    """Answer to ``FollowStart``: the service and the current epoch."""

    service: str
    epoch: int


@dataclass(frozen=True, slots=True)
class FollowTokens:
    """Tokens for a following host; its answer asks for more.

    Attributes:
        follower: id of the stream.
        epoch: epoch of the owner.
        offset: offset of the first token here.
        tokens: may be empty.
        finish_reason: not empty once all tokens were sent.
        error_code: code of the error that ended the generation, or empty.
        error_message: its message.
    """

    follower: str
    epoch: int
    offset: int
    tokens: list[str]
    finish_reason: str
    error_code: str
    error_message: str


@dataclass(frozen=True, slots=True)
class FollowStop:
    """The follower's caller is gone."""

    generation: str
    follower: str
