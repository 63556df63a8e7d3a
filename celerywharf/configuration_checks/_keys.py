"""Names API keys in findings without revealing them."""

from __future__ import annotations

import hashlib

DIGEST_DIGITS = 12


def key_name(key: str) -> str:
    """Return how a finding names a key: by the start of its digest."""
    digest = hashlib.sha256(key.encode('utf-8', 'surrogatepass')).hexdigest()
    return f'key sha256:{digest[:DIGEST_DIGITS]}'
