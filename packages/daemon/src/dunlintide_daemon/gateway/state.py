"""What one entry knows and holds; all of it lives on the event loop."""

import asyncio
import random as random_module
import time
from typing import Awaitable, Callable, Iterable

import attrs
import result

from dunlintide_adapters import decisionlog
from dunlintide_adapters import endpointhttp
from dunlintide_core.pipeline import backlog as backlog_module
from dunlintide_core.pipeline import crashers as crashers_module
from dunlintide_core.pipeline import deployments
from dunlintide_core.pipeline import endpoints as endpoints_module
from dunlintide_core.pipeline import mechanisms
from dunlintide_core.pipeline import occupancy as occupancy_module
from dunlintide_core.pipeline import paces as paces_module
from dunlintide_core.pipeline import pauses as pauses_module
from dunlintide_core.pipeline import permits as permits_module
from dunlintide_core.pipeline import profiles
from dunlintide_core.pipeline import ratelimits as ratelimits_module
from dunlintide_core.pipeline import resends
from dunlintide_core.pipeline import returns as returns_module
from dunlintide_core.pipeline import settings as settings_module
from dunlintide_core.pipeline import soundness as soundness_module
from dunlintide_daemon.gateway import counters as counters_module

__all__ = ['State']

# Waiters that are woken at a time, and pause between two such times, in
# seconds: each looks for a chain, and with dozens of other entries telling of
# their use the news come every few milliseconds.
_WAKE_BATCH = 3
_WAKE_DELAY_SECONDS = 0.03


async def _admit_all(name: str, request: str = '') -> bool:
    """Admit whatever is sent, where there is nobody to share limits with."""
    return True


