"""What an agent has before an engine, and not before a plain service."""

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
from dunlintide_daemon import suspicion as suspicions

__all__ = [
    'EngineSide',
    'Parts',
]

TakeFailure = Callable[[list[drivers.Job], engines.EngineError], None]


@attrs.frozen
class Parts:
    """Parts of the agent that its engine's side works with."""

    incarnation: int
    gate: gates.Gate
    peers: peering.Peers
    counts: counting.Counts
    suspicion: suspicions.Suspicion
    take_failure: TakeFailure


@attrs.frozen
class EngineSide:
    """The engine, what drives it, and the sessions that it runs.

    :ivar caching: None where cache news are off
    :ivar store: where the leader's key is read
    """

    engine: engines.Engine
    driver: drivers.Driver
    pipeline: pipelines.Pipeline
    caching: caching.Caching | None
    store: store.Store
    kept: activations.Store

    @classmethod
    def from_config(
        cls,
        settings: settings_module.Settings,
        endpoint: fleet.Endpoint,
        parts: Parts,
    ) -> 'EngineSide':
        """Build all of it; nothing runs yet."""
        timing = settings.timing
        kept = activations.Store(settings.limits.kept_activation_bytes)
        identity = tables.Identity(
            settings.name,
            parts.incarnation,
            endpoint.model,
            endpoint.version,
            endpoint.layer_start,
            endpoint.layer_end,
        )
        table = tables.Table(
            identity, parts.gate, parts.peers, parts.counts, kept
        )
        pipeline = pipelines.Pipeline(table, parts.suspicion)
        engine = engines.Engine(settings.endpoint.url, timing.endpoint_timeout)
        news = None
        if settings.limits.cache_news:
            news = caching.Caching(
                cacheevents.EventReader(engine),
                parts.counts,
                settings.limits.cache_news,
            )
            table.note_prompt = news.begin
        handlers = drivers.Handlers(
            pipeline.take_results,
            parts.take_failure,
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
        return cls(engine, driver, pipeline, news, keys, kept)

    def describe(self) -> dict[str, Any]:
        """Return its state, fit for JSON."""
        state = {
            'stages': self.pipeline.count_stages(),
            'kept_activations': {
                'sessions': len(self.kept),
                'bytes': self.kept.used,
                'evicted': self.kept.evicted,
            },
            'engine': {
                'calls': self.driver.calls,
                'steps': self.driver.steps,
                'busy_seconds': round(self.driver.busy_seconds, 3),
                'rescued': self.driver.rescued,
                'kept': self.driver.kept,
            },
        }
        if self.caching is not None:
            state['cache'] = self.caching.describe()
        return state
