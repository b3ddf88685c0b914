"""The agent role, which connects links, gate, pipeline and endpoint."""

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
from dunlintide_daemon.agent import enginecomponents
from dunlintide_daemon.agent import orders
from dunlintide_daemon.agent import peers as peering
from dunlintide_daemon.agent import pipeline as pipelines
from dunlintide_daemon.agent import reports
from dunlintide_daemon.agent import services
from dunlintide_daemon.agent import supervisor
from dunlintide_daemon import crashevidence
from dunlintide_daemon import externalsources
from dunlintide_daemon import localpeer
from dunlintide_daemon import peers as fleet_state

__all__ = [
    'Agent',
]

TICK_SECONDS = 0.1


def _build_endpoint(endpoint: fleet.Endpoint, cap: int) -> link_pb2.Endpoint:
    announced = attrs.evolve(endpoint, max_in_flight=cap)
    return peercodec.encode_endpoint(announced)


class Agent:
    """One agent process; a context manager that runs it.

    :ivar incarnation: start time in nanoseconds, which grows with each start
    :ivar done: set once the process may end
    :ivar failed: whether the process ends because of an internal fault
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        shared: externalsources.ExternalSources | None = None,
    ) -> None:
        """Build all components and bind the link port.

        :param shared: sources of the fleet's state; without them this agent
            does not take part in gossip
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
        self._suspicion = crashevidence.CrashEvidence(
            self._forward,
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
                self._handle_frames,
                self._handle_peer_up,
                self._handle_peer_loss,
            ),
            self._timing,
            transport=self._transport,
        )
        handlers = links.Handlers(
            self._handle_link_up, self._handle_frames, self._handle_link_loss
        )
        # Binding the port also prevents a second agent at this address.
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
        self._caching: caching.CacheMonitor | None = None
        self._engine: engines.Engine | None = None
        self._engine_components: enginecomponents.EngineComponents | None = (
            None
        )
        self._services: services.ServiceCaller | None = None
        if self.endpoint.kind is fleet.EndpointKind.ENGINE:
            self._build_engine_components()
        else:
            self._build_service_caller()
        self._dispatcher = dispatch.Dispatcher(
            self.gate,
            self.pipeline,
            self._services,
            self._handle_order,
            self._suspicion,
        )
        self._load = link_pb2.Load()
        self._reports = reports.ReportFilter()
        self._stack = contextlib.ExitStack()

    def _build_state(
        self, shared: externalsources.ExternalSources
    ) -> fleet_state.FleetState:
        own_peer = localpeer.make_peer(
            self.settings, self.incarnation, self.address
        )
        state = fleet_state.FleetState(
            own_peer, shared, transport=self._transport
        )
        peer_calls.add_service(
            self._server.server, state.answer, self._transport
        )
        return state

    def _build_engine_components(self) -> None:
        dependencies = enginecomponents.Dependencies(
            self.incarnation,
            self.gate,
            self._peers,
            self.counts,
            self._suspicion,
            self._handle_engine_failure,
        )
        components = enginecomponents.EngineComponents.from_config(
            self.settings, self.endpoint, dependencies
        )
        self._engine_components = components
        self.pipeline, self.driver = components.pipeline, components.driver
        self._caching, self._engine = components.caching, components.engine
        self._suspicion.on_remote_crash = components.pipeline.fail_quarantined

    def _build_service_caller(self) -> None:
        self._services = services.ServiceCaller(
            self.settings.endpoint.url, self._max_in_flight, self.gate
        )

    @property
    def address(self) -> str:
        """Address at which peers reach this agent."""
        if self.settings.advertise:
            return self.settings.advertise
        host = self.settings.link_listen.rpartition(':')[0]
        return f'{host}:{self._server.port}'

    @property
    def admin_port(self) -> int:
        """Port of the admin server."""
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

    def _forward(self, frame: link_pb2.Frame, source: links.Link) -> None:
        for link in self._server.links():
            if link is not source:
                link.send(frame)
        self._peers.broadcast(frame)

    def _handle_link_up(self, link: links.Link) -> None:
        self._suspicion.send_known(link.send)
        # The load has the ledger generation, which an entry needs before its
        # first claim.
        load = self._load
        if self._caching is not None:
            load = self._caching.add_snapshot(load)
        link.send(link_pb2.Frame(load=load))

    def _handle_frames(
        self, link: links.Link, frames: list[link_pb2.Frame]
    ) -> None:
        self._dispatcher.handle_frames(link, frames)

    def _handle_link_loss(self, link: links.Link, reason: str) -> None:
        logging.debug('link from %s lost: %s', link.peer.name, reason)
        self.gate.handle_link_loss(link)
        if self.pipeline is not None:
            self.pipeline.handle_link_loss(link)

    def _handle_peer_up(self, address: str) -> None:
        self._suspicion.send_known(
            lambda frame: self._peers.send(address, frame)
        )
        if self.pipeline is not None:
            self.pipeline.handle_peer_up(address)

    def _handle_peer_loss(self, address: str, reason: str) -> None:
        if self.pipeline is not None:
            self.pipeline.handle_peer_loss(address, reason)

    def _handle_engine_failure(
        self, jobs: list[drivers.Job], error: engines.EngineError
    ) -> None:
        logging.warning(
            'engine call with %d steps failed: %s', len(jobs), error.detail
        )
        # The crash is reported before the failure of the attempt, so that a
        # retry elsewhere is checked against the suspects.
        answered = error.status or error.connection_lost or not error.sent
        crashed = not answered and crashes.has_crashed(self._engine)
        if crashed:
            self.pipeline.report_crash(jobs)
            self._mark_away(supervisor.ENGINE_AWAY)
        self.pipeline.fail_jobs(jobs, error)
        if not error.connection_lost:
            self._send_message(supervisor.EngineFailed(error.detail, crashed))

    def _send_message(self, message: Any) -> None:
        with contextlib.suppress(pykka.ActorDeadError):
            self._supervisor.tell(message)

    def drain(self) -> None:
        """Start a planned stop; ``done`` is set when it is complete."""
        self._send_message(supervisor.Drain())

    def _announce_leaving(self) -> None:
        if self._state is not None:
            self._state.depart()
        if self.pipeline is not None:
            self.pipeline.start_leaving()
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
            return (
                not len(self.pipeline) and not self.pipeline.accepts_sessions()
            )

    def crash(self) -> None:
        """End the process because of an internal fault and log its state."""
        logging.error('state: %s', self.describe())
        self.failed = True
        self.done.set()

    def _handle_order(self, link: links.Link, order: link_pb2.Order) -> None:
        with contextlib.suppress(pykka.ActorDeadError):
            self._orders.tell(orders.HandleOrder(link, order))

    def _refresh_holding(self) -> None:
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

    def _apply_holding(
        self, holding: placement.Holding, layer_count: int
    ) -> None:
        logging.info('the engine holds %s', holding)
        if layer_count == 0 and holding.model == self.endpoint.model:
            layer_count = self.endpoint.layer_count
        with self.gate.lock:
            self.pipeline.set_holding(holding)
            self.endpoint = attrs.evolve(
                self.endpoint,
                **attrs.asdict(holding),
                layer_count=layer_count,
            )
        self._publish_endpoint()
        hello = link_pb2.Frame(hello=self._build_hello())
        self._broadcast(hello)
        self._peers.broadcast(hello)

    def _publish_endpoint(self) -> None:
        """Publish the endpoint's layers and availability in the membership.

        This is repeated with each load report, so that a stale value written
        by a concurrent call is soon corrected.
        """
        if self._state is not None:
            away = bool(self.gate.fault)
            endpoint = attrs.evolve(self.endpoint, away=away)
            self._state.update_endpoint(endpoint)

    def _start_orders(self) -> None:
        hooks = orders.Hooks(
            get_holding=self._get_holding,
            apply_holding=self._apply_holding,
            count_sessions=lambda: len(self.pipeline),
            fail_sessions=self._fail_sessions,
            is_leaving=lambda: self.gate.leaving,
            crash=self.crash,
        )
        keys = leaders.Leaders(self._engine_components.store)
        self._orders = orders.Orders.start(self._engine, keys, hooks)
        self._stack.callback(self._orders.stop, block=False)
        # Read the layers before serving, so that peers learn the actual ones
        # and not those of the settings.
        self._orders.ask(orders.Refresh())

    def _report(self, load: engines.EngineLoad) -> None:
        gate = self.gate
        with gate.lock:
            self._load = link_pb2.Load(
                running=gate.capacity.in_flight.requests,
                queued=len(gate.capacity.queue),
                cap=gate.capacity.cap.limit(gate.capacity.in_flight),
                kv_usage=load.kv_usage,
                step_seconds=load.step_seconds,
                tokens_per_second=load.tokens_per_second,
                generation=gate.ledger.generation,
                steps=self.driver.steps if self.driver else 0,
                away=bool(gate.fault),
            )
        load = self._load
        if self._caching is not None:
            load = self._caching.add_update(load)
        if self._reports.admit(load, time.monotonic()):
            self._broadcast(link_pb2.Frame(load=load))
        self._publish_endpoint()

    def _tick(self) -> None:
        while not self.done.wait(TICK_SECONDS):
            self.gate.tick()
            self._suspicion.discard_expired()
            if self.pipeline is not None:
                self.pipeline.tick()
                self._peers.tick(self.pipeline.list_addresses())
            if self._supervisor.actor_inbox.empty():
                self._send_message(supervisor.Poll())

    def describe(self) -> dict[str, Any]:
        """Return the state of the process as JSON-compatible data."""
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
        if self._engine_components is not None:
            state['holding'] = attrs.asdict(self._get_holding())
            state |= self._engine_components.describe()
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
        shared.queue_length.set_function(lambda: len(self.gate.capacity.queue))
        shared.in_flight.set_function(
            lambda: self.gate.capacity.in_flight.requests
        )
        shared.links.set_function(lambda: len(self._server.links()))
        self.counts.register(registry)
        registry.register(transports.Collector(self._transport))
        return registry

    def _start_supervisor(self) -> None:
        hooks = supervisor.Hooks(
            handle_engine_loss=self._handle_engine_loss,
            report=self._report,
            announce_leaving=self._announce_leaving,
            is_idle=self._is_idle,
            stop=self.done.set,
            crash=self.crash,
            refresh_holding=self._refresh_holding,
        )
        self._supervisor = supervisor.Supervisor.start(
            self.gate, self._engine, hooks
        )
        self._stack.callback(self._supervisor.stop)

    def _mark_away(self, detail: str) -> None:
        """Refuse requests until the engine is back.

        Entries are notified before requests are refused.
        """
        with self.gate.lock:
            load = link_pb2.Load()
            load.CopyFrom(self._load)
            load.away = True
        self._reports.admit(load, time.monotonic())
        self._broadcast(link_pb2.Frame(load=load))
        self.gate.set_fault(detail)

    def _handle_engine_loss(self, detail: str) -> None:
        if not self.gate.fault and crashes.has_crashed(self._engine):
            self.pipeline.report_crash()
        self._mark_away(detail)
        self._fail_sessions(detail)

    def _fail_sessions(self, detail: str) -> None:
        if self._caching is not None:
            self._caching.invalidate()
        self.pipeline.fail_all(detail)

    def __enter__(self) -> 'Agent':
        with contextlib.ExitStack() as stack:
            self._stack = stack
            if self._engine is not None:
                stack.callback(self._engine.close)
                stack.callback(self._engine_components.store.close)
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
