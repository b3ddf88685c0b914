"""How much memory cards keep for requests, beside the layers they hold.

Memory for layers makes copies, which outlast the loss of engines; memory for
requests decides how many streams run at a time. What serves most streams,
with all engines and without some, follows from the demand.
"""

from typing import Iterable, Sequence

import attrs

from dunlintide_core.pipeline import availability
from dunlintide_core.pipeline import chaincosts
from dunlintide_core.pipeline import profiles

__all__ = [
    'CachePlan',
    'count_layers',
    'estimate_demand',
    'plan_cache',
]

_BYTES_PER_MB = 1e6

# Share of a first endpoint's slots in use, by which the demand is estimated
# before there is any: one first endpoint for each copy that memory holds.
USUAL_SLOT_FRACTION = 0.25
# First endpoints of a failure domain that holds so many copies of the model
# or more: with two, the loss of one halves the places for new streams.
MIN_FIRST_ENDPOINTS = 3
MIN_COPIES_FOR_FIRST = 1.5
# Copies that a failure domain holds where its cards can, whatever the demand:
# ranges of unequal cards overlap, and with fewer the loss of any engine
# leaves layers that nobody holds.
MIN_COPIES = 1.3
# Amounts of room that are compared, from the least to the most.
CACHE_STEPS = 24
# Holders of a layer beyond which another one changes nothing.
MAX_HOLDERS = 24


@attrs.frozen
class CachePlan:
    """What holds for all cards of a failure domain.

    A request takes as many tokens at each part of its chain, so all cards
    keep room for the same number.

    :ivar room: tokens for which each layer keeps memory
    :ivar part: layers that a card holds on average
    :ivar refused: expected share of refused streams, by the number of
        engines that hold a layer
    :ivar refused_first: the same for the first layer, whose holders take no
        more requests than they have slots
    :ivar least_first: engines that are to hold the first layer at least
    """

    cache_tokens: int
    mean_layers: float
    refused_shares: Sequence[float]
    first_refused_shares: Sequence[float]
    min_first_endpoints: int


def count_layers(
    profile: profiles.EngineProfile, kind: str, cache_tokens: int
) -> int:
    """Tell how many layers a card takes beside its room for requests.

    :param room: tokens for which each of its layers keeps memory
    """
    card = profile.accelerators.get(kind)
    if card is None:
        return 0
    token_mb = profile.token_bytes / profile.layers / _BYTES_PER_MB
    wanted = int(
        card.memory_mb // (profile.layer_mb + cache_tokens * token_mb)
    )
    most = profile.count_max_layers(kind)
    return max(1, min(wanted, most, profile.layers)) if most else 0


def _count_usual_tokens(profile: profiles.EngineProfile) -> int:
    return max(1, profile.usual_prompt + profile.usual_answer)


def estimate_demand(
    profile: profiles.EngineProfile, kinds: Iterable[str]
) -> float:
    """Estimate what a failure domain's streams take before there are any.

    :param kinds: kind of each card in the domain
    :returns: tokens in flight
    """
    cards = [profile.accelerators.get(kind) for kind in kinds]
    memory_mb = sum(card.memory_mb for card in cards if card is not None)
    copies = memory_mb / (profile.layer_mb * profile.layers)
    streams = copies * profile.slots * USUAL_SLOT_FRACTION
    return streams * _count_usual_tokens(profile)


def _make_plan(
    profile: profiles.EngineProfile,
    kinds: Sequence[str],
    cache_tokens: int,
    demand: float,
) -> CachePlan:
    slots = profile.slots * chaincosts.SLOT_FRACTION
    first_tokens = min(
        float(cache_tokens), slots * _count_usual_tokens(profile)
    )
    held = sum(count_layers(profile, kind, cache_tokens) for kind in kinds)
    holds_many = held >= MIN_COPIES_FOR_FIRST * profile.layers
    return CachePlan(
        cache_tokens,
        held / max(1, len(kinds)),
        availability.tabulate_refused_shares(
            demand / cache_tokens, MAX_HOLDERS
        ),
        availability.tabulate_refused_shares(
            demand / max(1.0, first_tokens), MAX_HOLDERS
        ),
        MIN_FIRST_ENDPOINTS if holds_many else 1,
    )


def _estimate_refused(plan: CachePlan, layers: int, cards: int) -> float:
    """Tell how many streams are refused where layers are held evenly.

    :param layers: layers of the model
    :returns: expected share, summed over the parts of a chain
    """
    copies = plan.mean_layers * cards / layers
    if copies < MIN_COPIES:
        return cards + MIN_COPIES - copies
    least = min(int(copies), MAX_HOLDERS - 1)
    more = min(1.0, copies - least)
    share = (1.0 - more) * plan.refused_shares[least]
    share += more * plan.refused_shares[least + 1]
    return cards / copies * share


def plan_cache(
    profile: profiles.EngineProfile, kinds: Sequence[str], demand: float
) -> CachePlan:
    """Choose the room that a failure domain's cards keep.

    :param kinds: kind of each card in the domain
    :param demand: tokens that streams in flight take of each layer
    """
    # Each holder of a layer serves about as many streams as a first
    # endpoint, so room beyond its slots would stay empty.
    most = max(CACHE_STEPS, profile.slots * _count_usual_tokens(profile))
    plans = [
        _make_plan(profile, kinds, most * step // CACHE_STEPS, demand)
        for step in range(1, CACHE_STEPS + 1)
    ]
    return min(
        plans,
        key=lambda plan: _estimate_refused(plan, profile.layers, len(kinds)),
    )
