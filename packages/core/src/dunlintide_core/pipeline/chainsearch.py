"""Shortest path over segments of layers: the chain with the least time.

The search extends, segment by segment, the cheapest ways to each failure
domain. It does not look whether a way uses an engine twice, which no engine
accepts; such a way is rare, and then the search is repeated with each of the
ways out of it closed in turn.
"""

import math
from typing import AbstractSet, Mapping

import attrs

from dunlintide_core.pipeline import chaincosts
from dunlintide_core.pipeline import chains
from dunlintide_core.pipeline import endpoints as endpoints_module
from dunlintide_core.pipeline import regions

__all__ = ['Path', 'find_path']

# Searches for one chain. Each rules out one use of an engine, and a second
# one is hardly ever needed.
MAX_SEARCHES = 64


@attrs.frozen
class Path:
    """A chain and its expected time.

    :ivar cost: in ms, dearer where memory is scarce
    """

    cost: float
    hops: chains.Hops


# Best way to the end of a segment: its cost, the index of the engine that
# runs the segment, the first layer of that engine's part and the way to that
# layer. Ways and parts are plain tuples, as a choice makes hundreds of them.
_Way = tuple[float, int, int, '_Way | None']
# A part that an engine has begun: the cost of the way to it less that of all
# layers before it, so that the cost at any layer is this and the engine's
# rate times it; its first layer; and the way to that layer.
_Part = tuple[float, int, '_Way | None']
# Ways to the end of a segment by index of the failure domain, the two
# cheapest of each: an engine can't follow upon itself.
_Ends = list[list[_Way]]
# Engines that are not to run a segment, by segment.
_Closed = Mapping[int, frozenset[int]]
_NEVER: _Part = (math.inf, 0, None)
_CALLER = -1
_NO_ONE: frozenset[int] = frozenset()


class _Search:
    """One pass over the segments of a region for one request."""

    def __init__(
        self,
        region: regions.Region,
        weights: regions.Weights,
        crossings: list[list[float]],
        rest: list[float],
        closed: _Closed,
    ) -> None:
        """Begin a search.

        :param crossings: cost of passing on, by indices of the two domains
        :param rest: what the way from each cut to the end costs at least
        :param closed: uses of engines that are ruled out
        """
        self._region = region
        self._rest = rest
        self._weights = weights
        self._crossings = crossings
        self._closed = closed
        self._parts = [_NEVER] * len(region.engines)
        # Parts begun by engines whose memory is short for all their layers,
        # of increasing begin and base: a later one counts once memory is
        # too short for those before it.
        self._short: dict[int, list[_Part]] = {}

    def find(self, entries: list[float], bound: float) -> _Way | None:
        """Find the cheapest way through all layers.

        :param entries: cost of beginning in a domain, by its index
        :param bound: cost from which on a way is of no use
        """
        arrivals: list[_Way | None] = [
            (cost, _CALLER, 0, None) for cost in entries
        ]
        ends = self._extend(0, arrivals, self._weights.full, [])
        for segment in range(1, len(self._region.holders)):
            least = min(
                [ways[0][0] for ways in ends if ways], default=math.inf
            )
            if least + self._rest[segment] >= bound:
                return None
            arrivals = self._arrive_at(ends)
            ends = self._extend(segment, arrivals, _NO_ONE, ends)
        best = min((ways[0] for ways in ends if ways), default=None)
        return best if best is not None and best[0] < bound else None

    def _arrive_at(self, ends: _Ends) -> list[_Way | None]:
        """Give the cheapest way to each domain, passing on included."""
        firsts = [
            (source, ways[0]) for source, ways in enumerate(ends) if ways
        ]
        if not firsts:
            return [None] * len(ends)
        arrivals: list[_Way | None] = []
        for domain in range(len(ends)):
            cost, source = min(
                (way[0] + self._crossings[source][domain], source)
                for source, way in firsts
            )
            way = ends[source][0] if cost < math.inf else None
            arrivals.append((cost, *way[1:]) if way else None)
        return arrivals

    def _arrive_but(self, ends: _Ends, domain: int, but: int) -> _Way | None:
        """Give the cheapest way to a domain on which an engine is not last.

        :param but: index of the engine
        """
        least, best = math.inf, None
        for source, ways in enumerate(ends):
            for way in ways:
                if way[1] != but:
                    cost = way[0] + self._crossings[source][domain]
                    if cost < least:
                        least, best = cost, way
                    break
        return (least, *best[1:]) if best else None

    def _extend(
        self,
        segment: int,
        arrivals: list[_Way | None],
        full: AbstractSet[int],
        ends: _Ends,
    ) -> _Ends:
        """Extend the best ways by one segment.

        :param arrivals: cheapest way to its begin, by domain
        :param full: engines at which no chain may begin
        :param ends: ways to its begin
        """
        region, parts = self._region, self._parts
        rates, rooms = self._weights.rates, self._weights.rooms
        begin, end = region.cuts[segment], region.cuts[segment + 1]
        length = end - begin
        closed = self._closed.get(segment, _NO_ONE) | full
        found: _Ends = [[] for _ in arrivals]
        for holder in region.holders[segment]:
            room = rooms[holder]
            if room < length or holder in closed:
                parts[holder] = _NEVER
                self._short.pop(holder, None)
                continue
            domain, rate = region.places[holder], rates[holder]
            way = arrivals[domain]
            if way is not None and way[1] == holder:
                way = self._arrive_but(ends, domain, holder)
            part = parts[holder]
            if room < region.lengths[holder]:
                part = self._choose_short(holder, way, begin, end)
            elif way is not None and way[0] - rate * begin < part[0]:
                before = way if segment else None
                part = parts[holder] = (way[0] - rate * begin, begin, before)
            cost = part[0] + rate * end
            best = found[domain]
            if cost < math.inf and (len(best) < 2 or cost < best[1][0]):
                _insert(best, (cost, holder, part[1], part[2]))
        return found

    def _choose_short(
        self, holder: int, way: _Way | None, begin: int, end: int
    ) -> _Part:
        """Find the best part to go on with where memory is short.

        :param way: cheapest way to the begin of the segment, if any
        """
        begun = self._short.setdefault(holder, [])
        if way is not None:
            base = way[0] - self._weights.rates[holder] * begin
            while begun and begun[-1][0] > base:
                del begun[-1]
            begun.append((base, begin, way if begin else None))
        room = self._weights.rooms[holder]
        while begun and end - begun[0][1] > room:
            del begun[0]
        return begun[0] if begun else _NEVER


