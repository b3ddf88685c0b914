"""Number of requests that the endpoints of a service run at once."""

import collections
from typing import Iterable

import attrs

from dunlintide_core.pipeline import endpoints as endpoints_module
from dunlintide_core.pipeline import profiles

__all__ = [
    'EngineCapacity',
    'count_slots',
    'estimate_streams',
]


@attrs.frozen(eq=False)
class EngineCapacity:
    """Capacity of the engines of a service in one version of the listing.

    :ivar version: version of the listing
    :ivar profile: cost model of the engines
    :ivar streams: streams of usual length that they run at once
    """

    version: int
    profile: profiles.EngineProfile
    streams: float


def count_slots(endpoints: Iterable[endpoints_module.Endpoint]) -> int:
    """Return the slots of the plain endpoints that accept requests."""
    return sum(each.slots for each in endpoints if not each.draining)


def estimate_streams(
    profile: profiles.EngineProfile,
    engines: Iterable[endpoints_module.Endpoint],
) -> float:
    """Return how many streams of usual length engines run at once.

    It is the minimum over the layers, limited by the slots of the engines that
    run the first layer.

    :param engines: engines that accept requests
    :returns: 0 if a layer has no engine
    """
    # Change of the cache capacity at the ends of layer ranges, in tokens.
    changes: dict[int, float] = collections.defaultdict(float)
    changes[0] = 0.0
    slots = 0.0
    for each in engines:
        layers = each.end - each.start
        if layers <= 0:
            continue
        tokens = profile.get_cache_capacity(each.kind, layers) / layers
        changes[each.start] += tokens
        changes[each.end] -= tokens
        if each.start == 0:
            slots += profile.slots
    layer_tokens = 0.0
    least = float('inf')
    for layer, change in sorted(changes.items()):
        layer_tokens += change
        if layer < profile.layers:
            least = min(least, layer_tokens)
    usual_tokens = max(1, profile.usual_prompt + profile.usual_answer)
    return max(0.0, min(least / usual_tokens, slots))
