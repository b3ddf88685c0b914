"""Chooses a chain of engines for a stream, queueing if none has room."""

from typing import Iterable

import attrs

from dunlintide_core.pipeline import backlog
from dunlintide_core.pipeline import bottlenecks
from dunlintide_core.pipeline import callerrequests
from dunlintide_core.pipeline import chains
from dunlintide_core.pipeline import chaintable
from dunlintide_core.pipeline import endpoints as endpoints_module
from dunlintide_core.pipeline import mechanisms
from dunlintide_core.pipeline import profiles
from dunlintide_core.pipeline import returns
from dunlintide_core.pipeline import waits
from dunlintide_daemon.gateway import admission
from dunlintide_daemon.gateway import exchange as exchange_module
from dunlintide_daemon.gateway import reservations
from dunlintide_daemon.gateway import state as state_module
from dunlintide_daemon.gateway import suspicions

__all__ = [
    'DEFAULT_TARGET_SECONDS',
    'ChainFinder',
    'estimate_answer',
    'format_chain',
]

Hops = chains.Hops
Stream = exchange_module.Stream

# Target for the first event and for gaps if the rule has none, in seconds.
DEFAULT_TARGET_SECONDS = 0.5
# Use of cache and slots below which an engine has ample room, as a fraction:
# the rest covers what other entries have started since their last message.
AMPLE_ROOM_FRACTION = 0.5
# Fraction of the expected answer for which cache is reserved: the streams on
# an engine are at different points of their answers, so on average they use
# little more than half.
ANSWER_RESERVE_FRACTION = 0.7
# Most layer ranges that a log line names.
MAX_LOGGED_RANGES = 4


def format_chain(hops: Hops) -> str:
    """Format a chain for the log."""
    return ','.join(
        f'{hop.endpoint.name}:{hop.start}-{hop.end}' for hop in hops
    )


def estimate_answer(
    request: callerrequests.CallerRequest,
    profile: profiles.EngineProfile,
    written: int,
) -> int:
    """Estimate the length of the rest of an answer, at least 1 token.

    :param written: length of what its caller has, in tokens
    """
    most = max(1, request.answer - written)
    typical = request.hint or profile.usual_answer or request.answer
    return max(1, min(most, typical - written))


@attrs.frozen(eq=False)
class _CachedTable:
    """Chain table of a service for one version of the endpoint listing."""

    version: int
    table: chaintable.ChainTable


