"""Choice of the chain of endpoints that serves one request.

The model's layers are cut where some endpoint's range begins or ends. A
shortest path over these segments finds the chain with the least expected
time, where the time counts work already in flight at each endpoint and
the transfers between them. An endpoint without memory for its part is no
candidate, so a chain that is found can be reserved whole.
"""

import math
from typing import Callable, Iterable, NamedTuple

import attrs

from dunlintide_core.pipeline import endpoints as endpoints_module
from dunlintide_core.pipeline import profiles

__all__ = [
    'Demand',
    'Load',
    'choose_chain',
    'cut_layers',
    'list_pipes',
    'name_pipe',
]

# A sequence in flight delays others by sharing passes with them: at this
# many an endpoint counts as twice as slow, so that equal cards fill evenly.
# Measured: goodput of a calm day varies under 0.01 between 12 and 48.
SEQUENCES_TO_DOUBLE = 24.0
# Each endpoint in a chain adds a wait for its pass to begin, in ms a token.
HOP_MS = 0.25
# A chain keeps to the caller's failure domain unless another is this much
# better, in ms: chains that change domain freely fill the shared pipes.
ENTRY_CROSSING_MS = 20.0
# A chain crosses between failure domains only if none within one has room
# (it costs this much, in ms): prompts cross a pipe one by one, and the
# tokens of all streams that cross wait for them. Measured on pipes that take
# 50 ms for a usual prompt: first events at the 99th percentile 0.9 s and
# pauses 0.4 s across, 0.8 s and 0.17 s within a domain.
PIPE_CROSSING_MS = 60_000.0
# Share of a pipe between two failure domains that requests may fill: past
# it transfers queue, all streams that cross slow down, so more are under
# way at once, and the queue feeds itself.
PIPE_PART = 0.5
# Time that a request is under way, in seconds, to turn a pipe's bandwidth
# into a number of requests; longer ones use it less densely.
PIPE_SECONDS = 1.0
# As many requests that cross make another wait as long as its own
# transfer: most of those under way are past their prompt.
CROSSINGS_TO_DOUBLE = 4.0
# Share of a first endpoint's slots that is given out: what other entries
# have just sent there is not known yet.
SLOT_PART = 0.92
# No endpoint appears twice and a chain has at most this many parts.
MAX_HOPS = 32


@attrs.frozen
class Demand:
    """What a request needs.

    :ivar prompt: prompt tokens, with those already written when resumed
    :ivar answer: expected tokens to write
    :ivar tokens: tokens for which each part reserves memory
    :ivar domain: failure domain of the entry
    """

    prompt: int
    answer: int
    tokens: int
    domain: str


@attrs.frozen
class Load:
    """What an endpoint carries now.

    :ivar sequences: requests in flight, those of all entries
    :ivar started: requests that it received as the first of their chain
    :ivar room: free memory, in tokens times layers
    :ivar slowdown: measured time of its work against the published one
    """

    sequences: float
    started: float
    room: float
    slowdown: float = 1.0


def name_pipe(one: str, other: str) -> str:
    """Name the pipe between two failure domains, for its use."""
    return '|'.join(sorted((one, other)))


def list_pipes(hops: Iterable[endpoints_module.Hop]) -> list[str]:
    """Name the pipes that a chain crosses, each crossing once."""
    domains = [hop.endpoint.domain for hop in hops]
    return [
        name_pipe(one, other)
        for one, other in zip(domains, domains[1:])
        if one != other
    ]


def _count_crossings(profile: profiles.EngineProfile) -> float:
    """Tell how many requests may cross a pipe at the same time."""
    tokens = max(1, profile.usual_prompt + profile.usual_answer)
    seconds = profile.time_transfer(tokens, True) / 1000.0
    if not seconds:
        return math.inf
    return max(1.0, PIPE_PART * PIPE_SECONDS / seconds)


class _State(NamedTuple):
    """Best way to the end of a segment, by the endpoint that runs it.

    A named tuple, since a choice makes some hundred of them.

    :ivar holder: index of that endpoint
    :ivar hops: parts of the chain so far
    :ivar before: the way to the first layer of its part
    :ivar begin: first layer of its part
    """

    cost: float
    holder: int
    hops: int
    before: '_State | None'
    begin: int


def cut_layers(
    holders: Iterable[endpoints_module.Endpoint], layers: int
) -> list[int]:
    """List the layers at which some range begins or ends, in order."""
    cuts = {0, layers}
    for holder in holders:
        cuts.add(holder.start)
        cuts.add(holder.end)
    return sorted(cuts)


def _time_layer(
    profile: profiles.EngineProfile,
    holder: endpoints_module.Endpoint,
    load: Load,
    demand: Demand,
) -> float:
    """Expected time of one layer for the whole request, in ms."""
    card = profile.accelerators[holder.kind]
    step = profile.step_ms + profile.sequence_ms * load.sequences
    steps = demand.answer * step * card.step_factor
    read = demand.prompt / profile.read_per_second * 1000.0
    busy = 1.0 + load.sequences / SEQUENCES_TO_DOUBLE
    whole = (steps + read * card.read_factor) * busy * load.slowdown
    return whole / profile.layers


def _trace(
    state: _State, holders: list[endpoints_module.Endpoint], end: int
) -> tuple[endpoints_module.Hop, ...]:
    hops = []
    current: _State | None = state
    while current is not None:
        holder = holders[current.holder]
        hops.append(endpoints_module.Hop(holder, current.begin, end))
        end = current.begin
        current = current.before
    return tuple(reversed(hops))


