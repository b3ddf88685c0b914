"""Metrics of requests; tokens are counted once for each batch."""

import time
from typing import Callable

import attrs

from dunlintide_adapters import metrics

__all__ = [
    'Meter',
    'TokenMeter',
]


@attrs.define
class TokenMeter:
    """Measures the tokens of one answer.

    :ivar last_tokens_at: monotonic time of the last tokens, or of the arrival
    """

    process_metrics: metrics.Metrics
    last_tokens_at: float
    tokens: int = 0

    def record_tokens(self, count: int, now: float) -> None:
        """Record tokens that came together.

        They count as one observation of their mean interval.

        :param now: monotonic time in seconds
        """
        gap = now - self.last_tokens_at
        if self.tokens:
            self.process_metrics.inter_token_seconds.observe(gap / count)
        else:
            self.process_metrics.first_token_seconds.observe(gap)
        self.last_tokens_at = now
        self.tokens += count

    def close(self) -> None:
        """Add the tokens of the answer to the total."""
        self.process_metrics.tokens.inc(self.tokens)


@attrs.frozen
class Meter:
    """Records the metrics of requests."""

    process_metrics: metrics.Metrics

    def begin_answer(self, arrived: float) -> TokenMeter:
        """Start measuring the tokens of an answer.

        :param arrived: monotonic time of the request, in seconds
        """
        return TokenMeter(self.process_metrics, arrived)

    def observe_request(self, arrived: float) -> None:
        """Observe the duration of a request that has ended.

        :param arrived: monotonic time of the request, in seconds
        """
        self.process_metrics.request_seconds.observe(
            time.monotonic() - arrived
        )

    def count_drop(self, reason: metrics.DropReason, count: int) -> None:
        """Count dropped frames."""
        self.process_metrics.frames_dropped.labels(reason.value).inc(count)

    def count_retry(self) -> None:
        """Count an attempt beyond the first."""
        self.process_metrics.retries.inc()

    def count_outcome(self, outcome: str, code: str) -> None:
        """Count a request by its outcome.

        :param code: why it was refused, empty for a complete answer
        """
        self.process_metrics.requests.labels(
            outcome, code or metrics.OK_CODE
        ).inc()

    def register_gauges(
        self,
        in_flight: Callable[[], int],
        links: Callable[[], int],
        revision: Callable[[], int],
    ) -> None:
        """Register functions that are called at each scrape."""
        self.process_metrics.in_flight.set_function(in_flight)
        self.process_metrics.links.set_function(links)
        self.process_metrics.config_revision.set_function(revision)
