"""The agent role: wires links, gate, pipeline, driver and services."""

import contextlib
import threading
import time
from typing import Any

from absl import logging
import attrs
import prometheus_client
import pykka

from dunlintide_adapters import admin
from dunlintide_adapters import engine as engines
from dunlintide_adapters import leaders
from dunlintide_adapters import links
from dunlintide_adapters import linkserver
from dunlintide_adapters import metrics
from dunlintide_adapters import peercodec
from dunlintide_adapters import peers as peer_calls
from dunlintide_adapters import tlschecks
from dunlintide_adapters import transports
from dunlintide_adapters.wire import link_pb2
from dunlintide_core import fleet
from dunlintide_core import placement
from dunlintide_core import poison
from dunlintide_core import settings as settings_module
from dunlintide_daemon.agent import admission
from dunlintide_daemon.agent import caching
from dunlintide_daemon.agent import counts as counting
from dunlintide_daemon.agent import crashes
from dunlintide_daemon.agent import dispatch
from dunlintide_daemon.agent import driver as drivers
from dunlintide_daemon.agent import dump
from dunlintide_daemon.agent import engineside
from dunlintide_daemon.agent import orders
from dunlintide_daemon.agent import peers as peering
from dunlintide_daemon.agent import pipeline as pipelines
from dunlintide_daemon.agent import reports
from dunlintide_daemon.agent import services
from dunlintide_daemon.agent import supervisor
from dunlintide_daemon import lives
from dunlintide_daemon import peers as fleet_state
from dunlintide_daemon import suspicion
from dunlintide_daemon import watching

__all__ = [
    'Agent',
]

TICK_SECONDS = 0.1


def _build_endpoint(endpoint: fleet.Endpoint, cap: int) -> link_pb2.Endpoint:
    shown = attrs.evolve(endpoint, max_in_flight=cap)
    return peercodec.encode_endpoint(shown)


