"""Enforcement of endpoints' rate limits, shared with the other entries.

Everything that is sent to an endpoint needs a permit: requests, hedges,
failovers, orders and calls for its report.
"""

import asyncio
from typing import Callable

from dunlintide_core.pipeline import permits as permits_module
from dunlintide_daemon.gateway import endpointnotices
from dunlintide_daemon.gateway import permitcodec
from dunlintide_daemon.gateway import state as state_module

__all__ = ['RateLimiter']

SendDatagram = Callable[[str, bytes], None]


class RateLimiter:
    """Requests permits, and handles messages about permits."""

    def __init__(self, state: state_module.State, send: SendDatagram) -> None:
        """Create a limiter without requests under way.

        :param send: sends a datagram to an entry, given by its name
        """
        self._state = state
        self._send_datagram = send
        self._waiting: dict[int, asyncio.Event] = {}

    async def admit(self, name: str, request: str = '') -> bool:
        """Request a permit to send something to an endpoint now.

        Without a rate limit it is granted at once.

        :param name: name of the endpoint
        :param request: id of the request to be sent, empty if it is none
        :returns: whether the permit was granted
        """
        state = self._state
        limit = state.rate_limits.get(name)
        if limit is None:
            return True
        ticket = state.permits.open(name, state.now)
        awake = self._waiting[ticket.number] = asyncio.Event()
        try:
            while ticket.verdict is None:
                self._send(state.permits.advance(ticket, state.now))
                if ticket.verdict is None:
                    await self._wait(awake, ticket)
        finally:
            del self._waiting[ticket.number]
            state.permits.cancel(ticket)
        self._report(ticket, limit, request)
        return ticket.is_granted

    async def _wait(
        self, awake: asyncio.Event, ticket: permits_module.Ticket
    ) -> None:
        """Wait for a reply, at most until the next message is due."""
        try:
            async with asyncio.timeout(ticket.due - self._state.now):
                await awake.wait()
        except TimeoutError:
            pass

    def _report(
        self, ticket: permits_module.Ticket, limit: float, request: str
    ) -> None:
        state = self._state
        state.counters.permits.labels(ticket.verdict).inc()
        state.log.write(
            'permit asked',
            request=request,
            endpoint=ticket.endpoint,
            limit=limit,
            limit_age=round(
                state.rate_limits.get_age(ticket.endpoint, state.now), 3
            ),
            verdict=ticket.verdict,
            coordinator=ticket.source,
            pause=round(ticket.pause, 3),
        )
        endpoint = state.endpoints.get(ticket.endpoint)
        if endpoint is not None and not ticket.is_granted:
            loop = asyncio.get_running_loop()
            loop.call_later(ticket.pause, state.wake, endpoint.service)

    def receive(self, data: bytes, source: str) -> None:
        """Process a datagram about permits.

        :param source: address of the sender, for the log
        """
        state = self._state
        decoded = permitcodec.decode(data)
        if decoded.is_err():
            state.counters.refused_items.labels('message').inc()
            state.log.write(
                'gossip refused', error=decoded.err_value, source=source
            )
            return
        message = decoded.ok_value
        limits = state.rate_limits
        before = {
            name: (limits.get(name), limits.get_age(name, state.now))
            for name, _, _ in permits_module.list_limits(message)
        }
        self._send(state.permits.receive(message, state.now))
        for name, (limit, age) in before.items():
            if limits.get(name) != limit:
                endpointnotices.log_rate_limit(
                    state, name, message.sender, age
                )
        if isinstance(message, permits_module.PermitReply):
            awake = self._waiting.get(message.number)
            if awake is not None:
                awake.set()

    def _send(self, sends: permits_module.Outgoing) -> None:
        for receiver, message in sends:
            self._send_datagram(receiver, permitcodec.encode(message))
