"""How much memory cards reserve for requests, beside their layers.

Memory for layers makes copies, which keep the model available when engines
fail. Memory for the KV cache of requests decides how many streams run at a
time. The plan that serves most streams, with all engines and with some lost,
depends on the demand.
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

# Fraction of a first endpoint's slots assumed to be in use as long as no
# demand has been observed, with one first endpoint for each copy that fits
# into memory.
USUAL_SLOT_FRACTION = 0.25
# First endpoints of a failure domain that holds at least MIN_COPIES_FOR_FIRST
# copies of the model: with two, the loss of one halves the slots for new
# streams.
MIN_FIRST_ENDPOINTS = 3
MIN_COPIES_FOR_FIRST = 1.5
# Copies that a failure domain holds where its cards can, whatever the demand:
# ranges of unequal cards overlap, and with fewer copies the loss of any engine
# leaves layers without a holder.
MIN_COPIES = 1.3
# Number of cache sizes that are compared.
CACHE_STEPS = 24
# Number of holders of a layer beyond which another one changes nothing.
MAX_HOLDERS = 24


@attrs.frozen
class CachePlan:
    """Cache size and expected availability of a failure domain.

    A request takes as many tokens at each part of its chain, so all cards
    reserve cache for the same number of tokens.

    :ivar cache_tokens: tokens for which each layer reserves memory
    :ivar mean_layers: mean number of layers that a card holds
    :ivar refused_shares: expected share of refused streams, by the number of
        engines that hold a layer
    :ivar first_refused_shares: the same for the first layer, whose holders are
        also limited by their slots
    :ivar min_first_endpoints: minimum number of engines that hold the first
        layer
    """

    cache_tokens: int
    mean_layers: float
    refused_shares: Sequence[float]
    first_refused_shares: Sequence[float]
    min_first_endpoints: int


def count_layers(
    profile: profiles.EngineProfile, kind: str, cache_tokens: int
) -> int:
    """Return how many layers fit on a card beside its cache.

    :param cache_tokens: tokens for which each of its layers reserves memory
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
    """Return the tokens that a mean request takes."""
    return max(1, profile.usual_prompt + profile.usual_answer)


def estimate_demand(
    profile: profiles.EngineProfile, kinds: Iterable[str]
) -> float:
    """Estimate a failure domain's demand before any has been observed.

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
    """Build the plan for one cache size.

    :param kinds: kind of each card in the domain
    :param cache_tokens: tokens for which each layer reserves memory
    :param demand: tokens in flight that each layer must hold
    """
    slots = profile.slots * chaincosts.SLOT_FRACTION
    first_tokens = min(
        float(cache_tokens), slots * _count_usual_tokens(profile)
    )
    held_layers = sum(
        count_layers(profile, kind, cache_tokens) for kind in kinds
    )
    holds_many = held_layers >= MIN_COPIES_FOR_FIRST * profile.layers
    return CachePlan(
        cache_tokens,
        held_layers / max(1, len(kinds)),
        availability.tabulate_refused_shares(
            demand / cache_tokens, MAX_HOLDERS
        ),
        availability.tabulate_refused_shares(
            demand / max(1.0, first_tokens), MAX_HOLDERS
        ),
        MIN_FIRST_ENDPOINTS if holds_many else 1,
    )


def _estimate_refused(plan: CachePlan, layers: int, cards: int) -> float:
    """Estimate the share of refused streams for evenly spread layers.

    :param layers: layers of the model
    :returns: expected share, summed over the parts of a chain; larger than any
        share for plans with fewer than MIN_COPIES copies
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
    """Choose the cache size of a failure domain's cards.

    :param kinds: kind of each card in the domain
    :param demand: tokens in flight that each layer must hold
    """
    # Each holder of a layer serves about as many streams as a first
    # endpoint, so cache beyond its slots would stay empty.
    most = max(CACHE_STEPS, profile.slots * _count_usual_tokens(profile))
    plans = [
        _make_plan(profile, kinds, most * step // CACHE_STEPS, demand)
        for step in range(1, CACHE_STEPS + 1)
    ]
    return min(
        plans,
        key=lambda plan: _estimate_refused(plan, profile.layers, len(kinds)),
    )
