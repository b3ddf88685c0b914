"""What an entry learns of one model version, and its plan.

One background thread owns the estimates and the planning; the threads of
links and requests only append what they saw to a bounded queue. So no
request waits for a plan, however large the fleet is.
"""

import collections
import threading
import time
from typing import Any, Collection, Iterable, Sequence

import attrs

from dunlintide_core import affinity
from dunlintide_core import cacheupdates
from dunlintide_core import fleet as core_fleet
from dunlintide_core import plan as plans
from dunlintide_core import replan
from dunlintide_core import roundrobin
from dunlintide_core import selection
from dunlintide_daemon.entry import fleet

__all__ = [
    'Interval',
    'Learner',
    'News',
    'Pace',
    'Report',
    'build_stop',
]

# What an endpoint that declares no capacity is taken to carry.
_UNDECLARED_TOKENS_PER_SECOND = 1000.0
# An interval is the mean over this many tokens, or over what came in
# this time when a chain is slow.
_TOKENS = 8
_LONGEST_SECONDS = 1.0
# Observations that may wait for the background thread; more are old.
_MAX_WAITING = 20_000
# Estimates below this are worth an operator's look.
_SUSPECTED = 0.9


@attrs.frozen
class Report:
    """A load report of an agent, and when it came."""

    agent: str
    load: core_fleet.LoadReport
    moment: float


@attrs.frozen
class News:
    """What an agent tells of its engine's cache, and when it came."""

    agent: str
    news: cacheupdates.Update
    moment: float


@attrs.frozen
class Interval:
    """Mean time between some tokens that came over a chain."""

    agents: tuple[str, ...]
    seconds: float
    moment: float


@attrs.define
class Pace:
    """Token intervals of one attempt, in means over several tokens."""

    _since: float | None = None
    _count: int = 0

    def note(self, count: int, now: float) -> float | None:
        """Take tokens that came together.

        The time to the first token is prefill and counts for nothing.

        :param now: monotonic time in seconds
        :returns: a mean interval in seconds, once enough have come
        """
        if self._since is None:
            self._since = now
            return None
        self._count += count
        elapsed = now - self._since
        if self._count < _TOKENS and elapsed < _LONGEST_SECONDS:
            return None
        mean = elapsed / self._count
        self._since, self._count = now, 0
        return mean


def build_stop(agent: fleet.Agent) -> plans.Stage:
    """Give an agent in the form of the planner."""
    endpoint = agent.peer.endpoint
    return plans.Stage(
        agent=agent.peer.name,
        layer_start=endpoint.layer_start,
        layer_end=endpoint.layer_end,
        capacity=endpoint.tokens_per_second or _UNDECLARED_TOKENS_PER_SECOND,
        failure_domain=agent.peer.failure_domain,
    )


def _sum_shares(plan: plans.Plan) -> dict[str, float]:
    shares: dict[str, float] = {}
    for chain in plan.chains:
        for agent in chain.agents:
            shares[agent] = shares.get(agent, 0.0) + chain.share
    return shares