class Agent:
    """One agent process; a context manager that runs it.

    :ivar incarnation: rises with each start of the same name
    :ivar done: set once the process may end
    :ivar failed: whether it ends for a fault of its own
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        shared: watching.Outside | None = None,
    ) -> None:
        """Build all parts; binds the link port.

        :param shared: what the fleet's state is drawn from; without it
            this agent takes no part in passing that state on
        :raises OSError: when a port is taken
        """
        self.settings = settings
        self.incarnation = time.time_ns()
        self.done = threading.Event()
        self.failed = False
        self.counts = counting.Counts()
        self.endpoint = settings.endpoint.to_endpoint()
        self._transport = transports.build(settings)
        self._max_in_flight = admission.count_slots(self.endpoint)
        self.gate = admission.build_gate(
            settings, self.endpoint, self.incarnation, self.counts
        )
        self._supervisor = None
        self._orders = None
        self._suspicion = suspicion.Suspicion(
            self._spread,
            poison.Limits(seconds=settings.timing.quarantine),
        )
        self.gate.is_quarantined = self._suspicion.is_quarantined
        self._timing = links.LinkTiming(
            settings.timing.ping,
            settings.timing.silence,
            settings.timing.redial,
        )
        self._peers = peering.Peers(
            self._build_hello,
            peering.Handlers(
                self._take_frames, self._raise_peer, self._lose_peer
            ),
            self._timing,
            transport=self._transport,
        )
        handlers = links.Handlers(
            self._welcome, self._take_frames, self._lose_link
        )
        # The port is the host-local lock against a second agent.
        self._server = linkserver.LinkServer(
            settings.link_listen,
            self._build_hello,
            handlers,
            self._timing,
            transport=self._transport,
        )
        self._state = self._build_state(shared) if shared else None
        self.pipeline: pipelines.Pipeline | None = None
        self.driver: drivers.Driver | None = None
        self._caching: caching.Caching | None = None
        self._engine: engines.Engine | None = None
        self._engine_side: engineside.EngineSide | None = None
        self._services: services.Services | None = None
        if self.endpoint.kind is fleet.EndpointKind.ENGINE:
            self._build_engine_side()
        else:
            self._build_service_side()
        self._dispatcher = dispatch.Dispatcher(
            self.gate,
            self.pipeline,
            self._services,
            self._take_order,
            self._suspicion,
        )
        self._load = link_pb2.Load()
        self._reports = reports.Reports()
        self._stack = contextlib.ExitStack()

    def _build_state(self, shared: watching.Outside) -> fleet_state.FleetState:
        me = lives.make_peer(self.settings, self.incarnation, self.address)
        state = fleet_state.FleetState(me, shared, transport=self._transport)
        peer_calls.add_service(
            self._server.server, state.answer, self._transport
        )
        return state

    def _build_engine_side(self) -> None:
        parts = engineside.Parts(
            self.incarnation,
            self.gate,
            self._peers,
            self.counts,
            self._suspicion,
            self._take_engine_failure,
        )
        side = engineside.EngineSide.from_config(
            self.settings, self.endpoint, parts
        )
        self._engine_side = side
        self.pipeline, self.driver = side.pipeline, side.driver
        self._caching, self._engine = side.caching, side.engine
        self._suspicion.on_news = side.pipeline.drop_quarantined

    def _build_service_side(self) -> None:
        self._services = services.Services(
            self.settings.endpoint.url, self._max_in_flight, self.gate
        )

    @property
    def address(self) -> str:
        """How peers reach this agent."""
        if self.settings.advertise:
            return self.settings.advertise
        host = self.settings.link_listen.rpartition(':')[0]
        return f'{host}:{self._server.port}'

    @property
    def admin_port(self) -> int:
        """Operators' port."""
        return self._admin.port

    def _build_hello(self) -> link_pb2.Hello:
        return link_pb2.Hello(
            name=self.settings.name,
            role=fleet.Role.AGENT,
            incarnation=self.incarnation,
            failure_domain=self.settings.failure_domain,
            region=self.settings.region,
            address=self.address,
            endpoint=_build_endpoint(self.endpoint, self._max_in_flight),
            leaving=self.gate.leaving,
        )

    def _broadcast(self, frame: link_pb2.Frame) -> None:
        for link in self._server.links():
            link.send(frame)

    def _spread(self, frame: link_pb2.Frame, source: links.Link) -> None:
        for link in self._server.links():
            if link is not source:
                link.send(frame)
        self._peers.broadcast(frame)

    def _welcome(self, link: links.Link) -> None:
        self._suspicion.welcome(link.send)
        # A new entry needs the generation before its first claim.
        load = self._load
        if self._caching is not None:
            load = self._caching.tell_all(load)
        link.send(link_pb2.Frame(load=load))

    def _take_frames(
        self, link: links.Link, frames: list[link_pb2.Frame]
    ) -> None:
        self._dispatcher.take(link, frames)

    def _lose_link(self, link: links.Link, reason: str) -> None:
        logging.debug('link from %s lost: %s', link.peer.name, reason)
        self.gate.lose_link(link)
        if self.pipeline is not None:
            self.pipeline.lose_link(link)

    def _raise_peer(self, address: str) -> None:
        self._suspicion.welcome(lambda one: self._peers.send(address, one))
        if self.pipeline is not None:
            self.pipeline.raise_peer(address)

    def _lose_peer(self, address: str, reason: str) -> None:
        if self.pipeline is not None:
            self.pipeline.lose_peer(address, reason)

    def _take_engine_failure(
        self, jobs: list[drivers.Job], error: engines.EngineError
    ) -> None:
        logging.warning(
            'a call of %d steps failed: %s', len(jobs), error.detail
        )
        # Whoever hears that an attempt failed must know of the crash.
        answered = error.status or error.connection_lost or not error.sent
        crashed = not answered and crashes.has_crashed(self._engine)
        if crashed:
            self.pipeline.accuse(jobs)
            self._go_away(supervisor.AWAY)
        self.pipeline.fail_jobs(jobs, error)
        if not error.connection_lost:
            self._tell(supervisor.EngineFailed(error.detail, crashed))

    def _tell(self, message: Any) -> None:
        with contextlib.suppress(pykka.ActorDeadError):
            self._supervisor.tell(message)

    def drain(self) -> None:
        """Begin a planned stop; ``done`` is set at its end."""
        self._tell(supervisor.Drain())

    def _leave(self) -> None:
        if self._state is not None:
            self._state.depart()
        if self.pipeline is not None:
            self.pipeline.leave()
        leaving = link_pb2.Leaving(
            agent=self.settings.name, incarnation=self.incarnation
        )
        hello = link_pb2.Frame(hello=self._build_hello())
        for send in (self._broadcast, self._peers.broadcast):
            send(link_pb2.Frame(leaving=leaving))
            send(hello)

    def _is_idle(self) -> bool:
        with self.gate.lock:
            if len(self.gate):
                return False
            if self.pipeline is None:
                return True
            return not len(self.pipeline) and not self.pipeline.is_open()

    def crash(self) -> None:
        """End the process for a fault of its own, with a state dump."""
        logging.error('state: %s', self.describe())
        self.failed = True
        self.done.set()

    def _take_order(self, link: links.Link, order: link_pb2.Order) -> None:
        with contextlib.suppress(pykka.ActorDeadError):
            self._orders.tell(orders.Take(link, order))

    def _look(self) -> None:
        if self._orders is not None and self._orders.actor_inbox.empty():
            with contextlib.suppress(pykka.ActorDeadError):
                self._orders.tell(orders.Refresh())

    def _get_holding(self) -> placement.Holding:
        endpoint = self.endpoint
        return placement.Holding(
            endpoint.model,
            endpoint.version,
            endpoint.layer_start,
            endpoint.layer_end,
        )

    def _adopt(self, holding: placement.Holding, layer_count: int) -> None:
        logging.info('the engine holds %s', holding)
        if layer_count == 0 and holding.model == self.endpoint.model:
            layer_count = self.endpoint.layer_count
        with self.gate.lock:
            self.pipeline.adopt(holding)
            self.endpoint = attrs.evolve(
                self.endpoint,
                **attrs.asdict(holding),
                layer_count=layer_count,
            )
        self._tell_fleet()
        hello = link_pb2.Frame(hello=self._build_hello())
        self._broadcast(hello)
        self._peers.broadcast(hello)

    def _tell_fleet(self) -> None:
        """Have the membership say what the endpoint holds and if it is away.

        Told again with each report, so no crossing of two lasts.
        """
        if self._state is not None:
            away = bool(self.gate.fault)
            told = attrs.evolve(self.endpoint, away=away)
            self._state.update_endpoint(told)

    def _start_orders(self) -> None:
        hooks = orders.Hooks(
            get_holding=self._get_holding,
            adopt=self._adopt,
            count_sessions=lambda: len(self.pipeline),
            lose_sessions=self._lose_sessions,
            is_leaving=lambda: self.gate.leaving,
            crash=self.crash,
        )
        keys = leaders.Leaders(self._engine_side.store)
        self._orders = orders.Orders.start(self._engine, keys, hooks)
        self._stack.callback(self._orders.stop, block=False)
        # Peers are told what the engine holds, not what it once held.
        self._orders.ask(orders.Refresh())

    def _report(self, load: engines.EngineLoad) -> None:
        gate = self.gate
        with gate.lock:
            self._load = link_pb2.Load(
                running=gate.places.in_flight.requests,
                queued=len(gate.places.queue),
                cap=gate.places.cap.limit(gate.places.in_flight),
                kv_usage=load.kv_usage,
                step_seconds=load.step_seconds,
                tokens_per_second=load.tokens_per_second,
                generation=gate.ledger.generation,
                steps=self.driver.steps if self.driver else 0,
                away=bool(gate.fault),
            )
        load = self._load
        if self._caching is not None:
            load = self._caching.tell(load)
        if self._reports.admit(load, time.monotonic()):
            self._broadcast(link_pb2.Frame(load=load))
        self._tell_fleet()

    def _tick(self) -> None:
        while not self.done.wait(TICK_SECONDS):
            self.gate.tick()
            self._suspicion.tick()
            if self.pipeline is not None:
                self.pipeline.tick()
                self._peers.tick(self.pipeline.list_addresses())
            if self._supervisor.actor_inbox.empty():
                self._tell(supervisor.Poll())

    def describe(self) -> dict[str, Any]:
        """Return the state of the process, fit for JSON."""
        state = {
            'name': self.settings.name,
            'incarnation': self.incarnation,
            'gate': dump.describe_gate(self.gate, time.monotonic()),
            'links': sorted(link.peer.name for link in self._server.links()),
            'peers': self._peers.list_addresses(),
            'poison': self._suspicion.describe(),
            'tls': self._transport.describe(),
        }
        if self._state is not None:
            state['state'] = self._state.dump()
        if self._engine_side is not None:
            state['holding'] = attrs.asdict(self._get_holding())
            state |= self._engine_side.describe()
        return state

    def _check_readiness(self) -> admin.Readiness:
        reasons = []
        if self.gate.leaving:
            reasons.append('leaving')
        if self.gate.fault:
            reasons.append(self.gate.fault)
        return admin.Readiness(tuple(reasons))

    def _register_metrics(self) -> prometheus_client.CollectorRegistry:
        registry = prometheus_client.CollectorRegistry()
        shared = metrics.Metrics.from_registry(registry, fleet.Role.AGENT)
        shared.queue_length.set_function(lambda: len(self.gate.places.queue))
        shared.in_flight.set_function(
            lambda: self.gate.places.in_flight.requests
        )
        shared.links.set_function(lambda: len(self._server.links()))
        self.counts.register(registry)
        registry.register(transports.Collector(self._transport))
        return registry

    def _start_supervisor(self) -> None:
        hooks = supervisor.Hooks(
            lose_engine=self._lose_engine,
            report=self._report,
            leave=self._leave,
            is_idle=self._is_idle,
            stop=self.done.set,
            crash=self.crash,
            look=self._look,
        )
        self._supervisor = supervisor.Supervisor.start(
            self.gate, self._engine, hooks
        )
        self._stack.callback(self._supervisor.stop)

    def _go_away(self, detail: str) -> None:
        """Refuse work until the engine is back; entries hear it first."""
        with self.gate.lock:
            load = link_pb2.Load()
            load.CopyFrom(self._load)
            load.away = True
        self._reports.admit(load, time.monotonic())
        self._broadcast(link_pb2.Frame(load=load))
        self.gate.set_fault(detail)

    def _lose_engine(self, detail: str) -> None:
        if not self.gate.fault and crashes.has_crashed(self._engine):
            self.pipeline.accuse()
        self._go_away(detail)
        self._lose_sessions(detail)

    def _lose_sessions(self, detail: str) -> None:
        if self._caching is not None:
            self._caching.forget()
        self.pipeline.fail_all(detail)

    def __enter__(self) -> 'Agent':
        with contextlib.ExitStack() as stack:
            self._stack = stack
            if self._engine is not None:
                stack.callback(self._engine.close)
                stack.callback(self._engine_side.store.close)
                self._start_orders()
                if self._caching is not None:
                    stack.enter_context(self._caching)
            else:
                stack.callback(self._services.close)
            self._start_supervisor()
            if self.driver is not None:
                self.driver.start()
                stack.callback(self.driver.stop)
            self._admin = admin.AdminServer.from_config(
                self.settings.admin_listen,
                self.describe,
                self._check_readiness,
                self.drain,
                self._register_metrics(),
                tlschecks.build_server_wrapper(self.settings.admin_tls),
            )
            self._admin.start()
            stack.callback(self._admin.stop)
            if self._state is not None:
                stack.enter_context(self._state)
            self._server.start()
            stack.callback(self._server.stop)
            stack.callback(self._peers.close)
            ticker = threading.Thread(
                target=self._tick, name='ticker', daemon=True
            )
            ticker.start()
            stack.callback(ticker.join)
            stack.callback(self.done.set)
            self._stack = stack.pop_all()
        return self

    def __exit__(self, *details) -> None:
        self._stack.close()
