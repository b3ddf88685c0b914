"""Published cost model of engines: steps, memory and links."""

from typing import Mapping

import attrs

__all__ = [
    'Accelerator',
    'EngineProfile',
    'ServiceProfile',
]

_BITS_PER_BYTE = 8
_MS_PER_SECOND = 1000.0
_BYTES_PER_MB = 1e6


@attrs.frozen
class Accelerator:
    """One kind of card.

    :ivar memory_mb: memory for layers and for requests together
    :ivar step_factor: time of a step relative to the published one
    :ivar read_factor: time of reading a prompt relative to the published one
    """

    name: str
    memory_mb: float
    step_factor: float
    read_factor: float


@attrs.frozen
class EngineProfile:
    """Cost model of the engines of one service.

    Times are for all layers on a card of factor 1; a range of layers takes its
    proportion of them.

    :ivar layers: layers of the model, numbered from 0
    :ivar layer_mb: memory of one layer
    :ivar token_bytes: KV cache of one token over all layers
    :ivar step_ms: fixed time of one token step
    :ivar sequence_ms: time that each sequence in a batch adds to a step
    :ivar context_ms: time that 1,000 tokens of context add to a step
    :ivar read_per_second: prompt tokens read per second
    :ivar slots: sequences that a first endpoint takes at once
    :ivar stride: steps of a pass, the minimum number of tokens between two
        events
    :ivar activation_bytes: size of the activations of one token
    :ivar link_mbps: bandwidth of an endpoint's own link
    :ivar pipe_mbps: shared bandwidth between two failure domains
    :ivar load_seconds: time to load all layers without concurrent loads
    :ivar loads_at_once: concurrent loads beyond which each slows down
    :ivar usual_prompt: mean prompt, in tokens
    :ivar usual_answer: mean answer, in tokens
    :ivar accelerators: kinds of card by name
    :ivar delays_ms: one-way delay between two failure domains
    """

    layers: int
    layer_mb: float
    token_bytes: float
    step_ms: float
    sequence_ms: float
    context_ms: float
    read_per_second: float
    slots: int
    stride: int
    activation_bytes: float
    link_mbps: float
    pipe_mbps: float
    load_seconds: float
    loads_at_once: int
    usual_prompt: int
    usual_answer: int
    accelerators: Mapping[str, Accelerator]
    delays_ms: Mapping[tuple[str, str], float]

    def count_max_layers(self, kind: str) -> int:
        """Return how many layers fit into a card's memory, 0 if unknown."""
        card = self.accelerators.get(kind)
        return int(card.memory_mb // self.layer_mb) if card else 0

    def can_hold(self, kind: str, start: int, end: int) -> bool:
        """Return whether a card can hold a range of the model's layers.

        A listed range may be well-formed and still impossible; a range beyond
        the last layer would make the search for chains fail.
        """
        within = 0 <= start <= end <= self.layers
        return within and end - start <= self.count_max_layers(kind)

    def get_cache_capacity(self, kind: str, held: int) -> float:
        """Return the memory for requests, in tokens times layers.

        :param held: number of layers that the card holds
        """
        card = self.accelerators.get(kind)
        if card is None:
            return 0.0
        free_mb = card.memory_mb - held * self.layer_mb
        return free_mb * _BYTES_PER_MB / (self.token_bytes / self.layers)

    def get_transfer_ms(self, tokens: float, across: bool) -> float:
        """Return the transfer time of activations to the next endpoint, in ms.

        :param across: whether they leave the failure domain
        """
        mbps = self.pipe_mbps if across else self.link_mbps
        if not mbps:
            return 0.0
        bits = tokens * self.activation_bytes * _BITS_PER_BYTE
        return bits / (mbps * _BYTES_PER_MB) * _MS_PER_SECOND

    def get_delay_ms(self, one: str, other: str) -> float:
        """Return the one-way delay between two failure domains, in ms."""
        found = self.delays_ms.get((one, other))
        if found is None:
            found = self.delays_ms.get((other, one), 0.0)
        return found


@attrs.frozen
class ServiceProfile:
    """A service that requests are routed to.

    :ivar health_path: path of its health check
    :ivar max_connections: maximum number of connections to each endpoint
    :ivar engine: cost model of its engines, None for a plain service
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineProfile | None = None
