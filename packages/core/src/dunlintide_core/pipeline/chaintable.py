"""Choice of the chain of engines that serves one request.

A chain within one failure domain is preferred to any other, since the pipes
between domains are narrow and shared. Each domain is therefore searched
separately, and all of them together only if no domain has capacity.
"""

import functools
import math
import types
from typing import AbstractSet, Callable, Iterable, Mapping

import attrs

from dunlintide_core.pipeline import chaincosts
from dunlintide_core.pipeline import chains
from dunlintide_core.pipeline import chainsearch
from dunlintide_core.pipeline import endpoints as endpoints_module
from dunlintide_core.pipeline import occupancy
from dunlintide_core.pipeline import profiles
from dunlintide_core.pipeline import regions

__all__ = ['ChainTable']

_NO_NAMES: frozenset[str] = frozenset()


@attrs.frozen(eq=False)
class ChainTable:
    """Engines of a service, prepared for choosing chains.

    :ivar profile: cost model of the engines
    :ivar engines: the engines that hold layers
    :ivar domains: engines of each failure domain that holds all layers
    :ivar min_times: lower bounds on the time of chains within these domains
    :ivar all_domains: engines of all failure domains
    """

    profile: profiles.EngineProfile
    engines: regions.EngineSet
    domains: Mapping[str, regions.Region]
    min_times: Mapping[str, regions.MinTimes]
    all_domains: regions.Region

    @classmethod
    def from_engines(
        cls,
        profile: profiles.EngineProfile,
        engines: Iterable[endpoints_module.Endpoint],
    ) -> 'ChainTable':
        """Prepare the engines of a listing.

        :param engines: engines that are listed and not draining
        """
        chosen = regions.EngineSet.from_engines(profile, engines)
        names = sorted({each.domain for each in chosen.engines})
        make = functools.partial(
            regions.Region.from_domains, chosen.engines, layers=profile.layers
        )
        built = {name: make([name]) for name in names}
        complete = {
            name: each for name, each in built.items() if each.is_complete
        }
        min_times = {
            name: chosen.find_min_times(each.list_layer_holders())
            for name, each in complete.items()
        }
        return cls(profile, chosen, complete, min_times, make(names))

    def make_region(self, domain: str) -> regions.Region:
        """Prepare the engines of one domain, even if it lacks layers."""
        return regions.Region.from_domains(
            self.engines.engines, [domain], self.profile.layers
        )

    def choose(
        self,
        demand: chains.Demand,
        usages: Mapping[str, occupancy.Usage],
        unusable: AbstractSet[str] = _NO_NAMES,
        avoids_pipes: bool = True,
        paces: Mapping[str, float] = types.MappingProxyType({}),
        reserved: float = 0.0,
    ) -> chains.Hops | None:
        """Return the chain with the least expected time, None if all are full.

        :param usages: usage of engines and of pipes, by name
        :param unusable: names of engines that get no request now
        :param avoids_pipes: whether a chain crosses a pipe only where no other
            has capacity
        :param paces: measured time of work as a multiple of the published one,
            of slow engines, by name
        :param reserved: fraction of the memory and of the first slots that is
            kept for more urgent requests
        """
        times = chaincosts.LayerTimes.from_demand(self.profile, demand)
        crossing = chaincosts.make_handoff_cost(
            self.profile, demand, usages, avoids_pipes
        )

        weights = self.engines.make_unusable_weights(usages, reserved)
        weighed_engines: set[int] = set()

        def find(
            region: regions.Region, max_cost: float = math.inf
        ) -> chainsearch.Path | None:
            members = region.members.difference(weighed_engines)
            weighed_engines.update(members)
            self.engines.weigh_members(
                weights,
                members,
                times,
                demand.tokens,
                usages,
                unusable,
                reserved,
            )
            self.engines.apply_paces(weights, members, paces)
            return chainsearch.find_path(
                region, weights, crossing, demand.domain, max_cost
            )

        best = None
        if avoids_pipes:
            best = self._find_within_domain(demand.domain, times, find)
        if best is None and self.all_domains.is_complete:
            best = find(self.all_domains)
        return best.hops if best else None

    def _find_within_domain(
        self,
        domain: str,
        times: chaincosts.LayerTimes,
        find: Callable[..., chainsearch.Path | None],
    ) -> chainsearch.Path | None:
        """Return the best chain that stays within one failure domain.

        :param domain: failure domain of the caller
        :param find: takes a region and the cost from which on a chain is
            discarded
        """
        own = self.domains.get(domain)
        best = find(own) if own else None
        max_cost = math.inf
        if best is not None:
            max_cost = best.cost / chaincosts.OTHER_DOMAIN_FACTOR
        for name, region in self.domains.items():
            # A domain is skipped if even its idle engines would be slower
            # than the best chain so far.
            if region is own or self.min_times[name].bound(times) >= max_cost:
                continue
            found = find(region, max_cost)
            if found is not None:
                best, max_cost = found, found.cost
        return best
