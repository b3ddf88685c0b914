"""Which layers each engine is to hold.

Ranges are chosen so that each failure domain holds whole copies of the
model by itself where its memory allows, since a chain that stays in one
domain neither shares a pipe nor dies with another domain. The spare part
of each card is room for requests.
"""

from typing import Iterable, Mapping, Sequence

import attrs

from dunlintide_core.pipeline import endpoints as endpoints_module
from dunlintide_core.pipeline import profiles

__all__ = [
    'Placement',
    'count_layers',
    'plan_new',
]

# Tokens for which each card keeps room: some 30 requests of 1,000 tokens
# with the answers reserved at their most. The same for all cards, since a
# request takes as many tokens at each part of its chain.
ROOM_TOKENS = 40_000


@attrs.frozen
class Placement:
    """An engine and the layers that it is to hold, half open."""

    endpoint: endpoints_module.Endpoint
    start: int
    end: int


def count_layers(profile: profiles.EngineProfile, kind: str) -> int:
    """Tell how many layers a card takes beside its room for requests."""
    card = profile.accelerators.get(kind)
    if card is None:
        return 0
    token_mb = profile.token_bytes / profile.layers / 1e6
    each_mb = profile.layer_mb + ROOM_TOKENS * token_mb
    wanted = int(card.memory_mb // each_mb)
    most = profile.count_max_layers(kind)
    return max(1, min(wanted, most, profile.layers)) if most else 0


def _rate(profile: profiles.EngineProfile, kind: str, held: int) -> float:
    """Tokens a ms that a card passes through the layers it holds."""
    card = profile.accelerators[kind]
    return profile.layers / (card.step_factor * held)


def _add(cover: list[float], start: int, end: int, rate: float) -> None:
    for layer in range(start, end):
        cover[layer] += rate


def _choose_start(
    local: Sequence[float], everywhere: Sequence[float], held: int
) -> int:
    """Find the window whose least covered layers gain most.

    Windows that fill layers no one holds go first, then those with the
    least capacity; of equal ones the lowest, so that ranges join.
    """

    def weigh(start: int) -> tuple[int, int, float]:
        window = range(start, start + held)
        bare = sum(1 for layer in window if not everywhere[layer])
        missing = sum(1 for layer in window if not local[layer])
        return (-bare, -missing, sum(local[layer] for layer in window))

    return min(range(len(local) - held + 1), key=weigh)


def plan_new(
    profile: profiles.EngineProfile,
    holding: Iterable[Placement],
    empty: Iterable[endpoints_module.Endpoint],
) -> list[Placement]:
    """Give each empty engine a range.

    :param holding: ranges that are held or ordered already
    :param empty: engines without layers; large cards choose first
    """
    everywhere = [0.0] * profile.layers
    local: dict[str, list[float]] = {}
    for each in holding:
        held = each.end - each.start
        if held <= 0 or each.endpoint.kind not in profile.accelerators:
            continue
        rate = _rate(profile, each.endpoint.kind, held)
        domain = each.endpoint.domain
        cover = local.setdefault(domain, [0.0] * profile.layers)
        _add(everywhere, each.start, each.end, rate)
        _add(cover, each.start, each.end, rate)
    placements = []
    for engine in sorted(empty, key=_make_order(profile)):
        held = count_layers(profile, engine.kind)
        if not held:
            continue
        cover = local.setdefault(engine.domain, [0.0] * profile.layers)
        start = _choose_start(cover, everywhere, held)
        rate = _rate(profile, engine.kind, held)
        _add(cover, start, start + held, rate)
        _add(everywhere, start, start + held, rate)
        placements.append(Placement(engine, start, start + held))
    return placements


def _make_order(profile: profiles.EngineProfile):
    kinds: Mapping[str, profiles.Accelerator] = profile.accelerators

    def order(engine: endpoints_module.Endpoint) -> tuple[float, float, str]:
        card = kinds.get(engine.kind)
        if card is None:
            return (0.0, 0.0, engine.name)
        return (-card.memory_mb, card.step_factor, engine.name)

    return order
