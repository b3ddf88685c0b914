"""Choice of the chain of endpoints that serves one request.

The model's layers are cut where some endpoint's range begins or ends. A
shortest path over these segments finds the chain with the least expected
time, where the time counts work already in flight at each endpoint and
the transfers between them. An endpoint without memory for its part is no
candidate, so a chain that is found can be reserved whole.
"""

import math
from typing import Callable, Iterable

import attrs

from dunlintide_core.pipeline import endpoints as endpoints_module
from dunlintide_core.pipeline import profiles

__all__ = [
    'Demand',
    'Load',
    'choose_chain',
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


@attrs.define
class _State:
    """Best way to the end of a segment, by the endpoint that runs it."""

    cost: float
    holder: int
    hops: int
    before: '_State | None'
    begin: int


def _cut(holders: list[endpoints_module.Endpoint], layers: int) -> list[int]:
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
) -> tuple[endpoints_module.Hop, ...] | None:
    """Find the chain with the least expected time, None if there is none.

    :param candidates: endpoints that may serve, each with its layers
    :param count_crossing: requests that cross a pipe now, by its name
    """
    holders = [each for each in candidates if each.end > each.start]
    loads = [get_load(each) for each in holders]
    cuts = _cut(holders, profile.layers)
    rates = [
        _time_layer(profile, holder, load, demand)
        for holder, load in zip(holders, loads)
    ]
    crossing = _make_crossing(profile, demand, count_crossing)
    states: dict[int, _State] = {}
    for begin, end in zip(cuts, cuts[1:]):
        states = _advance(
            states,
            holders,
            loads,
            rates,
            begin,
            end,
            demand,
            crossing,
            profile.slots,
        )
        if not states:
            return None
    best = min(states.values(), key=lambda state: state.cost)
    return _trace(best, holders, profile.layers)


def _make_crossing(
    profile: profiles.EngineProfile,
    demand: Demand,
    count_crossing: Callable[[str], float],
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
        per_token = profile.get_delay(one, other) + HOP_MS
        return cost + demand.answer * per_token

    def recall(one: str, other: str) -> float:
        if (one, other) not in known:
            known[one, other] = measure(one, other)
        return known[one, other]

    return recall


def _advance(
    states: dict[int, _State],
    holders: list[endpoints_module.Endpoint],
    loads: list[Load],
    rates: list[float],
    begin: int,
    end: int,
    demand: Demand,
    crossing: Callable[[str, str], float],
    slots: int,
) -> dict[int, _State]:
    """Extend the best ways by one segment."""
    cheapest: dict[str, _State] = {}
    for state in states.values():
        domain = holders[state.holder].domain
        if domain not in cheapest or state.cost < cheapest[domain].cost:
            cheapest[domain] = state
    found: dict[int, _State] = {}
    for index, holder in enumerate(holders):
        if holder.start > begin or holder.end < end:
            continue
        load = loads[index]
        held = states.get(index)
        first = held.begin if held else begin
        if demand.tokens * (end - first) > load.room:
            held = None
            if demand.tokens * (end - begin) > load.room:
                continue
        work = rates[index] * (end - begin)
        options = []
        if held is not None:
            options.append(
                _State(held.cost + work, index, held.hops, held.before, first)
            )
        if begin == 0:
            if load.started >= slots * SLOT_PART:
                continue
            away = holder.domain != demand.domain
            cost = work + (ENTRY_CROSSING_MS if away else 0.0)
            options.append(_State(cost, index, 1, None, begin))
        else:
            for domain, state in cheapest.items():
                if state.holder == index or state.hops >= MAX_HOPS:
                    continue
                if _visits(state, index):
                    continue
                cost = state.cost + crossing(domain, holder.domain) + work
                options.append(
                    _State(cost, index, state.hops + 1, state, begin)
                )
        best = min(options, key=lambda option: option.cost, default=None)
        if best is not None and best.cost < math.inf:
            found[index] = best
    return found


def _visits(state: _State, index: int) -> bool:
    current: _State | None = state
    while current is not None:
        if current.holder == index:
            return True
        current = current.before
    return False
