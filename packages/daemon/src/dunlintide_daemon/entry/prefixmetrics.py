"""Counts of prompts whose prefix an agent was known to hold."""

from collections.abc import Iterator
from typing import Callable

import prometheus_client
from prometheus_client import core as metrics_core

__all__ = [
    'Collector',
]


class Collector:
    """Gives the counts to a metrics registry at each scrape."""

    def __init__(self, count: Callable[[], tuple[int, int]]) -> None:
        """Remember where the counts are.

        :param count: gives prompts of a block or more, and those of them
            that had a known holder
        """
        self._count = count

    def collect(self) -> Iterator[metrics_core.Metric]:
        """Yield the counts in the form of the metrics library."""
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
        """Show the counts among a registry's metrics."""
        registry.register(self)
