"""Structured log of decisions: JSON lines on standard output.

Lines are written without blocking and at a bounded rate; what exceeds
either bound is dropped and counted, and the count is logged later.
"""

import json
import os
import time
from typing import Any

__all__ = ['DecisionLog']

# Lines a second that are written on average, and saved up for a burst.
# A line takes about 20 us to build, so the log stays under 1% of a core.
DEFAULT_RATE = 300.0
_BURST_SECONDS = 3.0
# Bytes that wait for a slow reader before lines are dropped.
_MAX_WAITING = 256 << 10
# A line that is due at least this often tells of dropped ones, in seconds.
_REPORT_SECONDS = 5.0


class DecisionLog:
    """Writer of log lines.

    :ivar dropped: lines dropped since the start
    """

    def __init__(
        self, host: str, output: int = 1, rate: float = DEFAULT_RATE
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
        self._refilled = time.monotonic()
        self._waiting: list[bytes] = []
        self._size = 0
        self._reported = 0
        self._report_due = 0.0
        self.dropped = 0
        os.set_blocking(output, False)

    def write(self, event: str, **fields: Any) -> None:
        """Log one line, unless too many were logged just now.

        :param event: what was decided or seen
        :param fields: inputs of the decision and its outcome
        """
        now = time.monotonic()
        spare = (now - self._refilled) * self._rate
        most = self._rate * _BURST_SECONDS
        self._tokens = min(most, self._tokens + spare)
        self._refilled = now
        if self._tokens < 1.0 or self._size > _MAX_WAITING:
            self.dropped += 1
            return
        self._tokens -= 1.0
        self._append(event, now, fields)

    def write_always(self, event: str, **fields: Any) -> None:
        """Log one line outside of the rate, for starts, stops and faults."""
        if self._size > _MAX_WAITING:
            self.dropped += 1
            return
        self._append(event, time.monotonic(), fields)

    def _append(self, event: str, now: float, fields: dict[str, Any]) -> None:
        line = {'at': round(now, 4), 'host': self._host, 'event': event}
        line.update(fields)
        data = json.dumps(line, separators=(',', ':'), default=str)
        self._waiting.append(data.encode() + b'\n')
        self._size += len(data) + 1

    def flush(self) -> None:
        """Write what waits, as far as the reader takes it."""
        now = time.monotonic()
        if self.dropped > self._reported and now >= self._report_due:
            self._report_due = now + _REPORT_SECONDS
            self._append('log dropped', now, {'lines': self.dropped})
            self._reported = self.dropped
        if not self._waiting:
            return
        data = b''.join(self._waiting)
        try:
            written = os.write(self._output, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # Nobody reads any more; there is no other place to tell it.
            written = len(data)
        rest = data[written:]
        self._waiting = [rest] if rest else []
        self._size = len(rest)
