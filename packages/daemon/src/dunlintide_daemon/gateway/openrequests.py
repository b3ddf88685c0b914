"""Requests that an entry is answering."""

import contextlib
from typing import Iterator

from dunlintide_daemon.gateway import exchange as exchange_module
from dunlintide_daemon.gateway import state as state_module

__all__ = ['OpenRequests']

Exchange = exchange_module.Exchange


class OpenRequests:
    """Requests that are not answered yet."""

    def __init__(self, state: state_module.State) -> None:
        self._state = state
        self._open: set[Exchange] = set()

    @contextlib.contextmanager
    def track(self, exchange: Exchange) -> Iterator[None]:
        """Count a request as open within the block."""
        self._open.add(exchange)
        try:
            yield
        finally:
            self._open.discard(exchange)

    def log_cut(self) -> None:
        """Log the requests whose connections are about to be aborted."""
        state = self._state
        for exchange in self._open:
            state.counters.shutdown_cuts.inc()
            state.log.write(
                'request cut off',
                request=exchange.caller_request.name,
                rule=exchange.rule.name,
                service=exchange.service,
                sends=exchange.sends,
                may_have_run=exchange.runs > 0,
                events=exchange.events,
                seconds=round(state.now - exchange.request.received_at, 3),
                received_after=round(
                    exchange.request.received_at - state.shutdown.began, 3
                ),
                deadline_in=round(exchange.deadline - state.now, 3),
            )
