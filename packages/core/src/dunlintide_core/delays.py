"""Detection of degraded links from the token intervals of chains.

The token interval of a chain is compared with its own baseline, relative
to the other chains at that time, so that a general rise in load is not
attributed to links. A link is suspected after several consecutive slow
intervals of chains that use it; one normal interval discards the
collected evidence.
"""

import collections
from collections.abc import Callable, Iterable, Mapping
import itertools

import attrs

from dunlintide_core import capacity
from dunlintide_core import plan as plans

__all__ = ['DelayModel']

# Multiples of the usual interval: from the first on an interval is evidence
# against the links of its chain, below the second it is evidence for them.
_SLOW_RATIO = 2.5
_NORMAL_RATIO = 1.6
# Slow intervals required before a link is suspected.
_MIN_OBSERVATIONS = 4
# One pair of agents is not enough to suspect a link between failure domains.
_MIN_DOMAIN_PAIRS = 2
# Older evidence is ignored.
_WINDOW_SECONDS = 3.0
# Weight of a new interval in the baseline.
_BASELINE_WEIGHT = 0.1
_BASELINE_OBSERVATIONS = 3
# Number of recent intervals, over all chains, that show a general change, and
# the fraction of them that may be exempt from it.
_RECENT_INTERVALS = 31
_UNAFFECTED_FRACTION = 0.25
_MAX_CHAINS = 4096
_MAX_LINKS = 8192
_MAX_SLOWDOWN = 10.0

_Pair = tuple[str, str]
# A layer boundary, and the source and target failure domains of its links.
_Boundary = tuple[int, str, str]


@attrs.define
class _Baseline:
    """Usual token interval of one chain.

    :ivar seconds: the interval
    :ivar count: number of observations
    """

    seconds: float
    count: int = 1

    def compare(self, seconds: float) -> float | None:
        """Return the ratio of an interval to the baseline.

        :returns: None until there are enough observations
        """
        self.count += 1
        if self.count <= _BASELINE_OBSERVATIONS:
            self.seconds = min(self.seconds, seconds)
            return None
        ratio = seconds / self.seconds
        if ratio < _NORMAL_RATIO:
            self.seconds += _BASELINE_WEIGHT * (seconds - self.seconds)
        return ratio


@attrs.define
class _Evidence:
    """Evidence about one link.

    :ivar boundary: its layer boundary and failure domains
    :ivar min_pairs: number of pairs of agents with slow intervals that
        are required before it is suspected
    :ivar factor: estimated multiple of the declared quality
    :ivar slow: time, ratio and pair of agents of recent slow intervals
    """

    boundary: _Boundary
    min_pairs: int = 1
    factor: capacity.Factor = attrs.field(factory=capacity.Factor)
    slow: list[tuple[float, float, _Pair]] = attrs.field(factory=list)

    def is_suspected(self) -> bool:
        """Return whether the link is estimated to be several times slower."""
        return self.factor.value < 1.0 / _SLOW_RATIO

    def add(self, ratio: float, pair: _Pair, now: float) -> None:
        """Add the interval of a chain, as the ratio to its baseline."""
        if ratio < _NORMAL_RATIO:
            self.slow.clear()
            self.factor.raise_towards(1.0)
            return
        if ratio < _SLOW_RATIO:
            return
        self.slow.append((now, ratio, pair))
        self.slow = [
            item for item in self.slow if item[0] > now - _WINDOW_SECONDS
        ]
        pairs = len({item[2] for item in self.slow})
        if len(self.slow) >= _MIN_OBSERVATIONS and pairs >= self.min_pairs:
            mildest = min(item[1] for item in self.slow)
            sample = 1.0 / min(mildest, _MAX_SLOWDOWN)
            self.slow.clear()
            if sample < self.factor.value:
                self.factor.lower(sample, now)


class _LruMap(collections.OrderedDict):
    """A bounded map that evicts the least recently used item."""

    def __init__(self, limit: int) -> None:
        super().__init__()
        self._limit = limit

    def get_or_create(self, key, make: Callable):
        """Return the value of a key, created if it is missing."""
        value = self.get(key)
        if value is None:
            value = self[key] = make()
            if len(self) > self._limit:
                self.popitem(last=False)
        else:
            self.move_to_end(key)
        return value


