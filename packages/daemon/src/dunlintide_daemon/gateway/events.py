"""Splitting and deduplication of server-sent events.

Only complete events are forwarded. So a run that breaks off within an event
can be resumed at another endpoint without lost, repeated or garbled data.
"""

__all__ = [
    'EventSequence',
    'EventSplitter',
]

_END = b'\n\n'
_END_CRLF = b'\r\n\r\n'
# Digits of an id that are read; Python refuses to convert thousands.
_MAX_ID_DIGITS = 18


class EventSplitter:
    """Splits a byte stream at event boundaries.

    Comments are no events, and belong to the next one: they show that an
    endpoint sends, not that it makes progress.

    :ivar remainder: bytes of an incomplete event, with the comments before it
    """

    def __init__(self) -> None:
        self.remainder = b''

    def split(self, data: bytes) -> bytes:
        """Add received bytes and return the events that are now complete."""
        data = self.remainder + data
        end = data.rfind(_END)
        cut = end + len(_END) if end >= 0 else 0
        end = data.rfind(_END_CRLF)
        if end >= 0:
            cut = max(cut, end + len(_END_CRLF))
        if data[:1] == b':' or b'\n:' in data[:cut]:
            cut = _find_last_event_end(data[:cut])
        self.remainder = data[cut:]
        return data[:cut]

    @property
    def is_within_event(self) -> bool:
        """Whether what remains is more than complete comments."""
        blocks = _split_events(self.remainder)
        return not all(
            not block.strip()
            or _is_comment(block)
            and block.endswith((_END, _END_CRLF))
            for block in blocks
        )


def _is_comment(block: bytes) -> bool:
    return all(
        line.startswith(b':') for line in block.splitlines() if line.strip()
    )


def _find_last_event_end(data: bytes) -> int:
    """Return where the last event ends that is more than a comment.

    :param data: complete events and comments
    """
    end = len(data)
    for block in reversed(_split_events(data)):
        if not _is_comment(block):
            break
        end -= len(block)
    return end


def _read_id(event: bytes) -> int | None:
    for line in event.splitlines():
        if line.startswith(b'id:'):
            text = line[3:].strip()
            return int(text[:_MAX_ID_DIGITS]) if text.isdigit() else None
    return None


class EventSequence:
    """Events that a caller has received, over all runs of its stream.

    In a stream with ids an event without one belongs to the next one, as a
    comment does: alone it could not be told from its repetition by a later
    run, nor from bytes that belong to no request.

    :ivar last_id: id of the last event, None before the first
    :ivar count: events with an id that this entry has forwarded
    :ivar total: events that this entry has forwarded
    """

    def __init__(self, after: str | None) -> None:
        self.last_id = after
        self.count = 0
        self.total = 0
        # Events without an id behind the last one that has one.
        self._unnamed: list[bytes] = []

    @property
    def unnamed_bytes(self) -> int:
        """Size of the events that wait for the next one with an id."""
        return sum(map(len, self._unnamed))

    def begin_run(self) -> None:
        """Begin with the events of another run."""
        self._unnamed.clear()

    def take_rest(self) -> bytes:
        """Return the events behind the last one with an id, at the end."""
        rest = b''.join(self._unnamed)
        self._unnamed.clear()
        return rest

    def _get_last(self) -> int | None:
        text = self.last_id or ''
        return int(text[:_MAX_ID_DIGITS]) if text.isdecimal() else None

    def filter_new(self, data: bytes) -> tuple[bytes, bool]:
        """Select the events that the caller does not have yet.

        :param data: complete events
        :returns: the new events up to a missing one, and whether none is
            missing
        """
        fresh = []
        last = self._get_last()
        for event in _split_events(data):
            number = _read_id(event)
            if number is None:
                self.total += not _is_comment(event)
                (fresh if last is None else self._unnamed).append(event)
                continue
            if last is not None and number <= last:
                self._unnamed.clear()
                continue
            if last is not None and number != last + 1:
                return b''.join(fresh), False
            last = number
            fresh += [*self._unnamed, event]
            self._unnamed.clear()
            self.count += 1
            self.total += 1
        if last is not None:
            self.last_id = str(last)
        return b''.join(fresh), True


def _split_events(data: bytes) -> list[bytes]:
    events = []
    start = 0
    has_crlf = _END_CRLF in data
    while start < len(data):
        plain = data.find(_END, start)
        crlf = data.find(_END_CRLF, start) if has_crlf else -1
        ends = [plain + len(_END)] if plain >= 0 else []
        if crlf >= 0:
            ends.append(crlf + len(_END_CRLF))
        end = min(ends) if ends else len(data)
        events.append(data[start:end])
        start = end
    return events
