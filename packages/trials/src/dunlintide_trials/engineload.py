"""Synthetic engine fleet for measuring the cost of chain decisions.

Engines with mixed accelerators are spread over equal failure domains, get
their layers from the leader's layout and run a random number of requests.
"""

import random

import attrs

from dunlintide_core.pipeline import chains
from dunlintide_core.pipeline import chaintable
from dunlintide_core.pipeline import endpoints as endpoints_module
from dunlintide_core.pipeline import layout
from dunlintide_core.pipeline import occupancy
from dunlintide_core.pipeline import profiles

__all__ = ['PROFILE', 'EngineLoad']

ACCELERATORS = {
    'fast': profiles.Accelerator('fast', 72_000.0, 2.4, 3.2),
    'small': profiles.Accelerator('small', 14_400.0, 5.3, 7.9),
    'slow': profiles.Accelerator('slow', 21_600.0, 16.0, 8.2),
}
# Relative number of engines by kind of accelerator.
_KIND_WEIGHTS = (('fast', 12), ('small', 63), ('slow', 48))
PROFILE = profiles.EngineProfile(
    layers=80,
    layer_mb=1750.0,
    token_bytes=656_000,
    step_ms=1.02,
    sequence_ms=0.005,
    context_ms=0.007,
    read_per_second=268_000.0,
    slots=96,
    stride=6,
    activation_bytes=32_800,
    link_mbps=400_000.0,
    pipe_mbps=6_700.0,
    load_seconds=14.0,
    loads_at_once=9,
    usual_prompt=780,
    usual_answer=230,
    accelerators=ACCELERATORS,
    delays_ms={},
)
_MEAN_TOKENS = PROFILE.usual_prompt + PROFILE.usual_answer // 2
# Maximum requests in flight at an engine.
_MAX_RUNNING = 40


def _make_engine(index: int, domains: int) -> endpoints_module.Endpoint:
    kinds = [kind for kind, count in _KIND_WEIGHTS for _ in range(count)]
    # Coprime to the number of kinds, so that kinds spread over domains.
    step = 41
    return endpoints_module.Endpoint(
        name=f'engine-{index}',
        address=f'10.0.{index // 250}.{index % 250 + 1}:80',
        service='llm',
        domain=f'domain-{index % domains}',
        slots=PROFILE.slots,
        kind=kinds[index * step % len(kinds)],
    )


def _assign_layers(placement: layout.Placement) -> endpoints_module.Endpoint:
    return attrs.evolve(
        placement.endpoint, start=placement.start, end=placement.end
    )


@attrs.define(eq=False)
class EngineLoad:
    """Engines, their usage and the demand of a typical request.

    :ivar engines: engines with their layers
    :ivar table: chains that the engines can form
    :ivar usages: usage of each engine, by its name
    :ivar demand: demand of a typical request
    """

    engines: list[endpoints_module.Endpoint]
    table: chaintable.ChainTable
    usages: dict[str, occupancy.Usage]
    demand: chains.Demand

    @classmethod
    def from_size(
        cls, count: int, domains: int, seed: int = 1
    ) -> 'EngineLoad':
        """Lay out engines and give them a random load.

        :param count: number of engines
        :param domains: number of failure domains, equal in size
        """
        empty = [_make_engine(index, domains) for index in range(count)]
        placements = layout.plan_new(PROFILE, (), empty)
        engines = list(map(_assign_layers, placements))
        rng = random.Random(seed)
        usages = {}
        for engine in engines:
            running = rng.randrange(_MAX_RUNNING)
            layer_count = engine.end - engine.start
            cached_tokens = running * _MEAN_TOKENS * layer_count // 4
            usages[engine.name] = occupancy.Usage(
                running, running // 4, cached_tokens
            )
        table = chaintable.ChainTable.from_engines(PROFILE, engines)
        answer = PROFILE.usual_answer
        demand = chains.Demand(
            PROFILE.usual_prompt, answer, _MEAN_TOKENS, 'domain-0'
        )
        return cls(engines, table, usages, demand)

    def choose(self) -> chains.Hops | None:
        """Choose a chain for the typical request."""
        return self.table.choose(self.demand, self.usages)

    def fill_caches(self) -> None:
        """Mark the KV cache of all engines as full."""
        for engine in self.engines:
            layer_count = engine.end - engine.start
            used_tokens = PROFILE.get_cache_capacity(engine.kind, layer_count)
            self.usages[engine.name] = occupancy.Usage(
                _MAX_RUNNING, 0, int(used_tokens)
            )

    def fragment(self) -> None:
        """Fill caches so that every remaining chain crosses domains.

        Even-numbered failure domains have room for the first half of the
        layers only, the others for the second half only.
        """
        names = sorted({engine.domain for engine in self.engines})
        half = PROFILE.layers // 2
        for engine in self.engines:
            is_even = names.index(engine.domain) % 2 == 0
            is_lower_half = engine.start + engine.end < 2 * half
            layer_count = engine.end - engine.start
            cache = PROFILE.get_cache_capacity(engine.kind, layer_count)
            used_tokens = 0 if is_even == is_lower_half else cache
            if engine.start < half < engine.end:
                used_tokens = 0
            self.usages[engine.name] = occupancy.Usage(1, 0, int(used_tokens))
