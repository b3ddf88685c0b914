"""The entry role: connects HTTP callers, routing, agents and platform."""

import contextlib
import functools
import math
import random
import threading
import time
from typing import Any, Callable

import prometheus_client

from dunlintide_adapters import admin
from dunlintide_adapters import claimroutes
from dunlintide_adapters import httpserver
from dunlintide_adapters import links
from dunlintide_adapters import metrics
from dunlintide_adapters import tlschecks
from dunlintide_adapters import transports
from dunlintide_adapters.wire import link_pb2
from dunlintide_core import budget
from dunlintide_core import fleet as core_fleet
from dunlintide_core import poison
from dunlintide_core import settings as settings_module
from dunlintide_daemon import crashevidence
from dunlintide_daemon.entry import application
from dunlintide_daemon.entry import claims
from dunlintide_daemon.entry import configuration
from dunlintide_daemon.entry import crashes
from dunlintide_daemon.entry import dump
from dunlintide_daemon.entry import entrylinks
from dunlintide_daemon.entry import fleet
from dunlintide_daemon.entry import fleetstate
from dunlintide_daemon.entry import hellos
from dunlintide_daemon.entry import history
from dunlintide_daemon.entry import jobs
from dunlintide_daemon.entry import limits
from dunlintide_daemon.entry import masking
from dunlintide_daemon.entry import memorybudget
from dunlintide_daemon.entry import meter
from dunlintide_daemon.entry import owners
from dunlintide_daemon.entry import placement
from dunlintide_daemon.entry import planning
from dunlintide_daemon.entry import prefixmetrics
from dunlintide_daemon.entry import problems
from dunlintide_daemon.entry import readiness
from dunlintide_daemon.entry import roster
from dunlintide_daemon.entry import router
from dunlintide_daemon.entry import sessions
from dunlintide_daemon.entry import sources
from dunlintide_daemon.entry import threads
from dunlintide_daemon import externalsources

__all__ = [
    'Entry',
]

# Time for the load balancer to notice that this entry is not ready any
# more, before its port closes.
LAME_DUCK_SECONDS = 1.0
_JOIN_SECONDS = 1.0
# Interval of reads of the membership, which send no message.
MEMBERSHIP_POLL_SECONDS = 0.5


