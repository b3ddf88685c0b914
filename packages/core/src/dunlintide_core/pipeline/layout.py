"""Assignment of layers to engines.

Each failure domain holds the complete model by itself if its memory allows,
since a chain within one domain neither uses a shared pipe nor fails with
another domain. Engines are placed one after the other where their layers gain
most, then moved as long as that serves more streams.
"""

from typing import Callable, Container, Iterable, Mapping, Sequence

import attrs

from dunlintide_core.pipeline import cacheplans
from dunlintide_core.pipeline import coverage
from dunlintide_core.pipeline import endpoints as endpoints_module
from dunlintide_core.pipeline import profiles

__all__ = [
    'Placement',
    'plan_moves',
    'plan_new',
]

# Concurrent moves in a failure domain: each takes its engine out of use while
# layers load, and loads slow each other down.
MAX_MOVES = 2
# Time over which the gain of a move is weighed against its load, in seconds:
# engines come and go, so a layout does not last much longer.
MOVE_SECONDS = 10.0
# Minimum worth of a move, in seconds of a domain's streams, so that weights
# are not loaded for a layout that is hardly better.
MIN_WORTH_SECONDS = 0.1
# Minimum worth of a move while engines come and go, in the same unit: that of
# a layer without any holder, as an engine that returns may soon hold any
# scarce layer.
MIN_UNSTABLE_WORTH_SECONDS = 5.0
# Time for which streams still use the layers that an engine gives up, in
# seconds; new layers load after it.
RELEASE_SECONDS = 2.0
# Maximum number of rounds in which engines are repositioned.
MAX_ROUNDS = 6


@attrs.frozen
class Placement:
    """An engine and the layers that it is to hold, half open."""

    endpoint: endpoints_module.Endpoint
    start: int
    end: int

    @property
    def size(self) -> int:
        """Number of its layers."""
        return self.end - self.start


@attrs.define
class _Domain:
    """A failure domain whose engines are placed.

    :ivar plan: cache plan of its cards
    :ivar coverage_state: holders of its layers
    """

    plan: cacheplans.CachePlan
    coverage_state: coverage.Coverage


def _count_elsewhere(
    profile: profiles.EngineProfile,
    holding: Iterable[Placement],
    domain: str,
) -> list[int]:
    """Count the holders of each layer in other failure domains."""
    counts = [0] * profile.layers
    for each in holding:
        if each.endpoint.domain != domain:
            for layer in range(each.start, each.end):
                counts[layer] += 1
    return counts


def _make_domain(
    profile: profiles.EngineProfile,
    name: str,
    holding: Sequence[Placement],
    empty: Iterable[endpoints_module.Endpoint],
    demands: Mapping[str, float],
) -> _Domain:
    """Build a failure domain from the ranges that its engines hold.

    :param holding: ranges in all failure domains
    :param empty: its engines without layers
    :param demands: tokens in flight by domain, where known
    """
    own = [each for each in holding if each.endpoint.domain == name]
    kinds = [each.endpoint.kind for each in own]
    kinds += [each.kind for each in empty]
    # A domain also takes the streams of others that lose their chains.
    estimate = cacheplans.estimate_demand(profile, kinds)
    demand = max(estimate, demands.get(name, 0.0))
    plan = cacheplans.plan_cache(profile, kinds, demand)
    elsewhere = _count_elsewhere(profile, holding, name)
    coverage_state = coverage.Coverage(profile, plan, elsewhere)
    for each in own:
        coverage_state.change(each.endpoint.kind, each.start, each.end)
    return _Domain(plan, coverage_state)


def plan_new(
    profile: profiles.EngineProfile,
    holding: Iterable[Placement],
    empty: Iterable[endpoints_module.Endpoint],
    demands: Mapping[str, float] | None = None,
) -> list[Placement]:
    """Assign a range to each engine without layers.

    :param holding: ranges that are held or ordered already
    :param empty: engines without layers; large cards are placed first
    :param demands: tokens in flight by failure domain, where known
    """
    known = [
        each
        for each in holding
        if each.endpoint.kind in profile.accelerators and each.size > 0
    ]
    usable = [each for each in empty if profile.count_max_layers(each.kind)]
    placements: list[Placement] = []
    for name in sorted({each.domain for each in usable}):
        new = [each for each in usable if each.domain == name]
        held = [*known, *placements]
        domain = _make_domain(profile, name, held, new, demands or {})
        placements += _place_new(profile, domain, new)
    return placements


def _place_new(
    profile: profiles.EngineProfile,
    domain: _Domain,
    empty: Iterable[endpoints_module.Endpoint],
) -> list[Placement]:
    """Place the empty engines of a failure domain, then improve on it."""
    coverage_state = domain.coverage_state
    placed = []
    for engine in sorted(empty, key=_make_order(profile)):
        size = cacheplans.count_layers(
            profile, engine.kind, domain.plan.cache_tokens
        )
        start, _ = coverage_state.choose_start(engine.kind, size)
        coverage_state.change(engine.kind, start, start + size)
        placed.append(Placement(engine, start, start + size))
    for _ in range(MAX_ROUNDS):
        again = [_reposition(coverage_state, each) for each in placed]
        if again == placed:
            break
        placed = again
    return placed


