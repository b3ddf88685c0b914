"""Cost of a chain of endpoints for a request, in expected milliseconds."""

import math
from typing import Callable, Mapping

import attrs

from dunlintide_core.pipeline import chains
from dunlintide_core.pipeline import occupancy
from dunlintide_core.pipeline import profiles

__all__ = [
    'MEMORY_FRACTION',
    'OTHER_DOMAIN_FACTOR',
    'REMOTE_ENTRY_PENALTY_MS',
    'SEQUENCES_TO_DOUBLE',
    'SLOT_FRACTION',
    'HandoffCost',
    'LayerTimes',
    'estimate_event_seconds',
    'get_layer_read_ms',
    'get_layer_step',
    'make_handoff_cost',
]

# Requests in flight at which an endpoint counts as twice as slow, so that
# equal cards fill evenly.
SEQUENCES_TO_DOUBLE = 24.0
# Time that a token waits at each endpoint for the next pass to begin.
HOP_MS = 0.25
# Penalty for a chain that begins outside the caller's failure domain. Without
# it chains change domains freely and fill the shared pipes.
REMOTE_ENTRY_PENALTY_MS = 20.0
# Factor on the cost of a chain within another failure domain. Usage reports
# from there are old: all entries would send to a domain that looked idle in
# its last report, and its engines would refuse.
OTHER_DOMAIN_FACTOR = 3.0
# Penalty above the cost of any chain within one failure domain, so that pipes
# are crossed only where no domain has capacity: prompts take a pipe one by
# one, and the tokens of all streams that cross it wait for them.
PIPE_PENALTY_MS = 60_000.0
# Fraction of the bandwidth of a pipe that requests may use. Beyond it
# transfers queue, streams slow down and more of them are in flight, which
# loads the pipe further.
PIPE_FRACTION = 0.5
# Assumed duration of a request, in seconds, to convert a pipe's bandwidth into
# a number of requests.
REQUEST_SECONDS = 1.0
# Number of crossing requests that delay another one by its own transfer time.
# Most requests in flight have sent their prompt already.
CROSSINGS_TO_DOUBLE = 4.0
# Fractions of a first endpoint's slots and of an endpoint's memory that are
# allocated: what other entries have just begun is not known yet.
SLOT_FRACTION = 0.92
MEMORY_FRACTION = 0.9

HandoffCost = Callable[[str, str], float]


def get_layer_step(profile: profiles.EngineProfile, kind: str) -> float:
    """Return a card's step time for one layer, relative to a full step."""
    return profile.accelerators[kind].step_factor / profile.layers


def get_layer_read_ms(profile: profiles.EngineProfile, kind: str) -> float:
    """Return a card's time to read one prompt token on one layer, in ms."""
    factor = profile.accelerators[kind].read_factor
    return factor * 1000.0 / profile.read_per_second / profile.layers


def estimate_event_seconds(
    profile: profiles.EngineProfile, hops: chains.Hops
) -> float:
    """Return the published time of one event on a chain, in seconds."""
    step_share = sum(
        get_layer_step(profile, hop.endpoint.kind) * (hop.end - hop.start)
        for hop in hops
    )
    return step_share * profile.step_ms * profile.stride / 1000.0


@attrs.frozen
class LayerTimes:
    """Inputs to the time of one layer that are the same for all endpoints.

    :ivar prompt: prompt tokens
    :ivar steps: time of all steps on a card of factor 1, in ms
    :ivar sequence: time that each request in flight adds to it, in ms
    """

    prompt: int
    steps: float
    sequence: float

    @classmethod
    def from_demand(
        cls, profile: profiles.EngineProfile, demand: chains.Demand
    ) -> 'LayerTimes':
        """Derive the times from what a request needs."""
        steps = demand.answer * profile.step_ms
        sequence = demand.answer * profile.sequence_ms
        return cls(demand.prompt, steps, sequence)


def get_max_crossings(profile: profiles.EngineProfile) -> float:
    """Return how many requests may cross a pipe at the same time."""
    tokens = max(1, profile.usual_prompt + profile.usual_answer)
    seconds = profile.get_transfer_ms(tokens, True) / 1000.0
    if not seconds:
        return math.inf
    return max(1.0, PIPE_FRACTION * REQUEST_SECONDS / seconds)


def make_handoff_cost(
    profile: profiles.EngineProfile,
    demand: chains.Demand,
    usages: Mapping[str, occupancy.Usage],
    avoids_pipes: bool = True,
) -> HandoffCost:
    """Build a function that returns the cost of a handoff in ms.

    The cost of handing a request from an endpoint of one failure domain to one
    of another is infinite over a full pipe.

    :param usages: usage of pipes, by name
    :param avoids_pipes: whether a chain crosses a pipe only where no other has
        capacity
    """
    known: dict[tuple[str, str], float] = {}
    tokens = demand.prompt + demand.answer

    def calculate(one: str, other: str) -> float:
        """Return the cost of a handoff from one domain to another."""
        across = one != other
        cost = profile.get_transfer_ms(tokens, across)
        if across:
            usage = usages.get(chains.name_pipe(one, other))
            crossing = usage.sequences if usage else 0
            if crossing >= get_max_crossings(profile):
                return math.inf
            cost *= 1.0 + crossing / CROSSINGS_TO_DOUBLE
            cost += PIPE_PENALTY_MS if avoids_pipes else 0.0
        per_token = profile.get_delay_ms(one, other) + HOP_MS
        return cost + demand.answer * per_token

    def look_up(one: str, other: str) -> float:
        """Return the cost of a handoff, calculated once for each pair."""
        if (one, other) not in known:
            known[one, other] = calculate(one, other)
        return known[one, other]

    return look_up