class Entry:
    """All components of one entry; a context manager that runs them.

    :ivar done: set when the process should stop
    :ivar leaving: whether the entry is draining
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        platform: sources.Sources,
        lame_duck: float = LAME_DUCK_SECONDS,
        fleet_sources: externalsources.ExternalSources | None = None,
    ) -> None:
        """Bind the ports; entering the context starts serving.

        :param platform: clients of the store and the host list
        :param lame_duck: seconds between turning unready and closing the
            port
        :param fleet_sources: sources of the fleet state; without them the
            configuration is read through ``platform`` only
        :raises OSError: when a port is taken
        """
        self.settings = settings
        self.done = threading.Event()
        self.leaving = False
        self._platform = platform
        self._lame_duck = lame_duck
        self._rng = random.Random()
        # The wall clock only orders the incarnations of this entry.
        self._incarnation = time.time_ns()
        self._registry = prometheus_client.CollectorRegistry()
        self._metrics = metrics.Metrics.from_registry(
            self._registry, core_fleet.Role.ENTRY
        )
        self._answer_memory = memorybudget.MemoryBudget()
        self._transport = transports.build(settings)
        self._registry.register(transports.Collector(self._transport))
        self._meter = meter.Meter(self._metrics)
        self._sessions = sessions.Sessions(self._meter.count_drop)
        self._history = history.History(self._meter.count_outcome)
        self._holder = configuration.Holder()
        self._retries = budget.RetryBudget(settings.limits.retry_ratio)
        self._suspicion = crashevidence.CrashEvidence(
            lambda *report: crashes.broadcast(self._fleet, *report),
            poison.Limits(seconds=settings.timing.quarantine),
        )
        timing = settings.timing
        self._fleet = fleet.Fleet(
            self._build_hello,
            fleet.Listeners(
                crashes.route_suspects_first(
                    self._suspicion.receive, self._sessions.route
                ),
                self._handle_link_loss,
                lambda agent: self._planner.record_load(agent),
                lambda link, reply: self._placement.handle_reply(link, reply),
                lambda link: self._suspicion.send_known(link.send),
                lambda name, news: self._planner.record_cache_update(
                    name, news
                ),
            ),
            links.LinkTiming(timing.ping, timing.silence, timing.redial),
            self._transport,
        )
        self._planner = planning.Planner(
            self._fleet,
            self._rng,
            settings.routing is settings_module.Routing.ROUND_ROBIN,
        )
        prefix_collector = prefixmetrics.Collector(self._planner.count_prompts)
        prefix_collector.register(self._registry)
        self._limits = limits.Limiter(
            lambda take: entrylinks.EntryLinks(
                settings.name,
                settings.link_listen,
                self._build_hello,
                take,
                self._transport,
            )
        )
        self._owners = owners.BucketOwners(settings.name)
        self._claims = claimroutes.RoutedWriter(
            platform.writer, self._owners.find, transport=self._transport
        )
        claimroutes.add_service(
            self._limits.entry_links.server, platform.writer, self._transport
        )
        self._http = self._build_server()
        self._admin = admin.AdminServer.from_config(
            settings.admin_listen,
            self.describe,
            self.check_readiness,
            self.done.set,
            self._registry,
            tlschecks.build_server_wrapper(settings.admin_tls),
        )
        self._state = fleetstate.build(
            settings,
            self._incarnation,
            self._limits.entry_links,
            fleet_sources,
            self._transport,
        )
        self._placement = placement.Placement(
            settings, platform.leaders, self._fleet, self._holder
        )
        self._meter.register_gauges(
            lambda: len(self._sessions.list()),
            lambda: len(self._fleet.list_agents()),
            lambda: self._holder.revision,
        )
        self._supervisor = threads.Supervisor(self.done)
        self._startup_end = math.inf
        self._stack = contextlib.ExitStack()

    @property
    def port(self) -> int:
        """HTTP port for callers."""
        return self._http.port

    def _build_hello(self) -> link_pb2.Hello:
        return hellos.build_hello(
            self.settings,
            self._incarnation,
            self._holder.revision,
            self.leaving,
        )

    def _build_server(self) -> httpserver.HttpServer:
        settings = self.settings
        binder = claims.Binder(self._claims, self._fleet, time.time)
        route = router.Router(
            self._fleet,
            self._planner,
            self._holder,
            binder,
            self._limits,
            settings.failure_domain,
            self._suspicion.is_quarantined,
        )
        context = jobs.Context(
            self._fleet,
            self._planner,
            self._sessions,
            self._retries,
            count_retry=self._meter.count_retry,
            answer_memory=self._answer_memory,
            keeps_stage_state=settings.recovery
            is settings_module.Recovery.REPLAY,
        )
        dependencies = application.Dependencies(
            context,
            self._holder,
            route,
            self._history,
            self._limits,
            self._meter,
            self._rng,
            settings.timing.heartbeat,
        )
        return httpserver.HttpServer.from_config(
            application.Application(dependencies),
            settings.listen,
            settings.limits.threads,
            settings.limits.max_body_bytes,
            settings.limits.max_header_bytes,
            stall_seconds=settings.timing.caller_silence,
            render_error=functools.partial(
                problems.render_server_error, self._rng
            ),
            tls_wrapper=tlschecks.build_server_wrapper(settings.listen_tls),
        )

    def describe(self) -> dict[str, Any]:
        """Return the state of the entry as JSON-compatible values."""
        state = dump.describe(
            self._holder,
            self._fleet,
            self._sessions,
            self._retries,
            self._history,
        )
        state['claims'] = self._claims.dump()
        state['limits'] = self._limits.describe()
        state['plans'] = self._planner.describe()
        state['placement'] = self._placement.describe()
        state['thread_errors'] = self._supervisor.describe()
        if self._state is not None:
            state['state'] = self._state.dump()
        state['poison'] = self._suspicion.describe()
        state['in_flight'] = self._http.in_flight
        state['tls'] = self._transport.describe()
        own = {'name': self.settings.name, 'leaving': self.leaving}
        return masking.mask_state(own | state)

    def check_readiness(self) -> admin.Readiness:
        """Return whether the entry is ready for callers, and why not."""
        unready = self._state.why_not_ready() if self._state else ''
        reasons = readiness.list_reasons(
            self.leaving,
            unready,
            self._holder.snapshot,
            self._fleet,
            is_starting=time.monotonic() < self._startup_end,
        )
        return admin.Readiness(tuple(reasons))

    def _handle_link_loss(self, link: links.Link) -> None:
        self._sessions.report_link_loss(link)
        if self._state is not None:
            # Probed at once, as a leader waits for several witnesses before
            # it counts an agent as gone, and a failed probe makes this entry
            # one of them.
            self._state.probe(link.peer.name)

    def _watch_fleet(self) -> None:
        if self._state is None:
            source = roster.poll_host_list(self._platform.read_hosts)
            pause = self.settings.timing.host_list_poll
        else:
            source = roster.mark_leaving_hosts(
                roster.poll_membership(self._state.list_present),
                self._platform.read_hosts,
            )
            pause = MEMBERSHIP_POLL_SECONDS
        fleet_roster = roster.Roster(self.settings.name, source)
        entries = None
        while not self.done.is_set():
            now = time.monotonic()
            if fleet_roster.refresh(now):
                self._fleet.update(fleet_roster.hosts, fleet_roster.wanted)
                self._placement.update_hosts(fleet_roster.hosts)
            if fleet_roster.map_entries() != entries:
                entries = fleet_roster.map_entries()
                self._limits.entry_links.update(fleet_roster.hosts)
                self._claims.update_owners(
                    self._owners.update(fleet_roster.hosts)
                )
            self._fleet.drop_idle(now)
            self.done.wait(pause)

    def _run_planner(self) -> None:
        while not self.done.wait(planning.REFRESH_SECONDS):
            self._suspicion.discard_expired()
            snapshot = self._holder.snapshot
            if snapshot is not None:
                self._planner.refresh(snapshot)

    def _start_configuration(self) -> None:
        if self._state is None:
            watch = self._platform.watch_configuration
            self._start_thread(
                'configuration', watch, self._holder.adopt, self.done
            )
            return
        adopt_snapshot = functools.partial(
            sources.adopt_document, self._holder.adopt
        )
        self._state.on_snapshot(adopt_snapshot)
        self._stack.enter_context(self._state)

    def _start_thread(
        self, name: str, work: Callable[..., None], *arguments
    ) -> None:
        thread = self._supervisor.start(
            name, functools.partial(work, *arguments)
        )
        # The join is bounded, since the configuration watch notices a stop
        # only after the interval between two reads. It holds no resource
        # that it would have to release.
        self._stack.callback(thread.join, _JOIN_SECONDS)

    def __enter__(self) -> 'Entry':
        self._startup_end = time.monotonic() + readiness.STARTUP_SECONDS
        with self._stack as stack:
            masking.mask_log_keys(self._holder)
            stack.callback(self._platform.close)
            stack.callback(self._claims.close)
            stack.callback(self._fleet.stop)
            self._start_configuration()
            self._limits.entry_links.start()
            stack.callback(self._limits.entry_links.stop)
            self._admin.start()
            stack.callback(self._admin.stop)
            self._start_thread('hosts', self._watch_fleet)
            self._start_thread('planner', self._run_planner)
            if self._platform.leaders is not None:
                stack.callback(self._placement.stop)
                self._start_thread('placement', self._placement.run, self.done)
            self._start_thread('limits', self._limits.run_renewals, self.done)
            stack.callback(self.done.set)
            self._http.start()
            # The last callback runs first: requests in flight need all
            # other components until they end.
            stack.callback(self._drain)
            self._stack = stack.pop_all()
        return self

    def _drain(self) -> None:
        """Turn unready, then finish the requests in flight."""
        self.leaving = True
        if self._state is not None:
            self._state.depart()
        self._fleet.announce(self._build_hello())
        time.sleep(self._lame_duck)
        self._http.stop()

    def __exit__(self, *details) -> None:
        self._stack.close()
