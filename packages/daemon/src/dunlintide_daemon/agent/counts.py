"""Event counters of an agent, for metrics and the state dump."""

import collections

import prometheus_client
from prometheus_client import core as metrics_core

__all__ = [
    'Counts',
]


class Counts:
    """Counters of events by name and of drops by reason.

    Plain dictionaries suffice, since callers already hold a lock.
    ``collect`` makes the object a metrics collector.
    """

    def __init__(self) -> None:
        self._drops: collections.Counter[str] = collections.Counter()
        self._events: collections.Counter[str] = collections.Counter()

    def add_drop(self, reason: str) -> None:
        """Count one dropped frame or result."""
        self._drops[reason] += 1

    def add(self, event: str, number: float = 1) -> None:
        """Add a number to the counter of an event."""
        self._events[event] += number

    def get_drops(self) -> dict[str, int]:
        """Return the numbers of drops by reason."""
        return dict(self._drops)

    def get_events(self) -> dict[str, float]:
        """Return the numbers of events by name."""
        return dict(self._events)

    def collect(self):
        """Yield the counters as metric families."""
        drops = metrics_core.CounterMetricFamily(
            'dunlintide_agent_drops',
            'Frames and results dropped, by reason',
            labels=['reason'],
        )
        for reason, number in self.get_drops().items():
            drops.add_metric([reason], number)
        yield drops
        events = metrics_core.CounterMetricFamily(
            'dunlintide_agent_events',
            'What the agent did, by kind',
            labels=['event'],
        )
        for event, number in self.get_events().items():
            events.add_metric([event], number)
        yield events

    def register(self, registry: prometheus_client.CollectorRegistry) -> None:
        """Add the counters to a metrics registry."""
        registry.register(self)
