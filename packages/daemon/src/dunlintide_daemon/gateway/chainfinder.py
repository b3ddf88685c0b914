"""Finds a chain with room for a stream, waiting a while if there is none."""

import asyncio
from typing import Iterable

import attrs

from dunlintide_core.pipeline import backlog
from dunlintide_core.pipeline import chains
from dunlintide_core.pipeline import chaintable
from dunlintide_core.pipeline import endpoints as endpoints_module
from dunlintide_core.pipeline import mechanisms
from dunlintide_core.pipeline import profiles
from dunlintide_core.pipeline import scarcity
from dunlintide_core.pipeline import waits
from dunlintide_daemon.gateway import exchange as exchange_module
from dunlintide_daemon.gateway import state as state_module

__all__ = [
    'USUAL_TARGET',
    'ChainFinder',
    'describe',
]

Hops = chains.Hops
Stream = exchange_module.Stream

# Target for the first event and pause where the rule has none, in seconds.
USUAL_TARGET = 0.5
# Part of its memory and places up to which an engine is far from full:
# what other entries began since they told it is less than the rest.
ROOMY_PART = 0.5
# Part of the expected answer for which memory is reserved: streams that
# share an engine are at all points of their answers, so they take little
# more than half of it on average.
ANSWER_PART = 0.7
# Most ranges of layers that a log line names.
MAX_SCARCE = 4


def describe(hops: Hops) -> str:
    """Write a chain for the log."""
    return ','.join(
        f'{hop.endpoint.name}:{hop.start}-{hop.end}' for hop in hops
    )


@attrs.frozen(eq=False)
class _Listed:
    """Engines of a service as of one version of the listing."""

    version: int
    table: chaintable.ChainTable


class ChainFinder:
    """Chooses chains with the beliefs of one entry."""

    def __init__(self, state: state_module.State) -> None:
        self._state = state
        self._tables: dict[str, _Listed] = {}

    def estimate(self, stream: Stream) -> chains.Demand:
        """Tell what a run from here on will take."""
        ask, profile = stream.exchange.ask, stream.profile
        written = stream.sequence.count * profile.stride
        most = max(1, ask.answer - written)
        usual = ask.hint or profile.usual_answer or ask.answer
        expected = max(1, min(most, usual - written))
        prompt = ask.prompt + written
        return chains.Demand(
            prompt=prompt,
            answer=expected,
            tokens=prompt + int(expected * ANSWER_PART),
            domain=self._state.settings.failure_domain,
        )

    def is_roomy(
        self,
        profile: profiles.EngineProfile,
        endpoint: endpoints_module.Endpoint,
    ) -> bool:
        """Tell whether an engine is far from full by what is known."""
        usage = self._state.occupancy.get(endpoint.name)
        held = endpoint.end - endpoint.start
        cache = profile.count_cache(endpoint.kind, held)
        return (
            usage.cache < cache * ROOMY_PART
            and usage.started < profile.slots * ROOMY_PART
        )

    def _get_table(self, stream: Stream) -> chaintable.ChainTable:
        """Give the engines of a service as they are listed now."""
        service, profile = stream.exchange.service, stream.profile
        version = self._state.listing_version
        table = self._tables.get(service)
        if (
            table is None
            or table.version != version
            or table.table.profile is not profile
        ):
            engines = self._state.list_engines(service, profile)
            built = chaintable.ChainTable.from_engines(profile, engines)
            table = self._tables[service] = _Listed(version, built)
        return table.table

    def _list_unusable(self, stream: Stream) -> set[str]:
        """Name the engines that are to get no part of a stream now."""
        unusable = self._state.soundness.list_unusable(self._state.now)
        unusable.update(stream.exchange.tried)
        unusable.update(self._state.list_unreadable())
        unusable.update(self._state.permits.list_paused(self._state.now))
        return unusable

    def explain(self, stream: Stream) -> str:
        """Tell for which layers no endpoint has room now, for the log.

        If there is none, those without room in this failure domain: then
        no other domain holds all layers with room either.
        """
        table = self._get_table(stream)
        domain = self._state.settings.failure_domain
        own = table.domains.get(domain) or table.make_region(domain)
        demand = self.estimate(stream)
        unusable = self._list_unusable(stream)
        for where, region in (('', table.everywhere), (f' in {domain}', own)):
            scarce = scarcity.find_scarce(
                table,
                region,
                demand,
                self._state.occupancy.usages,
                unusable,
            )
            if scarce:
                return ', '.join(map(str, scarce[:MAX_SCARCE])) + where
        return ''

    def choose(
        self, stream: Stream, spared: Iterable[str] = ()
    ) -> Hops | None:
        """Find a chain with room now, None if there is none.

        :param spared: names of endpoints that are to get no part of it
        """
        state = self._state
        hops = self._get_table(stream).choose(
            self.estimate(stream),
            state.occupancy.usages,
            self._list_unusable(stream).union(spared),
            state.has(mechanisms.Mechanism.CROSSING),
            state.paces.list_slow(state.now),
        )
        if hops is None:
            return None
        if not endpoints_module.covers_exactly(hops, stream.profile.layers):
            state.log.write_always(
                'chain is not exact',
                request=stream.exchange.ask.name,
                chain=describe(hops),
            )
            return None
        return hops

    async def _choose_admitted(
        self, stream: Stream, expires: float
    ) -> Hops | None:
        """Find a chain with room whose first endpoint may get a request.

        :param expires: monotonic time until which to look, in seconds
        """
        state = self._state
        name = stream.exchange.ask.name
        while (hops := self.choose(stream)) is not None:
            if await state.admit(hops[0].endpoint.name, name):
                state.get_backlog(stream.exchange.service).note_served(
                    state.now
                )
                return hops
            # The endpoint is left out for the next choice.
            if state.now >= expires:
                return None
        return None

    async def find(self, stream: Stream) -> Hops | None:
        """Find a chain, waiting in turn; None when that is of no use."""
        state = self._state
        exchange = stream.exchange
        queue = state.get_backlog(exchange.service)
        place = self.choose_place(exchange)
        standing, expires = place.standing, place.expires
        if not queue.count_ahead(exchange.priority, standing):
            hops = await self._choose_admitted(stream, expires)
            if hops is not None:
                return hops
        hopeless = queue.is_hopeless(
            exchange.priority, standing, state.now, expires
        )
        if hopeless and state.has(mechanisms.Mechanism.HOPELESS):
            return None
        awake = asyncio.Event()
        waiter = queue.add(exchange.priority, standing, expires, awake.set)
        timer = asyncio.get_running_loop().call_at(expires, awake.set)
        state.counters.waiting.inc()
        try:
            while True:
                await awake.wait()
                awake.clear()
                hops = await self._choose_admitted(stream, expires)
                if hops is not None or state.now >= expires:
                    return hops
        finally:
            state.counters.waiting.dec()
            timer.cancel()
            queue.remove(waiter)

    def choose_place(self, exchange: exchange_module.Exchange) -> waits.Place:
        """Tell where a stream waits, at most until its deadline."""
        terms = exchange.terms
        place = waits.choose_place(
            exchange.request.received_at,
            self._state.now,
            terms.target_seconds or USUAL_TARGET,
            terms.gap_seconds or 0.0,
            exchange.runs > 0,
            exchange.returned,
        )
        if not self._state.has(mechanisms.Mechanism.STANDING):
            fresh = backlog.Standing.ON_TIME
            place = attrs.evolve(place, standing=fresh)
        expires = min(place.expires, exchange.deadline)
        return attrs.evolve(place, expires=expires)
