"""Cache events of a model engine, read over its HTTP interface."""

from urllib import parse

import msgspec
import result

from dunlintide_adapters import engine as engines
from dunlintide_core import prefixes

__all__ = [
    'EventReader',
]

# More than an engine publishes in a second; the rest comes next time.
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
    """Reads one engine's events and what it holds."""

    def __init__(self, engine: engines.Engine) -> None:
        """Remember the engine; its owner closes it."""
        self._engine = engine

    def read_events(self, since: int) -> _ReadResult:
        """Read some events behind a sequence number, oldest first.

        :returns: the number of the last event that the engine has
            published or lost, and the events
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
        """Read the blocks that the engine holds, the newest if too many.

        :returns: the number of the last event, and the blocks
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
        except msgspec.MsgspecError as error:
            detail = f'unusable answer: {type(error).__name__}'
            return result.Err(engines.EngineError(detail))
