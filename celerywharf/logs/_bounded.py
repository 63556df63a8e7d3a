"""Log handler that limits the volume of logs and never blocks."""

from __future__ import annotations

import logging
import os
import time
from collections import deque

# A busy host serves some hundred requests per second.  A line costs about
# 30 microseconds, so this limit costs 0.3% of a core.
ROUTINE_LINES_PER_S = 100
PENDING_LIMIT_BYTES = 1024 * 1024  # buffered while the reader is too slow
ROUTINE_FIELD = 'routine'


class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor without waiting for its reader.

    Records with ``routine=True`` in ``extra`` (requests served by the first
    send, entries that are already known) are limited to a number per second;
    other records are not.  When the reader is too slow, the oldest pending
    lines are dropped.  The number of dropped lines is logged in a line of its
    own.

    Attributes:
        descriptor: file descriptor, set to non-blocking.
        pending: encoded lines, or the rest of one, not yet written.
        pending_bytes: total size of ``pending``.
        dropped: lines dropped since their number was last logged.
        second: monotonic second that ``routine_lines`` refers to.
        routine_lines: routine records seen in this second.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.pending: deque[bytes] = deque()
        self.pending_bytes = 0
        self.dropped = 0
        self.second = 0
        self.routine_lines = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, buffer it, or drop it; never block."""
        if getattr(record, ROUTINE_FIELD, False) and not self._admit_routine():
            self.dropped += 1
            return
        if self.dropped:
            self._append(self._dropped_record())
        self._append(record)
        self._write()

    def _admit_routine(self) -> bool:
        second = int(time.monotonic())
        if second != self.second:
            self.second = second
            self.routine_lines = 0
        self.routine_lines += 1
        return self.routine_lines <= ROUTINE_LINES_PER_S

    def _dropped_record(self) -> logging.LogRecord:
        record = logging.makeLogRecord(
            {
                'name': __name__,
                'levelno': logging.INFO,
                'levelname': 'INFO',
                'msg': 'log lines left out',
                'count': self.dropped,
            },
        )
        self.dropped = 0
        return record

    def _append(self, record: logging.LogRecord) -> None:
        line = f'{self.format(record)}\n'.encode()
        self.pending.append(line)
        self.pending_bytes += len(line)
        while self.pending_bytes > PENDING_LIMIT_BYTES:
            self.pending_bytes -= len(self.pending.popleft())
            self.dropped += 1

    def _write(self) -> None:
        while self.pending:
            line = self.pending[0]
            try:
                written = os.write(self.descriptor, line)
            except BlockingIOError:
                return
            self.pending_bytes -= written
            if written < len(line):
                self.pending[0] = line[written:]
                return
            self.pending.popleft()