class DelayModel:
    """Quality estimates of links between agents and failure domains."""

    def __init__(self) -> None:
        self._baselines = _LruMap(_MAX_CHAINS)
        self._pairs = _LruMap(_MAX_LINKS)
        self._boundaries = _LruMap(_MAX_LINKS)
        self._recent: collections.deque[float] = collections.deque(
            maxlen=_RECENT_INTERVALS
        )

    def observe(
        self,
        chain: plans.Chain,
        interval: float,
        now: float,
        is_slow: Callable[[str], bool] = lambda agent: False,
    ) -> None:
        """Record the mean interval between some tokens of one request.

        :param interval: mean interval in seconds
        :param now: time in seconds
        :param is_slow: returns whether an agent is known to be slow; slow
            chains through it are no evidence against links
        """
        baseline = self._baselines.get(chain.agents)
        if baseline is None:
            self._baselines.get_or_create(
                chain.agents, lambda: _Baseline(interval)
            )
            return
        self._baselines.move_to_end(chain.agents)
        ratio = baseline.compare(interval)
        if ratio is None:
            return
        self._recent.append(ratio)
        ratio /= max(1.0, self._compute_general_ratio())
        if ratio >= _NORMAL_RATIO and any(map(is_slow, chain.agents)):
            return
        hops = [
            self._find_evidence(source, target)
            for source, target in zip(chain.stages, chain.stages[1:])
        ]
        if ratio >= _NORMAL_RATIO:
            # Attribute it to the suspected links only, if there are any.
            hops = [hop for hop in hops if hop[2].is_suspected()] or hops
        for pair, pair_evidence, boundary_evidence in hops:
            pair_evidence.add(ratio, pair, now)
            boundary_evidence.add(ratio, pair, now)

    def apply(self, links: plans.Links) -> plans.Links:
        """Return the links with their estimated qualities, for a plan.

        A pair of agents is listed only if the link between their failure
        domains is not degraded.
        """
        for evidence in self._list_all():
            evidence.factor.published = evidence.factor.value
        boundaries = dict(links.boundaries)
        degraded = set()
        for boundary, evidence in self._list_degraded(self._boundaries):
            declared = links.between_domains(*boundary)
            boundaries[boundary] = _degrade(declared, evidence.factor.value)
            degraded.add(boundary)
        agents = dict(links.agents)
        for pair, evidence in self._list_degraded(self._pairs):
            if evidence.boundary not in degraded:
                declared = links.agents.get(pair)
                declared = declared or links.between_domains(
                    *evidence.boundary
                )
                agents[pair] = _degrade(declared, evidence.factor.value)
        return attrs.evolve(links, boundaries=boundaries, agents=agents)

    def drift(self, now: float) -> None:
        """Reduce suspicion without evidence; call it about once a second."""
        for evidence in self._list_all():
            evidence.factor.drift(now)

    def compute_change(self) -> float:
        """Return the largest factor by which an estimate has changed."""
        changes = (
            evidence.factor.compute_change() for evidence in self._list_all()
        )
        return max(changes, default=1.0)

    def list_factors(self) -> dict[_Boundary | _Pair, float]:
        """Return the estimated quality multiples of degraded links.

        Keys are (layer boundary, source domain, target domain) or
        (source agent, target agent).
        """
        both = itertools.chain(
            self._list_degraded(self._boundaries),
            self._list_degraded(self._pairs),
        )
        return {key: evidence.factor.value for key, evidence in both}

    def _compute_general_ratio(self) -> float:
        """Return the ratio that all but a quarter of the intervals reach."""
        ranked = sorted(self._recent)
        return ranked[int(_UNAFFECTED_FRACTION * len(ranked))]

    def _find_evidence(
        self, source: plans.Stage, target: plans.Stage
    ) -> tuple[_Pair, _Evidence, _Evidence]:
        pair = source.agent, target.agent
        boundary = (
            target.layer_start,
            source.failure_domain,
            target.failure_domain,
        )
        pair_evidence = self._pairs.get_or_create(
            pair, lambda: _Evidence(boundary)
        )
        boundary_evidence = self._boundaries.get_or_create(
            boundary, lambda: _Evidence(boundary, _MIN_DOMAIN_PAIRS)
        )
        return pair, pair_evidence, boundary_evidence

    def _list_all(self) -> Iterable[_Evidence]:
        return itertools.chain(self._boundaries.values(), self._pairs.values())

    @staticmethod
    def _list_degraded(
        known: Mapping,
    ) -> Iterable[tuple]:
        return (item for item in known.items() if item[1].factor.value < 1.0)


def _degrade(quality: plans.LinkQuality, factor: float) -> plans.LinkQuality:
    return plans.LinkQuality(
        quality.latency / factor, quality.tokens_per_second * factor
    )
