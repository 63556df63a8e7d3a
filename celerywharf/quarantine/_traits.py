"""What requests that crash backend servers may have in common.

A trait is the name of a prompt part that several requests share, or stands for
one request and its repetitions.
"""

from __future__ import annotations

# Names of prompt parts have no colon.
REQUEST_PREFIX = 'request:'


def request_trait(digest: str) -> str:
    """Return the trait of a request and its repetitions."""
    return f'{REQUEST_PREFIX}{digest}'


def is_request(trait: str) -> bool:
    """Return whether a trait stands for one request."""
    return trait.startswith(REQUEST_PREFIX)


def describe(trait: str) -> str:
    """Return what a trait stands for, for people."""
    if is_request(trait):
        return 'the request'
    return f'prompt part {trait}'
