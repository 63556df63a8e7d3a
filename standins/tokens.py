"""Tokens of the stand-in engine; each identifies the run it is from."""

import xxhash

PREFIX_HASH_CHARACTERS = 64
PROMPT_CHARACTERS_PER_TOKEN = 4


def make_token(nonce: str, offset: int) -> str:
    """Return the token at an offset (from 0) of the run with this nonce."""
    digest = xxhash.xxh32_hexdigest(f'{nonce}.{offset}'.encode())
    return f' {digest}'


def make_tokens(nonce: str, start: int, stop: int) -> list[str]:
    """Return a run's tokens from offset `start` until before `stop`."""
    return [make_token(nonce, offset) for offset in range(start, stop)]


def hash_prefix(prompt: str) -> str:
    """Return the cache key of a prompt."""
    start = prompt[:PREFIX_HASH_CHARACTERS]
    return xxhash.xxh64_hexdigest(start.encode())


def count_prompt_tokens(prompt: str) -> int:
    """Return the number of tokens of a prompt, at least one."""
    return 1 + len(prompt) // PROMPT_CHARACTERS_PER_TOKEN
