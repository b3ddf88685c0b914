"""Requests that an entry is answering, and their end when it shuts down."""

import asyncio
from typing import Awaitable, Callable

import attrs

from dunlintide_daemon.gateway import exchange as exchange_module
from dunlintide_daemon.gateway import shutdowns
from dunlintide_daemon.gateway import state as state_module

__all__ = ['OpenRequests']

Exchange = exchange_module.Exchange
Outcome = exchange_module.Outcome


@attrs.define(eq=False)
class _Open:
    """A request that is not answered yet.

    :ivar task: task that answers it
    :ivar is_ended: whether the shutdown has ended it
    :ivar was_running: whether an endpoint was at work on it then
    :ivar timer: its next check during a shutdown
    """

    exchange: Exchange
    task: asyncio.Task
    is_ended: bool = False
    was_running: bool = False
    timer: asyncio.TimerHandle | None = None


def _is_under_way(exchange: Exchange) -> bool:
    """Return whether an endpoint may be working on a request."""
    return exchange.runs > 0 or exchange.reply.started


class OpenRequests:
    """Requests that are not answered yet.

    When the process is about to end, each gets an answer that tells whether it
    may have run; without one its caller could not know.
    """

    def __init__(self, state: state_module.State) -> None:
        self._state = state
        self._open: set[_Open] = set()

    async def run(
        self,
        exchange: Exchange,
        serve: Callable[[Exchange], Awaitable[Outcome]],
    ) -> Outcome:
        """Answer a request, or end it when the process is about to end.

        :param serve: answers it
        """
        opened = _Open(exchange, asyncio.current_task())
        self._open.add(opened)
        if self._state.stopping:
            self._watch(opened)
        try:
            return await serve(exchange)
        except asyncio.CancelledError:
            if not opened.is_ended or exchange.reply.is_disconnected:
                raise
            opened.task.uncancel()
            return self._end(opened)
        finally:
            self._open.discard(opened)
            if opened.timer is not None:
                opened.timer.cancel()

    def begin_shutdown(self) -> None:
        """End the open requests as the shutdown of the entry goes on."""
        for opened in self._open:
            self._watch(opened)

    def _watch(self, opened: _Open) -> None:
        """Check a request again when it must have been sent or have ended."""
        if opened.timer is not None:
            opened.timer.cancel()
        state, exchange = self._state, opened.exchange
        due = state.shutdown.ends
        if not _is_under_way(exchange):
            due = min(due, shutdowns.assess(state, exchange).latest_start)
        loop = asyncio.get_running_loop()
        opened.timer = loop.call_at(due, self._check, opened)

    def _check(self, opened: _Open) -> None:
        """End a request for which no time is left."""
        state, exchange = self._state, opened.exchange
        has_time = state.now < state.shutdown.ends
        if has_time and _is_under_way(exchange):
            self._watch(opened)
            return
        if has_time and shutdowns.can_send(state, exchange):
            self._watch(opened)
            return
        opened.is_ended = True
        opened.was_running = exchange.running > 0
        opened.task.cancel()

    def _end(self, opened: _Open) -> Outcome:
        """Answer a request that has not been answered in time."""
        state, exchange = self._state, opened.exchange
        reply, now = exchange.reply, state.now
        if reply.ended:
            return Outcome.COMPLETE
        ran = exchange.runs > 0
        pause = None
        if reply.started:
            outcome = Outcome.CUT
        elif ran:
            outcome = Outcome.UNKNOWN
        else:
            outcome = Outcome.NOT_RUN
            pause = shutdowns.choose_retry_after(state, exchange, now)
        state.counters.shutdown_ends.labels(outcome).inc()
        state.log.write(
            'request ended by shutdown',
            request=exchange.caller_request.name,
            outcome=outcome,
            sends=exchange.sends,
            events=exchange.events,
            running=opened.was_running,
            received_after=round(
                exchange.request.received_at - state.shutdown.began, 3
            ),
            remaining=round(state.shutdown.ends - now, 3),
            deadline_in=round(exchange.deadline - now, 3),
            retry_after=pause and round(pause, 3),
        )
        if outcome is Outcome.CUT:
            reply.abort()
        elif outcome is Outcome.UNKNOWN:
            exchange_module.refuse(reply, 502)
        else:
            exchange_module.refuse(reply, 503, pause)
        return outcome
