"""Parses the list of a prompt's parts."""

from __future__ import annotations

import hashlib
import re

# Other names, which the platform does not give, are replaced by a digest.
PLAIN_NAME = re.compile(r'[0-9a-z_-]{1,64}', re.ASCII)


def shared_parts(text: str | None) -> tuple[str, ...]:
    """Return the names of the parts that other requests may share.

    Args:
        text: comma-separated ``NAME:TOKENS`` entries, in the prompt's order;
            None or empty without any.

    Returns:
        The names in lower case, each once, without the last part.
    """
    if not text:
        return ()
    names = [_name(entry) for entry in text.split(',')]
    return tuple(dict.fromkeys(name for name in names[:-1] if name))


def _name(entry: str) -> str:
    name = entry.partition(':')[0].strip().lower()
    if not name or PLAIN_NAME.fullmatch(name):
        return name
    return hashlib.sha256(name.encode()).hexdigest()
