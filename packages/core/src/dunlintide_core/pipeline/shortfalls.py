"""Why requests were not served in time, from the logs of entries.

Each request gets one cause: the first that applies, from the gravest. Log
lines carry the monotonic clock of their entry; times are reported relative to
the start of the entry's process.
"""

import collections
import enum
import json
import re
from typing import Any, Iterable, Mapping

import attrs

__all__ = [
    'Cause',
    'Report',
    'Shortfall',
    'read_lines',
]

Line = Mapping[str, Any]

# Prefix that log collectors put before a line: its time and its host.
_PREFIX = re.compile(r'\s*[\d.:TZ+-]+\s+\S+\s+(?={)')
# Events that begin the record of a request.
_SENT = ('stream sent', 'call sent')


class Cause(enum.StrEnum):
    """Reason why a request was not served in time."""

    ENTRY_ENDED = 'the entry ended under it'
    NO_ROOM = 'refused: no chain had room'
    NO_BUDGET = 'refused: no second send was left'
    REFUSED = 'refused for another reason'
    UNINFORMED = 'refused: the entry knew nothing yet'
    STOPPING = 'refused: the entry was stopping'
    CUT = 'broken off'
    UNKNOWN = 'it may have run, no answer came'
    FAILED = 'the endpoint failed it'
    LEFT = 'its caller left'
    FIRST_MOVED = 'first event late: its first chain stood still or broke'
    FIRST_SLOW = 'first event late: waiting or reading'
    PAUSE_MOVED = 'pause: its chain stood still or broke'
    PAUSE_SLOW = 'pause: its chain was slow'


@attrs.frozen
class Shortfall:
    """A request that was not served in time.

    :ivar request: id of the request
    :ivar host: host of the entry
    :ivar cause: reason why it was not served in time
    :ivar at: when it ended, in seconds from the start of the process
    :ivar seconds: how late it was, 0 if it was not answered
    """

    request: str
    host: str
    cause: Cause
    at: float
    seconds: float = 0.0


@attrs.define
class Report:
    """Summary of the logs.

    :ivar served: requests answered in time
    :ivar read: lines that were read
    :ivar unreadable: lines that are not log lines
    :ivar shortfalls: requests that were not served in time
    """

    served: int = 0
    read: int = 0
    unreadable: int = 0
    shortfalls: list[Shortfall] = attrs.field(factory=list)

    def count(self) -> list[tuple[Cause, int, float, str]]:
        """List causes, the most frequent first.

        :returns: cause, number of requests, longest delay in seconds, and the
            host and second of the process at which most of them ended
        """
        groups = collections.defaultdict(list)
        for each in self.shortfalls:
            groups[each.cause].append(each)
        rows = []
        for cause, found in groups.items():
            counts = collections.Counter(
                (each.host, int(each.at)) for each in found
            )
            (host, second), most = counts.most_common(1)[0]
            worst = max(each.seconds for each in found)
            peak = f'{host} at {second} s: {most}'
            rows.append((cause, len(found), worst, peak))
        return sorted(rows, key=lambda row: (-row[1], row[0]))


@attrs.define
class _Process:
    """One process of an entry, reconstructed from its log lines.

    :ivar began: monotonic clock at the first line
    :ivar last: monotonic clock at the last line
    :ivar requests: lines of the requests in progress, by id
    """

    host: str
    began: float
    last: float
    requests: dict[str, list[Line]] = attrs.field(factory=dict)


