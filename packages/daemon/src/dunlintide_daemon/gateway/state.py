"""Shared state of one entry; to be used on the event loop only."""

import asyncio
import contextlib
import hashlib
import os
import random as random_module
import time
from typing import Awaitable, Callable, Iterable, Iterator

import attrs

from dunlintide_adapters import decisionlog
from dunlintide_adapters import endpointhttp
from dunlintide_core.pipeline import backlog as backlog_module
from dunlintide_core.pipeline import backoffs as backoffs_module
from dunlintide_core.pipeline import bytebudget
from dunlintide_core.pipeline import calldurations
from dunlintide_core.pipeline import demandtable
from dunlintide_core.pipeline import departures as departures_module
from dunlintide_core.pipeline import deployments
from dunlintide_core.pipeline import durations as durations_module
from dunlintide_core.pipeline import endpointhealth as endpointhealth_module
from dunlintide_core.pipeline import endpoints as endpoints_module
from dunlintide_core.pipeline import garbledanswers
from dunlintide_core.pipeline import mechanisms
from dunlintide_core.pipeline import occupancy as occupancy_module
from dunlintide_core.pipeline import paces as paces_module
from dunlintide_core.pipeline import partsuspicions
from dunlintide_core.pipeline import permits as permits_module
from dunlintide_core.pipeline import poisonrequests as poisonrequests_module
from dunlintide_core.pipeline import profiles
from dunlintide_core.pipeline import ratelimits as ratelimits_module
from dunlintide_core.pipeline import refusalhistory as refusalhistory_module
from dunlintide_core.pipeline import reserve
from dunlintide_core.pipeline import retrybudget
from dunlintide_core.pipeline import servicecapacity
from dunlintide_core.pipeline import servicequeue
from dunlintide_core.pipeline import settings as settings_module
from dunlintide_core.pipeline import sharedreading as sharedreading_module
from dunlintide_core.pipeline import shutdown as shutdown_module
from dunlintide_daemon.gateway import counters as counters_module
from dunlintide_platform import storevalues

__all__ = ['ConfigurationOrigin', 'State']

# Waiters that are woken at a time, and the time between two wake-ups, in
# seconds. Each waiter searches for a chain, and with dozens of other entries
# messages about freed capacity arrive every few milliseconds.
_WAKE_BATCH = 3
_WAKE_DELAY_SECONDS = 0.03
# Length of a digest of endpoints, in bytes.
_DIGEST_BYTES = 4


@attrs.frozen
class ConfigurationOrigin:
    """How a configuration reached this entry.

    :ivar source: ``store``, or the entry that sent it
    :ivar revision: its revision in the store, None if unknown
    :ivar read_seconds: time that reading it took, None if not measured
    :ivar decode_seconds: time that decoding it took, None if not measured
    """

    source: str = 'store'
    revision: storevalues.Revision | None = None
    read_seconds: float | None = None
    decode_seconds: float | None = None

    def describe(self) -> dict[str, object]:
        """Return the fields for the log."""
        return {
            'source': self.source,
            'revision': self.revision and self.revision.number,
            'era': self.revision and self.revision.era,
            'read_seconds': _round(self.read_seconds),
            'decode_seconds': _round(self.decode_seconds),
        }


def _round(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 3)


def _digest_routing(endpoint: endpoints_module.Endpoint) -> int:
    """Return a digest of what routing depends on, without heartbeats.

    Digests of several endpoints are combined by XOR. CRC-32 is linear, so
    those of four endpoints with consecutive names would cancel out.
    """
    parts = (
        endpoint.name,
        endpoint.address,
        endpoint.domain,
        endpoint.kind,
        str(endpoint.start),
        str(endpoint.end),
        str(endpoint.draining),
    )
    return _digest_parts(*parts)


def _digest_parts(*parts: str) -> int:
    hashed = hashlib.blake2b(
        '\0'.join(parts).encode(), digest_size=_DIGEST_BYTES
    )
    return int.from_bytes(hashed.digest())


async def _admit_all(name: str, request: str = '') -> bool:
    """Grant every permit; the default before a rate limiter is set."""
    return True


def _offer_to_none(service: str) -> None:
    """Offer capacity to no entry; the default before gossip is set up."""


