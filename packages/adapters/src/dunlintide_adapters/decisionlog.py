"""Structured log of decisions: JSON lines on standard output.

Writes do not block, and both the rate and the backlog are bounded. Lines
beyond either bound are dropped and counted; the count is logged later.
"""

import collections
import json
import os
import select
import time
from typing import Any

__all__ = ['DecisionLog']

# Average rate in lines a second, and size of a burst as seconds of that rate.
# The rate keeps the log to a small share of a CPU core.
DEFAULT_LINES_PER_SECOND = 300.0
_BURST_SECONDS = 3.0
# Bytes buffered for a slow reader before lines are dropped.
_MAX_WAITING_BYTES = 256 << 10
# Minimum time between two reports of dropped lines.
_REPORT_SECONDS = 5.0


class DecisionLog:
    """Writer of log lines.

    :ivar dropped: lines dropped since the start
    """

    def __init__(
        self,
        host: str,
        output: int = 1,
        rate: float = DEFAULT_LINES_PER_SECOND,
    ) -> None:
        """Create a log and make its output non-blocking.

        :param host: host name, written in each line
        :param output: file descriptor to write to
        :param rate: lines a second
        """
        self._host = host
        self._output = output
        self._rate = rate
        self._tokens = rate * _BURST_SECONDS
        self._refilled_at = time.monotonic()
        self._waiting: collections.deque[bytes] = collections.deque()
        self._waiting_bytes = 0
        self._reported_drops = 0
        self._next_report_at = 0.0
        self.dropped = 0
        os.set_blocking(output, False)

    def write(self, event: str, **fields: Any) -> None:
        """Log one line, or drop it if a bound is exceeded.

        :param event: what was decided or observed
        :param fields: inputs of the decision and its outcome
        """
        now = time.monotonic()
        refill = (now - self._refilled_at) * self._rate
        capacity = self._rate * _BURST_SECONDS
        self._tokens = min(capacity, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1.0 or self._waiting_bytes > _MAX_WAITING_BYTES:
            self.dropped += 1
            return
        self._tokens -= 1.0
        self._append(event, now, fields)

    def write_always(self, event: str, **fields: Any) -> None:
        """Log one line at any rate, for starts, stops and faults."""
        if self._waiting_bytes > _MAX_WAITING_BYTES:
            self.dropped += 1
            return
        self._append(event, time.monotonic(), fields)

    def _append(self, event: str, now: float, fields: dict[str, Any]) -> None:
        line = {'at': round(now, 4), 'host': self._host, 'event': event}
        line.update(fields)
        data = json.dumps(line, separators=(',', ':'), default=str)
        self._waiting.append(data.encode() + b'\n')
        self._waiting_bytes += len(data) + 1

    def flush(self) -> None:
        """Write buffered lines until the output would block."""
        now = time.monotonic()
        if self.dropped > self._reported_drops and now >= self._next_report_at:
            self._next_report_at = now + _REPORT_SECONDS
            self._append('log dropped', now, {'lines': self.dropped})
            self._reported_drops = self.dropped
        while self._waiting:
            data = self._join_lines()
            try:
                written = os.write(self._output, data)
            except BlockingIOError:
                written = 0
            except OSError:
                # The reader is gone; there is no other output for an error.
                written = len(data)
            self._waiting_bytes -= written
            if written < len(data):
                self._waiting.appendleft(data[written:])
                return

    def _join_lines(self) -> bytes:
        """Remove and join as many lines as a pipe writes atomically.

        A longer write may be split at any byte by the reader of the pipe,
        and the lines behind the split would be lost for diagnosis.
        """
        lines = [self._waiting.popleft()]
        size = len(lines[0])
        while self._waiting:
            size += len(self._waiting[0])
            if size > select.PIPE_BUF:
                break
            lines.append(self._waiting.popleft())
        return b''.join(lines)
