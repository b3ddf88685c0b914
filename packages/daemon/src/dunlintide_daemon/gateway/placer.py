"""Orders engines to hold layers, while this entry leads."""

import asyncio
import collections

import attrs

from dunlintide_core.pipeline import demands as demands_module
from dunlintide_core.pipeline import endpoints as endpoints_module
from dunlintide_core.pipeline import layout
from dunlintide_core.pipeline import mechanisms
from dunlintide_core.pipeline import profiles
from dunlintide_daemon.gateway import leadership as leadership_module
from dunlintide_daemon.gateway import losses
from dunlintide_daemon.gateway import state as state_module
from dunlintide_platform import orders

__all__ = ['Placer']

TICK_SECONDS = 0.2
# A layout waits until no engine has been listed for this long, in seconds,
# so that it sees all of them.
SETTLE_SECONDS = 0.5
# The same while no engine holds a layer. Engines that start together are
# listed over the time between two of their reports, and a layout made for the
# first of them alone gives longer chains.
FIRST_SETTLE_SECONDS = 1.5
# Time after which an order that shows no effect is looked into, in
# seconds, beside the time to load.
EFFECT_SECONDS = 2.5
# Time for which layers must be lost before an engine is moved to them, in
# seconds: an engine that comes back empty is given them at once.
LOST_SECONDS = 0.4
# Time without a change of what engines hold after which an engine is also
# moved to layers that few hold, in seconds: most that crash are back by then.
STEADY_SECONDS = 2.0
# Orders under way at the same time.
MAX_SENDING = 16
# Pause before an order that was not accepted is given anew, in seconds.
RETRY_SECONDS = 0.8


@attrs.define(eq=False)
class _Order:
    """An order that may have been carried out.

    :ivar expected: orders that the engine should have accepted before
    :ivar due: monotonic time by which its effect should show, in seconds
    :ivar retry_at: when it is looked into and given anew
    """

    placement: layout.Placement
    expected: int = 0
    due: float = 0.0
    retry_at: float = 0.0
    checked: bool = True


@attrs.define(eq=False)
class _Holding:
    """What the engines of a service held when it changed last.

    :ivar changed: monotonic time of the change, in seconds
    :ivar settled: whether nothing is to be moved
    """

    ranges: tuple
    changed: float
    settled: bool = False


