"""How long until endpoints that asked for a pause can serve a request.

A request that would wait longer than it may is refused at once, and its caller
is told to return when an endpoint may be used again.
"""

import random as random_module
from typing import Callable, Iterable

from dunlintide_core.pipeline import endpoints as endpoints_module

__all__ = [
    'choose_retry_delay',
    'find_chain_return',
    'find_service_return',
]

Endpoint = endpoints_module.Endpoint
# Returns for how long an endpoint may not be used, by its name, in seconds.
GetLeft = Callable[[str], float]
# Time over which refused callers return after the end of a pause, in seconds:
# an endpoint is taken up again slowly.
SPREAD_SECONDS = 1.0


def choose_retry_delay(seconds: float, random: random_module.Random) -> float:
    """Return the delay before callers that were refused for a pause retry.

    :param seconds: time until the first endpoint may be used again
    :returns: seconds, never before that time and spread behind it
    """
    return seconds + SPREAD_SECONDS * random.random()


def find_service_return(
    endpoints: Iterable[Endpoint], get_left: GetLeft
) -> float:
    """Return the time until one endpoint of a plain service may be used.

    :param endpoints: all listed endpoints of the service
    :returns: seconds, infinite if all of them leave; 0 if none is listed,
        since one may be at any moment
    """
    listed = list(endpoints)
    if not listed:
        return 0.0
    return min(
        (get_left(each.name) for each in listed if not each.draining),
        default=float('inf'),
    )


def find_chain_return(
    engines: Iterable[Endpoint], layers: int, get_left: GetLeft
) -> float:
    """Return the time until each layer has an engine that may be used.

    Layers that no engine holds do not count: an engine may be loading them.

    :param engines: engines that hold layers and do not leave
    :param layers: number of layers of the model
    :returns: seconds
    """
    holders = list(engines)
    left = {each.name: get_left(each.name) for each in holders}
    if not any(left.values()):
        return 0.0
    cuts = {each.start for each in holders} | {each.end for each in holders}
    longest = 0.0
    for position in cuts:
        if not 0 <= position < layers:
            continue
        longest = max(
            longest,
            min(
                (
                    left[each.name]
                    for each in holders
                    if each.start <= position < each.end
                ),
                default=0.0,
            ),
        )
    return longest
