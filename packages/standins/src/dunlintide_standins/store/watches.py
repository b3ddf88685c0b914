"""Watches of the store: streams of changes."""

from collections.abc import Iterator
from typing import Any

import msgspec

from dunlintide_standins import faults
from dunlintide_standins.store import calls
from dunlintide_standins.store import messages
from dunlintide_standins.store import state as states

__all__ = ['Watches']

_POLL_SECONDS = 0.2
_WATCH_ID = '0'


def _encode(result: dict[str, Any]) -> bytes:
    return msgspec.json.encode({'result': result}) + b'\n'


def _describe(event: states.Event, prev_kv: bool) -> dict[str, Any]:
    body: dict[str, Any] = {'kv': calls.describe(event.current)}
    if event.deleted:
        body['type'] = 'DELETE'
    if prev_kv and event.previous:
        body['prev_kv'] = calls.describe(event.previous)
    return body


class Watches:
    """Streams changes to those who watch.

    :ivar open: number of watches that are open now
    """

    def __init__(
        self, state: states.State, fault_injector: faults.FaultInjector
    ) -> None:
        self.open = 0
        self._state = state
        self._fault_injector = fault_injector
        self._last_silenced = 0
        self._opened = 0
        self._closed = False

    def stop(self) -> None:
        """End all streams."""
        with self._state.changed:
            self._closed = True
            self._state.changed.notify_all()

    def silence(self) -> None:
        """Send nothing more on the watches open now, nor close them."""
        with self._state.changed:
            self._last_silenced = self._opened

    def _poll(
        self, call: messages.WatchCreate, start: int
    ) -> tuple[bytes | None, int]:
        """Wait for changes; gives a message and the next revision."""
        state = self._state
        if state.revision < start:
            state.changed.wait(_POLL_SECONDS)
        # Nothing is delivered while the store hangs, and nothing is lost.
        if self._fault_injector.hang:
            state.changed.wait(_POLL_SECONDS)
            return None, start
        events = [
            _describe(event, call.prev_kv)
            for event in state.list_events(start)
            if states.contains(event.current.key, call.key, call.range_end)
        ]
        after = max(start, state.revision + 1)
        if not events:
            return None, after
        answer = {'header': calls.header(state), 'watch_id': _WATCH_ID}
        return _encode(answer | {'events': events}), after

    def _stream_messages(
        self, call: messages.WatchCreate, number: int, generation: int
    ) -> Iterator[bytes | None]:
        state = self._state
        start = call.start_revision or state.revision + 1
        answer = {'header': calls.header(state), 'watch_id': _WATCH_ID}
        yield _encode(answer | {'created': True})
        if start < state.get_oldest_revision():
            compacted = {'compact_revision': str(state.get_oldest_revision())}
            yield _encode(answer | {'canceled': True} | compacted)
            return
        while not self._fault_injector.down and not self._closed:
            with state.changed:
                if state.generation != generation:
                    return
                message, start = self._poll(call, start)
            yield None if number <= self._last_silenced else message

    def stream(self, call: messages.WatchCreate) -> Iterator[bytes | None]:
        """Give the messages of one watch, None where there is nothing."""
        state = self._state
        with state.changed:
            self.open += 1
            self._opened += 1
            number, generation = self._opened, state.generation
            start = call.start_revision or state.revision + 1
        call = messages.WatchCreate(
            call.key, call.range_end, start, call.prev_kv
        )
        try:
            yield from self._stream_messages(call, number, generation)
        finally:
            with state.changed:
                self.open -= 1
