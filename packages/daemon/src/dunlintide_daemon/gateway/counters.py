"""Metrics of an entry, for Prometheus.

Labels take values from small fixed sets; none names a team, a key, a
request or an endpoint.
"""

import attrs
import prometheus_client
from prometheus_client import registry as registries

__all__ = ['Counters']

_NAMESPACE = 'dunlintide'
_SECONDS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 2, 5, 10, 20)
_GAP_SECONDS = (0.01, 0.02, 0.03, 0.05, 0.1, 0.15, 0.2, 0.25, 0.5, 1, 2)


@attrs.frozen
class Counters:
    """Metrics of an entry.

    :ivar requests: requests that ended, by ``kind`` (stream or call) and
        ``outcome``
    :ivar request_seconds: time from arrival to the end, by ``kind``
    :ivar first_event_seconds: time from arrival to the first event
    :ivar gap_seconds: pauses between the events of streams
    :ivar loop_lag_seconds: how late the event loop comes back to a task, a
        tenth of a second after the last time
    :ivar resends: sends beyond the first, by ``reason``
    :ivar accusations: times that an endpoint was left out
    :ivar waiting: requests that wait for room
    :ivar orders: orders to engines, by ``reception``
    :ivar pace_questions: engines asked for their pace
    :ivar limited_endpoints: endpoints that name a rate limit now
    :ivar permits: permits asked for, by ``verdict``
    :ivar store_faults: calls on the store that failed, by ``fault``
    :ivar refused_items: what others wrote or sent that can't be read, by
        ``kind``
    :ivar version: version of the configuration in force
    """

    registry: registries.CollectorRegistry
    requests: prometheus_client.Counter
    request_seconds: prometheus_client.Histogram
    first_event_seconds: prometheus_client.Histogram
    gap_seconds: prometheus_client.Histogram
    loop_lag_seconds: prometheus_client.Histogram
    resends: prometheus_client.Counter
    accusations: prometheus_client.Counter
    waiting: prometheus_client.Gauge
    orders: prometheus_client.Counter
    pace_questions: prometheus_client.Counter
    limited_endpoints: prometheus_client.Gauge
    permits: prometheus_client.Counter
    store_faults: prometheus_client.Counter
    refused_items: prometheus_client.Counter
    version: prometheus_client.Gauge

    @classmethod
    def from_registry(
        cls, registry: registries.CollectorRegistry
    ) -> 'Counters':
        """Register the metrics of one process."""

        def make(kind, name, text, labels=(), **more):
            return kind(
                name,
                text,
                labels,
                namespace=_NAMESPACE,
                registry=registry,
                **more,
            )

        counter = prometheus_client.Counter
        gauge = prometheus_client.Gauge
        histogram = prometheus_client.Histogram
        return cls(
            registry=registry,
            requests=make(
                counter,
                'edge_requests',
                'Requests that ended',
                ('kind', 'outcome'),
            ),
            request_seconds=make(
                histogram,
                'edge_request_seconds',
                'Arrival to end',
                ('kind',),
                buckets=_SECONDS,
            ),
            first_event_seconds=make(
                histogram,
                'edge_first_event_seconds',
                'Arrival to first event',
                buckets=_SECONDS,
            ),
            gap_seconds=make(
                histogram,
                'edge_gap_seconds',
                'Pauses between events',
                buckets=_GAP_SECONDS,
            ),
            loop_lag_seconds=make(
                histogram,
                'edge_loop_lag_seconds',
                'Lateness of the event loop',
                buckets=_GAP_SECONDS,
            ),
            resends=make(
                counter, 'edge_resends', 'Sends beyond the first', ('reason',)
            ),
            accusations=make(
                counter, 'edge_accusations', 'Endpoints left out'
            ),
            waiting=make(gauge, 'edge_waiting', 'Requests that wait'),
            orders=make(
                counter, 'edge_orders', 'Orders to engines', ('reception',)
            ),
            pace_questions=make(
                counter, 'edge_pace_questions', 'Engines asked for their pace'
            ),
            limited_endpoints=make(
                prometheus_client.Gauge,
                'edge_limited_endpoints',
                'Endpoints that name a rate limit',
            ),
            permits=make(
                counter,
                'edge_permits',
                'Permits asked for under rate limits',
                ('verdict',),
            ),
            store_faults=make(
                counter, 'edge_store_faults', 'Failed store calls', ('fault',)
            ),
            refused_items=make(
                counter,
                'edge_refused_items',
                'Entries and messages that can not be read',
                ('kind',),
            ),
            version=make(
                gauge, 'edge_configuration_version', 'Version in force'
            ),
        )
