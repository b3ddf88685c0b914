"""Client of the cache events that a model engine publishes over HTTP."""

from urllib import parse

import msgspec
import result

from dunlintide_adapters import engine as engines
from dunlintide_core import prefixes

__all__ = [
    'EventReader',
]

# Above what an engine publishes in a second; the next read gets the rest.
MAX_EVENTS = 5_000
MAX_BLOCKS = 20_000
_EVENTS_PATH = '/v1/cache_events'
_BLOCKS_PATH = '/v1/cache'
_STORED = 'stored'

_ReadResult = result.Result[
    tuple[int, list[prefixes.Event]], engines.EngineError
]


class _Event(msgspec.Struct):
    sequence: int
    kind: str
    session: str
    block: int
    tokens: int


class _Answer(msgspec.Struct):
    sequence: int
    events: list[_Event] = []
    blocks: list[_Event] = []


_decoder = msgspec.json.Decoder(_Answer)


def _convert(event: _Event) -> prefixes.Event:
    return prefixes.Event(
        event.sequence,
        event.kind == _STORED,
        event.session,
        event.block,
        event.tokens,
    )


class EventReader:
    """Reads the cache events and the cached blocks of one engine."""

    def __init__(self, engine: engines.Engine) -> None:
        """Create a reader; the caller keeps ownership of the engine."""
        self._engine = engine

    def read_events(self, since: int) -> _ReadResult:
        """Read a bounded number of events after a sequence number.

        :returns: the sequence number of the last event that the engine has
            published or lost, and the events, oldest first
        """
        query = {'since': since, 'limit': MAX_EVENTS}
        read = self._read(_EVENTS_PATH, query)
        return read.map(
            lambda answer: (
                answer.sequence,
                [_convert(e) for e in answer.events],
            )
        )

    def read_blocks(self) -> _ReadResult:
        """Read the cached blocks, at most the newest ``MAX_BLOCKS``.

        :returns: the sequence number of the last event, and the blocks
        """
        read = self._read(_BLOCKS_PATH, {'limit': MAX_BLOCKS})
        return read.map(
            lambda answer: (
                answer.sequence,
                [_convert(e) for e in answer.blocks],
            )
        )

    def _read(
        self, path: str, query: dict[str, int]
    ) -> result.Result[_Answer, engines.EngineError]:
        called = self._engine.read(f'{path}?{parse.urlencode(query)}')
        if called.is_err():
            return called
        try:
            return result.Ok(_decoder.decode(called.ok_value))
        except (msgspec.MsgspecError, RecursionError) as error:
            detail = f'invalid answer: {type(error).__name__}'
            return result.Err(engines.EngineError(detail))