def choose_chain(
    profile: profiles.EngineProfile,
    candidates: Iterable[endpoints_module.Endpoint],
    get_load: Callable[[endpoints_module.Endpoint], Load],
    demand: Demand,
    count_crossing: Callable[[str], float] = lambda pipe: 0.0,
    avoids_pipes: bool = True,
) -> tuple[endpoints_module.Hop, ...] | None:
    """Find the chain with the least expected time, None if there is none.

    :param candidates: endpoints that may serve, each with its layers
    :param count_crossing: requests that cross a pipe now, by its name
    :param avoids_pipes: whether a chain crosses a pipe only where no other
        has room
    """
    holders = [each for each in candidates if each.end > each.start]
    if not holders:
        return None
    crossing = _make_crossing(profile, demand, count_crossing, avoids_pipes)
    search = _Search(profile, holders, get_load, demand, crossing)
    cuts = cut_layers(holders, profile.layers)
    states: dict[int, _State] = {}
    for begin, end in zip(cuts, cuts[1:]):
        if begin == 0:
            states = search.start(end)
        else:
            states = search.extend(states, begin, end)
        if not states:
            return None
    best = min(states.values(), key=lambda state: state.cost)
    return _trace(best, holders, profile.layers)


class _Search:
    """Steps of the shortest path over segments of layers."""

    def __init__(
        self,
        profile: profiles.EngineProfile,
        holders: list[endpoints_module.Endpoint],
        get_load: Callable[[endpoints_module.Endpoint], Load],
        demand: Demand,
        crossing: Callable[[str, str], float],
    ) -> None:
        self._holders = holders
        self._demand = demand
        self._slots = profile.slots * SLOT_PART
        self._crossing = crossing
        loads = [get_load(each) for each in holders]
        self._loads = loads
        self._rates = [
            _time_layer(profile, holder, load, demand)
            for holder, load in zip(holders, loads)
        ]
        # Layers for which each has room.
        self._rooms = [load.room / demand.tokens for load in loads]

    def _list_holders(self, begin: int, end: int) -> list[int]:
        length = end - begin
        return [
            index
            for index, holder in enumerate(self._holders)
            if holder.start <= begin
            and holder.end >= end
            and self._rooms[index] >= length
        ]

    def start(self, end: int) -> dict[int, _State]:
        """Begin at each endpoint that takes more requests."""
        states = {}
        for index in self._list_holders(0, end):
            if self._loads[index].started >= self._slots:
                continue
            cost = self._rates[index] * end
            if self._holders[index].domain != self._demand.domain:
                cost += ENTRY_CROSSING_MS
            states[index] = _State(cost, index, 1, None, 0)
        return states

    def extend(
        self, states: dict[int, _State], begin: int, end: int
    ) -> dict[int, _State]:
        """Extend the best ways by one segment."""
        cheapest = self._find_cheapest(states)
        arrivals: dict[str, tuple[float, _State | None]] = {}
        found = {}
        for index in self._list_holders(begin, end):
            domain = self._holders[index].domain
            if domain not in arrivals:
                arrivals[domain] = self._find_arrival(cheapest, domain)
            cost, before = arrivals[domain]
            work = self._rates[index] * (end - begin)
            best = None
            if before is not None and not _visits(before, index):
                best = _State(
                    cost + work, index, before.hops + 1, before, begin
                )
            held = states.get(index)
            if held is not None and self._rooms[index] >= end - held.begin:
                cost = held.cost + work
                if best is None or cost <= best.cost:
                    best = held._replace(cost=cost)
            if best is not None:
                found[index] = best
        return found

    def _find_cheapest(self, states: dict[int, _State]) -> dict[str, _State]:
        """Find the best way that ends in each failure domain."""
        cheapest: dict[str, _State] = {}
        for state in states.values():
            domain = self._holders[state.holder].domain
            if domain not in cheapest or state.cost < cheapest[domain].cost:
                cheapest[domain] = state
        return cheapest

    def _find_arrival(
        self, cheapest: dict[str, _State], domain: str
    ) -> tuple[float, _State | None]:
        """Find the best way to pass a request on to a failure domain."""
        best_cost, best = math.inf, None
        for source, state in cheapest.items():
            if state.hops >= MAX_HOPS:
                continue
            cost = state.cost + self._crossing(source, domain)
            if cost < best_cost:
                best_cost, best = cost, state
        return best_cost, best


def _make_crossing(
    profile: profiles.EngineProfile,
    demand: Demand,
    count_crossing: Callable[[str], float],
    avoids_pipes: bool,
) -> Callable[[str, str], float]:
    """Build the cost of passing a request on, infinite over a full pipe."""
    known: dict[tuple[str, str], float] = {}
    most = _count_crossings(profile)
    tokens = demand.prompt + demand.answer

    def measure(one: str, other: str) -> float:
        across = one != other
        cost = profile.time_transfer(tokens, across)
        if across:
            crossing = count_crossing(name_pipe(one, other))
            if crossing >= most:
                return math.inf
            cost *= 1.0 + crossing / CROSSINGS_TO_DOUBLE
            cost += PIPE_CROSSING_MS if avoids_pipes else 0.0
        per_token = profile.get_delay(one, other) + HOP_MS
        return cost + demand.answer * per_token

    def recall(one: str, other: str) -> float:
        if (one, other) not in known:
            known[one, other] = measure(one, other)
        return known[one, other]

    return recall


def _visits(state: _State, index: int) -> bool:
    current: _State | None = state
    while current is not None:
        if current.holder == index:
            return True
        current = current.before
    return False
