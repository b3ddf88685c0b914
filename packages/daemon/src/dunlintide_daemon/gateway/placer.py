"""Orders engines to load layers, while this entry is the leader."""

import asyncio
import collections

import attrs

from dunlintide_core.pipeline import demandpeaks as demandpeaks_module
from dunlintide_core.pipeline import endpoints as endpoints_module
from dunlintide_core.pipeline import layout
from dunlintide_core.pipeline import mechanisms
from dunlintide_core.pipeline import profiles
from dunlintide_daemon.gateway import endpointgate
from dunlintide_daemon.gateway import leadership as leadership_module
from dunlintide_daemon.gateway import lossdetector
from dunlintide_daemon.gateway import state as state_module
from dunlintide_platform import orders

__all__ = ['Placer']

PLAN_INTERVAL_SECONDS = 0.2
# How long no new engine must have been listed before a layout is planned, in
# seconds, so that it includes all engines.
SETTLE_SECONDS = 0.5
# The same while no engine holds a layer. Engines that start together are
# listed within one report interval, and a layout for only the first of them
# has longer chains.
INITIAL_SETTLE_SECONDS = 1.5
# Time after which an order without effect is checked, in seconds, in addition
# to the time to load.
EFFECT_SECONDS = 2.5
# How long layers must be without enough engines before an engine is moved to
# them, in seconds: an engine that restarts empty is ordered to them at once.
SCARCE_SECONDS = 0.4
# Time without a change of the held layers after which engines are also moved
# to layers that few engines hold, in seconds: most engines that crash have
# restarted by then.
STEADY_SECONDS = 2.0
# Most orders under way at the same time.
MAX_SENDING = 16
# Pause before an order that was not accepted is sent again, in seconds.
RETRY_SECONDS = 0.8


@attrs.define(eq=False)
class _PendingOrder:
    """An order whose effect is not listed yet.

    :ivar expected: number of orders that the engine must have accepted before
    :ivar due: monotonic time by which its effect should be listed, in seconds
    :ivar retry_at: monotonic time at which it is checked and sent again, in
        seconds
    :ivar checked: whether it may be sent without asking the engine first
    """

    placement: layout.Placement
    expected: int = 0
    due: float = 0.0
    retry_at: float = 0.0
    checked: bool = True


@attrs.define(eq=False)
class _ServiceLayers:
    """What the engines of a service held at the last change of it.

    :ivar ranges: first layers by engine, and the known demand
    :ivar changed: monotonic time of the change, in seconds
    :ivar is_settled: whether no engine has to be moved
    """

    ranges: tuple
    changed: float
    is_settled: bool = False


