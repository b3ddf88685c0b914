"""Effective capacity of endpoints, estimated from their load reports.

An estimate falls when an endpoint delivers less than estimated while
requests are queued, or when its steps take several times as long as usual
at the same amount of work in service. It rises when the endpoint delivers
more, or when its steps take the usual time. Without evidence an estimate
drifts back to the declared capacity, so that a recovered endpoint gets
work again. Each time this proves wrong, the next drift starts later.
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

# A slow endpoint keeps this share of its capacity, so that it gets some work
# and its recovery is noticed.
MIN_FACTOR = 0.03
# The declared capacity may be too low by up to this factor.
MAX_FACTOR = 1.5
# Largest factor by which one report raises an estimate.
_MAX_INCREASE = 1.6
# Samples above this multiple of the estimate do not lower it.
_NOISE_THRESHOLD = 0.9
# Multiples of the usual step duration: from the first on an endpoint is slow,
# below the second it is normal.
_SLOW_STEP = 3.0
_NORMAL_STEP = 1.5
# Weight of a new sample in the usual step duration.
_BASELINE_WEIGHT = 0.2
_MIN_HOLD_SECONDS = 4.0
_MAX_HOLD_SECONDS = 64.0


@attrs.define
class Factor:
    """Estimated multiple of a declared quality, with damping.

    Each decrease after the end of a hold doubles the next hold, the time
    during which the value does not rise without evidence. After it, the
    value drifts upwards.

    :ivar value: multiple of the declared quality
    :ivar published: value that the last plan was made with
    :ivar ceiling: upper bound of the value
    """

    value: float = 1.0
    published: float = 1.0
    ceiling: float = 1.0
    _hold: float = _MIN_HOLD_SECONDS
    _hold_until: float = 0.0
    _raised_at: float = 0.0

    def lower(self, sample: float, now: float) -> None:
        """Lower the value to a sample.

        :param sample: multiple of the declared quality
        :param now: time in seconds
        """
        self.value = max(MIN_FACTOR, min(self.value, sample))
        if now >= self._hold_until:
            self._hold = min(2.0 * self._hold, _MAX_HOLD_SECONDS)
        self._hold_until = now + self._hold

    def raise_towards(self, sample: float) -> None:
        """Raise the value towards a sample, by a bounded factor.

        :param sample: multiple of the declared quality
        """
        is_noise = self.value >= 1.0 and sample < self.value / _NOISE_THRESHOLD
        if sample > self.value and not is_noise:
            self.value = min(sample, self.value * _MAX_INCREASE, self.ceiling)
        if self.value >= 1.0:
            self._hold = _MIN_HOLD_SECONDS

    def drift(self, now: float) -> None:
        """Raise the value towards 1 without evidence.

        This has an effect after the hold, at most once a second.

        :param now: time in seconds
        """
        if self.value >= 1.0 or now < self._hold_until:
            return
        if now - self._raised_at >= 1.0:
            self._raised_at = now
            self.value = min(1.0, self.value * _MAX_INCREASE)

    def compute_change(self) -> float:
        """Return the factor, 1 or more, of the change since the last plan."""
        ratio = self.value / self.published
        return max(ratio, 1.0 / ratio)


@attrs.define
class _StepTimes:
    """Usual duration of a step by the number of tokens in service.

    The numbers are grouped by powers of two. By Little's law the tokens
    in service are the rate times the duration of a step, so that batch
    sizes need not be known.
    """

    _baselines: dict[int, float] = attrs.field(factory=dict)

    def compare(self, in_service: float, seconds: float) -> float:
        """Return the ratio of a step duration to the usual one.

        The usual duration follows the samples that are not slow.

        :param in_service: tokens in service
        :param seconds: duration of the step
        """
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
            # The duration grows at most in proportion to the work.
            nearest = max(lower)
            return self._baselines[nearest] * 2.0 ** (bucket - nearest)
        return None


@attrs.define
class _Endpoint:
    """Estimate and evidence of one endpoint.

    :ivar declared: declared capacity in tokens/s
    :ivar reported_at: time of the last report in seconds
    :ivar slow: multiple of the declared rate that the last report gave as
        evidence of slowness, None without such evidence
    :ivar limited: whether the estimate fell although steps took the usual
        time. Something else then limits the endpoint, and a usual step
        duration does not raise the estimate.
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
    """Evidence from one load report.

    :ivar rate: delivered multiple of the declared rate
    :ivar slow: multiple of the declared rate to which evidence of
        slowness limits the endpoint, None without such evidence
    :ivar is_normal: whether the steps take the usual time
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
        # The capacity is at least the delivered rate.
        slow = max(rate, min(slow or 1.0, 1.0 / slowness))
    return _Sample(rate, slow, slowness < _NORMAL_STEP)


class CapacityModel:
    """Capacity estimates of all endpoints."""

    def __init__(self) -> None:
        self._endpoints: dict[str, _Endpoint] = {}

    def track(self, stages: Iterable[plans.Stage]) -> None:
        """Set the endpoints to estimate.

        The estimate of an endpoint is reset when its declared capacity
        changes.

        :param stages: the endpoints with their declared capacities
        """
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
        """Update the estimate of an agent's endpoint with a load report.

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
            # Two consecutive reports must agree; the higher value counts.
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
        """Return whether the last report shows queued requests or slowness.

        Delays of chains over such an agent are no evidence against links.
        """
        known = self._endpoints.get(agent)
        if known is None or known.last_report is None:
            return False
        return known.last_report.queued > 0 or known.slow is not None

    def apply(self, stages: Iterable[plans.Stage]) -> list[plans.Stage]:
        """Return the stages with their estimated capacities, for a plan."""
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
        """Return the largest factor by which an estimate has changed."""
        changes = (
            endpoint.factor.compute_change()
            for endpoint in self._endpoints.values()
        )
        return max(changes, default=1.0)

    def list_factors(self) -> dict[str, float]:
        """Return the estimated multiple of the declared capacity by agent."""
        return {
            name: endpoint.factor.value
            for name, endpoint in self._endpoints.items()
        }
