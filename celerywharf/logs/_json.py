"""Log formatter that writes each record as one JSON object.

Fields passed in ``extra`` become keys.  Values of fields whose names denote
secrets are redacted, and so are the secrets passed to ``configure``.
"""

from __future__ import annotations

import contextlib
import contextvars
import json
import logging
import sys
from collections.abc import Iterator, Sequence
from typing import Any, TextIO

from celerywharf.logs._bounded import BoundedHandler

SECRET_NAMES = ('key', 'token', 'secret', 'authorization', 'password')
REDACTED = '[redacted]'
# Redacting shorter strings would garble unrelated text.
MIN_SECRET_CHARACTERS = 4

_STANDARD_FIELDS = frozenset(
    vars(logging.makeLogRecord({})),
) | {'message', 'asctime', 'taskName', 'routine'}
_context: contextvars.ContextVar[dict[str, Any] | None] = (
    contextvars.ContextVar('log_context', default=None)
)


@contextlib.contextmanager
def log_context(**fields: Any) -> Iterator[None]:
    """Add fields such as the request ID to every record logged inside.

    A nested context adds to the fields of the outer one.
    """
    merged = {**(_context.get() or {}), **fields}
    token = _context.set(merged)
    try:
        yield
    finally:
        _context.reset(token)


class JsonFormatter(logging.Formatter):
    """Formats a record as one line of JSON.

    Attributes:
        fixed: fields of every line.
        secrets: strings that are redacted wherever they appear.
    """

    def __init__(self, fixed: dict[str, Any], secrets: Sequence[str]) -> None:
        super().__init__()
        self.fixed = fixed
        self.secrets = [
            secret for secret in secrets if len(secret) >= MIN_SECRET_CHARACTERS
        ]

    def format(self, record: logging.LogRecord) -> str:
        """Return the JSON text without a newline."""
        fields: dict[str, Any] = {
            'time': round(record.created, 6),
            'level': record.levelname.lower(),
            'logger': record.name,
            'message': record.getMessage(),
        }
        fields.update(self.fixed)
        fields.update(_context.get() or {})
        fields.update(self._extra(record))
        if record.exc_info:
            fields['traceback'] = self.formatException(record.exc_info)
        return self._redact(json.dumps(fields, default=str))

    def _extra(self, record: logging.LogRecord) -> dict[str, Any]:
        return {
            name: REDACTED if _is_secret(name) else value
            for name, value in vars(record).items()
            if name not in _STANDARD_FIELDS
        }

    def _redact(self, line: str) -> str:
        for secret in self.secrets:
            line = line.replace(secret, REDACTED)
        return line


def _is_secret(name: str) -> bool:
    lowered = name.lower()
    return any(
        lowered == word or lowered.endswith(f'_{word}') for word in SECRET_NAMES
    )


def configure(
    level: str = 'INFO',
    stream: TextIO | None = None,
    secrets: Sequence[str] = (),
    **fixed: Any,
) -> None:
    """Write all logs of the process as JSON lines to ``stream``.

    Args:
        level: lowest level that is written.
        stream: standard error if None.
        secrets: strings that are redacted wherever they appear.
        fixed: fields added to every line, such as host and zone.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    _install(handler, level, JsonFormatter(fixed, secrets))


def configure_bounded(level: str, descriptor: int, **fixed: Any) -> None:
    """Write all logs of the process to a descriptor, limited in volume.

    Args:
        level: lowest level that is written.
        descriptor: file or pipe; writing to it never blocks.
        fixed: fields added to every line, such as host and zone.
    """
    _install(BoundedHandler(descriptor), level, JsonFormatter(fixed, ()))


def _install(
    handler: logging.Handler,
    level: str,
    formatter: logging.Formatter,
) -> None:
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level.upper())
    logging.getLogger('tornado.access').setLevel(logging.WARNING)