class Placer:
    """Planner and sender of orders, for all services with engines."""

    def __init__(
        self,
        state: state_module.State,
        leadership: leadership_module.Leadership,
    ) -> None:
        self._state = state
        self._leadership = leadership
        self._loss_detectors = collections.defaultdict(
            lambda: lossdetector.LossDetector(state)
        )
        self._demands = collections.defaultdict(demandpeaks_module.DemandPeaks)
        self._pending: dict[str, _PendingOrder] = {}
        self._seen_endpoints: set[str] = set()
        self._settles_at = float('inf')
        self._scarce_since: dict[str, float] = {}
        self._service_layers: dict[str, _ServiceLayers] = {}
        self._tasks: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Plan and send orders while this entry leads, until cancelled."""
        while True:
            await asyncio.sleep(PLAN_INTERVAL_SECONDS)
            if not self._leadership.is_leading:
                self._pending.clear()
                self._seen_endpoints.clear()
                self._demands.clear()
                continue
            self._plan()

    def _plan(self) -> None:
        deployment = self._state.deployment
        if deployment is None:
            return
        now = self._state.now
        known = set(self._state.endpoints)
        if known - self._seen_endpoints:
            self._seen_endpoints |= known
            self._settles_at = now + self._choose_settle_seconds()
        if now < self._settles_at:
            return
        for service in deployment.services.values():
            if service.engine is not None:
                self._plan_service(service.name, service.engine, now)

    def _choose_settle_seconds(self) -> float:
        endpoints = self._state.endpoints.values()
        if any(each.end > each.start for each in endpoints):
            return SETTLE_SECONDS
        return INITIAL_SETTLE_SECONDS

    def _plan_service(
        self, service: str, profile: profiles.EngineProfile, now: float
    ) -> None:
        # A leader that is cut off from the store leads on, and another one may
        # lead as well. It moves engines for what it saw itself only, or both
        # would move some for the same loss.
        listed = self._state.list_engines(
            service, profile, trusts_others=self._state.is_listing_fresh
        )
        names = {each.name for each in listed}
        self._record_demand(service, profile, listed, now)
        lost = self._loss_detectors[service].find_lost(listed)
        engines = [each for each in listed if each.name not in lost]
        holding = []
        empty = []
        for engine in engines:
            order = self._pending.get(engine.name)
            if order is not None and self._has_taken_effect(order, engine):
                del self._pending[engine.name]
                order = None
            if order is not None:
                holding.append(order.placement)
                if now >= order.retry_at:
                    self._start_sending(order, profile, now)
            elif engine.end > engine.start:
                holding.append(
                    layout.Placement(engine, engine.start, engine.end)
                )
            else:
                empty.append(engine)
        for name in [name for name in self._pending if name not in names]:
            order = self._pending[name]
            if order.placement.endpoint.service == service:
                del self._pending[name]
        known = self._demands[service].list_peaks()
        for placement in layout.plan_new(profile, holding, empty, known):
            # A new engine has accepted no order. Any other engine refuses this
            # one, and its count of orders is read before the next try.
            self._add_order(_PendingOrder(placement), profile, now)
        if not empty and self._state.has(mechanisms.Mechanism.MOVES):
            self._plan_moves(service, profile, holding, now)

    def _record_demand(
        self,
        service: str,
        profile: profiles.EngineProfile,
        listed: list[endpoints_module.Endpoint],
        now: float,
    ) -> None:
        """Record the cache that streams use in each failure domain."""
        taken: dict[str, float] = collections.defaultdict(float)
        for each in listed:
            usage = self._state.occupancy.get(each.name)
            taken[each.domain] += usage.cache / profile.layers
        for domain, tokens in taken.items():
            self._demands[service].observe(domain, tokens, now)

    def _plan_moves(
        self,
        service: str,
        profile: profiles.EngineProfile,
        holding: list[layout.Placement],
        now: float,
    ) -> None:
        """Move engines to layers that have been scarce for a while."""
        known = self._demands[service].list_peaks()
        ranges = (
            tuple((each.endpoint.name, each.start) for each in holding),
            tuple(known.items()),
        )
        held = self._service_layers.get(service)
        if held is None or held.ranges != ranges:
            held = self._service_layers[service] = _ServiceLayers(ranges, now)
        if held.is_settled:
            return
        steady = now - held.changed >= STEADY_SECONDS
        movable = {
            each.endpoint.name
            for each in holding
            if each.endpoint.name not in self._pending
        }
        moves = layout.plan_moves(
            profile,
            holding,
            movable,
            lambda name: self._state.occupancy.get(name).sequences,
            known,
            steady,
        )
        held.is_settled = steady and not moves and not self._pending
        if not moves:
            self._scarce_since.pop(service, None)
            return
        if now - self._scarce_since.setdefault(service, now) < SCARCE_SECONDS:
            return
        for placement in moves:
            name = placement.endpoint.name
            self._state.log.write_always(
                'engine moved',
                endpoint=name,
                before=[placement.endpoint.start, placement.endpoint.end],
                layers=[placement.start, placement.end],
                in_use=self._state.occupancy.get(name).sequences,
            )
            self._add_order(
                _PendingOrder(placement, checked=False), profile, now
            )

    def _add_order(
        self, order: _PendingOrder, profile: profiles.EngineProfile, now: float
    ) -> None:
        self._pending[order.placement.endpoint.name] = order
        self._start_sending(order, profile, now)

    @staticmethod
    def _has_taken_effect(
        order: _PendingOrder, engine: endpoints_module.Endpoint
    ) -> bool:
        """Return whether the listing shows the effect of an order."""
        wanted = order.placement
        return (engine.start, engine.end) == (wanted.start, wanted.end)

    def _start_sending(
        self, order: _PendingOrder, profile: profiles.EngineProfile, now: float
    ) -> None:
        if len(self._tasks) >= MAX_SENDING:
            return
        share = order.placement.end - order.placement.start
        load = profile.load_seconds * share / profile.layers
        order.due = now + load + EFFECT_SECONDS
        order.retry_at = float('inf')
        task = asyncio.get_running_loop().create_task(self._send(order))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send(self, order: _PendingOrder) -> None:
        if not order.checked and not await self._should_resend(order):
            return
        placement = order.placement
        if not await self._state.admit(placement.endpoint.name):
            order.retry_at = self._state.now + RETRY_SECONDS
            return
        fence = self._leadership.fence
        if not self._leadership.is_leading:
            return
        reception = await orders.send_placement(
            endpointgate.bind_exchange(self._state, placement.endpoint),
            placement.endpoint,
            placement.start,
            placement.end,
            order.expected,
            fence,
        )
        self._state.counters.orders.labels(reception).inc()
        self._state.log.write_always(
            'order given',
            endpoint=placement.endpoint.name,
            layers=[placement.start, placement.end],
            expected=order.expected,
            fence=fence,
            reception=reception,
        )
        # Sending it again is safe: by the expected number of orders the engine
        # accepts it only once.
        order.checked = False
        if reception in (orders.OrderOutcome.BEGUN, orders.OrderOutcome.HELD):
            order.retry_at = order.due
        else:
            order.retry_at = self._state.now + RETRY_SECONDS

    async def _should_resend(self, order: _PendingOrder) -> bool:
        """Ask an engine whether it has carried out an order.

        :returns: whether the order should be sent again
        """
        endpoint = order.placement.endpoint
        if not await self._state.admit(endpoint.name):
            order.retry_at = self._state.now + RETRY_SECONDS
            return False
        exchange = endpointgate.bind_exchange(self._state, endpoint)
        read = await orders.read_report(exchange, endpoint)
        if read.is_err():
            order.retry_at = self._state.now + RETRY_SECONDS
            self._state.log.write(
                'report missing',
                endpoint=endpoint.name,
                error=read.err_value.text,
            )
            return False
        report = read.ok_value
        self._state.record_incarnation(endpoint, report.born)
        order.expected = report.orders
        held = (report.start, report.end)
        placement = order.placement
        wanted = (placement.start, placement.end)
        before = (endpoint.start, endpoint.end)
        if report.busy or held not in (before, (0, 0)) or held == wanted:
            # The listing will show the layers, or that they were lost again.
            order.retry_at = self._state.now + EFFECT_SECONDS
            return False
        return True
