"""Why no chain was found: the layers for which nobody has room."""

from typing import AbstractSet, Mapping

import attrs

from dunlintide_core.pipeline import chaincosts
from dunlintide_core.pipeline import chains
from dunlintide_core.pipeline import chaintable
from dunlintide_core.pipeline import occupancy
from dunlintide_core.pipeline import regions

__all__ = [
    'Bottleneck',
    'find_bottlenecks',
]


@attrs.frozen
class Bottleneck:
    """Layers that no endpoint takes now.

    :ivar start: first layer
    :ivar end: layer behind the last one
    :ivar holders: names of the endpoints in use that hold them
    """

    start: int
    end: int
    holders: tuple[str, ...]

    def __str__(self) -> str:
        return f'{self.start}-{self.end} of {len(self.holders)} holders'


def find_bottlenecks(
    table: chaintable.ChainTable,
    region: regions.Region,
    demand: chains.Demand,
    usages: Mapping[str, occupancy.Usage],
    unusable: AbstractSet[str] = frozenset(),
) -> list[Bottleneck]:
    """List the layers that no endpoint has room for.

    :param region: endpoints of the table that are looked at
    :returns: none if each layer has room somewhere; then first endpoints
        lack places, or a pipe is full
    """
    times = chaincosts.LayerTimes.from_demand(table.profile, demand)
    weights = table.engines.weigh(times, demand.tokens, usages, unusable)
    found = []
    for segment, holders in enumerate(region.holders):
        start, end = region.cuts[segment : segment + 2]
        if any(weights.rooms[index] >= end - start for index in holders):
            continue
        names = (region.engines[index].name for index in holders)
        usable = tuple(name for name in names if name not in unusable)
        found.append(Bottleneck(start, end, usable))
    return found
