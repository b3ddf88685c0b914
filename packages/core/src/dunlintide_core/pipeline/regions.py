"""Engines available to chains, prepared once for each listing.

Cuts, holders of each segment and times of cards change only when an engine
comes, goes or gets other layers, while a chain is chosen for each request.
"""

import itertools
import math
from typing import (
    AbstractSet,
    Container,
    Iterable,
    Iterator,
    Mapping,
    NamedTuple,
    Sequence,
)

import attrs

from dunlintide_core.pipeline import chaincosts
from dunlintide_core.pipeline import endpoints as endpoints_module
from dunlintide_core.pipeline import occupancy
from dunlintide_core.pipeline import profiles
from dunlintide_core.pipeline import reserve

__all__ = [
    'EngineSet',
    'MinTimes',
    'Region',
    'Weights',
]

Endpoint = endpoints_module.Endpoint


# Fraction of an engine's memory that must be free for its cost to be its time
# alone.
AMPLE_FREE = 0.5
# Fraction of free memory below which its cost increases no further.
MIN_FREE = 0.05

_UNUSED = occupancy.Usage()


class _Row(NamedTuple):
    """Constant properties of one engine; a tuple, since each choice reads all.

    :ivar step: step time of a layer relative to a full published step
    :ivar read: time of reading a prompt token on a layer, in ms
    :ivar capacity: memory that is allocated, in tokens times layers
    """

    name: str
    step: float
    read: float
    capacity: float

    @classmethod
    def from_engine(
        cls, profile: profiles.EngineProfile, engine: Endpoint
    ) -> '_Row':
        """Derive the properties of an engine from its cost model."""
        held = engine.end - engine.start
        capacity_tokens = profile.get_cache_capacity(engine.kind, held)
        return cls(
            engine.name,
            chaincosts.get_layer_step(profile, engine.kind),
            chaincosts.get_layer_read_ms(profile, engine.kind),
            capacity_tokens * chaincosts.MEMORY_FRACTION,
        )


@attrs.frozen(eq=False)
class Weights:
    """Cost and free memory of engines at one moment, by index.

    :ivar rates: time of one layer for the complete request, in ms, with a
        surcharge where memory is scarce
    :ivar rooms: layers for which memory is free, 0 if unusable or full
    :ivar full: engines on which no further chain may begin
    """

    rates: list[float]
    rooms: list[float]
    full: frozenset[int]


