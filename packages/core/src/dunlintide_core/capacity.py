"""Actual capacity of endpoints, learnt from their load reports.

Evidence against an endpoint: it delivers less than it should while work
waits for it, or its steps take several times as long as they did at that
rate of work. Evidence for it: it delivers more, or its steps take the
usual time. Without evidence an estimate drifts back, later each time
that this proves wrong, so that a recovered endpoint is found again.
"""

from collections.abc import Iterable
import math

import attrs

from dunlintide_core import fleet
from dunlintide_core import plan as plans

__all__ = [
    'CapacityModel',
    'Factor',
]

# A slow endpoint keeps this share, so that its recovery shows.
MIN_FACTOR = 0.03
# Declared capacity may be too low by this much.
MAX_FACTOR = 1.5
# An estimate rises at most by this factor with each report.
_MAX_INCREASE = 1.6
# Less than this below the estimate is noise.
_NOISE_THRESHOLD = 0.9
# Steps this many times longer than usual mean a slow endpoint, and below
# the second multiple a sound one.
_SLOW_STEP = 3.0
_NORMAL_STEP = 1.5
_BASELINE_WEIGHT = 0.2
_MIN_HOLD_SECONDS = 4.0
_MAX_HOLD_SECONDS = 64.0


@attrs.define
class Factor:
    """A learnt multiple of a declared quality, with damping.

    Each fall doubles the time for which lack of evidence counts for
    nothing; after that the value drifts upwards.

    :ivar value: multiple of what was declared
    :ivar published: value that the last plan was made with
    """

    value: float = 1.0
    published: float = 1.0
    ceiling: float = 1.0
    _hold: float = _MIN_HOLD_SECONDS
    _hold_until: float = 0.0
    _raised_at: float = 0.0

    def lower(self, sample: float, now: float) -> None:
        """Move down to a sample."""
        self.value = max(MIN_FACTOR, min(self.value, sample))
        if now >= self._hold_until:
            self._hold = min(2.0 * self._hold, _MAX_HOLD_SECONDS)
        self._hold_until = now + self._hold

    def raise_towards(self, sample: float) -> None:
        """Move up towards a sample, by a bounded step."""
        known_good = (
            self.value >= 1.0 and sample < self.value / _NOISE_THRESHOLD
        )
        if sample > self.value and not known_good:
            self.value = min(sample, self.value * _MAX_INCREASE, self.ceiling)
        if self.value >= 1.0:
            self._hold = _MIN_HOLD_SECONDS

    def drift(self, now: float) -> None:
        """Move up for lack of evidence, once a second after the hold."""
        if self.value >= 1.0 or now < self._hold_until:
            return
        if now - self._raised_at >= 1.0:
            self._raised_at = now
            self.value = min(1.0, self.value * _MAX_INCREASE)

    def compute_change(self) -> float:
        """Give the factor by which the value moved since the last plan."""
        ratio = self.value / self.published
        return max(ratio, 1.0 / ratio)


@attrs.define
class _StepTimes:
    """Usual duration of a step by tokens in service, in powers of two.

    Tokens in service are the rate times the duration of a step (Little's
    law), which needs no knowledge of batches.
    """

    _baselines: dict[int, float] = attrs.field(factory=dict)

    def compare(self, in_service: float, seconds: float) -> float:
        """Compare a duration with the usual one; above 1 is slower."""
        bucket = max(0, round(math.log2(max(1.0, in_service))))
        baseline = self._find_baseline(bucket)
        if baseline is None:
            self._baselines[bucket] = seconds
            return 1.0
        if seconds < _SLOW_STEP * baseline:
            known = self._baselines.setdefault(bucket, seconds)
            self._baselines[bucket] += _BASELINE_WEIGHT * (seconds - known)
        return seconds / baseline

    def _find_baseline(self, bucket: int) -> float | None:
        if bucket in self._baselines:
            return self._baselines[bucket]
        lower = [size for size in self._baselines if size < bucket]
        if lower:
            # A step grows at most in proportion to its work.
            nearest = max(lower)
            return self._baselines[nearest] * 2.0 ** (bucket - nearest)
        return None


