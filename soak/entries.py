"""Malformed and large documents that are written to the store."""

from __future__ import annotations

import json
from dataclasses import dataclass
from random import Random

MIN_ENTRY_BYTES = 100
MAX_ENTRY_BYTES = 60_000
MAX_ENTRIES = 80
MAX_LEVELS = 40_000  # of lists in lists
SOME_LEVELS = 150
MAX_SEED = 1_000_000
ALIKE_PROBABILITY = 0.25
# What happens to entries once they are written.
COURSES = ('kept', 'rewritten', 'growing', 'removed')
KEYS = ('a14%41', 'a28&b=1', 'a29&b=', 'a+b', '%s')
MEMBERS = ('slots', 'address', 'zone', 'version', 'models', '')
KINDS = ('nested', 'open', 'cut', 'bare', 'text', 'members')
PRIORITIES = {
    'text': '"high"',
    'list': '[1]',
    'nested less deep': '[' * SOME_LEVELS + ']' * SOME_LEVELS,
    'nested deep': '[' * MAX_LEVELS + ']' * MAX_LEVELS,
}


@dataclass(frozen=True, slots=True)
class WriteEntries:
    """Another writer puts entries that name no server among the servers.

    Attributes:
        seed: determines the keys and contents.
        count: number of entries.
        course: one of `COURSES`.
        alike: whether all entries have the same content.
    """

    seed: int
    count: int
    course: str
    alike: bool


@dataclass(frozen=True, slots=True)
class EnlargeEntries:
    """Adds an unknown member to the entry of each backend server.

    Attributes:
        size_bytes: size of the member.
    """

    size_bytes: int


@dataclass(frozen=True, slots=True)
class MalformPriority:
    """Gives the configuration a malformed priority, from now on.

    Attributes:
        section: `tenants` or `routes`, of which the first gets it.
        kind: key of `PRIORITIES`.
        with_key: whether the newest API key is revoked by the same version.
    """

    section: str
    kind: str
    with_key: bool


def draw_writing(random: Random) -> WriteEntries:
    """Return random entries of another writer."""
    return WriteEntries(
        random.randint(0, MAX_SEED),
        random.randint(0, MAX_ENTRIES),
        random.choice(COURSES),
        random.random() < ALIKE_PROBABILITY,
    )


def draw_priority(random: Random) -> MalformPriority:
    """Return a random malformed priority."""
    return MalformPriority(
        random.choice(('tenants', 'routes')),
        random.choice(tuple(PRIORITIES)),
        random.choice((True, False)),
    )


def draw_entries(fault: WriteEntries) -> dict[str, str]:
    """Return the contents of another writer's entries, by key."""
    random = Random(fault.seed)
    numbered = [f'x{number}' for number in range(fault.count)]
    keys = [*random.sample(KEYS, len(KEYS)), *numbered][: fault.count]
    if fault.alike:
        return dict.fromkeys(keys, draw_entry(random, draw_size(random)))
    return {key: draw_entry(random, draw_size(random)) for key in keys}


def draw_size(random: Random) -> int:
    """Return the size of an entry in bytes; each magnitude is as likely."""
    ratio = MAX_ENTRY_BYTES / MIN_ENTRY_BYTES
    return int(MIN_ENTRY_BYTES * ratio ** random.random())


def draw_entry(random: Random, size_bytes: int) -> str:
    """Return an entry that names no server; two are hardly ever alike."""
    text = draw_text(random, size_bytes)
    member = random.choice(MEMBERS)
    match random.choice(KINDS):
        case 'nested':
            levels = size_bytes // 2
            nested = f'{"[" * levels}{"]" * levels}'
            return f'{{"note": "{text[:8]}", "{member}": {nested}}}'
        case 'open':
            return f'["{text[:8]}", {"[" * min(size_bytes, MAX_LEVELS)}'
        case 'cut':
            return f'{{"service": "desk", "{member}": "{text}'
        case 'bare':
            return json.dumps(random.choice((text, [text], 17, True, {})))
        case 'members':
            return json.dumps({'': text, 'service': '', member: [], 'zone': ''})
        case _:
            return text


def draw_text(random: Random, size_bytes: int) -> str:
    """Return a text that is hard to compress."""
    return random.randbytes(size_bytes // 2).hex()
