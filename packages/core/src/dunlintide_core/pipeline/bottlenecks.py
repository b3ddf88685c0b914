"""Layers without free capacity, which explain why no chain was found."""

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
    """A range of layers that no endpoint can take.

    :ivar start: first layer
    :ivar end: layer behind the last one
    :ivar holders: names of the usable endpoints that hold the range
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
    """List the ranges of layers for which no endpoint has free capacity.

    :param region: endpoints of the table to examine
    :param usages: usage of endpoints, by name
    :param unusable: names of endpoints that get no request
    :returns: empty if every layer has free capacity somewhere; then all first
        endpoints lack slots, or a pipe is full
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
