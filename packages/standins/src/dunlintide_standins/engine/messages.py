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
    """Why a step didn't run."""

    BAD_STEP = 'bad-step'
    INJECTED = 'injected'
    LAYERS = 'layers'
    KV_FULL = 'kv-full'
    KV_WAIT = 'kv-wait'
    POSITION = 'position'
    STALE_EPOCH = 'stale-epoch'


class Step(msgspec.Struct):
    """Work on one span of positions of a session."""

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
    """What became of a step."""

    session: str
    epoch: int
    position: int
    # Always sent, so without a default that would be left out.
    count: int
    activations: bytes | None = None
    token: Token | None = None
    error: ErrorCode | None = None


class Order(msgspec.Struct):
    """Order to hold a range of layers of a model version."""

    fence: int
    model: str
    version: str
    layer_start: int
    layer_end: int
    layer_count: int = 0


class HoldingStatus(msgspec.Struct):
    """What the engine holds and the highest fencing number it has seen."""

    model: str
    version: str
    layer_start: int
    layer_end: int
    layer_count: int
    fence: int
    loading: bool


class State(msgspec.Struct):
    """KV state of a session, as exported."""

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
    """Build the result of a step that didn't run."""
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

    :raises ValueError: when the size is no multiple of 8 bytes
    """
    return _as_little_endian(array.array('Q', data)).tolist()
