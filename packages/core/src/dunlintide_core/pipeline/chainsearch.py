"""Shortest-path search for the chain with the least expected time.

Layers are cut into segments at every layer where some engine's range begins or
ends. The search extends the cheapest routes to each failure domain segment by
segment. It does not check whether a route uses an engine twice, which engines
do not accept; such a route is rare. If the search finds one, it searches
again, once with each exclusion that removes the repetition.
"""

import math
from typing import AbstractSet, Mapping

import attrs

from dunlintide_core.pipeline import chaincosts
from dunlintide_core.pipeline import chains
from dunlintide_core.pipeline import endpoints as endpoints_module
from dunlintide_core.pipeline import regions

__all__ = ['Path', 'find_path']

# Limit on the searches for one chain. Each excludes one use of an engine, and
# a second search is hardly ever needed.
MAX_SEARCHES = 64


@attrs.frozen
class Path:
    """A chain and its expected time.

    :ivar cost: expected time in ms, with a surcharge where memory is scarce
    """

    cost: float
    hops: chains.Hops


# Best route to the end of a segment: its cost, the index of the engine that
# runs the segment, the first layer of that engine's hop and the route to that
# layer. Routes and hops are plain tuples, since each choice creates hundreds.
_Route = tuple[float, int, int, '_Route | None']
# A hop that an engine has begun: the cost of the route to it minus the
# engine's rate times the hop's first layer, so that the cost at any layer is
# this base plus the rate times the layer; its first layer; and the route to
# that layer.
_OpenHop = tuple[float, int, '_Route | None']
# Routes to the end of a segment by index of the failure domain, the two
# cheapest of each: an engine cannot follow itself.
_DomainRoutes = list[list[_Route]]
# Engines that must not run a segment, by segment.
_Exclusions = Mapping[int, frozenset[int]]
_NO_HOP: _OpenHop = (math.inf, 0, None)
_NO_ENGINE = -1
_NO_ENGINES: frozenset[int] = frozenset()


class _Search:
    """One pass over the segments of a region for one request."""

    def __init__(
        self,
        region: regions.Region,
        weights: regions.Weights,
        crossings: list[list[float]],
        remaining_costs: list[float],
        excluded: _Exclusions,
    ) -> None:
        """Prepare a search.

        :param crossings: handoff cost, by indices of the two failure domains
        :param remaining_costs: lower bound of the cost from each cut to the
            end
        :param excluded: engines that must not run a segment, by segment
        """
        self._region = region
        self._remaining_costs = remaining_costs
        self._weights = weights
        self._crossings = crossings
        self._excluded = excluded
        self._open_hops = [_NO_HOP] * len(region.engines)
        # Open hops of engines that lack memory for all their layers, ordered
        # by increasing begin and base: a later hop is used once memory is
        # too short for those before it.
        self._limited_hops: dict[int, list[_OpenHop]] = {}

    def find(self, entry_costs: list[float], bound: float) -> _Route | None:
        """Find the cheapest route through all layers.

        :param entry_costs: cost of beginning in a domain, by its index
        :param bound: cost from which on a route is discarded
        """
        arrivals: list[_Route | None] = [
            (cost, _NO_ENGINE, 0, None) for cost in entry_costs
        ]
        routes = self._extend(0, arrivals, self._weights.full, [])
        for segment in range(1, len(self._region.holders)):
            min_cost = min(
                [pair[0][0] for pair in routes if pair], default=math.inf
            )
            if min_cost + self._remaining_costs[segment] >= bound:
                return None
            arrivals = self._find_arrivals(routes)
            routes = self._extend(segment, arrivals, _NO_ENGINES, routes)
        best = min((pair[0] for pair in routes if pair), default=None)
        return best if best is not None and best[0] < bound else None

    def _find_arrivals(self, routes: _DomainRoutes) -> list[_Route | None]:
        """Return the cheapest route to each domain, with the handoff cost."""
        best_routes = [
            (source, pair[0]) for source, pair in enumerate(routes) if pair
        ]
        if not best_routes:
            return [None] * len(routes)
        arrivals: list[_Route | None] = []
        for domain in range(len(routes)):
            cost, source = min(
                (route[0] + self._crossings[source][domain], source)
                for source, route in best_routes
            )
            route = routes[source][0] if cost < math.inf else None
            arrivals.append((cost, *route[1:]) if route else None)
        return arrivals

    def _find_arrival_without(
        self, routes: _DomainRoutes, domain: int, excluded_engine: int
    ) -> _Route | None:
        """Return the cheapest route to a domain from other engines than one.

        :param excluded_engine: index of the engine
        """
        min_cost, best = math.inf, None
        for source, pair in enumerate(routes):
            for route in pair:
                if route[1] != excluded_engine:
                    cost = route[0] + self._crossings[source][domain]
                    if cost < min_cost:
                        min_cost, best = cost, route
                    break
        return (min_cost, *best[1:]) if best else None

    def _extend(
        self,
        segment: int,
        arrivals: list[_Route | None],
        full: AbstractSet[int],
        routes: _DomainRoutes,
    ) -> _DomainRoutes:
        """Extend the best routes by one segment.

        :param arrivals: cheapest route to the segment's begin, by domain
        :param full: engines on which no further chain may begin
        :param routes: routes to the segment's begin
        """
        region, parts = self._region, self._open_hops
        rates, rooms = self._weights.rates, self._weights.rooms
        begin, end = region.cuts[segment], region.cuts[segment + 1]
        length = end - begin
        excluded = self._excluded.get(segment, _NO_ENGINES) | full
        found: _DomainRoutes = [[] for _ in arrivals]
        for engine in region.holders[segment]:
            room = rooms[engine]
            if room < length or engine in excluded:
                parts[engine] = _NO_HOP
                self._limited_hops.pop(engine, None)
                continue
            domain, rate = region.domain_indices[engine], rates[engine]
            route = arrivals[domain]
            if route is not None and route[1] == engine:
                route = self._find_arrival_without(routes, domain, engine)
            part = parts[engine]
            if room < region.lengths[engine]:
                part = self._choose_limited_hop(engine, route, begin, end)
            elif route is not None and route[0] - rate * begin < part[0]:
                prior = route if segment else None
                part = parts[engine] = (route[0] - rate * begin, begin, prior)
            cost = part[0] + rate * end
            best = found[domain]
            if cost < math.inf and (len(best) < 2 or cost < best[1][0]):
                _insert_route(best, (cost, engine, part[1], part[2]))
        return found

    def _choose_limited_hop(
        self, engine: int, route: _Route | None, begin: int, end: int
    ) -> _OpenHop:
        """Return the best open hop that an engine short of memory can extend.

        :param route: cheapest route to the begin of the segment, if any
        """
        open_hops = self._limited_hops.setdefault(engine, [])
        if route is not None:
            base = route[0] - self._weights.rates[engine] * begin
            while open_hops and open_hops[-1][0] > base:
                del open_hops[-1]
            open_hops.append((base, begin, route if begin else None))
        room = self._weights.rooms[engine]
        while open_hops and end - open_hops[0][1] > room:
            del open_hops[0]
        return open_hops[0] if open_hops else _NO_HOP


