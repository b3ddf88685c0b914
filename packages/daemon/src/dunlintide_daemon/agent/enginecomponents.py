"""Components that an agent has only for an engine, not for a service."""

from typing import Any, Callable

import attrs

from dunlintide_adapters import cacheevents
from dunlintide_adapters import engine as engines
from dunlintide_adapters import store
from dunlintide_core import activations
from dunlintide_core import fleet
from dunlintide_core import settings as settings_module
from dunlintide_daemon.agent import caching
from dunlintide_daemon.agent import counts as counting
from dunlintide_daemon.agent import driver as drivers
from dunlintide_daemon.agent import gate as gates
from dunlintide_daemon.agent import peers as peering
from dunlintide_daemon.agent import pipeline as pipelines
from dunlintide_daemon.agent import table as tables
from dunlintide_daemon import crashevidence as suspicions

__all__ = [
    'Dependencies',
    'EngineComponents',
]

HandleFailure = Callable[[list[drivers.Job], engines.EngineError], None]


@attrs.frozen
class Dependencies:
    """Components of the agent that those of the engine depend on."""

    incarnation: int
    gate: gates.Gate
    peers: peering.Peers
    counts: counting.Counts
    suspicion: suspicions.CrashEvidence
    handle_failure: HandleFailure


@attrs.frozen
class EngineComponents:
    """The client of the engine, its driver and the sessions that it runs.

    :ivar caching: None if cache updates are disabled
    :ivar store: client of the store that holds the leader's key
    :ivar activation_store: activations kept to resend to the next stage
    """

    engine: engines.Engine
    driver: drivers.Driver
    pipeline: pipelines.Pipeline
    caching: caching.CacheMonitor | None
    store: store.Store
    activation_store: activations.Store

    @classmethod
    def from_config(
        cls,
        settings: settings_module.Settings,
        endpoint: fleet.Endpoint,
        dependencies: Dependencies,
    ) -> 'EngineComponents':
        """Build the components without starting any thread."""
        timing = settings.timing
        activation_store = activations.Store(
            settings.limits.kept_activation_bytes
        )
        identity = tables.Identity(
            settings.name,
            dependencies.incarnation,
            endpoint.model,
            endpoint.version,
            endpoint.layer_start,
            endpoint.layer_end,
        )
        table = tables.SessionTable(
            identity,
            dependencies.gate,
            dependencies.peers,
            dependencies.counts,
            activation_store,
        )
        pipeline = pipelines.Pipeline(table, dependencies.suspicion)
        engine = engines.Engine(settings.endpoint.url, timing.endpoint_timeout)
        monitor = None
        if settings.limits.cache_news:
            monitor = caching.CacheMonitor(
                cacheevents.EventReader(engine),
                dependencies.counts,
                settings.limits.cache_news,
            )
            table.on_prompt = monitor.record_prompt
        handlers = drivers.Handlers(
            pipeline.handle_results,
            dependencies.handle_failure,
            pipeline.limit_batch,
            pipeline.runs_alone,
            lambda job: job.owner.terms.team,
        )
        driver = drivers.Driver(engine, handlers, timing.endpoint_silence)
        table.driver = driver
        keys = store.Store.from_url(
            settings.store_url,
            timing=store.StoreTiming(read=timing.store_timeout),
        )
        return cls(engine, driver, pipeline, monitor, keys, activation_store)

    def describe(self) -> dict[str, Any]:
        """Return the state as JSON-compatible data."""
        state = {
            'stages': self.pipeline.count_stages(),
            'kept_activations': {
                'sessions': len(self.activation_store),
                'bytes': self.activation_store.used,
                'evicted': self.activation_store.evicted,
            },
            'engine': {
                'calls': self.driver.calls,
                'steps': self.driver.steps,
                'busy_seconds': round(self.driver.busy_seconds, 3),
                'rescued': self.driver.rescued,
                'kept': self.driver.unsettled_first_steps,
            },
        }
        if self.caching is not None:
            state['cache'] = self.caching.describe()
        return state
