"""Orders of leaders, which set the layers that the engine holds.

One actor executes them in sequence. An order is valid only while its fencing
token equals that of the leader's key in the store, which is read for each
order. A restarted agent, which has lost the tokens it saw, is thus as strict
as one that kept running. In addition, orders below the highest token seen by
this agent, or reported by the engine, are refused.
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
    'HandleOrder',
    'Hooks',
    'Orders',
    'Refresh',
]

# Time for sessions to finish before their layers are unloaded.
DRAIN_SECONDS = 5.0
LOAD_TIMEOUT_SECONDS = 600.0
_POLL_SECONDS = 0.05
_UNSUPPORTED_STATUS = 404


@attrs.frozen
class HandleOrder:
    """Message with an order that was received over a link."""

    link: links.Link
    order: link_pb2.Order


@attrs.frozen
class Refresh:
    """Message to read which layers the engine holds."""


@attrs.frozen
class Hooks:
    """Callbacks into the rest of the agent.

    :ivar get_holding: returns the layers that the agent announces
    :ivar apply_holding: announces other layers, with the model's number of
        layers
    :ivar count_sessions: returns the number of sessions on the engine
    :ivar fail_sessions: ends these sessions with a reason
    :ivar is_leaving: returns whether this agent refuses new requests
    :ivar crash: ends the process, since the actor has failed
    """

    get_holding: Callable[[], placement.Holding]
    apply_holding: Callable[[placement.Holding, int], None]
    count_sessions: Callable[[], int]
    fail_sessions: Callable[[str], None]
    is_leaving: Callable[[], bool]
    crash: Callable[[], None]


def _make_holding(
    source: link_pb2.Order | link_pb2.Holding | engines.EngineHolding,
) -> placement.Holding:
    return placement.Holding(
        source.model, source.version, source.layer_start, source.layer_end
    )


class Orders(pykka.ThreadingActor):
    """Executes orders and tracks which layers the engine holds."""

    use_daemon_thread = True

    def __init__(
        self,
        engine: engines.Engine,
        leaders: leader_keys.Leaders,
        hooks: Hooks,
    ) -> None:
        """Set the engine, the reader of the leader's key and the hooks."""
        super().__init__()
        self._engine = engine
        self._leaders = leaders
        self._hooks = hooks
        self._fence = 0
        self._loading = False

    def on_receive(self, message) -> None:
        """Handle one message."""
        if isinstance(message, HandleOrder):
            self._handle_order(message.link, message.order)
        elif isinstance(message, Refresh):
            self._refresh()

    def on_failure(self, exception_type, exception_value, traceback) -> None:
        """Stop the process, since the actor handles no more messages."""
        logging.error('orders failed: %r', exception_value)
        self._hooks.crash()

    def _refresh(self) -> bool:
        """Apply the layers that the engine holds.

        :returns: False if the engine did not report them, unless it does
            not support such reports at all
        """
        read = self._engine.read_holding()
        if isinstance(read, result.Err):
            return read.err_value.status == _UNSUPPORTED_STATUS
        reported = read.ok_value
        self._fence = max(self._fence, reported.fence)
        self._loading = reported.loading
        holding = _make_holding(reported)
        if not holding.equals(self._hooks.get_holding()):
            self._hooks.apply_holding(holding, reported.layer_count)
            self._hooks.fail_sessions('the endpoint now holds other layers')
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
            # The engine still executes an order that this agent passed on
            # before a restart.
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

    def _handle_order(self, link: links.Link, order: link_pb2.Order) -> None:
        refusal = self._find_refusal(order)
        logging.info(
            'order of leader %s with fence %d for layers %d to %d of %s: %s',
            order.leader,
            order.fence,
            order.layer_start,
            order.layer_end,
            order.model,
            refusal or 'taken',
        )
        self._reply(link, order, refusal or '')
        if refusal is None:
            self._drain_sessions(order)
            self._load(link, order)

    def _drain_sessions(self, order: link_pb2.Order) -> None:
        """Refuse sessions for the old layers and let running ones finish.

        This comes before the engine changes its layers, so that no session
        runs partly on the old and partly on the new ones, whether or not the
        engine checks that.
        """
        self._hooks.apply_holding(placement.Holding(), 0)
        deadline = time.monotonic() + DRAIN_SECONDS
        while self._hooks.count_sessions() and time.monotonic() < deadline:
            time.sleep(_POLL_SECONDS)
        self._hooks.fail_sessions('the endpoint is about to load other layers')

    def _load(self, link: links.Link, order: link_pb2.Order) -> None:
        wanted = engines.EngineHolding(
            order.model,
            order.version,
            order.layer_start,
            order.layer_end,
            order.layer_count,
        )
        loaded = self._engine.send_order(
            order.fence, wanted, LOAD_TIMEOUT_SECONDS
        )
        failure = loaded.err_value if loaded.is_err() else None
        if failure is None:
            self._hooks.apply_holding(_make_holding(order), order.layer_count)
        # The layers that the engine reports override those of the order.
        self._refresh()
        if _make_holding(order) == self._hooks.get_holding():
            return
        refusal = placement.Refusal.LOAD_FAILED
        if failure and failure.status == engines.STALE_FENCE_STATUS:
            refusal = placement.Refusal.OLD_FENCE
        logging.warning('order not executed: %s', refusal)
        self._reply(link, order, refusal)
