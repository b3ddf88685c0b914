"""Outstanding requests of endpoints, from own counts and delayed reports."""

from collections.abc import Iterable

import attrs

from dunlintide_core import plan as plans

__all__ = [
    'Load',
    'estimate_saturation',
    'score',
]

# The weight of a load report falls linearly with its age, to 0 at this age.
_REPORT_LIFETIME_SECONDS = 10.0
# Approximate time in one stage, where only link latencies are known.
_STEP_SECONDS = 0.02
_MIN_SATURATION = 1e-9


@attrs.define
class Load:
    """Outstanding requests of one agent.

    :ivar saturation: number of requests that just keep the endpoint busy
    :ivar own: requests of this process
    :ivar others: requests of all other processes, by the last report
    :ivar reported_at: time of that report in seconds
    """

    saturation: float
    own: int = 0
    others: float = 0.0
    reported_at: float = 0.0


def estimate_saturation(
    plan: plans.Plan, stages: Iterable[plans.Stage]
) -> dict[str, float]:
    """Estimate the number of requests that just keep each endpoint busy.

    By Little's law it is the rate of the endpoint times the round trip of
    a token through its chains. Dividing requests by capacity alone would
    put remote endpoints at a disadvantage, since most of their requests
    are on the network.

    :param stages: all endpoints, including those not in the plan
    :returns: the number of requests by agent
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
    """Return the highest ratio of requests to saturation.

    :param now: time in seconds, from which the age of reports counts
    """
    worst = 0.0
    for load in loads:
        weight = 1.0 - (now - load.reported_at) / _REPORT_LIFETIME_SECONDS
        others = load.others * weight if weight > 0.0 else 0.0
        value = (load.own + others) / load.saturation
        if value > worst:
            worst = value
    return worst
