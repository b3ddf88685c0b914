"""Outstanding work of endpoints, from own counts and late reports."""

from collections.abc import Iterable

import attrs

from dunlintide_core import plan as plans

__all__ = [
    'Load',
    'expect_rooms',
    'score',
]

# A load report counts linearly less with age, and not at all after this
# many seconds.
_REPORT_LIFE = 10.0
# Time in one stage, about, when only the links' latencies are known.
_STEP_SECONDS = 0.02
_LEAST_ROOM = 1e-9


@attrs.define
class Load:
    """Outstanding work of one agent, in requests.

    :ivar room: requests that it holds when it is just kept busy
    :ivar own: requests of this process
    :ivar others: requests of all other processes, as last reported
    :ivar reported: time of that report, in seconds
    """

    room: float
    own: int = 0
    others: float = 0.0
    reported: float = 0.0


def expect_rooms(
    plan: plans.Plan, stops: Iterable[plans.Stop]
) -> dict[str, float]:
    """Estimate how many requests keep each endpoint just busy.

    By Little's law that is its rate times the time that a token takes
    round its chains. Work over capacity alone would shun far endpoints,
    whose requests are mostly on the way.

    :param stops: all endpoints, also those outside the plan
    :returns: by agent
    """
    rounds: dict[str, float] = {}
    shares: dict[str, float] = {}
    for chain in plan.chains:
        seconds = chain.latency + _STEP_SECONDS * len(chain.stops)
        for agent in chain.agents:
            rounds[agent] = rounds.get(agent, 0.0) + chain.share * seconds
            shares[agent] = shares.get(agent, 0.0) + chain.share
    total = sum(shares.values())
    usual = sum(rounds.values()) / total if total else 1.0
    rooms = {}
    for stop in stops:
        seconds = usual
        if shares.get(stop.agent):
            seconds = rounds[stop.agent] / shares[stop.agent]
        rooms[stop.agent] = max(_LEAST_ROOM, stop.capacity * seconds)
    return rooms


def score(loads: Iterable[Load], now: float) -> float:
    """Give the work of the fullest endpoint over its room.

    :param now: time in seconds, against which reports age
    """
    worst = 0.0
    for load in loads:
        weight = 1.0 - (now - load.reported) / _REPORT_LIFE
        others = load.others * weight if weight > 0.0 else 0.0
        value = (load.own + others) / load.room
        if value > worst:
            worst = value
    return worst
