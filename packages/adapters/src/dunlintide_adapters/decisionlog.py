"""Structured log of decisions: JSON lines on standard output.

Lines are written without blocking and at a bounded rate; what exceeds
either bound is dropped and counted, and the count is logged later.
"""

import collections
import json
import os
import select
import time
from typing import Any

__all__ = ['DecisionLog']

# Lines a second that are written on average, and saved up for a burst, so
# that the log stays a small part of a core.
DEFAULT_LINES_PER_SECOND = 300.0
_BURST_SECONDS = 3.0
# Bytes that wait for a slow reader before lines are dropped.
_MAX_WAITING_BYTES = 256 << 10
# A line that is due at least this often tells of dropped ones, in seconds.
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
        """Begin to log.

        :param host: host's name, in each line
        :param output: file descriptor, set not to block
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
        """Log one line, unless too many were logged just now.

        :param event: what was decided or seen
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
        """Log one line outside of the rate, for starts, stops and faults."""
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
        """Write what waits, as far as the reader takes it."""
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
                # Nobody reads any more; there is no other place to tell it.
                written = len(data)
            self._waiting_bytes -= written
            if written < len(data):
                self._waiting.appendleft(data[written:])
                return

    def _join_lines(self) -> bytes:
        """Take as many whole lines as a pipe takes in one piece.

        A longer write may be cut at any place by whoever reads the pipe, and
        the lines behind the cut would be lost to those who look for a cause.
        """
        lines = [self._waiting.popleft()]
        size = len(lines[0])
        while self._waiting:
            size += len(self._waiting[0])
            if size > select.PIPE_BUF:
                break
            lines.append(self._waiting.popleft())
        return b''.join(lines)
