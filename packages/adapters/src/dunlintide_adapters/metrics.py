"""Metrics of a process, for Prometheus.

Labels take values from small fixed sets; none names a team, a key or a
request, so the number of series does not grow with any of them.
"""

import enum

import attrs
import prometheus_client
from prometheus_client import registry as registries

__all__ = [
    'DropReason',
    'Metrics',
    'OK_CODE',
]

# Label of a request that ended with the whole answer.
OK_CODE = 'ok'

_NAMESPACE = 'dunlintide'
_REQUEST_SECONDS = (0.01, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60)
_FIRST_TOKEN_SECONDS = (0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.6, 2.4, 5, 10)
_INTER_TOKEN_SECONDS = (0.005, 0.01, 0.015, 0.02, 0.026, 0.035, 0.05, 0.1, 1)
_STORE_SECONDS = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.5, 1, 2.5)


class DropReason(enum.StrEnum):
    """Why a frame was dropped."""

    BACKLOG = 'backlog'
    DUPLICATE = 'duplicate'
    GAP = 'gap'
    STALE_EPOCH = 'stale-epoch'
    UNKNOWN_REQUEST = 'unknown-request'


@attrs.frozen
class Metrics:
    """Metrics that entries and agents share.

    :ivar registry: registry that they are kept in
    :ivar requests: requests that ended, by ``outcome`` and ``code`` (a
        fail code or ``ok``)
    :ivar request_seconds: time from arrival to the end of an answer
    :ivar tokens: tokens sent to callers or made by the endpoint
    :ivar first_token_seconds: time from arrival to the first token
    :ivar inter_token_seconds: time between two tokens of an answer
    :ivar frames_dropped: frames dropped, by ``reason``
    :ivar queue_length: requests that wait
    :ivar in_flight: requests that run
    :ivar retries: attempts beyond the first
    :ivar store_calls: calls on the store, by ``kind`` and ``result``
    :ivar store_seconds: time of a call on the store, by ``kind``
    :ivar links: open links to other processes
    :ivar config_revision: revision of the configuration in force
    """

    registry: registries.CollectorRegistry
    requests: prometheus_client.Counter
    request_seconds: prometheus_client.Histogram
    tokens: prometheus_client.Counter
    first_token_seconds: prometheus_client.Histogram
    inter_token_seconds: prometheus_client.Histogram
    frames_dropped: prometheus_client.Counter
    queue_length: prometheus_client.Gauge
    in_flight: prometheus_client.Gauge
    retries: prometheus_client.Counter
    store_calls: prometheus_client.Counter
    store_seconds: prometheus_client.Histogram
    links: prometheus_client.Gauge
    config_revision: prometheus_client.Gauge

    @classmethod
    def from_registry(
        cls, registry: registries.CollectorRegistry, role: str
    ) -> 'Metrics':
        """Register the metrics of one process.

        :param role: shown by the metric ``dunlintide_process_info``
        :raises ValueError: when the registry holds them already
        """

        def counter(name, text, labels=()):
            return prometheus_client.Counter(
                name, text, labels, namespace=_NAMESPACE, registry=registry
            )

        def gauge(name, text):
            return prometheus_client.Gauge(
                name, text, namespace=_NAMESPACE, registry=registry
            )

        def histogram(name, text, buckets, labels=()):
            return prometheus_client.Histogram(
                name,
                text,
                labels,
                namespace=_NAMESPACE,
                registry=registry,
                buckets=buckets,
            )

        info = prometheus_client.Info(
            'process', 'Process', namespace=_NAMESPACE, registry=registry
        )
        info.info({'role': role})
        return cls(
            registry=registry,
            requests=counter(
                'requests', 'Requests that ended', ('outcome', 'code')
            ),
            request_seconds=histogram(
                'request_seconds', 'Arrival to end', _REQUEST_SECONDS
            ),
            tokens=counter('tokens', 'Tokens'),
            first_token_seconds=histogram(
                'first_token_seconds',
                'Arrival to first token',
                _FIRST_TOKEN_SECONDS,
            ),
            inter_token_seconds=histogram(
                'inter_token_seconds', 'Token to token', _INTER_TOKEN_SECONDS
            ),
            frames_dropped=counter(
                'frames_dropped', 'Frames dropped', ('reason',)
            ),
            queue_length=gauge('queue_length', 'Requests that wait'),
            in_flight=gauge('in_flight', 'Requests that run'),
            retries=counter('retries', 'Attempts beyond the first'),
            store_calls=counter(
                'store_calls', 'Calls on the store', ('kind', 'result')
            ),
            store_seconds=histogram(
                'store_seconds',
                'Time of a call on the store',
                _STORE_SECONDS,
                ('kind',),
            ),
            links=gauge('links', 'Open links'),
            config_revision=gauge('config_revision', 'Revision in force'),
        )
