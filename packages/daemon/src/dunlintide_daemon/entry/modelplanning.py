"""Capacity estimates, routing plan and chain choice of one model version.

One background thread owns the estimates and the planning. The threads of
links and requests only append observations to a bounded queue, so no
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
    'ModelPlanner',
    'TimedCacheUpdate',
    'TimedLoad',
    'TokenInterval',
    'TokenIntervals',
    'build_stage',
]

# Assumed capacity of an endpoint that declares none.
_DEFAULT_TOKENS_PER_SECOND = 1000.0
# A token interval is the mean over this many tokens, or over those of this
# time on a slow chain.
_INTERVAL_TOKENS = 8
_MAX_INTERVAL_SECONDS = 1.0
# Bound on queued observations; the oldest are dropped beyond it.
_MAX_QUEUED = 20_000
# The state dump lists agents and links whose estimated factor, 1 when they
# perform as declared, is below this.
_SUSPICION_FACTOR = 0.9


@attrs.frozen
class TimedLoad:
    """Load report of an agent and its time of receipt.

    :ivar received_at: monotonic time in seconds
    """

    agent: str
    load: core_fleet.LoadReport
    received_at: float


@attrs.frozen
class TimedCacheUpdate:
    """Prefix cache update of an agent and its time of receipt.

    :ivar received_at: monotonic time in seconds
    """

    agent: str
    update: cacheupdates.Update
    received_at: float


@attrs.frozen
class TokenInterval:
    """Mean time between consecutive tokens that a chain delivered.

    :ivar agents: names of the agents of the chain
    :ivar seconds: mean interval in seconds
    :ivar received_at: monotonic time in seconds
    """

    agents: tuple[str, ...]
    seconds: float
    received_at: float


@attrs.define
class TokenIntervals:
    """Averages the token intervals of one attempt over several tokens."""

    _since: float | None = None
    _count: int = 0

    def add(self, count: int, now: float) -> float | None:
        """Add tokens that arrived together.

        The time to the first token is prefill and is not counted.

        :param count: number of tokens
        :param now: monotonic time in seconds
        :returns: mean interval in seconds, None until there are enough
            tokens
        """
        if self._since is None:
            self._since = now
            return None
        self._count += count
        elapsed = now - self._since
        if self._count < _INTERVAL_TOKENS and elapsed < _MAX_INTERVAL_SECONDS:
            return None
        mean = elapsed / self._count
        self._since, self._count = now, 0
        return mean


def build_stage(agent: fleet.Agent) -> plans.Stage:
    """Convert an agent to a stage for the planner."""
    endpoint = agent.peer.endpoint
    return plans.Stage(
        agent=agent.peer.name,
        layer_start=endpoint.layer_start,
        layer_end=endpoint.layer_end,
        capacity=endpoint.tokens_per_second or _DEFAULT_TOKENS_PER_SECOND,
        failure_domain=agent.peer.failure_domain,
    )


def _sum_shares(plan: plans.Plan) -> dict[str, float]:
    shares: dict[str, float] = {}
    for chain in plan.chains:
        for agent in chain.agents:
            shares[agent] = shares.get(agent, 0.0) + chain.share
    return shares


class ModelPlanner:
    """Plans the chains of one model version and chooses among them."""

    def __init__(self, layers: int, round_robin: bool) -> None:
        """Initialize without endpoints.

        :param layers: number of layers of the model
        :param round_robin: choose endpoints by round robin instead of by
            plan, as a baseline
        """
        self.layers = layers
        self._replanner = replan.Replanner(layers, plans.Links())
        self._queue: collections.deque[
            TimedLoad | TokenInterval | TimedCacheUpdate
        ] = collections.deque(maxlen=_MAX_QUEUED)
        self._declared: dict[str, plans.Stage] = {}
        self._incarnations: dict[str, int] = {}
        self._lock = threading.Lock()
        self._chooser = selection.Chooser()
        self._affinity = affinity.AffinityMap()
        self._round_robin = roundrobin.RoundRobin() if round_robin else None
        self._state: dict[str, Any] = {}
        self._observations = 0
        self._reported_blocks = 0
        self._prompts = 0
        self._known_prompts = 0

    def enqueue(
        self, observation: TimedLoad | TokenInterval | TimedCacheUpdate
    ) -> None:
        """Queue an observation for the background thread; never blocks."""
        self._queue.append(observation)

    def refresh(self, agents: Iterable[fleet.Agent], now: float) -> None:
        """Apply queued observations and replan if due.

        Called by the background thread only.

        :param agents: usable agents of the model version
        :param now: monotonic time in seconds
        """
        agents = list(agents)
        stages = {agent.peer.name: build_stage(agent) for agent in agents}
        self._track_restarts(agents, now)
        if stages != self._declared:
            self._declared = stages
            self._replanner.set_stops(stages.values())
        self._apply_observations()
        plan = self._replanner.replan_if_due(now)
        if plan is not None:
            with self._lock:
                self._chooser.adopt(plan, self._replanner.stops, self.layers)
        self._state = self._describe()

    def _track_restarts(
        self, agents: Iterable[fleet.Agent], now: float
    ) -> None:
        incarnations = {one.peer.name: one.peer.incarnation for one in agents}
        with self._lock:
            for name, incarnation in incarnations.items():
                # The engine may have restarted with the agent, and its
                # prefix cache may be empty.
                if self._incarnations.get(name, incarnation) != incarnation:
                    self._affinity.invalidate(name, now)
            self._incarnations |= incarnations

    def _apply_observations(self) -> None:
        for _ in range(len(self._queue)):
            observation = self._queue.popleft()
            if isinstance(observation, TimedCacheUpdate):
                self._apply_cache_update(observation)
                continue
            self._observations += 1
            if isinstance(observation, TimedLoad):
                self._replanner.observe_load(
                    observation.agent,
                    observation.load,
                    observation.received_at,
                )
                with self._lock:
                    self._chooser.report(
                        observation.agent,
                        observation.load,
                        observation.received_at,
                    )
                continue
            stages = tuple(map(self._declared.get, observation.agents))
            if None not in stages:
                chain = plans.Chain(stages)
                self._replanner.observe_interval(
                    chain, observation.seconds, observation.received_at
                )

    def _apply_cache_update(self, observation: TimedCacheUpdate) -> None:
        with self._lock:
            if observation.update.all:
                self._affinity.invalidate(
                    observation.agent, observation.received_at
                )
            self._affinity.record(
                observation.update.held,
                [observation.agent],
                observation.received_at,
            )
            self._affinity.remove(observation.agent, observation.update.lost)
            self._reported_blocks += len(observation.update.held)

    def choose(
        self,
        rng: Any,
        avoid: Collection[str],
        blocks: Sequence[int] = (),
    ) -> plans.Chain | None:
        """Choose the chain of a request.

        :param rng: random source of the choice
        :param avoid: names of agents to exclude
        :param blocks: hashes of the prompt's blocks
        :returns: None if the remaining agents don't cover all layers
        """
        now = time.monotonic()
        with self._lock:
            if self._round_robin is not None:
                stages = list(self._declared.values())
                return self._round_robin.choose(stages, self.layers, avoid)
            holders = self._affinity.find(blocks, now)
            self._prompts += bool(blocks)
            self._known_prompts += bool(holders)
            chain = self._chooser.choose(now, rng, avoid, holders)
            if chain is not None:
                self._affinity.record(blocks, chain.agents, now)
            return chain

    def add_work(self, names: Iterable[str], amount: int) -> None:
        """Count the requests in flight on a chain.

        :param names: names of the agents of the chain
        :param amount: 1 when a request starts, -1 when it ends
        """
        # Counted by name, since an agent may have left the fleet before its
        # request ends.
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
                if factor < _SUSPICION_FACTOR
            },
            'suspected_links': {
                ' '.join(map(str, link)): round(factor, 3)
                for link, factor in replanner.delays.list_factors().items()
                if factor < _SUSPICION_FACTOR
            },
        }

    def count_prompts(self) -> tuple[int, int]:
        """Return how many prompts there were, and how many had a known prefix.

        :returns: all prompts, and those of which an agent is known to
            cache a prefix
        """
        with self._lock:
            return self._prompts, self._known_prompts

    def describe(self) -> dict[str, Any]:
        """Return the state for a dump; estimates are of the last refresh."""
        with self._lock:
            return self._state | {
                'in_flight': dict(self._chooser.count_in_flight()),
                'reported': dict(self._chooser.list_reported()),
                'prefix_blocks': len(self._affinity),
                'prefixes_told': self._reported_blocks,
                'prompts': self._prompts,
                'prompts_known': self._known_prompts,
            }