def _reposition(
    coverage_state: coverage.Coverage, placed: Placement
) -> Placement:
    """Move an engine to where it gains most beside all others."""
    kind = placed.endpoint.kind
    coverage_state.change(kind, placed.start, placed.end, -1)
    start, _ = coverage_state.choose_start(kind, placed.size, placed.start)
    coverage_state.change(kind, start, start + placed.size)
    return Placement(placed.endpoint, start, start + placed.size)


def _make_order(profile: profiles.EngineProfile):
    """Return a sort key that puts large and fast cards first."""
    kinds: Mapping[str, profiles.Accelerator] = profile.accelerators

    def order(engine: endpoints_module.Endpoint) -> tuple[float, float, str]:
        card = kinds[engine.kind]
        return (-card.memory_mb, card.step_factor, engine.name)

    return order


@attrs.frozen
class _Move:
    """A move of an engine.

    :ivar net_worth: gain of the move minus the cost of its load, in seconds of
        the domain's streams
    """

    before: Placement
    after: Placement
    net_worth: float


def plan_moves(
    profile: profiles.EngineProfile,
    holding: Iterable[Placement],
    movable: Container[str],
    count_use: Callable[[str], float],
    demands: Mapping[str, float] | None = None,
    is_stable: bool = True,
) -> list[Placement]:
    """Move engines to layers that their failure domain lacks.

    If engines are replaced one after the other, a new one starts before the
    old one leaves, and gets layers that are scarce at that time. Once the old
    one leaves, its own layers are scarce or without a holder, and all chains
    of the domain would cross pipes until the layout changes.

    :param holding: ranges that are held or ordered
    :param movable: names of engines without an open order
    :param count_use: returns the requests in flight on an engine, by name;
        among equal moves the least used engine moves
    :param demands: tokens in flight by failure domain, where known
    :param is_stable: whether no engine came or went for a while; otherwise
        only layers without a holder are filled
    """
    known = [
        each
        for each in holding
        if each.endpoint.kind in profile.accelerators and each.size > 0
    ]
    least = MIN_WORTH_SECONDS if is_stable else MIN_UNSTABLE_WORTH_SECONDS
    moves: list[Placement] = []
    for name in sorted({each.endpoint.domain for each in known}):
        domain = _make_domain(profile, name, known, (), demands or {})
        held = [each for each in known if each.endpoint.domain == name]
        open_orders = sum(each.endpoint.name not in movable for each in held)
        free = [each for each in held if each.endpoint.name in movable]
        for _ in range(MAX_MOVES - open_orders):
            move = _find_move(profile, domain, free, count_use)
            if move is None or move.net_worth < least:
                break
            free.remove(move.before)
            kind = move.before.endpoint.kind
            domain.coverage_state.change(
                kind, move.before.start, move.before.end, -1
            )
            domain.coverage_state.change(
                kind, move.after.start, move.after.end
            )
            moves.append(move.after)
    return moves


def _find_move(
    profile: profiles.EngineProfile,
    domain: _Domain,
    free: Iterable[Placement],
    count_use: Callable[[str], float],
) -> _Move | None:
    """Return the move with the highest net worth, None if there is none.

    An engine that is the only holder of a layer stays: its domain would have
    no complete chain until another engine holds the layer, whatever the move
    gains elsewhere.
    """
    counts = domain.coverage_state.counts
    candidates = [
        each
        for each in free
        if all(counts[layer] > 1 for layer in range(each.start, each.end))
    ]
    return max(
        (_evaluate_move(profile, domain, each) for each in candidates),
        key=lambda move: (
            move.net_worth,
            -count_use(move.before.endpoint.name),
        ),
        default=None,
    )


def _evaluate_move(
    profile: profiles.EngineProfile, domain: _Domain, before: Placement
) -> _Move:
    """Find the best new range of an engine and the net worth of the move."""
    coverage_state, kind = domain.coverage_state, before.endpoint.kind
    size = cacheplans.count_layers(profile, kind, domain.plan.cache_tokens)
    cost = coverage_state.cost
    coverage_state.change(kind, before.start, before.end, -1)
    cost_without = coverage_state.cost
    start, gain = coverage_state.choose_start(
        kind, size, min(before.start, profile.layers - size)
    )
    coverage_state.change(kind, before.start, before.end)
    after = Placement(before.endpoint, start, start + size)
    # Until the new layers are loaded, the engine takes no new streams.
    downtime = RELEASE_SECONDS + profile.load_seconds * size / profile.layers
    net_worth = (cost - cost_without + gain) * MOVE_SECONDS - (
        cost_without - cost
    ) * downtime
    return _Move(before, after, net_worth)
