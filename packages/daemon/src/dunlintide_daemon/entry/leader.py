"""Leader election for one model, and the placement orders of its leader.

Each model has its own actor, so that a slow store call for one model does
not delay the lease renewal of another. ``Tick`` messages drive the actor
several times a second.
"""

import random
import time
from typing import Callable
import uuid

from absl import logging
import attrs
import pykka
import result

from dunlintide_adapters import leaders as leader_keys
from dunlintide_adapters.wire import link_pb2
from dunlintide_core import leadership
from dunlintide_core import placement
from dunlintide_core import settings as settings_module
from dunlintide_daemon.entry import engineview

__all__ = [
    'FleetAccess',
    'Leader',
    'Reply',
    'Resign',
    'Status',
    'Tick',
]

# A candidate reads the leader's key again after a random fraction of the
# lease within these bounds.
_MIN_RETRY_FRACTION, _MAX_RETRY_FRACTION = 0.4, 0.8
# Reasons of an agent to refuse an order after which the leader resigns.
_TERM_ENDING_REFUSALS = (
    placement.Refusal.OLD_FENCE,
    placement.Refusal.NOT_LEADER,
)


@attrs.frozen
class Tick:
    """Request to campaign, renew the lease and place layers as due.

    :ivar targets: versions of the model to place
    :ivar is_candidate: whether this entry should try to become leader
    """

    targets: tuple[placement.Target, ...]
    is_candidate: bool


@attrs.frozen
class Reply:
    """Answer of an agent to a placement order."""

    reply: link_pb2.OrderReply


@attrs.frozen
class Resign:
    """Request to give up the leadership."""


@attrs.frozen
class FleetAccess:
    """Fleet operations that a leader needs.

    :ivar take_snapshot: returns the engines of all models
    :ivar send: sends an order to a named agent; returns False if the agent
        is not linked or is leaving
    """

    take_snapshot: Callable[[], engineview.EngineSnapshot]
    send: Callable[[str, link_pb2.Order], bool]


@attrs.frozen
class Status:
    """Leadership and placement of one model, for the state dump.

    :ivar phase: role of this entry in the election
    :ivar leader: name of the leader, as last read from the store
    :ivar fence: fencing token of the leader's term, 0 if unknown
    :ivar sees_enough: whether enough agents are reachable to place layers
    :ivar missing: layer ranges with too few engines
    :ivar orders: open orders
    :ivar refusals: number of orders refused so far
    """

    phase: leadership.Phase = leadership.Phase.CANDIDATE
    leader: str = ''
    fence: int = 0
    sees_enough: bool = True
    missing: tuple[tuple[int, int], ...] = ()
    orders: tuple[placement.Order, ...] = ()
    refusals: int = 0


def _build_order(
    order: placement.Order, fence: int, leader: str
) -> link_pb2.Order:
    return link_pb2.Order(
        order_id=uuid.uuid4().hex,
        fence=fence,
        leader=leader,
        layer_count=order.layer_count,
        held=link_pb2.Holding(**attrs.asdict(order.expected)),
        **attrs.asdict(order.holding),
    )