def _insert_route(best: list[_Route], route: _Route) -> None:
    """Insert a route that is one of the two cheapest."""
    if best and route[0] >= best[0][0]:
        best[1:] = [route]
    else:
        best[:] = [route, *best[:1]]


def _list_parts(route: _Route, layers: int) -> list[tuple[int, int, int]]:
    """List engine index, first layer and end of each hop of a route."""
    parts = []
    current: _Route | None = route
    end = layers
    while current is not None:
        _, engine, begin, current = current
        parts.append((engine, begin, end))
        end = begin
    parts.reverse()
    return parts


def _find_repeated_engine(
    parts: list[tuple[int, int, int]],
) -> tuple[int, int, int] | None:
    """Return an engine with two hops, its first begin and its last end."""
    seen: dict[int, int] = {}
    for engine, begin, end in parts:
        if engine in seen:
            return engine, seen[engine], end
        seen[engine] = begin
    return None


def _exclude_repeat(
    region: regions.Region, repeat: tuple[int, int, int]
) -> list[_Exclusions]:
    """List the exclusions that each make an engine run in one piece.

    The engine is excluded from the first segment of its first hop, or from the
    last segment of its last hop, or all other engines are excluded in between.

    :param repeat: engine, begin of its first hop, end of its last hop
    """
    engine, begin, end = repeat
    first = region.cuts.index(begin)
    last = region.cuts.index(end) - 1
    only = frozenset({engine})
    alone = {
        segment: frozenset(region.holders[segment]) - only
        for segment in range(first, last + 1)
    }
    return [{first: only}, {last: only}, alone]


def _merge_exclusions(excluded: _Exclusions, more: _Exclusions) -> _Exclusions:
    """Return the union of two sets of exclusions."""
    merged = dict(excluded)
    for segment, holders in more.items():
        merged[segment] = merged.get(segment, _NO_ENGINES) | holders
    return merged


def _make_path(
    region: regions.Region, cost: float, parts: list[tuple[int, int, int]]
) -> Path:
    """Convert hops of engine indices to a path."""
    hops = tuple(
        endpoints_module.Hop(region.engines[engine], begin, end)
        for engine, begin, end in parts
    )
    return Path(cost, hops)


def find_path(
    region: regions.Region,
    weights: regions.Weights,
    crossing: chaincosts.HandoffCost,
    entry: str,
    bound: float = math.inf,
) -> Path | None:
    """Return the chain with the least expected time, None if there is none.

    A chain of more hops than engines accept is discarded.

    :param crossing: cost of a handoff between two failure domains, in ms
    :param entry: failure domain in which a chain begins without a penalty
    :param bound: cost from which on a chain is discarded, in ms
    """
    domains = region.domains
    entry_costs = [
        0.0 if name == entry else chaincosts.REMOTE_ENTRY_PENALTY_MS
        for name in domains
    ]
    crossings = [
        [crossing(source, domain) for domain in domains] for source in domains
    ]
    remaining_costs = region.bound(weights, min(map(min, crossings)))
    if min(entry_costs) + remaining_costs[0] >= bound:
        return None
    pending: list[_Exclusions] = [{}]
    best: Path | None = None
    for _ in range(MAX_SEARCHES):
        if not pending:
            break
        excluded = pending.pop()
        search = _Search(region, weights, crossings, remaining_costs, excluded)
        route = search.find(entry_costs, best.cost if best else bound)
        if route is None:
            continue
        parts = _list_parts(route, region.cuts[-1])
        repeat = _find_repeated_engine(parts)
        if repeat is not None:
            exclusions = _exclude_repeat(region, repeat)
            pending += [
                _merge_exclusions(excluded, more) for more in exclusions
            ]
        elif len(parts) <= chains.MAX_HOPS:
            best = _make_path(region, route[0], parts)
    return best
