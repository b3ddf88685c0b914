"""Prometheus metrics of an entry.

Label values come from small fixed sets; no label names a team, an API key,
a request or an endpoint.
"""

import attrs
import prometheus_client
from prometheus_client import registry as registries

__all__ = ['Counters', 'label_priority']

_NAMESPACE = 'dunlintide'
# Priorities above this one, and those below 0, share a label.
_MAX_LABELLED_PRIORITY = 3
_SECONDS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 2, 5, 10, 20)
_GAP_SECONDS = (0.01, 0.02, 0.03, 0.05, 0.1, 0.15, 0.2, 0.25, 0.5, 1, 2)


def label_priority(priority: int) -> str:
    """Return the label of a priority, one of a small fixed set."""
    return (
        str(priority) if 0 <= priority <= _MAX_LABELLED_PRIORITY else 'other'
    )


@attrs.frozen
class Counters:
    """Metrics of an entry.

    :ivar requests: requests that ended, by ``kind`` (stream or call) and
        ``outcome``
    :ivar request_seconds: time from arrival to the end, by ``kind``
    :ivar first_event_seconds: time from arrival to the first event
    :ivar gap_seconds: gaps between the events of streams
    :ivar loop_lag_seconds: how late the event loop resumes a task that sleeps
        for a tenth of a second
    :ivar resends: sends beyond the first, by ``reason``
    :ivar ejections: times that an endpoint was ejected
    :ivar waiting: streams that wait for room in a queue
    :ivar waiting_requests: requests that wait in a queue, by ``priority``
    :ivar yields: times that capacity was left to another entry, by
        ``outcome``: ``used`` if it was gone at the next try
    :ivar refused_requests: requests that were refused with 503, by
        ``priority``
    :ivar orders: orders to engines, by ``reception`` (their answer)
    :ivar pace_questions: probes of the pace of engines
    :ivar limited_endpoints: endpoints with a rate limit in force
    :ivar permits: permits requested under rate limits, by ``verdict``
    :ivar turned_away: requests that endpoints turned away, by ``backoff``:
        ``asked`` if they said for how long
    :ivar withheld: requests that were not sent since an endpoint held them,
        by ``reason``
    :ivar leaving_endpoints: endpoints that leave and are still listed
    :ivar leaving_learned: endpoints that began to leave or were removed, by
        the ``source`` that told it first: ``listing``, ``answer`` or ``entry``
    :ivar listing_age_seconds: time since the last answer of the store
    :ivar backing_off_endpoints: endpoints that asked for a pause
    :ivar reserved_fraction: fraction of the capacity of any service that the
        least urgent recent requests may not use
    :ivar store_faults: failed calls of the store, by ``fault``
    :ivar refused_items: malformed store items and messages, by ``kind``
    :ivar demand_notices: datagrams about demand, by ``direction``: ``sent``,
        ``received`` or ``ignored`` (late, doubled, or of an unlisted entry)
    :ivar discarded_bytes: bytes of incomplete answers that were given up, by
        ``source``: ``store`` or ``entry``
    :ivar shutdown_ends: requests that were still open as the process ended,
        by ``outcome``
    :ivar foreign_answers: answers of endpoints to something other than the
        request that was waiting, by ``kind``: ``no id`` or ``other id``
    :ivar held_bytes: bytes that requests, answers and configurations occupy,
        by ``size``: ``large``, ``unread`` or ``all``
    :ivar held_bytes_limit: bytes that they may occupy in all
    :ivar reservations_waiting_bytes: bytes that large requests wait for
    :ivar unreserved_requests: requests refused as they would occupy too many
        bytes
    :ivar unread_answers: answers given up as their callers did not read them
    :ivar version: version of the configuration in force
    :ivar newest_version: newest version that any entry has in force
    """

    registry: registries.CollectorRegistry
    requests: prometheus_client.Counter
    request_seconds: prometheus_client.Histogram
    first_event_seconds: prometheus_client.Histogram
    gap_seconds: prometheus_client.Histogram
    loop_lag_seconds: prometheus_client.Histogram
    resends: prometheus_client.Counter
    ejections: prometheus_client.Counter
    waiting: prometheus_client.Gauge
    waiting_requests: prometheus_client.Gauge
    yields: prometheus_client.Counter
    refused_requests: prometheus_client.Counter
    orders: prometheus_client.Counter
    pace_questions: prometheus_client.Counter
    limited_endpoints: prometheus_client.Gauge
    permits: prometheus_client.Counter
    turned_away: prometheus_client.Counter
    withheld: prometheus_client.Counter
    leaving_endpoints: prometheus_client.Gauge
    leaving_learned: prometheus_client.Counter
    listing_age_seconds: prometheus_client.Gauge
    backing_off_endpoints: prometheus_client.Gauge
    reserved_fraction: prometheus_client.Gauge
    store_faults: prometheus_client.Counter
    refused_items: prometheus_client.Counter
    demand_notices: prometheus_client.Counter
    discarded_bytes: prometheus_client.Counter
    refused_parts: prometheus_client.Counter
    suspicion_refusals: prometheus_client.Counter
    shutdown_ends: prometheus_client.Counter
    foreign_answers: prometheus_client.Counter
    held_bytes: prometheus_client.Gauge
    held_bytes_limit: prometheus_client.Gauge
    reservations_waiting_bytes: prometheus_client.Gauge
    unreserved_requests: prometheus_client.Gauge
    unread_answers: prometheus_client.Gauge
    version: prometheus_client.Gauge
    newest_version: prometheus_client.Gauge

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
            ejections=make(counter, 'edge_accusations', 'Endpoints left out'),
            waiting=make(gauge, 'edge_waiting', 'Requests that wait'),
            waiting_requests=make(
                gauge,
                'edge_waiting_requests',
                'Requests that wait, by priority',
                ('priority',),
            ),
            yields=make(
                counter,
                'edge_yields',
                'Times that capacity was left to another entry',
                ('outcome',),
            ),
            refused_requests=make(
                counter,
                'edge_refused_requests',
                'Requests that were refused, by priority',
                ('priority',),
            ),
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
            turned_away=make(
                counter,
                'edge_turned_away',
                'Requests that endpoints turned away',
                ('backoff',),
            ),
            withheld=make(
                counter,
                'edge_withheld_sends',
                'Requests that were not sent since an endpoint held them',
                ('reason',),
            ),
            leaving_endpoints=make(
                gauge, 'edge_leaving_endpoints', 'Endpoints that leave'
            ),
            leaving_learned=make(
                counter,
                'edge_leaving_learned',
                'Endpoints that began to leave, by who told it first',
                ('source',),
            ),
            listing_age_seconds=make(
                gauge,
                'edge_listing_age_seconds',
                'Time since the last answer of the store',
            ),
            backing_off_endpoints=make(
                gauge,
                'edge_backing_off_endpoints',
                'Endpoints that asked for a pause',
            ),
            reserved_fraction=make(
                gauge,
                'edge_reserved_fraction',
                'Capacity that the least urgent requests may not use',
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
            demand_notices=make(
                counter,
                'edge_demand_notices',
                'Datagrams about demand',
                ('direction',),
            ),
            discarded_bytes=make(
                counter,
                'edge_discarded_bytes',
                'Bytes of incomplete answers that were given up',
                ('source',),
            ),
            refused_parts=make(
                counter,
                'edge_refused_parts',
                'Parts of prompts that began to be refused',
                ('source',),
            ),
            suspicion_refusals=make(
                counter,
                'edge_suspicion_refusals',
                'Sends that were refused to requests that crash endpoints',
                ('kind',),
            ),
            shutdown_ends=make(
                counter,
                'edge_shutdown_ends',
                'Requests that were still open as the process ended',
                ('outcome',),
            ),
            foreign_answers=make(
                counter,
                'edge_foreign_answers',
                'Answers that do not belong to the request that was waiting',
                ('kind',),
            ),
            held_bytes=make(
                gauge,
                'edge_held_bytes',
                'Bytes that requests, answers and configurations occupy',
                ('size',),
            ),
            held_bytes_limit=make(
                gauge, 'edge_held_bytes_limit', 'Bytes that they may occupy'
            ),
            reservations_waiting_bytes=make(
                gauge,
                'edge_reservations_waiting_bytes',
                'Bytes that large requests wait for',
            ),
            unreserved_requests=make(
                gauge,
                'edge_unreserved_requests',
                'Requests refused for want of memory since the start',
            ),
            unread_answers=make(
                gauge,
                'edge_unread_answers_given_up',
                'Answers that callers did not read, given up since the start',
            ),
            version=make(
                gauge, 'edge_configuration_version', 'Version in force'
            ),
            newest_version=make(
                gauge,
                'edge_newest_configuration_version',
                'Newest version that any entry has in force',
            ),
        )