@attrs.frozen(eq=False)
class EngineSet:
    """Engines of a service that hold layers.

    :ivar engines: engines by index
    :ivar indices: index by name
    """

    engines: tuple[Endpoint, ...]
    indices: Mapping[str, int]
    _rows: tuple[_Row, ...]
    _firsts: tuple[tuple[int, str, float], ...]
    _slots: float

    @classmethod
    def from_engines(
        cls, profile: profiles.EngineProfile, engines: Iterable[Endpoint]
    ) -> 'EngineSet':
        """Prepare engines, without those that hold no layers."""
        engines = tuple(each for each in engines if each.end > each.start)
        firsts = sorted(
            (each.domain, each.name, index)
            for index, each in enumerate(engines)
            if each.start == 0
        )
        return cls(
            engines,
            {each.name: index for index, each in enumerate(engines)},
            tuple(_Row.from_engine(profile, each) for each in engines),
            tuple(
                (index, name, reserve.get_rounding(rank))
                for rank, (_, name, index) in enumerate(firsts)
            ),
            profile.slots * chaincosts.SLOT_FRACTION,
        )

    def weigh(
        self,
        times: chaincosts.LayerTimes,
        tokens: int,
        usages: Mapping[str, occupancy.Usage],
        unusable: AbstractSet[str],
    ) -> Weights:
        """Return the cost and the free memory of all engines for a request.

        :param tokens: tokens for which each layer reserves memory
        :param usages: usage of engines, by name
        :param unusable: names of engines that get no request
        """
        weights = self.make_unusable_weights(usages)
        members = range(len(self._rows))
        self.weigh_members(weights, members, times, tokens, usages, unusable)
        return weights

    def make_unusable_weights(
        self, usages: Mapping[str, occupancy.Usage], reserved: float = 0.0
    ) -> Weights:
        """Return weights that mark all engines as unusable.

        :param reserved: fraction of the first slots that is not to be used
        """
        full = frozenset(
            index
            for index, name, _ in self._firsts
            if name in usages and usages[name].started >= self._slots
        )
        if reserved:
            full |= self._find_reserved(usages, reserved)
        count = len(self._rows)
        return Weights([math.inf] * count, [0.0] * count, full)

    def _find_reserved(
        self, usages: Mapping[str, occupancy.Usage], reserved: float
    ) -> frozenset[int]:
        """Return the first engines whose unused slots are all reserved."""
        slots = math.ceil(self._slots)
        return frozenset(
            index
            for index, name, rounding in self._firsts
            if name in usages
            and usages[name].started
            >= reserve.limit_slots(slots, reserved, rounding)
        )

    def _reduce_rows(
        self,
        members: Iterable[int],
        usages: Mapping[str, occupancy.Usage],
        reserved: float,
    ) -> Mapping[int, _Row]:
        """Return the properties of engines without reserved memory."""
        rows = {}
        for index in members:
            row = self._rows[index]
            if usages.get(row.name, _UNUSED).sequences:
                row = row._replace(capacity=row.capacity * (1.0 - reserved))
            rows[index] = row
        return rows

    def weigh_members(
        self,
        weights: Weights,
        members: Iterable[int],
        times: chaincosts.LayerTimes,
        tokens: int,
        usages: Mapping[str, occupancy.Usage],
        unusable: AbstractSet[str],
        reserved: float = 0.0,
    ) -> None:
        """Set the cost and the free memory of some engines.

        :param members: their indices
        :param reserved: fraction of the memory that is not to be used, except
            on engines where nothing runs
        """
        rates, rooms = weights.rates, weights.rooms
        rows = self._rows
        if reserved:
            rows = self._reduce_rows(members, usages, reserved)
        steps, sequence, prompt = times.steps, times.sequence, times.prompt
        for index in members:
            name, step, read, capacity = rows[index]
            usage = usages.get(name, _UNUSED)
            free = capacity - usage.cache
            if free < tokens or name in unusable:
                continue
            running = usage.sequences
            busy = 1.0 + running / chaincosts.SEQUENCES_TO_DOUBLE
            work = ((steps + sequence * running) * step + prompt * read) * busy
            # Fast engines fill first. Without a surcharge, streams that could
            # run elsewhere would take the memory of those that can't.
            scarcity = AMPLE_FREE * capacity / max(free, capacity * MIN_FREE)
            rates[index] = work * max(1.0, scarcity)
            rooms[index] = free / tokens

    def apply_paces(
        self,
        weights: Weights,
        members: Container[int],
        paces: Mapping[str, float],
    ) -> None:
        """Increase the cost of slow engines.

        :param members: indices of the engines that were just weighed
        :param paces: time of work as a multiple of the published one, by name
        """
        for name, pace in paces.items():
            index = self.indices.get(name)
            if index is not None and index in members:
                weights.rates[index] *= pace

    def find_min_times(self, holders: Iterable[Sequence[int]]) -> 'MinTimes':
        """Return a lower bound on the time of chains of idle engines.

        :param holders: indices of the engines that hold a layer, by layer
        """
        step = read = 0.0
        for found in holders:
            step += min(self._rows[index].step for index in found)
            read += min(self._rows[index].read for index in found)
        return MinTimes(step, read)


@attrs.frozen
class MinTimes:
    """Lower bound on the time of a chain, whatever else runs.

    :ivar step: time of a step of all layers relative to the published one
    :ivar read: time of reading a prompt token on all layers, in ms
    """

    step: float
    read: float

    def bound(self, times: chaincosts.LayerTimes) -> float:
        """Return the lower bound on the time of a request, in ms."""
        return times.steps * self.step + times.prompt * self.read