def _choose_limits(state: 'State') -> bytebudget.Limits:
    """Choose the budgets of a process, by its settings or its machine."""
    if state.settings.memory is not None:
        memory = int(state.settings.memory * (1 << 20))
    else:
        memory = os.sysconf('SC_PAGE_SIZE') * os.sysconf('SC_PHYS_PAGES')
    return bytebudget.choose_limits(memory)


def _make_budget(state: 'State') -> bytebudget.Budget:
    return bytebudget.Budget(_choose_limits(state).callers, time.monotonic)


def _make_operator_budget(state: 'State') -> bytebudget.Budget:
    return bytebudget.Budget(_choose_limits(state).reserved, time.monotonic)


@attrs.define(eq=False)
class State:
    """What one entry knows of endpoints and other entries, and its load.

    :ivar pool: connections to endpoints
    :ivar occupancy: use of endpoints by this entry and by others
    :ivar health: ejections and refusals of endpoints
    :ivar first_event_delays: times from a send to its first event
    :ivar longest_gaps: longest gaps between the events of runs
    :ivar event_intervals: mean intervals of the events of runs, relative to
        the published speed of their engines
    :ivar event_seconds: mean intervals of the events of complete runs, by
        service
    :ivar paces: measured paces of engines
    :ivar backoffs: pauses that endpoints asked this entry for
    :ivar rate_limits: rate limits that endpoints announced
    :ivar permits: permits for endpoints with a rate limit
    :ivar admit: requests a permit to send to an endpoint, by the name of the
        endpoint and the id of the request
    :ivar demand: requests that wait or hold capacity, here and elsewhere, of
        services that are shared
    :ivar demand_changed: set when other entries are to be told of it at once
    :ivar offer_capacity: called with a service whose capacity was released;
        sends the use of endpoints to the entry whose request precedes all
        that wait here
    :ivar slow_suspects: names of engines that may be slow
    :ivar slow_suspected: set when ``slow_suspects`` has grown
    :ivar alert_pending: set when other entries are to be alerted at once
    :ivar poison_requests: requests that may crash endpoints
    :ivar garbled_answers: garbled answers of endpoints
    :ivar part_suspicions: parts of prompts that may crash endpoints
    :ivar suspicions_pending: whether the next alert tells of such parts
    :ivar budget: bytes that requests, answers and configurations may occupy
    :ivar operator_budget: the same for operators and other entries
    :ivar reported_refusals: refusals for want of memory at the last report
    :ivar is_short_of_memory: whether there were any before it
    :ivar refusal_history: requests that were refused recently
    :ivar deployment: configuration in force, None before the first
    :ivar configuration_value: its encoded form, for other entries
    :ivar configuration_origin: how it reached this entry
    :ivar newest_told_version: newest version that another entry has in force
    :ivar configuration_at: monotonic time at which it was applied, in seconds
    :ivar endpoints: endpoints by name, including those that leave
    :ivar listing_version: counts changes of which endpoints accept requests
        and which layers they hold
    :ivar listing_digest: digest of names, layers and draining of all
        endpoints, independent of their order
    :ivar shared_reading: readings of the store by other entries
    :ivar follows_parts: whether the store is followed by parts, as when a
        large answer was put off
    :ivar loads_configuration: whether a version of the configuration was read
        that is not in force yet
    :ivar departures: endpoints that leave or were removed
    :ivar incarnations: newest known incarnation of each endpoint, by identity
    :ivar unreadable_since: endpoints whose item in the store is malformed, by
        identity, and the monotonic time since when, in seconds
    :ivar incarnation_listeners: called with the name of each incarnation that
        a newer one replaced
    :ivar has_listing: whether the endpoints were read at least once
    :ivar initialized: set once configuration and endpoints are known
    :ivar listing_read_at: monotonic time of the last answer of the store, in
        seconds
    :ivar known_entries: names of all entries that were ever listed
    :ivar listed_entries: names of the other entries that are listed; an
        entry that stops is no longer listed
    :ivar entry_domains: failure domains of the other entries, by name
    :ivar entries_digest: digest of the names of all listed entries, this one
        included
    :ivar backlogs: queues of waiting requests by service
    :ivar queues: order of the waiting requests of shared services
    :ivar retry_budgets: retry budgets by service
    :ivar reserves: need of capacity for urgent requests by service
    :ivar engine_capacities: capacity of engines by service
    :ivar waking_services: services whose queues are about to be woken
    :ivar call_durations: how long endpoints took for recent calls
    :ivar shutdown: times of the shutdown, None before SIGTERM
    :ivar change_listeners: called when endpoints or configuration changed
    """

    settings: settings_module.EdgeSettings
    log: decisionlog.DecisionLog
    counters: counters_module.Counters
    budget: bytebudget.Budget = attrs.field(
        default=attrs.Factory(_make_budget, takes_self=True)
    )
    operator_budget: bytebudget.Budget = attrs.field(
        default=attrs.Factory(_make_operator_budget, takes_self=True)
    )
    pool: endpointhttp.Pool = attrs.field(factory=endpointhttp.Pool)
    occupancy: occupancy_module.Occupancy = attrs.field(
        factory=occupancy_module.Occupancy
    )
    health: endpointhealth_module.EndpointHealth = attrs.field(
        factory=endpointhealth_module.EndpointHealth
    )
    first_event_delays: durations_module.DurationWindow = attrs.field(
        factory=durations_module.DurationWindow
    )
    longest_gaps: durations_module.DurationWindow = attrs.field(
        factory=durations_module.DurationWindow
    )
    event_intervals: durations_module.DurationWindow = attrs.field(
        factory=durations_module.DurationWindow
    )
    event_seconds: dict[str, durations_module.DurationWindow] = attrs.field(
        factory=dict
    )
    paces: paces_module.Paces = attrs.field(factory=paces_module.Paces)
    backoffs: backoffs_module.Backoffs = attrs.field(
        factory=backoffs_module.Backoffs
    )
    rate_limits: ratelimits_module.RateLimits = attrs.field(
        factory=ratelimits_module.RateLimits
    )
    permits: permits_module.Permits = attrs.field(init=False)
    admit: Callable[..., Awaitable[bool]] = _admit_all
    demand: demandtable.DemandTable = attrs.field(init=False)
    demand_changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    offer_capacity: Callable[[str], None] = _offer_to_none
    slow_suspects: set[str] = attrs.field(factory=set)
    slow_suspected: asyncio.Event = attrs.field(factory=asyncio.Event)
    alert_pending: asyncio.Event = attrs.field(factory=asyncio.Event)
    poison_requests: poisonrequests_module.PoisonRequests = attrs.field(
        factory=poisonrequests_module.PoisonRequests
    )
    garbled_answers: garbledanswers.GarbledAnswers = attrs.field(
        factory=garbledanswers.GarbledAnswers
    )
    part_suspicions: partsuspicions.PartSuspicions = attrs.field(
        factory=partsuspicions.PartSuspicions
    )
    suspicions_pending: bool = False
    reported_refusals: int = 0
    is_short_of_memory: bool = False
    refusal_history: refusalhistory_module.RefusalHistory = attrs.field(
        factory=refusalhistory_module.RefusalHistory
    )
    random: random_module.Random = attrs.field(factory=random_module.Random)
    deployment: deployments.Deployment | None = None
    configuration_value: bytes = b''
    configuration_origin: ConfigurationOrigin = ConfigurationOrigin()
    newest_told_version: int = 0
    configuration_at: float = 0.0
    endpoints: dict[str, endpoints_module.Endpoint] = attrs.field(factory=dict)
    listing_version: int = 0
    listing_digest: int = 0
    shared_reading: sharedreading_module.SharedReading = attrs.field(
        factory=sharedreading_module.SharedReading
    )
    follows_parts: bool = True
    loads_configuration: bool = False
    departures: departures_module.Departures = attrs.field(
        factory=departures_module.Departures
    )
    incarnations: dict[str, endpoints_module.Endpoint] = attrs.field(
        factory=dict
    )
    unreadable_since: dict[str, float] = attrs.field(factory=dict)
    incarnation_listeners: list[Callable[[str], None]] = attrs.field(
        factory=list
    )
    has_listing: bool = False
    initialized: asyncio.Event = attrs.field(factory=asyncio.Event)
    listing_read_at: float = 0.0
    known_entries: set[str] = attrs.field(factory=set)
    listed_entries: set[str] = attrs.field(factory=set)
    entry_domains: dict[str, str] = attrs.field(factory=dict)
    entries_digest: int = 0
    backlogs: dict[str, backlog_module.Backlog] = attrs.field(factory=dict)
    queues: dict[str, servicequeue.ServiceQueue] = attrs.field(factory=dict)
    retry_budgets: dict[str, retrybudget.RetryBudget] = attrs.field(
        factory=dict
    )
    reserves: dict[str, reserve.Reserve] = attrs.field(factory=dict)
    engine_capacities: dict[str, servicecapacity.EngineCapacity] = attrs.field(
        factory=dict
    )
    waking_services: set[str] = attrs.field(factory=set)
    call_durations: calldurations.CallDurations = attrs.field(
        factory=calldurations.CallDurations
    )
    shutdown: shutdown_module.Shutdown | None = None
    change_listeners: list[Callable[[], None]] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        self.shared_reading.name = self.settings.name
        self.entries_digest = _digest_parts(self.settings.name)
        self.permits = permits_module.Permits(
            self.settings.name, self.rate_limits, self.random
        )
        # The table ignores services that are not shared.
        self.demand = demandtable.DemandTable(
            self.is_shared, self.demand_changed.set
        )

    @property
    def version(self) -> int:
        """Version of the configuration in force, 0 for none."""
        return self.deployment.version if self.deployment else 0

    @contextlib.contextmanager
    def occupy(self, size: int, owner: str = '') -> Iterator[None]:
        """Count bytes that can't be refused while they are in use.

        :param owner: team or address that they are counted for
        """
        account = bytebudget.Account(owner)
        self.budget.force(account, size)
        try:
            yield
        finally:
            self.budget.release(account)

    def report_budget(self) -> None:
        """Update the metrics of the budget of bytes, and log its changes."""
        budget, counters = self.budget, self.counters
        counters.held_bytes.labels('all').set(budget.held)
        counters.held_bytes.labels('large').set(budget.large_held)
        counters.held_bytes.labels('unread').set(budget.unread_held)
        counters.unread_answers.set(budget.given_up)
        counters.held_bytes_limit.set(budget.limit)
        counters.reservations_waiting_bytes.set(budget.waiting_bytes)
        refused = budget.refusals - self.reported_refusals
        counters.unreserved_requests.set(budget.refusals)
        self.reported_refusals = budget.refusals
        if bool(refused) != self.is_short_of_memory:
            self.is_short_of_memory = bool(refused)
            self.log.write(
                (
                    'requests refused for want of memory'
                    if refused
                    else 'memory for requests again'
                ),
                held=budget.held,
                large=budget.large_held,
                limit=budget.limit,
                waiting=budget.waiting_bytes,
                refusals=budget.refusals,
            )

    @property
    def now(self) -> float:
        """Monotonic time in seconds, that of the event loop."""
        return time.monotonic()

    @property
    def listing_age(self) -> float | None:
        """Age of what is known of the store in seconds, None if nothing is.

        It is known as of the last answer, or as of the readings of others by
        which it is verified.
        """
        if not self.has_listing:
            return None
        now = self.now
        known_at = self.listing_read_at
        if self.shares_reading:
            verified_at = self.shared_reading.find_verified(
                self.reading_digest, now
            )
            known_at = max(known_at, verified_at or known_at)
        return round(now - known_at, 3)

    @property
    def is_listing_fresh(self) -> bool:
        """Whether the store answered within the drain time."""
        return self.now - self.listing_read_at <= self.settings.drain

    def has(self, mechanism: mechanisms.Mechanism) -> bool:
        """Return whether a mechanism is enabled."""
        return mechanism not in self.settings.experiments.off

    def is_shared(self, service: str) -> bool:
        """Return whether requests of a service are ordered over all entries.

        Where they are alike in priority and weight, each entry serves them in
        order of arrival.
        """
        if not self.may_share:
            return False
        if self.settings.demand.sharing is settings_module.Sharing.ON:
            return True
        deployment = self.deployment
        return deployment is not None and deployment.is_contended(service)

    @property
    def may_share(self) -> bool:
        """Whether requests of any service may be ordered over all entries."""
        sharing = self.settings.demand.sharing
        if sharing is settings_module.Sharing.OFF:
            return False
        return self.has(mechanisms.Mechanism.SHARING)

    @property
    def shares_reading(self) -> bool:
        """Whether the store is read less often while others read it."""
        return self.settings.demand.shared_reading and self.has(
            mechanisms.Mechanism.SHARED_READING
        )

    @property
    def reading_digest(self) -> int:
        """Digest of what is known of the store.

        It differs from that of all others while the store is followed by
        parts, or a configuration that was read is not in force yet, so that
        they read what this entry does not tell by its version.
        """
        return _digest_parts(
            str(self.version),
            str(self.listing_digest),
            str(self.entries_digest),
            str(self.follows_parts or self.loads_configuration),
        )

    def add_listed_entry(self, name: str, domain: str) -> None:
        """Record that another entry is listed."""
        if name not in self.listed_entries:
            self.listed_entries.add(name)
            self.entries_digest ^= _digest_parts(name)
        self.known_entries.add(name)
        self.entry_domains[name] = domain

    def drop_listed_entry(self, name: str) -> None:
        """Record that another entry is no longer listed."""
        if name in self.listed_entries:
            self.listed_entries.discard(name)
            self.entries_digest ^= _digest_parts(name)
        self.entry_domains.pop(name, None)

    @property
    def is_initialized(self) -> bool:
        """Whether configuration and endpoints are known."""
        return self.deployment is not None and self.has_listing

    @property
    def stopping(self) -> bool:
        """Whether the process got SIGTERM, so that it is not ready."""
        return self.shutdown is not None

    @property
    def is_ready(self) -> bool:
        """Whether new connections are accepted."""
        return self.is_initialized and not self.stopping

    def list_unready(self) -> list[str]:
        """Return the reasons why new connections are not accepted."""
        reasons = (
            (self.deployment is None, 'no configuration'),
            (not self.has_listing, 'endpoints not listed yet'),
            (self.stopping, 'stopping'),
        )
        return [reason for holds, reason in reasons if holds]

    def apply_configuration(
        self,
        deployment: deployments.Deployment,
        value: bytes,
        origin: ConfigurationOrigin = ConfigurationOrigin(),
    ) -> bool:
        """Put a configuration in force if it is newer than the current one.

        :param value: its encoded form in the store, for other entries
        :param origin: how it reached this entry
        :returns: whether it was put in force
        """
        held = self.deployment
        if held is not None and deployment.version <= held.version:
            return False
        self.deployment = deployment
        self.configuration_value = value
        self.configuration_origin = origin
        self.configuration_at = self.now
        self.log.write_always(
            'configuration in force',
            version=deployment.version,
            before=held.version if held else None,
            bytes=len(value),
            **origin.describe(),
            rules=len(deployment.source.rules),
            teams=len(deployment.source.teams),
        )
        # The others are told at once, since some read it faster from here.
        self.alert_pending.set()
        self.notify_listeners()
        return True

    def apply_endpoint(self, endpoint: endpoints_module.Endpoint) -> None:
        """Add or update an endpoint that is listed."""
        self.unreadable_since.pop(endpoint.identity, None)
        if not self._apply_incarnation(endpoint):
            return
        self.departures.record_listed(endpoint.name)
        if endpoint.draining:
            if self.departures.record_leaving(endpoint.name, True, self.now):
                self.counters.leaving_learned.labels('listing').inc()
        elif self.departures.is_leaving(endpoint.name):
            # The listing is older than the announcement that it leaves.
            endpoint = attrs.evolve(endpoint, draining=True)
        self._update_endpoint(endpoint)

    def _update_endpoint(self, endpoint: endpoints_module.Endpoint) -> None:
        before = self.endpoints.get(endpoint.name)
        if before == endpoint:
            return
        self.endpoints[endpoint.name] = endpoint
        if before is None or not endpoint.accepts_same_requests(before):
            self.listing_version += 1
            self.listing_digest ^= _digest_routing(endpoint)
            if before is not None:
                self.listing_digest ^= _digest_routing(before)
            self.log.write(
                'endpoint listed',
                endpoint=endpoint.name,
                address=endpoint.address,
                service=endpoint.service,
                domain=endpoint.domain,
                draining=endpoint.draining,
                layers=[endpoint.start, endpoint.end],
                listing_age=self.listing_age,
            )
        if endpoint.draining:
            self.pool.drop(endpoint.address)
        self.notify_listeners()

    def _apply_incarnation(self, endpoint: endpoints_module.Endpoint) -> bool:
        """Record the incarnation of an endpoint.

        :returns: whether it is the newest known one
        """
        known = self.incarnations.get(endpoint.identity)
        if known is not None and endpoint.is_superseded_by(known):
            self.log.write(
                'older life ignored',
                endpoint=endpoint.name,
                known=known.name,
            )
            return False
        self.incarnations[endpoint.identity] = endpoint
        if known is not None and known.name != endpoint.name:
            self._end_incarnation(known, endpoint.name)
        return True

    def _end_incarnation(
        self, endpoint: endpoints_module.Endpoint, successor: str
    ) -> None:
        """Forget an incarnation that a newer one replaced, and its runs."""
        self.log.write_always(
            'endpoint began a new life',
            endpoint=endpoint.name,
            successor=successor,
        )
        self._forget(endpoint)
        for listener in self.incarnation_listeners:
            listener(endpoint.name)

    def record_incarnation(
        self, endpoint: endpoints_module.Endpoint, born: int | None
    ) -> None:
        """Record the incarnation that an endpoint itself reports.

        One that is newer than the listed one is not used until it is listed,
        since its layers are not known. If the listing has no start times,
        incarnations cannot be compared.

        :param born: reported start time, None without one
        """
        name = endpoints_module.name_incarnation(endpoint.identity, born)
        reported = attrs.evolve(endpoint, name=name, born=born)
        known = self.incarnations.get(endpoint.identity, endpoint)
        if known.born is not None and known.is_superseded_by(reported):
            self._apply_incarnation(reported)
            self.notify_listeners()

    def mark_unreadable(self, identity: str) -> None:
        """Stop using an endpoint until its item is well-formed again."""
        if identity in self.incarnations:
            self.unreadable_since.setdefault(identity, self.now)

    def mark_leaving(self, name: str, source: str, request: str = '') -> None:
        """Send no new requests to an endpoint that leaves.

        :param source: ``answer``, or the entry that reported it, for the log
        :param request: id of the request whose answer said so, if any
        """
        is_seen = source == 'answer'
        if not self.departures.record_leaving(name, is_seen, self.now):
            return
        label = 'answer' if is_seen else 'entry'
        self.counters.leaving_learned.labels(label).inc()
        self.log.write(
            'endpoint leaves',
            endpoint=name,
            source=source,
            request=request,
            listing_age=self.listing_age,
        )
        endpoint = self.endpoints.get(name)
        if endpoint is not None and not endpoint.draining:
            self._update_endpoint(attrs.evolve(endpoint, draining=True))

    def record_usability_change(self) -> None:
        """Record that an endpoint may be used again, or no longer."""
        self.listing_version += 1
        self.notify_listeners()

    def remove_endpoint(self, identity: str) -> None:
        """Forget an endpoint that is no longer listed."""
        self.unreadable_since.pop(identity, None)
        endpoint = self.incarnations.pop(identity, None)
        if endpoint is None:
            return
        left_for = self.departures.get_seconds(endpoint.name, self.now)
        is_told = self.departures.is_told_removed(endpoint.name)
        if left_for is None and not is_told:
            self.counters.leaving_learned.labels('listing').inc()
        self.log.write(
            'endpoint gone',
            endpoint=endpoint.name,
            address=endpoint.address,
            left_for=None if left_for is None else round(left_for, 3),
            listing_age=self.listing_age,
        )
        self._forget(endpoint)
        self.notify_listeners()

    def _forget(self, endpoint: endpoints_module.Endpoint) -> None:
        self.departures.record_removal(endpoint.name, self.now)
        held = self.endpoints.pop(endpoint.name, None)
        if held is not None:
            self.listing_version += 1
            self.listing_digest ^= _digest_routing(held)
        self.pool.drop(endpoint.address)
        self.health.forget(endpoint.name)
        self.paces.forget(endpoint.name)
        self.rate_limits.forget(endpoint.name)

    def list_endpoints(self, service: str) -> list[endpoints_module.Endpoint]:
        """Return the endpoints of a service that accept new requests."""
        now = self.now
        return [
            each
            for each in self.endpoints.values()
            if each.service == service
            and not self._is_departing(each)
            and each.identity not in self.unreadable_since
            and self.health.is_usable(each.name, now)
            and self.backoffs.can_send(each.name, now)
        ]

    def list_all_endpoints(
        self, service: str
    ) -> list[endpoints_module.Endpoint]:
        """Return all listed endpoints of a service, leaving ones included."""
        return [
            each for each in self.endpoints.values() if each.service == service
        ]

    def _is_departing(
        self, endpoint: endpoints_module.Endpoint, trusts_others: bool = True
    ) -> bool:
        name = endpoint.name
        if not (endpoint.draining or self.departures.is_told_removed(name)):
            return False
        return trusts_others or not self.departures.is_hearsay(name)

    def list_engines(
        self,
        service: str,
        profile: profiles.EngineProfile,
        trusts_others: bool = True,
    ) -> list[endpoints_module.Endpoint]:
        """Return the engines of a service with a valid range of layers.

        Those that are temporarily not used are included.

        :param trusts_others: whether engines are left out of which only other
            entries said that they leave
        """
        return [
            each
            for each in self.endpoints.values()
            if each.service == service
            and not self._is_departing(each, trusts_others)
            and profile.can_hold(each.kind, each.start, each.end)
        ]

    def list_unreadable(self) -> list[str]:
        """Return the names of endpoints whose item is malformed."""
        return [
            self.incarnations[identity].name
            for identity in self.unreadable_since
        ]

    def get_backlog(self, service: str) -> backlog_module.Backlog:
        """Return the queue of a service, created if needed."""
        return self.backlogs.setdefault(service, backlog_module.Backlog())

    def get_queue(self, service: str) -> servicequeue.ServiceQueue:
        """Return the order of a shared service's queue, created if needed."""
        queue = self.queues.get(service)
        share = self.settings.demand.minimum_share
        if queue is None:
            queue = self.queues[service] = servicequeue.ServiceQueue(
                service,
                self.get_backlog(service),
                self.demand,
                share,
                lambda outcome: self.counters.yields.labels(outcome).inc(),
            )
        has_share = self.has(mechanisms.Mechanism.MINIMUM_SHARE)
        queue.shares.share = share if has_share else 0.0
        queue.has_team_shares = self.has(mechanisms.Mechanism.TEAM_SHARES)
        return queue

    def get_event_seconds(
        self, service: str
    ) -> durations_module.DurationWindow:
        """Return the intervals of events of a service, created if needed."""
        window = durations_module.DurationWindow()
        return self.event_seconds.setdefault(service, window)

    def get_retry_budget(self, service: str) -> retrybudget.RetryBudget:
        """Return the retry budget of a service, created if needed."""
        budget = self.retry_budgets.get(service)
        if budget is None:
            retries = self.settings.retries
            budget = retrybudget.RetryBudget(
                retries.ratio, retries.slack, retries.window
            )
            self.retry_budgets[service] = budget
        budget.entries = max(1, len(self.known_entries))
        return budget

    def spend_retry_budget(
        self, service: str, reason: str, under_way: bool = True
    ) -> bool:
        """Charge another send to the shared retry budget.

        :param reason: label of the metric of resends
        :param under_way: whether the request may have run
        :returns: whether the budget allowed it
        """
        keeps_reserve = self.has(mechanisms.Mechanism.KEPT_BUDGET)
        first = under_way or not keeps_reserve
        if not self.get_retry_budget(service).spend(self.now, first):
            return False
        self.counters.resends.labels(reason).inc()
        return True

    def eject(
        self,
        names: Iterable[str],
        reason: str,
        request: str = '',
        is_certain: bool = True,
    ) -> None:
        """Eject endpoints for a while, and log why.

        :param request: id of the request that showed the fault, if any
        :param is_certain: whether they have failed; if the cause may be this
            machine or the network, the last ones that can serve stay in use
        """
        if not self.has(mechanisms.Mechanism.ACCUSATION):
            return
        now = self.now
        for name in names:
            if not is_certain and not self._can_spare(name):
                self.log.write(
                    'last endpoint kept',
                    request=request,
                    endpoint=name,
                    reason=reason,
                )
            elif self.health.eject(name, now):
                self.counters.ejections.inc()
                self.log.write(
                    'endpoint left out',
                    request=request,
                    endpoint=name,
                    reason=reason,
                )
                self.alert_pending.set()

    def record_garbled(self, name: str, reason: str, request: str) -> None:
        """Record a garbled answer of an endpoint, and eject it after some.

        :param request: id of the request that was answered
        """
        self.garbled_answers.retain(self.endpoints)
        if self.garbled_answers.record(name):
            self.eject([name], reason, request)

    def _can_spare(self, name: str) -> bool:
        """Return whether other endpoints in use can replace one."""
        endpoint = self.endpoints.get(name)
        if endpoint is None:
            return True
        others = [
            each
            for each in self.list_endpoints(endpoint.service)
            if each.name != name
        ]
        return endpoints_module.can_replace(endpoint, others)

    def suspect_slow(self, names: Iterable[str]) -> None:
        """Request probes of the pace of engines."""
        if self.has(mechanisms.Mechanism.PACES):
            self.slow_suspects.update(names)
            self.slow_suspected.set()

    def record_refusal(self, name: str, service: str, has_room: bool) -> None:
        """Record that an endpoint refused a request that it should hold.

        Other entries are alerted at once. Waiters are woken when the endpoint
        may be tried again, since nothing else may wake them.

        :param has_room: whether the endpoint is known to be far from full
        """
        if not self.has(mechanisms.Mechanism.REFUSAL_PAUSES):
            return
        pause = self.health.record_refusal(name, self.now, has_room)
        self.alert_pending.set()
        loop = asyncio.get_running_loop()
        loop.call_later(pause, self.wake, service)

    def release(
        self,
        service: str,
        reservation: occupancy_module.Reservation,
        was_refused: bool = False,
    ) -> None:
        """Release a reservation, and wake the waiters of its service.

        :param was_refused: whether endpoints refused what it was made for, so
            that it never held their capacity
        """
        self.occupancy.release(reservation)
        if not was_refused:
            self.record_released(name for name, _ in reservation.parts)
        self.wake(service)

    def record_released(self, names: Iterable[str]) -> None:
        """Record that capacity on endpoints was released, here or elsewhere.

        Those that refused as full may get requests again. Services that are
        not shared keep the whole pause.

        :param names: names of endpoints and pipes; pipes are ignored
        """
        for name in names:
            endpoint = self.endpoints.get(name)
            if endpoint is not None and self.is_shared(endpoint.service):
                self.health.record_release(name, self.now)

    def wake(self, service: str) -> None:
        """Wake the first waiters of a service after a short delay."""
        if service in self.waking_services or not self.backlogs.get(service):
            return
        self.waking_services.add(service)
        loop = asyncio.get_running_loop()
        loop.call_later(_WAKE_DELAY_SECONDS, self._wake_now, service)

    def _wake_now(self, service: str) -> None:
        self.waking_services.discard(service)
        if self.is_shared(service):
            self.get_queue(service).begin_round(self.now)
            return
        for waiter in list(self.backlogs[service])[:_WAKE_BATCH]:
            waiter.wake()

    def wake_all(self) -> None:
        """Wake the first waiters of each service."""
        for service in self.backlogs:
            self.wake(service)

    def wake_waiters(self) -> None:
        """Wake all waiters, as some of them may be refused now."""
        for backlog in self.backlogs.values():
            for waiter in list(backlog):
                waiter.wake()

    def notify_listeners(self) -> None:
        """Notify listeners and waiters of a change of the state."""
        if self.is_initialized:
            self.initialized.set()
        for listener in self.change_listeners:
            listener()
        self.wake_all()
