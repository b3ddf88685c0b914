"""Why no chain was found: the layers for which nobody has room."""

from typing import Callable, Sequence

import attrs

from dunlintide_core.pipeline import chains
from dunlintide_core.pipeline import endpoints as endpoints_module

__all__ = [
    'Scarce',
    'find_scarce',
]


@attrs.frozen
class Scarce:
    """Layers that no endpoint takes now.

    :ivar start: first layer
    :ivar end: layer behind the last one
    :ivar holders: endpoints in use that hold them
    """

    start: int
    end: int
    holders: int

    def __str__(self) -> str:
        return f'{self.start}-{self.end} of {self.holders} holders'


def find_scarce(
    layers: int,
    candidates: Sequence[endpoints_module.Endpoint],
    get_load: Callable[[endpoints_module.Endpoint], chains.Load],
    tokens: int,
) -> list[Scarce]:
    """List the layers that no endpoint has room for.

    :param layers: layers of the model
    :param tokens: memory that a request takes, in tokens
    :returns: none if each layer has room somewhere; then first endpoints
        lack places, or a pipe is full
    """
    rooms = {each.name: get_load(each).room / tokens for each in candidates}
    cuts = chains.cut_layers(candidates, layers)
    found = []
    for start, end in zip(cuts, cuts[1:]):
        holders = [
            each
            for each in candidates
            if each.start <= start and each.end >= end
        ]
        if not any(rooms[each.name] >= end - start for each in holders):
            found.append(Scarce(start, end, len(holders)))
    return found
