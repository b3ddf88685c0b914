"""Cache events of a model engine, read over its HTTP interface."""

import json
from typing import Any
from urllib import parse

import result

from dunlintide_adapters import engine as engines
from dunlintide_core import prefixes

__all__ = [
    'Source',
]

# More than an engine publishes in a second; the rest comes next time.
MAX_EVENTS = 5_000
MAX_BLOCKS = 20_000
_EVENTS = '/v1/cache_events'
_HELD = '/v1/cache'
_STORED = 'stored'

_Read = result.Result[tuple[int, list[prefixes.Event]], engines.EngineError]


def _read_event(fields: dict[str, Any]) -> prefixes.Event:
    return prefixes.Event(
        int(fields['sequence']),
        fields['kind'] == _STORED,
        str(fields['session']),
        int(fields['block']),
        int(fields['tokens']),
    )


class Source:
    """Reads one engine's events and what it holds."""

    def __init__(self, engine: engines.Engine) -> None:
        """Remember the engine; its owner closes it."""
        self._engine = engine

    def read_events(self, since: int) -> _Read:
        """Read some events behind a sequence number, oldest first.

        :returns: the number of the last event that the engine has
            published or lost, and the events
        """
        query = {'since': since, 'limit': MAX_EVENTS}
        return self._read(_EVENTS, query, 'events')

    def read_held(self) -> _Read:
        """Read the blocks that the engine holds, the newest if too many.

        :returns: the number of the last event, and the blocks
        """
        return self._read(_HELD, {'limit': MAX_BLOCKS}, 'blocks')

    def _read(self, path: str, query: dict[str, int], name: str) -> _Read:
        called = self._engine.read(f'{path}?{parse.urlencode(query)}')
        if called.is_err():
            return called
        try:
            body = json.loads(called.ok_value)
            found = [_read_event(fields) for fields in body[name]]
            return result.Ok((int(body['sequence']), found))
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            detail = f'unusable answer: {type(error).__name__}'
            return result.Err(engines.EngineError(detail))