class _Reader:
    """Groups log lines by process and request."""

    def __init__(self) -> None:
        self.report = Report()
        self._processes: dict[str, _Process] = {}

    def add_line(self, text: str) -> None:
        """Process a line."""
        line = _parse(text)
        if line is None:
            self.report.unreadable += 1
            return
        self.report.read += 1
        host, at = line['host'], line['at']
        process = self._processes.get(host)
        if process is not None and line['event'] == 'started':
            self._close(process)
            process = None
        if process is None:
            process = _Process(host, at, at)
            self._processes[host] = process
        process.last = at
        name = line.get('request')
        if name is None:
            return
        process.requests.setdefault(name, []).append(line)
        if line['event'] in ('request ended', 'request denied'):
            self._finish_request(process, name)

    def close(self) -> Report:
        """Return the report, with the requests that were still in progress."""
        for process in self._processes.values():
            self._close(process)
        return self.report

    def _close(self, process: _Process) -> None:
        """Count the requests in progress when a process ended."""
        for name, lines in process.requests.items():
            if any(line['event'] in _SENT for line in lines):
                at = process.last - process.began
                self.report.shortfalls.append(
                    Shortfall(name, process.host, Cause.ENTRY_ENDED, at)
                )
        process.requests.clear()

    def _finish_request(self, process: _Process, name: str) -> None:
        """Count a request that ended."""
        lines = process.requests.pop(name)
        cause, seconds = _find_cause(lines)
        if cause is None:
            self.report.served += 1
            return
        at = lines[-1]['at'] - process.began
        self.report.shortfalls.append(
            Shortfall(name, process.host, cause, at, seconds)
        )


def _parse(text: str) -> Line | None:
    """Return the fields of a log line, None if it is not one."""
    prefix = _PREFIX.match(text)
    try:
        line = json.loads(text[prefix.end() :] if prefix else text)
    except ValueError:
        return None
    if not isinstance(line, dict):
        return None
    is_valid = isinstance(line.get('at'), (int, float))
    is_valid = is_valid and isinstance(line.get('host'), str)
    return line if is_valid and isinstance(line.get('event'), str) else None


_OUTCOMES = {
    'cut': Cause.CUT,
    'unknown': Cause.UNKNOWN,
    'failed': Cause.FAILED,
    'gone': Cause.LEFT,
}
_DENIALS = {
    'no configuration': Cause.UNINFORMED,
    'stopping': Cause.STOPPING,
}
_REFUSALS = {
    'no room': Cause.NO_ROOM,
    'no budget': Cause.NO_BUDGET,
}


def _find_cause(lines: list[Line]) -> tuple[Cause | None, float]:
    """Return why a request was not served in time, and its delay, in s."""
    end = lines[-1]
    if end['event'] == 'request denied':
        if end.get('status') != 503:
            return None, 0.0
        return _DENIALS.get(end.get('reason'), Cause.REFUSED), 0.0
    outcome = end.get('outcome')
    if any(line['event'] == 'request ended by shutdown' for line in lines):
        refused = outcome == 'not-run'
        return Cause.STOPPING if refused else Cause.ENTRY_ENDED, 0.0
    if outcome == 'not-run':
        return _find_refusal(lines), 0.0
    if outcome in _OUTCOMES:
        return _OUTCOMES[outcome], 0.0
    return _find_delay(lines, end)


def _find_refusal(lines: list[Line]) -> Cause:
    """Return the cause from the last refusal of a request."""
    for line in reversed(lines):
        if line.get('reason') == 'stopping':
            return Cause.STOPPING
        if line['event'] == 'request refused':
            return _REFUSALS.get(line.get('reason'), Cause.REFUSED)
    return Cause.REFUSED


def _find_delay(lines: list[Line], end: Line) -> tuple[Cause | None, float]:
    """Return the cause and the delay of a request that was answered late."""
    moved = any(line['event'] == 'run ended early' for line in lines)
    first = end.get('first_event') or end.get('seconds') or 0.0
    late = first - (end.get('target') or float('inf'))
    if late > 0:
        return (Cause.FIRST_MOVED if moved else Cause.FIRST_SLOW), late
    late = (end.get('longest_gap') or 0.0) - (end.get('pause') or float('inf'))
    if late > 0:
        return (Cause.PAUSE_MOVED if moved else Cause.PAUSE_SLOW), late
    return None, 0.0


def read_lines(lines: Iterable[str]) -> Report:
    """Read log lines of entries, those of each host in their order."""
    reader = _Reader()
    for text in lines:
        if text.strip():
            reader.add_line(text)
    return reader.close()