class Learner:
    """Estimates, plan and choice of one model version."""

    def __init__(self, layers: int, in_turn: bool) -> None:
        """Begin without endpoints.

        :param in_turn: take endpoints in turn instead, as a baseline
        """
        self.layers = layers
        self._replanner = replan.Replanner(layers, plans.Links())
        self._waiting: collections.deque[Report | Interval | News] = (
            collections.deque(maxlen=_MAX_WAITING)
        )
        self._declared: dict[str, plans.Stage] = {}
        self._lives: dict[str, int] = {}
        self._lock = threading.Lock()
        self._chooser = selection.Chooser()
        self._affinity = affinity.AffinityMap()
        self._turns = roundrobin.RoundRobin() if in_turn else None
        self._described: dict[str, Any] = {}
        self._observations = 0
        self._told = 0
        self._prompts = 0
        self._known = 0

    def note(self, observation: Report | Interval | News) -> None:
        """Take an observation for later; never blocks."""
        self._waiting.append(observation)

    def refresh(self, agents: Iterable[fleet.Agent], now: float) -> None:
        """Plan again if that is due; for the background thread only.

        :param agents: usable agents of the model version
        :param now: monotonic time in seconds
        """
        agents = list(agents)
        stops = {agent.peer.name: build_stop(agent) for agent in agents}
        self._track_lives(agents, now)
        if stops != self._declared:
            self._declared = stops
            self._replanner.set_stops(stops.values())
        self._learn()
        plan = self._replanner.replan_if_due(now)
        if plan is not None:
            with self._lock:
                self._chooser.adopt(plan, self._replanner.stops, self.layers)
        self._described = self._describe()

    def _track_lives(self, agents: Iterable[fleet.Agent], now: float) -> None:
        lives = {one.peer.name: one.peer.incarnation for one in agents}
        with self._lock:
            for name, life in lives.items():
                # Its engine may have been started anew as well.
                if self._lives.get(name, life) != life:
                    self._affinity.invalidate(name, now)
            self._lives |= lives

    def _learn(self) -> None:
        for _ in range(len(self._waiting)):
            seen = self._waiting.popleft()
            if isinstance(seen, News):
                self._take_news(seen)
                continue
            self._observations += 1
            if isinstance(seen, Report):
                self._replanner.observe_load(
                    seen.agent, seen.load, seen.moment
                )
                with self._lock:
                    self._chooser.report(seen.agent, seen.load, seen.moment)
                continue
            stops = tuple(map(self._declared.get, seen.agents))
            if None not in stops:
                chain = plans.Chain(stops)
                self._replanner.observe_interval(
                    chain, seen.seconds, seen.moment
                )

    def _take_news(self, seen: News) -> None:
        with self._lock:
            if seen.news.all:
                self._affinity.invalidate(seen.agent, seen.moment)
            self._affinity.record(seen.news.held, [seen.agent], seen.moment)
            self._affinity.remove(seen.agent, seen.news.lost)
            self._told += len(seen.news.held)

    def choose(
        self,
        rng: Any,
        avoid: Collection[str],
        blocks: Sequence[int] = (),
    ) -> plans.Chain | None:
        """Choose the chain of a request; None when nothing tiles.

        :param rng: draws the chains
        :param avoid: names of agents that are not to be chosen
        :param blocks: hashes of the prompt's blocks
        """
        now = time.monotonic()
        with self._lock:
            if self._turns is not None:
                stops = list(self._declared.values())
                return self._turns.choose(stops, self.layers, avoid)
            holders = self._affinity.find(blocks, now)
            self._prompts += bool(blocks)
            self._known += bool(holders)
            chain = self._chooser.choose(now, rng, avoid, holders)
            if chain is not None:
                self._affinity.record(blocks, chain.agents, now)
            return chain

    def add_work(self, names: Iterable[str], amount: int) -> None:
        """Count a chain's requests: 1 when one begins, -1 when it ends."""
        # Counted by name, as an agent may be gone when its request ends.
        chain = plans.Chain(
            tuple(plans.Stage(name, 0, 0, 0.0) for name in names)
        )
        with self._lock:
            if amount > 0:
                self._chooser.begin(chain)
            else:
                self._chooser.end(chain)

    def _describe(self) -> dict[str, Any]:
        replanner = self._replanner
        factors = replanner.capacities.list_factors()
        return {
            'bound': round(replanner.plan.bound, 3),
            'plans': replanner.plan_count,
            'agents': len(self._declared),
            'observations': self._observations,
            'shares': {
                agent: round(share, 3)
                for agent, share in _sum_shares(replanner.plan).items()
            },
            'suspected_agents': {
                agent: round(factor, 3)
                for agent, factor in factors.items()
                if factor < _SUSPECTED
            },
            'suspected_links': {
                ' '.join(map(str, place)): round(factor, 3)
                for place, factor in replanner.delays.list_factors().items()
                if factor < _SUSPECTED
            },
        }

    def count_prompts(self) -> tuple[int, int]:
        """Count prompts, and those with a known holder of their start."""
        with self._lock:
            return self._prompts, self._known

    def describe(self) -> dict[str, Any]:
        """Return the state for a dump, as of the last refresh."""
        with self._lock:
            return self._described | {
                'in_flight': dict(self._chooser.count_in_flight()),
                'reported': dict(self._chooser.list_reported()),
                'prefix_blocks': len(self._affinity),
                'prefixes_told': self._told,
                'prompts': self._prompts,
                'prompts_known': self._known,
            }