@attrs.define
class _Endpoint:
    """What is known of one endpoint.

    :ivar limited: whether it fell although its steps took the usual
        time: something else limits it, so steps are no evidence for it
    """

    declared: float
    factor: Factor
    steps: _StepTimes = attrs.field(factory=_StepTimes)
    last_report: fleet.LoadReport | None = None
    reported_at: float = 0.0
    slow: float | None = None
    limited: bool = False


@attrs.frozen
class _Sample:
    """What one report says.

    :ivar rate: multiple of the declared rate that it delivers
    :ivar slow: multiple of it that evidence of slowness gives, or None
    :ivar sound: whether its steps take the usual time
    """

    rate: float
    slow: float | None
    is_normal: bool


def _evaluate(endpoint: _Endpoint, report: fleet.LoadReport) -> _Sample:
    rate = report.tokens_per_second / endpoint.declared
    slow = rate if report.queued > 0 and rate > 0.0 else None
    if not rate or not report.step_seconds:
        return _Sample(rate, slow, False)
    in_service = report.tokens_per_second * report.step_seconds
    slowness = endpoint.steps.compare(in_service, report.step_seconds)
    if slowness >= _SLOW_STEP:
        # What it delivers bounds its capacity from below.
        slow = max(rate, min(slow or 1.0, 1.0 / slowness))
    return _Sample(rate, slow, slowness < _NORMAL_STEP)


class CapacityModel:
    """Estimates of all endpoints' capacities."""

    def __init__(self) -> None:
        self._endpoints: dict[str, _Endpoint] = {}

    def track(self, stages: Iterable[plans.Stage]) -> None:
        """Follow these endpoints, by declared capacity, and no others."""
        kept = {}
        for stage in stages:
            known = self._endpoints.get(stage.agent)
            if known is None or known.declared != stage.capacity:
                known = _Endpoint(stage.capacity, Factor(ceiling=MAX_FACTOR))
            kept[stage.agent] = known
        self._endpoints = kept

    def observe(
        self, agent: str, report: fleet.LoadReport, now: float
    ) -> None:
        """Take a load report.

        :param now: time in seconds
        """
        endpoint = self._endpoints.get(agent)
        if endpoint is None or endpoint.declared <= 0.0:
            return
        reported_at = now - report.age
        if (
            reported_at <= endpoint.reported_at
            and endpoint.last_report is not None
        ):
            return
        sample = _evaluate(endpoint, report)
        endpoint.last_report = report
        endpoint.reported_at = reported_at
        self._update(endpoint, sample, now)

    def _update(
        self, endpoint: _Endpoint, sample: _Sample, now: float
    ) -> None:
        factor = endpoint.factor
        previous, endpoint.slow = endpoint.slow, sample.slow
        if (
            sample.slow is not None
            and sample.slow < _NOISE_THRESHOLD * factor.value
        ):
            # Two reports in a row must agree; the milder one counts.
            if previous is not None:
                factor.lower(max(previous, sample.slow), now)
                endpoint.limited = sample.is_normal
            return
        factor.raise_towards(sample.rate)
        if sample.slow is not None:
            return
        if sample.is_normal and not endpoint.limited:
            factor.raise_towards(1.0)
        else:
            factor.drift(now)

    def is_slow(self, agent: str) -> bool:
        """Tell whether an agent itself delays what runs over it."""
        known = self._endpoints.get(agent)
        if known is None or known.last_report is None:
            return False
        return known.last_report.queued > 0 or known.slow is not None

    def apply(self, stages: Iterable[plans.Stage]) -> list[plans.Stage]:
        """Give the stops with their learnt capacities, for a plan."""
        result = []
        for stage in stages:
            known = self._endpoints.get(stage.agent)
            if known is not None:
                factor = known.factor
                factor.published = factor.value
                stage = attrs.evolve(
                    stage, capacity=stage.capacity * factor.value
                )
            result.append(stage)
        return result

    def compute_change(self) -> float:
        """Give the largest factor by which an estimate moved."""
        changes = (
            endpoint.factor.compute_change()
            for endpoint in self._endpoints.values()
        )
        return max(changes, default=1.0)

    def list_factors(self) -> dict[str, float]:
        """Give the multiple of its declared capacity for each agent."""
        return {
            name: endpoint.factor.value
            for name, endpoint in self._endpoints.items()
        }