def _insert(best: list[_Way], way: _Way) -> None:
    """Take in a way that is one of the two cheapest."""
    if best and way[0] >= best[0][0]:
        best[1:] = [way]
    else:
        best[:] = [way, *best[:1]]


def _trace(way: _Way, layers: int) -> list[tuple[int, int, int]]:
    """List index, first layer and end of each part of a way."""
    parts = []
    current: _Way | None = way
    end = layers
    while current is not None:
        _, holder, begin, current = current
        parts.append((holder, begin, end))
        end = begin
    parts.reverse()
    return parts


def _find_repeat(
    parts: list[tuple[int, int, int]],
) -> tuple[int, int, int] | None:
    """Find an engine with two parts: its index, the first begin, the end."""
    seen: dict[int, int] = {}
    for holder, begin, end in parts:
        if holder in seen:
            return holder, seen[holder], end
        seen[holder] = begin
    return None


def _close_ways(
    region: regions.Region, repeat: tuple[int, int, int]
) -> list[_Closed]:
    """List what to rule out so that an engine is used in one piece.

    It is left out where its first part begins, or where its last one ends,
    or else it runs all between alone.

    :param repeat: engine, begin of its first part, end of its last one
    """
    holder, begin, end = repeat
    first = region.cuts.index(begin)
    last = region.cuts.index(end) - 1
    one = frozenset({holder})
    alone = {
        segment: frozenset(region.holders[segment]) - one
        for segment in range(first, last + 1)
    }
    return [{first: one}, {last: one}, alone]


def _merge(closed: _Closed, more: _Closed) -> _Closed:
    merged = dict(closed)
    for segment, holders in more.items():
        merged[segment] = merged.get(segment, _NO_ONE) | holders
    return merged


def _make_path(
    region: regions.Region, cost: float, parts: list[tuple[int, int, int]]
) -> Path:
    hops = tuple(
        endpoints_module.Hop(region.engines[holder], begin, end)
        for holder, begin, end in parts
    )
    return Path(cost, hops)


def find_path(
    region: regions.Region,
    weights: regions.Weights,
    crossing: chaincosts.Crossing,
    entry: str,
    bound: float = math.inf,
) -> Path | None:
    """Find the chain with the least expected time, None if there is none.

    A way of more parts than engines accept counts as none.

    :param crossing: cost of passing a request on between failure domains
    :param entry: failure domain in which a chain begins without a surcharge
    :param bound: cost from which on a chain is of no use, in ms
    """
    names = region.domains
    entries = [
        0.0 if name == entry else chaincosts.ENTRY_CROSSING_MS
        for name in names
    ]
    crossings = [[crossing(one, other) for other in names] for one in names]
    rest = region.bound(weights, min(map(min, crossings)))
    if min(entries) + rest[0] >= bound:
        return None
    waiting: list[_Closed] = [{}]
    best: Path | None = None
    for _ in range(MAX_SEARCHES):
        if not waiting:
            break
        closed = waiting.pop()
        search = _Search(region, weights, crossings, rest, closed)
        way = search.find(entries, best.cost if best else bound)
        if way is None:
            continue
        parts = _trace(way, region.cuts[-1])
        repeat = _find_repeat(parts)
        if repeat is not None:
            ruled_out = _close_ways(region, repeat)
            waiting += [_merge(closed, more) for more in ruled_out]
        elif len(parts) <= chains.MAX_HOPS:
            best = _make_path(region, way[0], parts)
    return best