@attrs.frozen(eq=False)
class Region:
    """Engines that chains may consist of, of one domain or of all.

    :ivar engines: all engines of the service, by index
    :ivar cuts: layers at which some range begins or ends, in order
    :ivar holders: indices of the region's engines that hold a segment, by
        segment
    :ivar members: indices of the region's engines
    :ivar domains: names of the region's failure domains
    :ivar domain_indices: index of the failure domain, by engine
    :ivar lengths: number of layers that it holds, by engine
    """

    engines: tuple[Endpoint, ...]
    cuts: tuple[int, ...]
    holders: tuple[tuple[int, ...], ...]
    domains: tuple[str, ...]
    domain_indices: tuple[int, ...]
    lengths: tuple[int, ...]
    members: frozenset[int]
    _handoffs: tuple[int, ...]
    _segments: tuple[tuple[int, tuple[int, ...]], ...]

    @classmethod
    def from_domains(
        cls, engines: Sequence[Endpoint], domains: Iterable[str], layers: int
    ) -> 'Region':
        """Prepare the engines of some failure domains.

        :param engines: all engines of the service, by index
        :param layers: number of layers of the model
        """
        domain_indices = {name: index for index, name in enumerate(domains)}
        own = [
            index
            for index, each in enumerate(engines)
            if each.domain in domain_indices
        ]
        cuts = _cut_layers([engines[index] for index in own], layers)
        order = {cut: segment for segment, cut in enumerate(cuts)}
        holders: list[list[int]] = [[] for _ in cuts[1:]]
        for index in own:
            engine = engines[index]
            for segment in range(order[engine.start], order[engine.end]):
                holders[segment].append(index)
        reaches = [
            max((order[engines[index].end] for index in found), default=0)
            for found in holders
        ]
        lengths = [end - begin for begin, end in zip(cuts, cuts[1:])]
        return cls(
            tuple(engines),
            cuts,
            tuple(map(tuple, holders)),
            tuple(domain_indices),
            tuple(domain_indices.get(each.domain, 0) for each in engines),
            tuple(each.end - each.start for each in engines),
            frozenset(own),
            _count_handoffs(reaches),
            tuple(zip(lengths, map(tuple, holders))),
        )

    @property
    def is_complete(self) -> bool:
        """Whether its engines hold all layers."""
        return all(self.holders)

    def list_layer_holders(self) -> Iterator[tuple[int, ...]]:
        """Return the indices of the engines that hold each layer."""
        for length, holders in self._segments:
            yield from itertools.repeat(holders, length)

    def bound(self, weights: Weights, passing: float) -> list[float]:
        """Return lower bounds on the cost of chains from each cut on, in ms.

        The bounds are much faster than a search, and avoid it for failure
        domains without capacity or with higher costs than a known chain.

        :param passing: minimum cost of a handoff, in ms
        :returns: costs by index of the cut; all infinite if there is no chain
        """
        rates, rooms = weights.rates, weights.rooms
        total = 0.0
        costs = [total]
        for length, holders in reversed(self._segments):
            least = math.inf
            for index in holders:
                if rates[index] < least and rooms[index] >= length:
                    least = rates[index]
            if least == math.inf:
                return [math.inf] * len(self.cuts)
            total += least * length
            costs.append(total)
        costs.reverse()
        return [
            cost + passing * parts
            for cost, parts in zip(costs, self._handoffs)
        ]


def _cut_layers(engines: Iterable[Endpoint], layers: int) -> tuple[int, ...]:
    """Return the layers at which some range begins or ends, in order."""
    cuts = {0, layers}
    for engine in engines:
        cuts.add(engine.start)
        cuts.add(engine.end)
    return tuple(sorted(cuts))


def _count_handoffs(reaches: Sequence[int]) -> tuple[int, ...]:
    """Count the handoffs of the shortest route from each cut to the end.

    :param reaches: last cut that an engine reaches from a segment, by the
        segment; 0 if it has no holder
    """
    parts = [0] * (len(reaches) + 1)
    for segment in reversed(range(len(reaches))):
        if reaches[segment]:
            parts[segment] = 1 + parts[reaches[segment]]
    return tuple(max(0, each - 1) for each in parts)
