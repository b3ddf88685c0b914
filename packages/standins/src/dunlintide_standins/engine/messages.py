"""Messages of the engine's HTTP interface (docs/design/ports.md)."""

import array
import enum
import sys

import msgspec

__all__ = [
    'ErrorCode',
    'HoldingStatus',
    'Order',
    'Result',
    'State',
    'Step',
    'Steps',
    'Token',
    'build_failure',
    'pack',
    'unpack',
]

ACTIVATION_BYTES = 8


class ErrorCode(enum.StrEnum):
    """Reason why a step did not run."""

    BAD_STEP = 'bad-step'
    INJECTED = 'injected'
    LAYERS = 'layers'
    KV_FULL = 'kv-full'
    KV_WAIT = 'kv-wait'
    POSITION = 'position'
    STALE_EPOCH = 'stale-epoch'


class Step(msgspec.Struct):
    """Request to run the layers over a span of positions of a session."""

    session: str
    epoch: int = 1
    member: str = ''
    idempotency_key: str = ''
    cache_salt: str = ''
    priority: int = 1
    position: int = 0
    prompt: str | None = None
    tokens: list[int] | None = None
    activations: bytes | None = None
    last_stage: bool = False
    max_tokens: int = 1
    prompt_tokens: int = 0
    truncate: bool = False
    layers: tuple[int, int] | None = None


class Steps(msgspec.Struct):
    """Steps of one call."""

    steps: list[Step]


class Token(msgspec.Struct):
    """A sampled token."""

    id: int
    text: str
    finish_reason: str | None


class Result(msgspec.Struct, omit_defaults=True):
    """Result of a step.

    :ivar count: number of positions that were run; it has no default, so
        that ``omit_defaults`` never leaves it out
    """

    session: str
    epoch: int
    position: int
    count: int
    activations: bytes | None = None
    token: Token | None = None
    error: ErrorCode | None = None


class Order(msgspec.Struct):
    """Order to load the layers ``[layer_start, layer_end)`` of a model.

    :ivar fence: fencing number of the leader that sent it
    """

    fence: int
    model: str
    version: str
    layer_start: int
    layer_end: int
    layer_count: int = 0


class HoldingStatus(msgspec.Struct):
    """The loaded layers and the highest fencing number received."""

    model: str
    version: str
    layer_start: int
    layer_end: int
    layer_count: int
    fence: int
    loading: bool


class State(msgspec.Struct):
    """Exported KV state of a session."""

    model: str
    version: str
    layer_start: int
    layer_end: int
    epoch: int
    position: int
    prompt_tokens: int
    layers: list[int]
    inputs: list[int]


def build_failure(step: Step, code: ErrorCode) -> Result:
    """Build the result of a step that did not run."""
    return Result(step.session, step.epoch, step.position, 0, error=code)


def _as_little_endian(values: array.array) -> array.array:
    if sys.byteorder == 'big':
        values.byteswap()
    return values


def pack(activations: list[int]) -> bytes:
    """Encode activations, 8 bytes a position, little-endian."""
    return _as_little_endian(array.array('Q', activations)).tobytes()


def unpack(data: bytes) -> list[int]:
    """Decode activations.

    :raises ValueError: if the size is not a multiple of 8 bytes
    """
    return _as_little_endian(array.array('Q', data)).tolist()