class ChainFinder:
    """Chooses chains by the state of one entry."""

    def __init__(self, state: state_module.State) -> None:
        self._state = state
        self._tables: dict[str, _CachedTable] = {}

    def estimate(self, stream: Stream) -> chains.Demand:
        """Estimate what the rest of a stream needs of a chain."""
        caller_request, profile = (
            stream.exchange.caller_request,
            stream.profile,
        )
        written = stream.sequence.count * profile.stride
        expected = estimate_answer(caller_request, profile, written)
        prompt = caller_request.prompt + written
        return chains.Demand(
            prompt=prompt,
            answer=expected,
            tokens=prompt + int(expected * ANSWER_RESERVE_FRACTION),
            domain=self._state.settings.failure_domain,
        )

    def has_ample_room(
        self,
        profile: profiles.EngineProfile,
        endpoint: endpoints_module.Endpoint,
    ) -> bool:
        """Return whether an engine is known to be far from full."""
        usage = self._state.occupancy.get(endpoint.name)
        held = endpoint.end - endpoint.start
        cache = profile.get_cache_capacity(endpoint.kind, held)
        return (
            usage.cache < cache * AMPLE_ROOM_FRACTION
            and usage.started < profile.slots * AMPLE_ROOM_FRACTION
        )

    def _get_table(self, stream: Stream) -> chaintable.ChainTable:
        """Return the chain table for the current listing, cached."""
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
            table = self._tables[service] = _CachedTable(version, built)
        return table.table

    def _list_unusable(self, stream: Stream) -> set[str]:
        """Return the names of engines that must not serve a stream now."""
        unusable = self._state.health.list_unusable(self._state.now)
        unusable.update(stream.exchange.excluded_endpoints)
        unusable.update(self._state.list_unreadable())
        unusable.update(self._state.backoffs.list_closed(self._state.now))
        unusable.update(self._state.permits.list_paused(self._state.now))
        return unusable

    def find_shortage(self, stream: Stream) -> str:
        """Describe the layers for which no endpoint has room, for the log.

        If there are none, describe those without room in this entry's
        failure domain: in that case no other domain has room for all layers
        either.
        """
        table = self._get_table(stream)
        domain = self._state.settings.failure_domain
        own = table.domains.get(domain) or table.make_region(domain)
        demand = self.estimate(stream)
        unusable = self._list_unusable(stream)
        for where, region in (('', table.all_domains), (f' in {domain}', own)):
            shortage = bottlenecks.find_bottlenecks(
                table,
                region,
                demand,
                self._state.occupancy.usages,
                unusable,
            )
            if shortage:
                return (
                    ', '.join(map(str, shortage[:MAX_LOGGED_RANGES])) + where
                )
        return ''

    def choose(
        self, stream: Stream, excluded: Iterable[str] = ()
    ) -> Hops | None:
        """Choose a chain with room now, None if there is none.

        :param excluded: names of endpoints that must not be part of it
        """
        state = self._state
        hops = self._get_table(stream).choose(
            self.estimate(stream),
            state.occupancy.usages,
            self._list_unusable(stream).union(excluded),
            state.has(mechanisms.Mechanism.CROSSING),
            state.paces.list_slow(state.now),
            reservations.choose_fraction(state, stream.exchange),
        )
        if hops is None:
            return None
        if not endpoints_module.covers_exactly(hops, stream.profile.layers):
            state.log.write_always(
                'chain is not exact',
                request=stream.exchange.caller_request.name,
                chain=format_chain(hops),
            )
            return None
        return hops

    async def _choose_admitted(
        self, stream: Stream, ticket: admission.Ticket
    ) -> Hops | None:
        """Choose a chain whose first endpoint's rate limit permits a request.

        :returns: None if there is none or it is left to another entry
        """
        state = self._state
        name = stream.exchange.caller_request.name
        while (hops := self.choose(stream)) is not None:
            domains = {hop.endpoint.domain for hop in hops}
            if not admission.may_start(state, ticket, domains):
                return None
            if await state.admit(hops[0].endpoint.name, name):
                state.get_backlog(stream.exchange.service).record_served(
                    state.now
                )
                return hops
            # The endpoint is paused now, so the next choice avoids it.
            if state.now >= ticket.waiter.expires:
                return None
        admission.record_full(state, ticket)
        return None

    def find_return(self, stream: Stream, with_excluded: bool = True) -> float:
        """Return the time until each layer has an engine that may be used.

        :param with_excluded: whether engines that failed the stream count
        :returns: seconds, 0 if no engine asked for a pause
        """
        state = self._state
        now = state.now
        if not state.backoffs.list_closed(now):
            return 0.0
        excluded = stream.exchange.excluded_endpoints

        def get_left(name: str) -> float:
            if name in excluded and not with_excluded:
                return float('inf')
            return state.backoffs.get_left(name, now)

        profile = stream.profile
        engines = state.list_engines(stream.exchange.service, profile)
        return returns.find_chain_return(engines, profile.layers, get_left)

    def _is_unservable(self, stream: Stream, wait: waits.QueueWait) -> bool:
        """Return whether engines can't serve a stream before its wait ends.

        One under way is never given up for this: layers may be moved.
        """
        if wait.queue_class is backlog.QueueClass.UNDER_WAY:
            return False
        seconds = self.find_return(stream, with_excluded=False)
        return self._state.now + seconds > wait.expires

    async def find(self, stream: Stream) -> Hops | None:
        """Choose a chain, waiting in the queue if none has room.

        :returns: the chain, None if the wait is hopeless or over
        """
        state = self._state
        exchange = stream.exchange
        wait = self.choose_queue_wait(exchange)
        ticket = admission.make_ticket(
            exchange, wait.queue_class, wait.expires
        )
        if admission.has_turn(state, ticket):
            hops = await self._choose_admitted(stream, ticket)
            if hops is not None:
                return hops
        if admission.is_too_long(state, ticket):
            return None
        if self._is_unservable(stream, wait):
            return None
        state.counters.waiting.inc()
        try:
            return await admission.wait(
                state,
                ticket,
                lambda: self._choose_admitted(stream, ticket),
                lambda: self._is_unservable(stream, wait),
                lambda: suspicions.is_refused(state, exchange),
            )
        finally:
            state.counters.waiting.dec()

    def choose_queue_wait(
        self, exchange: exchange_module.Exchange
    ) -> waits.QueueWait:
        """Choose queue class and longest wait, at most to the deadline."""
        terms = exchange.terms
        wait = waits.choose_wait(
            exchange.request.received_at,
            self._state.now,
            terms.target_seconds or DEFAULT_TARGET_SECONDS,
            terms.gap_seconds or 0.0,
            exchange.runs > 0,
            exchange.was_refused,
        )
        if not self._state.has(mechanisms.Mechanism.STANDING):
            fresh = backlog.QueueClass.FRESH
            wait = attrs.evolve(wait, queue_class=fresh)
        expires = min(wait.expires, exchange.deadline)
        return attrs.evolve(wait, expires=expires)
