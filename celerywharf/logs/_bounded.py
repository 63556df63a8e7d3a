"""A handler that bounds the volume of logs and never blocks."""

from __future__ import annotations

import logging
import os
import time
from collections import deque

# A busy host serves some hundred requests a second; each line costs about
# 30 microseconds, so that this many cost 0.3% of a core.
ROUTINE_LINES_PER_S = 100
PENDING_BYTES = 1024 * 1024  # kept while the reader of the pipe is away
ROUTINE = 'routine'


class BoundedHandler(logging.Handler):
    """Writes lines to a descriptor without waiting for its reader.

    Records with ``routine=True`` in ``extra`` (requests that were served at
    the first send, known entries) are limited to a number a second; others
    always pass.  When the reader is too slow, the oldest pending lines go.
    What was left out is told in a line of its own.
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
        """Write a record, or keep it, or leave it out."""
        if getattr(record, ROUTINE, False) and not self._may_write():
            self.dropped += 1
            return
        if self.dropped:
            self._append(self._told_drops())
        self._append(record)
        self._write()

    def _may_write(self) -> bool:
        second = int(time.monotonic())
        if second != self.second:
            self.second = second
            self.routine_lines = 0
        self.routine_lines += 1
        return self.routine_lines <= ROUTINE_LINES_PER_S

    def _told_drops(self) -> logging.LogRecord:
        told = logging.makeLogRecord(
            {
                'name': __name__,
                'levelno': logging.INFO,
                'levelname': 'INFO',
                'msg': 'log lines left out',
                'count': self.dropped,
            },
        )
        self.dropped = 0
        return told

    def _append(self, record: logging.LogRecord) -> None:
        line = f'{self.format(record)}\n'.encode()
        self.pending.append(line)
        self.pending_bytes += len(line)
        while self.pending_bytes > PENDING_BYTES:
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
