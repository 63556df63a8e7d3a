"""Which calls are idempotent, by the settings of their service."""

from __future__ import annotations

from celerywharf.tables import Service

AMBIGUOUS_PARTS = ('/..', '/.', '//', '%2e', '%2f', '%5c', '\\')


def is_idempotent(service: Service, method: str, path: str) -> bool:
    """Return whether a call may be sent again after it may have run.

    A path with dot segments, empty segments or escaped separators matches no
    prefix, because the application may resolve it to another path.
    """
    if method in service.idempotent_methods:
        return True
    plain = path.partition('?')[0]
    if any(part in plain.lower() for part in AMBIGUOUS_PARTS):
        return False
    return any(_is_below(plain, prefix) for prefix in service.idempotent_paths)


def _is_below(path: str, prefix: str) -> bool:
    if prefix.endswith('/'):
        return path.startswith(prefix)
    return path == prefix or path.startswith(f'{prefix}/')
