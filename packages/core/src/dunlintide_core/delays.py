"""Degraded links, found from token intervals of whole chains.

A chain's interval is compared with its own usual one, and with what the
other chains do at the time, so that a general rise of load accuses no
link. A link is suspected when every chain through it has become several
times slower; one good interval through it clears it.
"""

import collections
from collections.abc import Callable, Iterable, Mapping
import itertools

import attrs

from dunlintide_core import capacity
from dunlintide_core import plan as plans

__all__ = ['DelayModel']

# Intervals this many times longer than usual are evidence against the
# links of a chain, and below the second multiple evidence for them.
_SLOW = 2.5
_GOOD = 1.6
_WITNESSES = 4
# One pair of agents must not condemn a link between failure domains.
_PAIRS_FOR_DOMAINS = 2
# Evidence this old counts for nothing.
_WINDOW_SECONDS = 3.0
_BASELINE_WEIGHT = 0.1
_OBSERVATIONS_FOR_BASELINE = 3
# Recent intervals that tell how all chains fare; a rise is general when
# all but this part of them show it.
_RECENT = 31
_UNAFFECTED = 0.25
_MAX_CHAINS = 4096
_MAX_LINKS = 8192
_LARGEST_SLOWDOWN = 10.0

_Pair = tuple[str, str]
# A layer boundary and the failure domains that are joined there.
_Place = tuple[int, str, str]


@attrs.define
class _Usual:
    """Usual token interval of one chain, in seconds."""

    seconds: float
    count: int = 1

    def compare(self, seconds: float) -> float | None:
        """Give the ratio to the usual interval, None while it is new."""
        self.count += 1
        if self.count <= _OBSERVATIONS_FOR_BASELINE:
            self.seconds = min(self.seconds, seconds)
            return None
        ratio = seconds / self.seconds
        if ratio < _GOOD:
            self.seconds += _BASELINE_WEIGHT * (seconds - self.seconds)
        return ratio


@attrs.define
class _Evidence:
    """What chains say of one link.

    :ivar place: where in the model and the deployment it is
    :ivar pairs: pairs of agents that must agree before it is suspected
    """

    place: _Place
    pairs: int = 1
    factor: capacity.Factor = attrs.field(factory=capacity.Factor)
    slow: list[tuple[float, float, _Pair]] = attrs.field(factory=list)

    def suspected(self) -> bool:
        """Tell whether it is known to be several times slower."""
        return self.factor.value < 1.0 / _SLOW

    def add(self, ratio: float, pair: _Pair, now: float) -> None:
        """Weigh the ratio of one chain's interval to its usual one."""
        if ratio < _GOOD:
            self.slow.clear()
            self.factor.lift(1.0)
            return
        if ratio < _SLOW:
            return
        self.slow.append((now, ratio, pair))
        self.slow = [
            item for item in self.slow if item[0] > now - _WINDOW_SECONDS
        ]
        agreeing = len({item[2] for item in self.slow})
        if len(self.slow) >= _WITNESSES and agreeing >= self.pairs:
            least = min(item[1] for item in self.slow)
            sample = 1.0 / min(least, _LARGEST_SLOWDOWN)
            self.slow.clear()
            if sample < self.factor.value:
                self.factor.lower(sample, now)


class _Bounded(collections.OrderedDict):
    """A map that forgets what was not used for longest."""

    def __init__(self, limit: int) -> None:
        super().__init__()
        self._limit = limit

    def reach(self, key, make: Callable):
        """Give the value of a key, made when it is missing."""
        value = self.get(key)
        if value is None:
            value = self[key] = make()
            if len(self) > self._limit:
                self.popitem(last=False)
        else:
            self.move_to_end(key)
        return value


