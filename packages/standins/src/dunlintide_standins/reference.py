"""Arithmetic of the stand-in models, and the output to expect of them.

The activation of a position is one 64-bit number. Each layer mixes its
input with its KV state, a hash of its earlier inputs, so that a token
depends on every layer having run exactly once, in order, on every position.
"""

import functools

import attrs
import xxhash

__all__ = [
    'Token',
    'compute_first_activation',
    'embed',
    'expected_tokens',
    'get_layer_weights',
    'make_token',
    'run_layers',
    'tokenize',
]

LENGTH = 'length'
STOP = 'stop'

_MASK = (1 << 64) - 1
_MIX_STATE = 0x9E3779B97F4A7C15
_MIX_OUTPUT = 0xBF58476D1CE4E5B9
_MIX_EMBEDDING = 0x94D049BB133111EB
_FOLD_BITS = 29
_ID_BITS = 32
_WORDS = (
    'today',
    'fresh',
    'peach',
    'cobbler',
    'brisket',
    'warm',
    'cold',
    'feed',
    'diesel',
    'choir',
    'fridge',
    'drum',
    'pump',
    'repair',
    'claim',
    'open',
)


@attrs.frozen
class Token:
    """A generated token.

    :ivar finish_reason: ``length`` or ``stop`` on the last token
    """

    id: int
    text: str
    finish_reason: str | None = None


def tokenize(prompt: str) -> list[int]:
    """Return a token id for each word; an empty prompt has one token."""
    words = prompt.split() or ['']
    return [xxhash.xxh64_intdigest(word.encode()) for word in words]


def embed(token_ids: list[int]) -> list[int]:
    """Return the input activations of the first layer."""
    return [(token * _MIX_EMBEDDING + 1) & _MASK for token in token_ids]


@functools.lru_cache(maxsize=64)
def get_layer_weights(
    model: str, version: str, start: int, end: int
) -> tuple[int, ...]:
    """Return the weights of the layers ``[start, end)``, one number each."""
    return tuple(
        xxhash.xxh64_intdigest(f'{model}\0{version}\0{layer}'.encode())
        for layer in range(start, end)
    )


def _run_layer(weight: int, state: int, values: list[int]) -> int:
    for index, value in enumerate(values):
        mixed = ((value ^ state) * _MIX_OUTPUT + weight) & _MASK
        values[index] = mixed ^ (mixed >> _FOLD_BITS)
        state = (state * _MIX_STATE + value) & _MASK
    return state


def run_layers(
    weights: tuple[int, ...], states: list[int], activations: list[int]
) -> list[int]:
    """Run layers over a span of positions.

    :param weights: weights of the layers, in order
    :param states: KV state of each layer, changed in place
    :returns: output activations of the last layer
    """
    values = list(activations)
    for layer, weight in enumerate(weights):
        states[layer] = _run_layer(weight, states[layer], values)
    return values


def compute_first_activation(
    word: str, model: str, version: str, layers: int
) -> int:
    """Return the output activation of a prompt's first word.

    :param layers: number of layers to run, from the first
    """
    weights = get_layer_weights(model, version, 0, layers)
    inputs = embed(tokenize(word))
    return run_layers(weights, [0] * layers, inputs)[0]


def make_token(
    activation: int, index: int, max_tokens: int, stop_modulus: int = 0
) -> Token:
    """Build the token for an output activation of the last layer.

    :param index: index of the token among the generated ones, from 0
    :param stop_modulus: ids divisible by it end the output, 0 for none
    """
    token_id = activation >> (64 - _ID_BITS)
    # The text includes the id, so that a mix-up of requests is detected.
    text = f' {_WORDS[token_id % len(_WORDS)]}-{token_id:08x}'
    reason = None
    if stop_modulus and token_id % stop_modulus == 0:
        reason = STOP
    elif index + 1 >= max_tokens:
        reason = LENGTH
    return Token(token_id, text, reason)


def expected_tokens(
    prompt: str,
    max_tokens: int,
    layers: int,
    model: str,
    *,
    version: str = '1',
    stop_modulus: int = 0,
) -> list[Token]:
    """Return the tokens that a correct run of all layers yields.

    :param layers: number of layers of the model
    """
    weights = get_layer_weights(model, version, 0, layers)
    states = [0] * layers
    span = tokenize(prompt)
    tokens: list[Token] = []
    while not tokens or tokens[-1].finish_reason is None:
        final = run_layers(weights, states, embed(span))[-1]
        token = make_token(final, len(tokens), max_tokens, stop_modulus)
        tokens.append(token)
        span = [token.id]
    return tokens
