"""Metric of prompts, by whether an agent was known to hold the prefix."""

from collections.abc import Iterator
from typing import Callable

import prometheus_client
from prometheus_client import core as metrics_core

__all__ = [
    'Collector',
]


class Collector:
    """Prometheus collector that reads the counts at each scrape."""

    def __init__(self, count: Callable[[], tuple[int, int]]) -> None:
        """Initialize with the function that reads the counts.

        :param count: returns the number of prompts of at least one block,
            and how many of them had a known holder of their prefix
        """
        self._count = count

    def collect(self) -> Iterator[metrics_core.Metric]:
        """Yield the counts as a metric family."""
        prompts, known = self._count()
        found = metrics_core.CounterMetricFamily(
            'dunlintide_prompts',
            'Prompts of a block or more, by whether a holder was known',
            labels=['holder'],
        )
        found.add_metric(['known'], known)
        found.add_metric(['none'], prompts - known)
        yield found

    def register(self, registry: prometheus_client.CollectorRegistry) -> None:
        """Add the collector to a registry."""
        registry.register(self)