class Leader(pykka.ThreadingActor):
    """Campaigns for the leadership of a model and, as leader, places it."""

    use_daemon_thread = True

    def __init__(
        self,
        model: str,
        name: str,
        keys: leader_keys.Leaders,
        fleet_access: FleetAccess,
        settings: settings_module.Placement,
        publish: Callable[[Status], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Initialize as a candidate.

        :param model: name of the model
        :param name: name of this entry
        :param publish: called with the status after each tick
        :param clock: monotonic time in seconds
        """
        super().__init__()
        self._model = model
        self._name = name
        self._keys = keys
        self._fleet_access = fleet_access
        self._settings = settings
        self._publish = publish
        self._clock = clock
        self._leadership = leadership.Leadership(
            leadership.LeaseTiming(settings.lease)
        )
        self._next_attempt = 0.0
        self._placers: dict[placement.Target, placement.Placer] = {}
        self._sent_orders: dict[str, tuple[placement.Placer, str]] = {}
        self._status = Status()

    def on_receive(self, message) -> None:
        """Handle one message."""
        if isinstance(message, Tick):
            self._tick(message)
        elif isinstance(message, Reply):
            self._handle_reply(message.reply)
        elif isinstance(message, Resign):
            self._resign()

    def on_failure(self, exception_type, exception_value, traceback) -> None:
        """Log the error; the lease expires and a new actor is started."""
        error = exception_type, exception_value, traceback
        logging.error(
            'leader actor of model %s failed', self._model, exc_info=error
        )

    def _tick(self, tick: Tick) -> None:
        now = self._clock()
        if self._leadership.term is None:
            if tick.is_candidate and now >= self._next_attempt:
                self._campaign()
        elif self._leadership.needs_renewal(now):
            self._renew()
        self._place_layers(tick.targets)
        self._publish_status()

    def _delay_next_attempt(self) -> None:
        fraction = random.uniform(_MIN_RETRY_FRACTION, _MAX_RETRY_FRACTION)
        self._next_attempt = self._clock() + self._settings.lease * fraction

    def _campaign(self) -> None:
        self._delay_next_attempt()
        read = self._keys.read(self._model)
        if isinstance(read, result.Err):
            return
        if read.ok_value is not None:
            self._update_status(
                leader=read.ok_value.name, fence=read.ok_value.fence
            )
            return
        lease = self._settings.lease
        acquired = self._keys.acquire(self._model, self._name, lease)
        if isinstance(acquired, result.Err) or acquired.ok_value is None:
            return
        term = acquired.ok_value
        self._leadership.begin(term)
        self._placers.clear()
        self._sent_orders.clear()
        self._update_status(leader=self._name, fence=term.fence)
        logging.info(
            'became leader of model %s, fencing token %d',
            self._model,
            term.fence,
        )

    def _renew(self) -> None:
        renewed = self._keys.renew(self._leadership.term)
        if isinstance(renewed, result.Err):
            # The local lease deadline still applies; the next tick retries.
            return
        if renewed.ok_value is None:
            logging.warning(
                'lost leadership of model %s: lease expired', self._model
            )
            self._end_term()
        else:
            self._leadership.renew(renewed.ok_value)

    def _end_term(self) -> None:
        self._leadership.end()
        self._placers.clear()
        self._sent_orders.clear()
        self._update_status(leader='', fence=0)
        self._delay_next_attempt()

    def _resign(self) -> None:
        term = self._leadership.term
        if term is not None:
            logging.info('resigning leadership of model %s', self._model)
            self._end_term()
            self._keys.resign(term)

    def _place_layers(self, targets: tuple[placement.Target, ...]) -> None:
        now = self._clock()
        if self._leadership.get_fence(now) is None:
            return
        snapshot = self._fleet_access.take_snapshot()
        self._update_status(sees_enough=snapshot.has_sufficient_view)
        for target in targets:
            placer = self._find_placer(target)
            if not snapshot.has_sufficient_view:
                placer.restart_delays()
                continue
            for order in placer.make_orders(now, snapshot.engines):
                self._send_order(placer, order)
        for target in self._placers.keys() - set(targets):
            del self._placers[target]

    def _find_placer(self, target: placement.Target) -> placement.Placer:
        placer = self._placers.get(target)
        if placer is None:
            settings = placement.PlacerSettings(
                shortage_delay=self._settings.patience,
                max_orders=self._settings.max_orders,
                order_timeout=self._settings.order_timeout,
            )
            placer = placement.Placer(target, settings)
            self._placers[target] = placer
        return placer

    def _send_order(
        self, placer: placement.Placer, order: placement.Order
    ) -> None:
        # Checked again for each order: the process may have been suspended
        # past its lease since the last check.
        now = self._clock()
        fence = self._leadership.get_fence(now)
        if fence is None:
            placer.note_failure(order.agent, now)
            return
        message = _build_order(order, fence, self._name)
        self._sent_orders[message.order_id] = placer, order.agent
        logging.info(
            'ordering agent %s to hold %s', order.agent, order.holding
        )
        if not self._fleet_access.send(order.agent, message):
            placer.note_failure(order.agent, now)

    def _handle_reply(self, reply: link_pb2.OrderReply) -> None:
        sent = self._sent_orders.get(reply.order_id)
        if sent is None or reply.accepted:
            return
        placer, agent = sent
        logging.warning('agent %s refused an order: %s', agent, reply.detail)
        self._update_status(refusals=self._status.refusals + 1)
        placer.note_failure(agent, self._clock())
        if reply.detail in _TERM_ENDING_REFUSALS:
            # Another entry leads, or the engine has seen a higher fencing
            # token from another model's leader; a new term gets a higher one.
            self._resign()

    def _update_status(self, **fields) -> None:
        self._status = attrs.evolve(self._status, **fields)

    def _publish_status(self) -> None:
        placers = self._placers.values()
        open_orders = {
            order.agent: order
            for placer in placers
            for order in placer.list_open_orders()
        }
        self._sent_orders = {
            order_id: sent
            for order_id, sent in self._sent_orders.items()
            if sent[1] in open_orders
        }
        self._update_status(
            phase=self._leadership.get_phase(self._clock()),
            orders=tuple(open_orders.values()),
            missing=tuple(
                layer_range
                for placer in placers
                for layer_range in placer.list_short_ranges()
            ),
        )
        self._publish(self._status)
