"""Outstanding work of endpoints, from own counts and late reports."""

from collections.abc import Iterable

import attrs

from dunlintide_core import plan as plans

__all__ = [
    'Load',
    'estimate_saturation',
    'score',
]

# A load report counts linearly less with age, and not at all after this
# many seconds.
_REPORT_LIFETIME_SECONDS = 10.0
# Time in one stage, about, when only the links' latencies are known.
_STEP_SECONDS = 0.02
_MIN_SATURATION = 1e-9


@attrs.define
class Load:
    """Outstanding work of one agent, in requests.

    :ivar room: requests that it holds when it is just kept busy
    :ivar own: requests of this process
    :ivar others: requests of all other processes, as last reported
    :ivar reported: time of that report, in seconds
    """

    saturation: float
    own: int = 0
    others: float = 0.0
    reported_at: float = 0.0


def estimate_saturation(
    plan: plans.Plan, stages: Iterable[plans.Stage]
) -> dict[str, float]:
    """Estimate how many requests keep each endpoint just busy.

    By Little's law that is its rate times the time that a token takes
    round its chains. Work over capacity alone would shun far endpoints,
    whose requests are mostly on the way.

    :param stops: all endpoints, also those outside the plan
    :returns: by agent
    """
    round_trips: dict[str, float] = {}
    shares: dict[str, float] = {}
    for chain in plan.chains:
        seconds = chain.latency + _STEP_SECONDS * len(chain.stages)
        for agent in chain.agents:
            round_trips[agent] = (
                round_trips.get(agent, 0.0) + chain.share * seconds
            )
            shares[agent] = shares.get(agent, 0.0) + chain.share
    total = sum(shares.values())
    mean_round_trip = sum(round_trips.values()) / total if total else 1.0
    saturations = {}
    for stage in stages:
        seconds = mean_round_trip
        if shares.get(stage.agent):
            seconds = round_trips[stage.agent] / shares[stage.agent]
        saturations[stage.agent] = max(
            _MIN_SATURATION, stage.capacity * seconds
        )
    return saturations


def score(loads: Iterable[Load], now: float) -> float:
    """Give the work of the fullest endpoint over its room.

    :param now: time in seconds, against which reports age
    """
    worst = 0.0
    for load in loads:
        weight = 1.0 - (now - load.reported_at) / _REPORT_LIFETIME_SECONDS
        others = load.others * weight if weight > 0.0 else 0.0
        value = (load.own + others) / load.saturation
        if value > worst:
            worst = value
    return worst