class DelayModel:
    """Evidence against links between agents and failure domains."""

    def __init__(self) -> None:
        self._usual = _Bounded(_MAX_CHAINS)
        self._agents = _Bounded(_MAX_LINKS)
        self._places = _Bounded(_MAX_LINKS)
        self._recent: collections.deque[float] = collections.deque(
            maxlen=_RECENT
        )

    def observe(
        self,
        chain: plans.Chain,
        interval: float,
        now: float,
        explained: Callable[[str], bool] = lambda agent: False,
    ) -> None:
        """Take the mean interval between some tokens of one request.

        :param interval: in seconds
        :param now: time in seconds
        :param explained: tells whether an agent is known to be slow, in
            which case its chains accuse no link
        """
        usual = self._usual.get(chain.agents)
        if usual is None:
            self._usual.reach(chain.agents, lambda: _Usual(interval))
            return
        self._usual.move_to_end(chain.agents)
        ratio = usual.compare(interval)
        if ratio is None:
            return
        self._recent.append(ratio)
        ratio /= max(1.0, self._general_ratio())
        if ratio >= _GOOD and any(map(explained, chain.agents)):
            return
        hops = [
            self._evidence(source, target)
            for source, target in zip(chain.stops, chain.stops[1:])
        ]
        if ratio >= _GOOD:
            # A link that is known to be slow explains the whole chain.
            hops = [hop for hop in hops if hop[2].suspected()] or hops
        for pair, own, common in hops:
            own.add(ratio, pair, now)
            common.add(ratio, pair, now)

    def apply(self, links: plans.Links) -> plans.Links:
        """Give the links with what was learnt, for a plan.

        A pair of agents is listed only when the link between their
        failure domains is not suspected as a whole.
        """
        for evidence in self._all():
            evidence.factor.published = evidence.factor.value
        boundaries = dict(links.boundaries)
        suspected = set()
        for place, evidence in self._suspected(self._places):
            usual = links.between_domains(*place)
            boundaries[place] = _degrade(usual, evidence.factor.value)
            suspected.add(place)
        agents = dict(links.agents)
        for pair, evidence in self._suspected(self._agents):
            if evidence.place not in suspected:
                usual = links.agents.get(pair)
                usual = usual or links.between_domains(*evidence.place)
                agents[pair] = _degrade(usual, evidence.factor.value)
        return attrs.evolve(links, boundaries=boundaries, agents=agents)

    def drift(self, now: float) -> None:
        """Let suspicion fade; to be called about once a second."""
        for evidence in self._all():
            evidence.factor.drift(now)

    def change(self) -> float:
        """Give the largest factor by which an estimate moved."""
        changes = (evidence.factor.change() for evidence in self._all())
        return max(changes, default=1.0)

    def factors(self) -> dict[_Place | _Pair, float]:
        """Give learnt multiples of suspected links.

        Keys are (layer boundary, from, to) with failure domains, and
        (from, to) with agents.
        """
        both = itertools.chain(
            self._suspected(self._places), self._suspected(self._agents)
        )
        return {key: evidence.factor.value for key, evidence in both}

    def _general_ratio(self) -> float:
        ranked = sorted(self._recent)
        return ranked[int(_UNAFFECTED * len(ranked))]

    def _evidence(
        self, source: plans.Stop, target: plans.Stop
    ) -> tuple[_Pair, _Evidence, _Evidence]:
        pair = source.agent, target.agent
        place = (
            target.layer_start,
            source.failure_domain,
            target.failure_domain,
        )
        own = self._agents.reach(pair, lambda: _Evidence(place))
        common = self._places.reach(
            place, lambda: _Evidence(place, _PAIRS_FOR_DOMAINS)
        )
        return pair, own, common

    def _all(self) -> Iterable[_Evidence]:
        return itertools.chain(self._places.values(), self._agents.values())

    @staticmethod
    def _suspected(
        known: Mapping,
    ) -> Iterable[tuple]:
        return (item for item in known.items() if item[1].factor.value < 1.0)


def _degrade(quality: plans.LinkQuality, factor: float) -> plans.LinkQuality:
    return plans.LinkQuality(
        quality.latency / factor, quality.tokens_per_second * factor
    )
