"""Supervision of an agent: engine health, load reports and drain.

One actor handles these slow tasks in sequence, without locks. Tokens and
steps bypass its mailbox. The ticker thread sends a poll only when the mailbox
is empty.
"""

import time
from typing import Callable

from absl import logging
import attrs
import pykka

from dunlintide_adapters import engine as engines
from dunlintide_core import caps
from dunlintide_daemon.agent import gate as gates

__all__ = [
    'Drain',
    'EngineFailed',
    'Hooks',
    'Poll',
    'Supervisor',
]

REPORT_SECONDS = 1.0
ENGINE_AWAY = 'the engine is unavailable'
# A busy engine may be slow to answer, so it counts as lost only after this
# many failed checks. One that refuses connections is lost at once.
MAX_FAILED_CHECKS = 2
# Below this usage the KV cache size derived from it would be too inaccurate.
_MIN_KV_USAGE = 0.01


@attrs.frozen
class EngineFailed:
    """Message that a call to the engine had no usable answer.

    :ivar crashed: whether the engine process is known to be gone
    """

    detail: str
    crashed: bool = False


@attrs.frozen
class Poll:
    """Message to check the engine and report the load when due."""


@attrs.frozen
class Drain:
    """Message to start a planned stop."""


@attrs.frozen
class Hooks:
    """Callbacks into the rest of the agent.

    :ivar handle_engine_loss: refuses new requests and ends all sessions,
        with a reason
    :ivar report: sends a load report
    :ivar announce_leaving: notifies all peers that this agent is leaving
    :ivar is_idle: returns whether nothing is in flight
    :ivar stop: ends the process
    :ivar refresh_holding: reads which layers the engine holds, in the
        background
    :ivar crash: ends the process, since the supervisor has failed
    """

    handle_engine_loss: Callable[[str], None]
    report: Callable[[engines.EngineLoad], None]
    announce_leaving: Callable[[], None]
    is_idle: Callable[[], bool]
    stop: Callable[[], None]
    crash: Callable[[], None]
    refresh_holding: Callable[[], None] = lambda: None


class Supervisor(pykka.ThreadingActor):
    """Monitors the engine and drains the agent before a planned stop."""

    use_daemon_thread = True

    def __init__(
        self,
        gate: gates.Gate,
        engine: engines.Engine | None,
        hooks: Hooks,
    ) -> None:
        """Set the engine to monitor.

        :param engine: None if the endpoint is a plain service
        """
        super().__init__()
        self._gate = gate
        self._engine = engine
        self._hooks = hooks
        self._is_down = False
        self._failed_checks = 0
        self._reported_at = 0.0
        self._draining = False

    def on_receive(self, message) -> None:
        """Handle one message."""
        if isinstance(message, EngineFailed):
            self._check_engine(message.detail, message.crashed)
        elif isinstance(message, Poll):
            self._poll()
        elif isinstance(message, Drain):
            self._drain()

    def on_failure(self, exception_type, exception_value, traceback) -> None:
        """Stop the process, since the actor handles no more messages."""
        logging.error('supervisor failed: %r', exception_value)
        self._hooks.crash()

    def _check_away(self) -> bool:
        health = self._engine.check_health()
        if health.is_ok():
            self._failed_checks = 0
            return False
        self._failed_checks += 1
        self._report_soon()
        return (
            not health.err_value.sent
            or self._failed_checks >= MAX_FAILED_CHECKS
        )

    def _check_engine(self, detail: str, crashed: bool = False) -> None:
        if self._is_down:
            return
        if not crashed and not self._check_away():
            return
        self._is_down = True
        logging.warning('engine unavailable: %s', detail)
        # An engine that does not answer may have lost its KV cache.
        self._hooks.handle_engine_loss(ENGINE_AWAY)
        self._report_soon()

    def _report_soon(self) -> None:
        """Report at the next poll, so that entries learn the new state."""
        self._reported_at = 0.0

    def _check_recovery(self) -> None:
        if self._engine.check_health().is_ok():
            # A restarted engine may hold its initial layers again.
            self._hooks.refresh_holding()
            self._is_down = False
            self._failed_checks = 0
            logging.info('engine available again')
            self._gate.set_fault('')
            self._report_soon()

    def _poll(self) -> None:
        if self._is_down:
            self._check_recovery()
        if self._draining and self._hooks.is_idle():
            self._hooks.stop()
        now = time.monotonic()
        if now - self._reported_at < REPORT_SECONDS:
            return
        self._reported_at = now
        self._report()

    def _observe(self, load: engines.EngineLoad) -> None:
        size = 0
        if load.kv_usage >= _MIN_KV_USAGE:
            size = int(load.kv_tokens / load.kv_usage)
        usage = caps.Usage(load.kv_usage, size, load.queued)
        with self._gate.lock:
            self._gate.capacity.cap.observe(
                self._gate.capacity.in_flight, usage
            )

    def _report(self) -> None:
        load = engines.EngineLoad()
        if self._engine is not None and not self._is_down:
            self._hooks.refresh_holding()
            read = self._engine.read_load()
            if read.is_ok():
                load = read.ok_value
                self._failed_checks = 0
                self._observe(load)
            elif not read.err_value.status:
                self._check_engine(read.err_value.detail)
        self._hooks.report(load)

    def _drain(self) -> None:
        if self._draining:
            return
        self._draining = True
        logging.info('draining: new requests are refused')
        self._gate.start_leaving()
        self._hooks.announce_leaving()
