"""Orders of leaders: what this agent's engine is to hold.

One actor carries them out, one after the other. An order counts only
while its fencing number is that of the leader's key in the store, which
is read for each order: so a restarted agent, which has forgotten the
numbers that it saw, takes no more than one that remembers. The highest
number seen is kept besides, and the engine's own where it tells it.
"""

import time
from typing import Callable

from absl import logging
import attrs
import pykka
import result

from dunlintide_adapters import engine as engines
from dunlintide_adapters import leaders as leader_keys
from dunlintide_adapters import links
from dunlintide_adapters.wire import link_pb2
from dunlintide_core import placement

__all__ = [
    'Hooks',
    'Orders',
    'Refresh',
    'Take',
]

# Sessions of layers that are given up get this long to finish.
RETIRE_SECONDS = 5.0
LOAD_SECONDS = 600.0
_POLL_SECONDS = 0.05
_NOT_TOLD = 404


@attrs.frozen
class Take:
    """An order that came over a link."""

    link: links.Link
    order: link_pb2.Order


@attrs.frozen
class Refresh:
    """Look at what the engine holds."""


@attrs.frozen
class Hooks:
    """What the actor does beyond its own state.

    :ivar get_holding: what peers are told that the engine holds
    :ivar adopt: tells them of another holding and the model's layers
    :ivar count_sessions: sessions that run on the engine
    :ivar lose_sessions: ends them, with the reason
    :ivar is_leaving: whether this agent takes no new work
    :ivar crash: lets the process end, since the actor has failed
    """

    get_holding: Callable[[], placement.Holding]
    adopt: Callable[[placement.Holding, int], None]
    count_sessions: Callable[[], int]
    lose_sessions: Callable[[str], None]
    is_leaving: Callable[[], bool]
    crash: Callable[[], None]


def _make_holding(
    source: link_pb2.Order | link_pb2.Holding | engines.EngineHolding,
) -> placement.Holding:
    return placement.Holding(
        source.model, source.version, source.layer_start, source.layer_end
    )


class Orders(pykka.ThreadingActor):
    """Carries out orders and follows what the engine holds."""

    use_daemon_thread = True

    def __init__(
        self,
        engine: engines.Engine,
        leaders: leader_keys.Leaders,
        hooks: Hooks,
    ) -> None:
        """Remember whom to ask."""
        super().__init__()
        self._engine = engine
        self._leaders = leaders
        self._hooks = hooks
        self._fence = 0
        self._loading = False

    def on_receive(self, message) -> None:
        """Handle one message."""
        if isinstance(message, Take):
            self._take(message.link, message.order)
        elif isinstance(message, Refresh):
            self._refresh()

    def on_failure(self, exception_type, exception_value, traceback) -> None:
        """Stop the process: an actor that raised is silently dead."""
        logging.error('orders failed: %r', exception_value)
        self._hooks.crash()

    def _refresh(self) -> bool:
        """Adopt what the engine holds; False when it could not tell."""
        read = self._engine.read_holding()
        if isinstance(read, result.Err):
            return read.err_value.status == _NOT_TOLD
        told = read.ok_value
        self._fence = max(self._fence, told.fence)
        self._loading = told.loading
        holding = _make_holding(told)
        if not holding.equals(self._hooks.get_holding()):
            self._hooks.adopt(holding, told.layer_count)
            self._hooks.lose_sessions('the endpoint holds other layers')
        return True

    def _reply(
        self, link: links.Link, order: link_pb2.Order, detail: str
    ) -> None:
        reply = link_pb2.OrderReply(
            order_id=order.order_id, accepted=not detail, detail=detail
        )
        link.send(link_pb2.Frame(order_reply=reply))

    def _find_refusal(self, order: link_pb2.Order) -> placement.Refusal | None:
        if self._hooks.is_leaving():
            return placement.Refusal.LEAVING
        if not self._refresh():
            return placement.Refusal.ENGINE_AWAY
        if self._loading:
            # An order that an earlier life of this agent passed on.
            return placement.Refusal.BUSY
        if order.fence < self._fence:
            return placement.Refusal.OLD_FENCE
        read = self._leaders.read(order.model)
        if isinstance(read, result.Err):
            return placement.Refusal.STORE_AWAY
        if read.ok_value is None or read.ok_value.fence != order.fence:
            return placement.Refusal.NOT_LEADER
        self._fence = order.fence
        if not _make_holding(order.held).equals(self._hooks.get_holding()):
            return placement.Refusal.HOLDS_OTHER
        return None

    def _take(self, link: links.Link, order: link_pb2.Order) -> None:
        refusal = self._find_refusal(order)
        logging.info(
            'order of %s, fence %d, for layers %d to %d of %s: %s',
            order.leader,
            order.fence,
            order.layer_start,
            order.layer_end,
            order.model,
            refusal or 'taken',
        )
        self._reply(link, order, refusal or '')
        if refusal is None:
            self._retire(order)
            self._load(link, order)

    def _retire(self, order: link_pb2.Order) -> None:
        """Take no sessions for the old layers and let the last ones end.

        Before the engine changes its layers, so that no session can run
        on a mixture of both, whether the engine checks that or not.
        """
        self._hooks.adopt(placement.Holding(), 0)
        end = time.monotonic() + RETIRE_SECONDS
        while self._hooks.count_sessions() and time.monotonic() < end:
            time.sleep(_POLL_SECONDS)
        self._hooks.lose_sessions('the endpoint is to hold other layers')

    def _load(self, link: links.Link, order: link_pb2.Order) -> None:
        wanted = engines.EngineHolding(
            order.model,
            order.version,
            order.layer_start,
            order.layer_end,
            order.layer_count,
        )
        given = self._engine.send_order(order.fence, wanted, LOAD_SECONDS)
        failure = given.err_value if given.is_err() else None
        if failure is None:
            self._hooks.adopt(_make_holding(order), order.layer_count)
        # What the engine tells goes before what it was to hold.
        self._refresh()
        if _make_holding(order) == self._hooks.get_holding():
            return
        refusal = placement.Refusal.LOAD_FAILED
        if failure and failure.status == engines.STALE_FENCE_STATUS:
            refusal = placement.Refusal.OLD_FENCE
        logging.warning('order not carried out: %s', refusal)
        self._reply(link, order, refusal)