@attrs.define(eq=False)
class State:
    """Beliefs and holdings of an entry.

    :ivar deployment: configuration in force, None before the first
    :ivar endpoints: endpoints by name, leaving ones among them
    :ivar listing_version: counts changes of which endpoints take requests
        and which layers they hold
    :ivar lives: newest known life of each endpoint, by identity
    :ivar unreadable: endpoints whose entry can't be read, by identity, and
        since when
    :ivar life_listeners: told the name of each life that another one ended
    :ivar listed: whether the endpoints were read at least once
    :ivar informed: set once configuration and endpoints are known
    :ivar entries: names of all entries that were ever seen
    :ivar others: names of the other entries that are listed; one that stops
        is not
    :ivar backlogs: waiting requests by service
    :ivar waking: services whose queues are about to be woken
    :ivar first_events: times from a send to its first event
    :ivar pauses: longest pauses between events
    :ivar event_times: mean times between the events of runs, against what is
        published of their engines
    :ivar paces: what engines told of their pace
    :ivar rate_limits: limits that endpoints named
    :ivar permits: permits for endpoints with a limit
    :ivar admit: asks whether something may be sent to an endpoint, by its
        name and the id of the request
    :ivar slow_suspects: names of engines that may be slow
    :ivar slow_suspected: set when there is one
    :ivar alarmed: set when other entries are to be told of doubts at once
    :ivar stopping: whether the process takes no new connections
    :ivar stopping_at: monotonic time of SIGTERM, in seconds
    """

    settings: settings_module.EdgeSettings
    log: decisionlog.DecisionLog
    counters: counters_module.Counters
    pool: endpointhttp.Pool = attrs.field(factory=endpointhttp.Pool)
    occupancy: occupancy_module.Occupancy = attrs.field(
        factory=occupancy_module.Occupancy
    )
    health: soundness_module.Soundness = attrs.field(
        factory=soundness_module.Soundness
    )
    first_event_delays: pauses_module.Pauses = attrs.field(
        factory=pauses_module.Pauses
    )
    longest_gaps: pauses_module.Pauses = attrs.field(
        factory=pauses_module.Pauses
    )
    event_intervals: pauses_module.Pauses = attrs.field(
        factory=pauses_module.Pauses
    )
    paces: paces_module.Paces = attrs.field(factory=paces_module.Paces)
    rate_limits: ratelimits_module.RateLimits = attrs.field(
        factory=ratelimits_module.RateLimits
    )
    permits: permits_module.Permits = attrs.field(init=False)
    admit: Callable[..., Awaitable[bool]] = _admit_all
    slow_suspects: set[str] = attrs.field(factory=set)
    slow_suspected: asyncio.Event = attrs.field(factory=asyncio.Event)
    alert_pending: asyncio.Event = attrs.field(factory=asyncio.Event)
    poison_requests: crashers_module.Crashers = attrs.field(
        factory=crashers_module.Crashers
    )
    refusal_history: returns_module.Returns = attrs.field(
        factory=returns_module.Returns
    )
    random: random_module.Random = attrs.field(factory=random_module.Random)
    deployment: deployments.Deployment | None = None
    configuration_value: bytes = b''
    configuration_at: float = 0.0
    endpoints: dict[str, endpoints_module.Endpoint] = attrs.field(factory=dict)
    listing_version: int = 0
    leaving_since: dict[str, float] = attrs.field(factory=dict)
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
    backlogs: dict[str, backlog_module.Backlog] = attrs.field(factory=dict)
    retry_budgets: dict[str, resends.ResendBudget] = attrs.field(factory=dict)
    waking_services: set[str] = attrs.field(factory=set)
    stopping: bool = False
    stopping_since: float = 0.0
    change_listeners: list[Callable[[], None]] = attrs.field(factory=list)

    def __attrs_post_init__(self) -> None:
        self.permits = permits_module.Permits(
            self.settings.name, self.rate_limits, self.random
        )

    @property
    def version(self) -> int:
        """Version of the configuration in force, 0 for none."""
        return self.deployment.version if self.deployment else 0

    @property
    def now(self) -> float:
        """Monotonic time in seconds, that of the event loop."""
        return time.monotonic()

    def has(self, mechanism: mechanisms.Mechanism) -> bool:
        """Tell whether a mechanism is on."""
        return mechanism not in self.settings.experiments.off

    @property
    def is_initialized(self) -> bool:
        """Whether configuration and endpoints are known."""
        return self.deployment is not None and self.has_listing

    @property
    def is_ready(self) -> bool:
        """Whether new connections are welcome."""
        return self.is_initialized and not self.stopping

    def list_unready(self) -> list[str]:
        """Tell why new connections are not welcome."""
        reasons = (
            (self.deployment is None, 'no configuration'),
            (not self.has_listing, 'endpoints not listed yet'),
            (self.stopping, 'stopping'),
        )
        return [reason for holds, reason in reasons if holds]

    def apply_configuration(
        self, deployment: deployments.Deployment, value: bytes
    ) -> bool:
        """Put a configuration in force unless it is not newer.

        :param value: as it lies in the store, for other entries
        :returns: whether it is in force now
        """
        held = self.deployment
        if held is not None and deployment.version <= held.version:
            return False
        self.deployment = deployment
        self.configuration_value = value
        self.configuration_at = self.now
        self.log.write_always(
            'configuration in force',
            version=deployment.version,
            before=held.version if held else None,
            rules=len(deployment.source.rules),
            teams=len(deployment.source.teams),
        )
        self.notify_listeners()
        return True

    def apply_endpoint(self, endpoint: endpoints_module.Endpoint) -> None:
        """Take in an endpoint or what changed of it."""
        self.unreadable_since.pop(endpoint.identity, None)
        if not self._apply_incarnation(endpoint):
            return
        before = self.endpoints.get(endpoint.name)
        if endpoint.name in self.leaving_since and not endpoint.draining:
            # A listing that is older than what is known of its leaving.
            endpoint = attrs.evolve(endpoint, draining=True)
        if before == endpoint:
            return
        self.endpoints[endpoint.name] = endpoint
        if before is None or not endpoint.serves_like(before):
            self.listing_version += 1
            self.log.write(
                'endpoint listed',
                endpoint=endpoint.name,
                address=endpoint.address,
                service=endpoint.service,
                domain=endpoint.domain,
                draining=endpoint.draining,
                layers=[endpoint.start, endpoint.end],
            )
        if endpoint.draining:
            self.pool.drop(endpoint.address)
        self.notify_listeners()

    def _apply_incarnation(self, endpoint: endpoints_module.Endpoint) -> bool:
        """Take note of the life of an endpoint that is listed.

        :returns: whether it is the newest that is known
        """
        known = self.incarnations.get(endpoint.identity)
        if known is not None and endpoint.is_older(known):
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
        """Forget a life that another one ended, and what ran on it."""
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
        """Take note of the life that an endpoint itself tells.

        A newer one than the listing's is out of use until it is listed,
        since its layers aren't known. Where the listing tells no births
        there is nothing to compare.
        """
        name = endpoints_module.name_life(endpoint.identity, born)
        told = attrs.evolve(endpoint, name=name, born=born)
        known = self.incarnations.get(endpoint.identity, endpoint)
        if known.born is not None and known.is_older(told):
            self._apply_incarnation(told)
            self.notify_listeners()

    def mark_unreadable(self, identity: str) -> None:
        """Use an endpoint no more until its entry can be read again."""
        if identity in self.incarnations:
            self.unreadable_since.setdefault(identity, self.now)

    def mark_leaving(self, name: str, source: str) -> None:
        """Send nothing new to an endpoint that leaves.

        :param source: who told, for the log
        """
        if name in self.leaving_since:
            return
        self.leaving_since[name] = self.now
        self.log.write('endpoint leaves', endpoint=name, source=source)
        endpoint = self.endpoints.get(name)
        if endpoint is not None and not endpoint.draining:
            self.apply_endpoint(attrs.evolve(endpoint, draining=True))

    def remove_endpoint(self, identity: str) -> None:
        """Forget an endpoint that is gone from the listing."""
        self.unreadable_since.pop(identity, None)
        endpoint = self.incarnations.pop(identity, None)
        if endpoint is None:
            return
        self.log.write(
            'endpoint gone', endpoint=endpoint.name, address=endpoint.address
        )
        self._forget(endpoint)
        self.notify_listeners()

    def _forget(self, endpoint: endpoints_module.Endpoint) -> None:
        if self.endpoints.pop(endpoint.name, None) is not None:
            self.listing_version += 1
        self.pool.drop(endpoint.address)
        self.health.forget(endpoint.name)
        self.paces.forget(endpoint.name)
        self.rate_limits.forget(endpoint.name)

    def list_endpoints(self, service: str) -> list[endpoints_module.Endpoint]:
        """List the endpoints of a service that take new requests."""
        now = self.now
        return [
            each
            for each in self.endpoints.values()
            if each.service == service
            and not each.draining
            and each.identity not in self.unreadable_since
            and self.health.is_open(each.name, now)
        ]

    def list_engines(
        self, service: str, profile: profiles.EngineProfile
    ) -> list[endpoints_module.Endpoint]:
        """List the engines that hold layers which make sense.

        Those that are out of use for the moment are among them.
        """
        return [
            each
            for each in self.endpoints.values()
            if each.service == service
            and not each.draining
            and profile.admits(each.kind, each.start, each.end)
        ]

    def list_unreadable(self) -> list[str]:
        """Name the endpoints whose entry can't be read."""
        return [
            self.incarnations[identity].name
            for identity in self.unreadable_since
        ]

    def get_backlog(self, service: str) -> backlog_module.Backlog:
        """Give the queue of a service."""
        return self.backlogs.setdefault(service, backlog_module.Backlog())

    def get_retry_budget(self, service: str) -> resends.ResendBudget:
        """Give the budget of second sends for a service."""
        budget = self.retry_budgets.get(service)
        if budget is None:
            retries = self.settings.retries
            budget = resends.ResendBudget(
                retries.ratio, retries.slack, retries.window
            )
            self.retry_budgets[service] = budget
        budget.entries = max(1, len(self.known_entries))
        return budget

    def spend_retry_budget(
        self, service: str, reason: str, under_way: bool = True
    ) -> bool:
        """Pay for another send from the shared budget, if it allows.

        :param under_way: whether the request may have run
        """
        has_kept_budget = self.has(mechanisms.Mechanism.KEPT_BUDGET)
        first = under_way or not has_kept_budget
        if not self.get_retry_budget(service).spend(self.now, first):
            return False
        self.counters.resends.labels(reason).inc()
        return True

    def eject(
        self, names: Iterable[str], reason: str, request: str = ''
    ) -> None:
        """Leave endpoints out for a while, and log why.

        :param request: id of the request that showed it, if one did
        """
        if not self.has(mechanisms.Mechanism.ACCUSATION):
            return
        now = self.now
        for name in names:
            if self.health.accuse(name, now):
                self.counters.accusations.inc()
                self.log.write(
                    'endpoint left out',
                    request=request,
                    endpoint=name,
                    reason=reason,
                )
                self.alert_pending.set()

    def record_rate_limit(
        self,
        name: str,
        told: result.Result[float | None, str],
        sent: float,
    ) -> None:
        """Record what an answer says of the limit of its endpoint.

        :param told: requests a second, None for no limit, or a text that
            is no number
        :param sent: when the answered request was sent
        """
        if told.is_err():
            self.counters.refused_items.labels('rate limit').inc()
            self.log.write(
                'rate limit refused', endpoint=name, value=told.err_value
            )
            return
        limit = told.ok_value
        age = self.rate_limits.get_age(name, self.now)
        if self.rate_limits.record(name, limit, sent, self.now):
            self.log_rate_limit(name, 'answer', age)
            self.alert_pending.set()

    def log_rate_limit(self, name: str, source: str, age: float) -> None:
        """Log the limit of an endpoint, and count the limited ones.

        :param source: ``answer``, or the entry that told
        :param age: of the observation before, in seconds
        """
        self.counters.limited_endpoints.set(
            len(self.rate_limits.list_limited())
        )
        self.log.write(
            'rate limit changed',
            endpoint=name,
            limit=self.rate_limits.get(name),
            source=source,
            age_before=round(age, 3) if age != float('inf') else None,
        )

    def suspect_slow(self, names: Iterable[str]) -> None:
        """Let engines be asked whether they are slow."""
        if self.has(mechanisms.Mechanism.PACES):
            self.slow_suspects.update(names)
            self.slow_suspected.set()

    def record_refusal(self, name: str, service: str, roomy: bool) -> None:
        """Take note that an endpoint refused a request that it could hold.

        Others are told at once. Those who wait are woken when it may be
        tried again, since nothing else may tell them.

        :param roomy: whether it is far from full by what is known of it
        """
        if not self.has(mechanisms.Mechanism.REFUSAL_PAUSES):
            return
        pause = self.health.refuse(name, self.now, roomy)
        self.alert_pending.set()
        loop = asyncio.get_running_loop()
        loop.call_later(pause, self.wake, service)

    def release(
        self, service: str, reservation: occupancy_module.Reservation
    ) -> None:
        """Give back what a run took and let others try."""
        self.occupancy.release(reservation)
        self.wake(service)

    def wake(self, service: str) -> None:
        """Let the first that wait try again, soon."""
        if service in self.waking_services or not self.backlogs.get(service):
            return
        self.waking_services.add(service)
        loop = asyncio.get_running_loop()
        loop.call_later(_WAKE_DELAY_SECONDS, self._wake_now, service)

    def _wake_now(self, service: str) -> None:
        self.waking_services.discard(service)
        for waiter in list(self.backlogs[service])[:_WAKE_BATCH]:
            waiter.wake()

    def wake_all(self) -> None:
        """Let the first of each queue try again, when others freed room."""
        for service in self.backlogs:
            self.wake(service)

    def notify_listeners(self) -> None:
        """Tell what depends on endpoints or configuration of a change."""
        if self.is_initialized:
            self.initialized.set()
        for listener in self.change_listeners:
            listener()
        self.wake_all()
