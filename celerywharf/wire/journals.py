"""Messages about journals of generations: replication and takeover."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class JournalSpec:
    """The caller's request; it does not change during a generation.

    Attributes:
        generation: id of the generation.
        service: name of the service.
        client_account: name of the account that is charged.
        prompt: text that the engine continues.
        max_tokens: offset at which the generation ends.
        seed: random seed passed to every attempt.
    """

    generation: str
    service: str
    client_account: str
    prompt: str
    max_tokens: int
    seed: int


@dataclass(frozen=True, slots=True)
class JournalLine:
    """A range of tokens written by one owner; it ends where the next begins.

    Attributes:
        epoch: epoch of the owner.
        offset: offset of the first token.
    """

    epoch: int
    offset: int


@dataclass(frozen=True, slots=True)
class JournalOpen:
    """A whole journal: sent to start a replica, or returned by a replica.

    Attributes:
        spec: the caller's request.
        owner: name of the owning host.
        lines: ranges of tokens in order of offset; the last one belongs to
            the current owner.
        tokens: all tokens so far.
        finish_reason: empty while the generation runs.
        attempt: number of the latest attempt, 0 before the first.
        attempt_epoch: epoch in which the attempt was started.
        backend_server: name of the server that runs the attempt, or empty.
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
    """Reports the latest attempt of a generation and its backend server."""

    generation: str
    epoch: int
    attempt: int
    backend_server: str


@dataclass(frozen=True, slots=True)
class JournalAppend:
    """New tokens of several generations, in columns.

    The lists with one item per generation have the same order.

    Attributes:
        generations: ids of the generations.
        epochs: epoch of the owner, per generation.
        offsets: offset of the first token in this message, per generation.
        counts: number of tokens in this message, per generation.
        tokens: tokens of all generations, one generation after the other.
        finish_reasons: finish reason per generation; the list is empty when
            no generation has finished.
    """

    generations: list[str]
    epochs: list[int]
    offsets: list[int]
    counts: list[int]
    tokens: list[str]
    finish_reasons: list[str]


@dataclass(frozen=True, slots=True)
class JournalAppended:
    """The reply to ``JournalAppend``; generations not named were stored.

    Attributes:
        stale: ids of generations that have a newer owner.
        unknown: ids of generations whose journal the replica lacks, or that
            would have a gap before the new tokens.
    """

    stale: list[str]
    unknown: list[str]


@dataclass(frozen=True, slots=True)
class JournalFind:
    """Asks whether a host owns or replicates a generation."""

    generation: str


@dataclass(frozen=True, slots=True)
class JournalFound:
    """The reply to ``JournalFind``.

    Attributes:
        owned: whether the answering host is the owner.
        epoch: highest known epoch, 0 when the generation is unknown.
        length: number of tokens that the answering host has.
        owner: name of the owner as far as known.
    """

    owned: bool
    epoch: int
    length: int
    owner: str


@dataclass(frozen=True, slots=True)
class JournalTake:
    """Requests to become the owner of a generation with a higher epoch."""

    generation: str
    epoch: int
    owner: str


@dataclass(frozen=True, slots=True)
class FollowStart:
    """Asks the owner to send a generation's tokens to the requesting host.

    Attributes:
        generation: id of the generation.
        client_account: account of the caller.
        follower: id of the stream, unique at the requesting host.
        epoch: epoch of the caller's position, 0 for the beginning.
        offset: offset of the first token that the caller does not have.
    """

    generation: str
    client_account: str
    follower: str
    epoch: int
    offset: int


@dataclass(frozen=True, slots=True)
class Following:
    """The reply to ``FollowStart``: the service and the current epoch."""

    service: str
    epoch: int


@dataclass(frozen=True, slots=True)
class FollowTokens:
    """Tokens for a following host; its reply asks for more.

    Attributes:
        follower: id of the stream.
        epoch: epoch of the owner.
        offset: offset of the first token in this message.
        tokens: the tokens, possibly none.
        finish_reason: empty until all tokens have been sent.
        error_code: code of the error that ended the generation, or empty.
        error_message: message of that error, or empty.
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
    """Ends a stream whose caller has disconnected."""

    generation: str
    follower: str
