"""What a chain of endpoints costs a request, in expected milliseconds."""

import math
from typing import Callable, Mapping

import attrs

from dunlintide_core.pipeline import chains
from dunlintide_core.pipeline import occupancy
from dunlintide_core.pipeline import profiles

__all__ = [
    'ENTRY_CROSSING_MS',
    'OTHER_DOMAIN_FACTOR',
    'ROOM_PART',
    'SEQUENCES_TO_DOUBLE',
    'SLOT_PART',
    'Crossing',
    'LayerTimes',
    'make_crossing',
    'time_event',
    'time_read',
    'time_step',
]

# Requests in flight at which an endpoint counts as twice as slow, so that
# equal cards fill evenly.
SEQUENCES_TO_DOUBLE = 24.0
# Wait of a token at each endpoint for a pass to begin.
HOP_MS = 0.25
# A chain begins in the caller's failure domain unless another is this much
# better: chains that change domain freely fill the shared pipes.
ENTRY_CROSSING_MS = 20.0
# A chain within another failure domain counts as this much dearer, since the
# use of its engines is known late: all entries would send to a domain that
# looked idle in their last news, and its engines refuse.
OTHER_DOMAIN_FACTOR = 3.0
# Beyond any chain within one failure domain, so that pipes are crossed only
# where no domain has room: prompts take a pipe one by one, and the tokens of
# all streams that cross wait for them.
PIPE_CROSSING_MS = 60_000.0
# Share of a pipe that requests may fill. Beyond it transfers queue, streams
# slow down and more of them are under way, which fills the pipe further.
PIPE_PART = 0.5
# Time that a request is under way, in seconds, to turn a pipe's bandwidth
# into a number of requests.
PIPE_SECONDS = 1.0
# As many requests that cross make another wait as long as its own transfer:
# most of those under way are past their prompt.
CROSSINGS_TO_DOUBLE = 4.0
# Shares of a first endpoint's slots and of an endpoint's memory that are
# given out: what other entries have just begun is not known yet.
SLOT_PART = 0.92
ROOM_PART = 0.9

Crossing = Callable[[str, str], float]


def time_step(profile: profiles.EngineProfile, kind: str) -> float:
    """Give a card's time for one layer as a share of the published step."""
    return profile.accelerators[kind].step_factor / profile.layers


def time_read(profile: profiles.EngineProfile, kind: str) -> float:
    """Give a card's time to read one prompt token on one layer, in ms."""
    factor = profile.accelerators[kind].read_factor
    return factor * 1000.0 / profile.read_per_second / profile.layers


def time_event(profile: profiles.EngineProfile, hops: chains.Hops) -> float:
    """Give the time of an event by what is published, in seconds."""
    steps = sum(
        time_step(profile, hop.endpoint.kind) * (hop.end - hop.start)
        for hop in hops
    )
    return steps * profile.step_ms * profile.stride / 1000.0


@attrs.frozen
class LayerTimes:
    """What the time of one layer depends on, the endpoint aside.

    :ivar prompt: prompt tokens
    :ivar steps: time of all steps on a card of factor 1, in ms
    :ivar sequence: what each request in flight adds to it, in ms
    """

    prompt: int
    steps: float
    sequence: float

    @classmethod
    def from_demand(
        cls, profile: profiles.EngineProfile, demand: chains.Demand
    ) -> 'LayerTimes':
        """Work out what all endpoints have in common for a request."""
        steps = demand.answer * profile.step_ms
        sequence = demand.answer * profile.sequence_ms
        return cls(demand.prompt, steps, sequence)


def count_crossings(profile: profiles.EngineProfile) -> float:
    """Count the requests that may cross a pipe at the same time."""
    tokens = max(1, profile.usual_prompt + profile.usual_answer)
    seconds = profile.time_transfer(tokens, True) / 1000.0
    if not seconds:
        return math.inf
    return max(1.0, PIPE_PART * PIPE_SECONDS / seconds)


def make_crossing(
    profile: profiles.EngineProfile,
    demand: chains.Demand,
    usages: Mapping[str, occupancy.Usage],
    avoids_pipes: bool = True,
) -> Crossing:
    """Build the cost of passing a request on, infinite over a full pipe.

    :param usages: use of pipes, by name
    :param avoids_pipes: whether a chain crosses only where no other has room
    """
    known: dict[tuple[str, str], float] = {}
    tokens = demand.prompt + demand.answer

    def measure(one: str, other: str) -> float:
        across = one != other
        cost = profile.time_transfer(tokens, across)
        if across:
            usage = usages.get(chains.name_pipe(one, other))
            crossing = usage.sequences if usage else 0
            if crossing >= count_crossings(profile):
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