class Placer:
    """Giver of orders, for all services with engines."""

    def __init__(
        self,
        state: state_module.State,
        leadership: leadership_module.Leadership,
    ) -> None:
        self._state = state
        self._leadership = leadership
        self._losses = collections.defaultdict(lambda: losses.Losses(state))
        self._demands = collections.defaultdict(demands_module.Demands)
        self._open: dict[str, _Order] = {}
        self._seen: set[str] = set()
        self._settled_at = float('inf')
        self._lost_at: dict[str, float] = {}
        self._holdings: dict[str, _Holding] = {}
        self._tasks: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Give orders whenever this entry leads, until cancelled."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            if not self._leadership.is_leading:
                self._open.clear()
                self._seen.clear()
                self._demands.clear()
                continue
            self._review()

    def _review(self) -> None:
        deployment = self._state.deployment
        if deployment is None:
            return
        now = self._state.now
        known = set(self._state.endpoints)
        if known - self._seen:
            self._seen |= known
            self._settled_at = now + self._choose_settling()
        if now < self._settled_at:
            return
        for service in deployment.services.values():
            if service.engine is not None:
                self._review_service(service.name, service.engine, now)

    def _choose_settling(self) -> float:
        endpoints = self._state.endpoints.values()
        if any(each.end > each.start for each in endpoints):
            return SETTLE_SECONDS
        return FIRST_SETTLE_SECONDS

    def _review_service(
        self, service: str, profile: profiles.EngineProfile, now: float
    ) -> None:
        listed = self._state.list_engines(service, profile)
        names = {each.name for each in listed}
        self._observe(service, profile, listed, now)
        lost = self._losses[service].review(listed)
        engines = [each for each in listed if each.name not in lost]
        holding = []
        empty = []
        for engine in engines:
            order = self._open.get(engine.name)
            if order is not None and self._is_settled(order, engine):
                del self._open[engine.name]
                order = None
            if order is not None:
                holding.append(order.placement)
                if now >= order.retry_at:
                    self._send(order, profile, now)
            elif engine.end > engine.start:
                holding.append(
                    layout.Placement(engine, engine.start, engine.end)
                )
            else:
                empty.append(engine)
        for name in [name for name in self._open if name not in names]:
            order = self._open[name]
            if order.placement.endpoint.service == service:
                del self._open[name]
        known = self._demands[service].list_known()
        for placement in layout.plan_new(profile, holding, empty, known):
            # A new engine has accepted none; another refuses and tells.
            self._begin(_Order(placement), profile, now)
        if not empty and self._state.has(mechanisms.Mechanism.MOVES):
            self._repair(service, profile, holding, now)

    def _observe(
        self,
        service: str,
        profile: profiles.EngineProfile,
        listed: list[endpoints_module.Endpoint],
        now: float,
    ) -> None:
        """Record what streams take of each failure domain."""
        taken: dict[str, float] = collections.defaultdict(float)
        for each in listed:
            usage = self._state.occupancy.get(each.name)
            taken[each.domain] += usage.cache / profile.layers
        for domain, tokens in taken.items():
            self._demands[service].observe(domain, tokens, now)

    def _repair(
        self,
        service: str,
        profile: profiles.EngineProfile,
        holding: list[layout.Placement],
        now: float,
    ) -> None:
        """Move engines where layers have been scarce for a while."""
        known = self._demands[service].list_known()
        ranges = (
            tuple((each.endpoint.name, each.start) for each in holding),
            tuple(known.items()),
        )
        held = self._holdings.get(service)
        if held is None or held.ranges != ranges:
            held = self._holdings[service] = _Holding(ranges, now)
        if held.settled:
            return
        steady = now - held.changed >= STEADY_SECONDS
        movable = {
            each.endpoint.name
            for each in holding
            if each.endpoint.name not in self._open
        }
        moves = layout.plan_moves(
            profile,
            holding,
            movable,
            lambda name: self._state.occupancy.get(name).sequences,
            known,
            steady,
        )
        held.settled = steady and not moves and not self._open
        if not moves:
            self._lost_at.pop(service, None)
            return
        if now - self._lost_at.setdefault(service, now) < LOST_SECONDS:
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
            self._begin(_Order(placement, checked=False), profile, now)

    def _begin(
        self, order: _Order, profile: profiles.EngineProfile, now: float
    ) -> None:
        self._open[order.placement.endpoint.name] = order
        self._send(order, profile, now)

    @staticmethod
    def _is_settled(order: _Order, engine: endpoints_module.Endpoint) -> bool:
        """Tell whether the listing shows the effect of an order."""
        wanted = order.placement
        return (engine.start, engine.end) == (wanted.start, wanted.end)

    def _send(
        self, order: _Order, profile: profiles.EngineProfile, now: float
    ) -> None:
        if len(self._tasks) >= MAX_SENDING:
            return
        share = order.placement.end - order.placement.start
        load = profile.load_seconds * share / profile.layers
        order.due = now + load + EFFECT_SECONDS
        order.retry_at = float('inf')
        task = asyncio.get_running_loop().create_task(self._give(order))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _give(self, order: _Order) -> None:
        if not order.checked and not await self._check(order):
            return
        placement = order.placement
        if not await self._state.admit(placement.endpoint.name):
            order.retry_at = self._state.now + RETRY_SECONDS
            return
        fence = self._leadership.fence
        if not self._leadership.is_leading:
            return
        reception = await orders.send_placement(
            placement.endpoint.address,
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
        # Giving it anew is safe: the expected count admits it once.
        order.checked = False
        if reception in (orders.OrderOutcome.BEGUN, orders.OrderOutcome.HELD):
            order.retry_at = order.due
        else:
            order.retry_at = self._state.now + RETRY_SECONDS

    async def _check(self, order: _Order) -> bool:
        """Ask an engine what became of an order.

        :returns: whether it should be given again
        """
        endpoint = order.placement.endpoint
        if not await self._state.admit(endpoint.name):
            order.retry_at = self._state.now + RETRY_SECONDS
            return False
        sent = self._state.now
        read = await orders.read_report(endpoint.address)
        if read.is_err():
            order.retry_at = self._state.now + RETRY_SECONDS
            self._state.log.write(
                'report missing', endpoint=endpoint.name, error=read.err_value
            )
            return False
        report = read.ok_value
        self._state.record_rate_limit(endpoint.name, report.rate_limit, sent)
        self._state.note_life(endpoint, report.born)
        order.expected = report.orders
        held = (report.start, report.end)
        placement = order.placement
        wanted = (placement.start, placement.end)
        before = (endpoint.start, endpoint.end)
        if report.busy or held not in (before, (0, 0)) or held == wanted:
            # The listing will show it, or that it was lost again.
            order.retry_at = self._state.now + EFFECT_SECONDS
            return False
        return True
