"""The entry role: wires callers, routing, agents and the platform."""

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
from dunlintide_daemon.entry import application
from dunlintide_daemon.entry import claims
from dunlintide_daemon.entry import configuration
from dunlintide_daemon.entry import crashes
from dunlintide_daemon.entry import dump
from dunlintide_daemon.entry import entrylinks
from dunlintide_daemon.entry import fleet
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
from dunlintide_daemon.entry import states
from dunlintide_daemon.entry import threads
from dunlintide_daemon import suspicion
from dunlintide_daemon import watching

__all__ = [
    'Entry',
]

# Time for the balancer to see that this entry is not ready any more.
LAME_DUCK_SECONDS = 1.0
_JOIN_SECONDS = 1.0
# Pause between two looks at the membership, which cost no message.
FLEET_SECONDS = 0.5


class Entry:
    """One entry process; a context manager that runs it.

    :ivar done: set when the process should stop
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        outside: sources.Sources,
        lame_duck: float = LAME_DUCK_SECONDS,
        shared: watching.Outside | None = None,
    ) -> None:
        """Bind the ports; entering the context begins to serve.

        :param lame_duck: seconds between not ready and closing the port
        :param shared: what the fleet's state is drawn from; without it
            the configuration comes from ``outside`` alone
        :raises OSError: when a port is taken
        """
        self.settings = settings
        self.done = threading.Event()
        self.leaving = False
        self._outside = outside
        self._lame_duck = lame_duck
        self._rng = random.Random()
        # The wall clock only orders the lives of one name.
        self._incarnation = time.time_ns()
        self._registry = prometheus_client.CollectorRegistry()
        self._metrics = metrics.Metrics.from_registry(
            self._registry, core_fleet.Role.ENTRY
        )
        self._room = memorybudget.MemoryBudget()
        self._transport = transports.build(settings)
        self._registry.register(transports.Collector(self._transport))
        self._meter = meter.Meter(self._metrics)
        self._sessions = sessions.Sessions(self._meter.count_drop)
        self._history = history.History(self._meter.count_outcome)
        self._holder = configuration.Holder()
        self._retries = budget.RetryBudget(settings.limits.retry_ratio)
        self._suspicion = suspicion.Suspicion(
            lambda *told: crashes.spread(self._fleet, *told),
            poison.Limits(seconds=settings.timing.quarantine),
        )
        timing = settings.timing
        self._fleet = fleet.Fleet(
            self._build_hello,
            fleet.Listeners(
                crashes.hear(self._suspicion.take, self._sessions.route),
                self._lose_link,
                lambda agent: self._planner.report(agent),
                lambda link, reply: self._placement.take_reply(link, reply),
                lambda link: self._suspicion.welcome(link.send),
                lambda name, news: self._planner.take_news(name, news),
            ),
            links.LinkTiming(timing.ping, timing.silence, timing.redial),
            self._transport,
        )
        self._planner = planning.Planner(
            self._fleet,
            self._rng,
            settings.routing is settings_module.Routing.ROUND_ROBIN,
        )
        counter = prefixmetrics.Collector(self._planner.count_prompts)
        counter.register(self._registry)
        self._limits = limits.Limiter(
            lambda take: entrylinks.EntryLinks(
                settings.name,
                settings.link_listen,
                self._build_hello,
                take,
                self._transport,
            )
        )
        self._owners = owners.Owners(settings.name)
        self._claims = claimroutes.RoutedWriter(
            outside.writer, self._owners.find, transport=self._transport
        )
        claimroutes.add_service(
            self._limits.entry_links.server, outside.writer, self._transport
        )
        self._http = self._build_server()
        self._admin = admin.AdminServer.from_config(
            settings.admin_listen,
            self.describe,
            self.check_readiness,
            self.done.set,
            self._registry,
            tlschecks.build_server(settings.admin_tls),
        )
        self._state = states.build(
            settings,
            self._incarnation,
            self._limits.entry_links,
            shared,
            self._transport,
        )
        self._placement = placement.Placement(
            settings, outside.leaders, self._fleet, self._holder
        )
        self._meter.register_gauges(
            lambda: len(self._sessions.list()),
            lambda: len(self._fleet.list_agents()),
            lambda: self._holder.revision,
        )
        self._keeper = threads.Keeper(self.done)
        self._settled = math.inf
        self._stack = contextlib.ExitStack()

    @property
    def port(self) -> int:
        """Port for callers."""
        return self._http.port

    def _build_hello(self) -> link_pb2.Hello:
        return hellos.build_own(
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
            answer_memory=self._room,
            keeps_stage_state=settings.recovery
            is settings_module.Recovery.REPLAY,
        )
        parts = application.Dependencies(
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
            application.Application(parts),
            settings.listen,
            settings.limits.threads,
            settings.limits.max_body_bytes,
            settings.limits.max_header_bytes,
            stall_seconds=settings.timing.caller_silence,
            render_error=functools.partial(
                problems.render_server_error, self._rng
            ),
            secure=tlschecks.build_server(settings.listen_tls),
        )

    def describe(self) -> dict[str, Any]:
        """Return the state of the process, fit for JSON."""
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
        state['thread_errors'] = self._keeper.describe()
        if self._state is not None:
            state['state'] = self._state.dump()
        state['poison'] = self._suspicion.describe()
        state['in_flight'] = self._http.in_flight
        state['tls'] = self._transport.describe()
        own = {'name': self.settings.name, 'leaving': self.leaving}
        return masking.mask_state(own | state)

    def check_readiness(self) -> admin.Readiness:
        """Tell whether callers should be sent here."""
        unready = self._state.why_not_ready() if self._state else ''
        reasons = readiness.list_reasons(
            self.leaving,
            unready,
            self._holder.snapshot,
            self._fleet,
            settling=time.monotonic() < self._settled,
        )
        return admin.Readiness(tuple(reasons))

    def _lose_link(self, link: links.Link) -> None:
        self._sessions.report_link_loss(link)
        if self._state is not None:
            # Whoever places layers waits for others that miss it too.
            self._state.probe(link.peer.name)

    def _follow_fleet(self) -> None:
        if self._state is None:
            source = roster.follow_list(self._outside.read_hosts)
            pause = self.settings.timing.host_list_poll
        else:
            source = roster.heed_list(
                roster.follow_members(self._state.list_present),
                self._outside.read_hosts,
            )
            pause = FLEET_SECONDS
        known = roster.Roster(self.settings.name, source)
        entries = None
        while not self.done.is_set():
            now = time.monotonic()
            if known.refresh(now):
                self._fleet.update(known.hosts, known.wanted)
                self._placement.note_hosts(known.hosts)
            if known.map_entries() != entries:
                entries = known.map_entries()
                self._limits.entry_links.update(known.hosts)
                self._claims.update_owners(self._owners.update(known.hosts))
            self._fleet.drop_idle(now)
            self.done.wait(pause)

    def _plan(self) -> None:
        while not self.done.wait(planning.REFRESH_SECONDS):
            self._suspicion.tick()
            snapshot = self._holder.snapshot
            if snapshot is not None:
                self._planner.refresh(snapshot)

    def _start_configuration(self) -> None:
        if self._state is None:
            follow = self._outside.follow_configuration
            self._start('configuration', follow, self._holder.adopt, self.done)
            return
        take_up = functools.partial(sources.take_up, self._holder.adopt)
        self._state.on_snapshot(take_up)
        self._stack.enter_context(self._state)

    def _start(self, name: str, work: Callable[..., None], *arguments) -> None:
        thread = self._keeper.start(name, functools.partial(work, *arguments))
        # The configuration's follower sleeps through a stop for as long
        # as it pauses between two reads; it holds nothing that needs it.
        self._stack.callback(thread.join, _JOIN_SECONDS)

    def __enter__(self) -> 'Entry':
        self._settled = time.monotonic() + readiness.SETTLE_SECONDS
        with self._stack as stack:
            masking.watch_keys(self._holder)
            stack.callback(self._outside.close)
            stack.callback(self._claims.close)
            stack.callback(self._fleet.stop)
            self._start_configuration()
            self._limits.entry_links.start()
            stack.callback(self._limits.entry_links.stop)
            self._admin.start()
            stack.callback(self._admin.stop)
            self._start('hosts', self._follow_fleet)
            self._start('planner', self._plan)
            if self._outside.leaders is not None:
                stack.callback(self._placement.stop)
                self._start('placement', self._placement.run, self.done)
            self._start('limits', self._limits.run_renewals, self.done)
            stack.callback(self.done.set)
            self._http.start()
            # Runs first: what is in flight still needs all the rest.
            stack.callback(self._leave)
            self._stack = stack.pop_all()
        return self

    def _leave(self) -> None:
        """Take no new requests and finish those in flight."""
        self.leaving = True
        if self._state is not None:
            self._state.depart()
        self._fleet.announce(self._build_hello())
        time.sleep(self._lame_duck)
        self._http.stop()

    def __exit__(self, *details) -> None:
        self._stack.close()
