"""Watches of the store: streams of key changes."""

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
    """Streams key changes to watchers.

    :ivar open: number of open watches
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
        """Stop sending on the open watches without closing them."""
        with self._state.changed:
            self._last_silenced = self._opened

    def _poll(
        self, call: messages.WatchCreate, start: int
    ) -> tuple[bytes | None, int]:
        """Wait briefly for changes.

        :param start: first revision to report
        :returns: a message, None without changes, and the next revision to
            start from
        """
        state = self._state
        if state.revision < start:
            state.changed.wait(_POLL_SECONDS)
        # A hanging store sends nothing; the changes are sent afterwards.
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
        """Yield the messages of a watch, and None after a wait without one."""
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
