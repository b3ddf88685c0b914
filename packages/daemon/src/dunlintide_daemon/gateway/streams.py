"""Streams of events: chains found, runs made, ends told."""

import asyncio

import attrs
import result

from dunlintide_core.pipeline import chains
from dunlintide_core.pipeline import profiles
from dunlintide_core.pipeline import returns
from dunlintide_daemon.gateway import chainfinder
from dunlintide_daemon.gateway import events
from dunlintide_daemon.gateway import exchange as exchange_module
from dunlintide_daemon.gateway import runends
from dunlintide_daemon.gateway import runs
from dunlintide_daemon.gateway import state as state_module

__all__ = ['StreamServer']

Hops = chains.Hops
Outcome = exchange_module.Outcome

# Spread of the times at which refused callers return, as parts of the
# pause, so that they don't come together.
JITTER = (0.6, 1.4)
# Pause between two looks at a budget that is used up, in seconds: a quarter
# of the shortest pause between events that callers are known to ask for.
BUDGET_SECONDS = 0.05


@attrs.frozen
class _Lack:
    """Why no further run can help a stream.

    :ivar scarce: layers without room, for the log
    """

    reason: str
    scarce: str = ''


class StreamServer:
    """Serves streams with the beliefs of one entry."""

    def __init__(self, state: state_module.State) -> None:
        self._state = state
        self._finder = chainfinder.ChainFinder(state)
        self._runs = runs.RunServer(state, self._finder)

    async def serve(
        self,
        exchange: exchange_module.Exchange,
        profile: profiles.EngineProfile,
    ) -> Outcome:
        """Answer a request whose rule names engines."""
        state = self._state
        sequence = events.Sequence(exchange.ask.after)
        stream = exchange_module.Stream(exchange, profile, sequence)
        ran = False
        hops = None
        while True:
            if hops is None:
                found = await self._find_paid(stream)
                if found.is_err():
                    return self._give_up(exchange, ran, found.err_value)
                hops = found.ok_value
            try:
                return await self._runs.run(stream, hops)
            except runends.RunEnded as ended:
                ran = ran or ended.ran
                self._log_end(stream, hops, ended)
                again = exchange.can_go_on(ran, state.now)
                if not (ended.retry and again):
                    lack = _Lack(ended.reason)
                    return self._give_up(exchange, ran, lack)
                hops = ended.hops

    async def _find_paid(
        self, stream: exchange_module.Stream
    ) -> result.Result[Hops, _Lack]:
        """Find a chain and pay for the send on it."""
        exchange = stream.exchange
        while True:
            hops = await self._finder.find(stream)
            if hops is None:
                return result.Err(
                    _Lack('no room', self._finder.explain(stream))
                )
            if self._pay(exchange):
                return result.Ok(hops)
            if not await self._wait_for_budget(exchange):
                return result.Err(_Lack('no budget'))

    def _pay(self, exchange: exchange_module.Exchange) -> bool:
        """Pay for a send; the first one is free."""
        if not exchange.sends:
            return True
        under_way = exchange.runs > 0
        return self._state.pay_resend(exchange.service, 'stream', under_way)

    async def _wait_for_budget(
        self, exchange: exchange_module.Exchange
    ) -> bool:
        """Wait until another send can be paid.

        A stream that is under way is not cut while its caller stays: the
        budget comes back within seconds. One that did not run is refused
        at once, since its caller may come back.
        """
        state = self._state
        if not exchange.runs:
            return False
        expires = self._finder.choose_place(exchange).expires
        budget = state.get_budget(exchange.service)
        while state.now < expires:
            if budget.can_spend(state.now):
                return True
            await asyncio.sleep(BUDGET_SECONDS)
        return False

    def _log_end(
        self,
        stream: exchange_module.Stream,
        hops: Hops,
        ended: runends.RunEnded,
    ) -> None:
        self._state.log.write(
            'run ended early',
            request=stream.exchange.ask.name,
            reason=ended.reason,
            may_have_run=ended.ran,
            sends=stream.exchange.sends,
            last_event=stream.sequence.last,
            chain=chainfinder.describe(hops),
        )

    def _give_up(
        self,
        exchange: exchange_module.Exchange,
        ran: bool,
        lack: _Lack,
    ) -> Outcome:
        """End a stream that no further run can help."""
        state = self._state
        reply = exchange.reply
        if reply.started or ran:
            state.log.write(
                'stream given up',
                request=exchange.ask.name,
                reason=lack.reason,
                scarce=lack.scarce,
                events=exchange.events,
                sends=exchange.sends,
            )
        if reply.started:
            reply.abort()
            return Outcome.CUT
        if ran:
            late = state.now >= exchange.deadline
            exchange_module.refuse(reply, 504 if late else 502)
            return Outcome.UNKNOWN
        state.returns.refuse(exchange.digest, state.now)
        pause = self._choose_pause(exchange)
        state.log.write(
            'request refused',
            request=exchange.ask.name,
            reason=lack.reason,
            scarce=lack.scarce,
            returned=exchange.returned,
            waiting=len(state.get_backlog(exchange.service)),
            retry_after=round(pause, 3),
            version=exchange.version,
        )
        exchange_module.refuse(reply, 503, pause)
        return Outcome.NOT_RUN

    def _choose_pause(self, exchange: exchange_module.Exchange) -> float:
        """Tell when there may be room, with jitter to spread returns."""
        now = self._state.now
        pause = self._state.returns.choose_pause(now)
        pause *= self._state.random.uniform(*JITTER)
        left = max(0.1, exchange.deadline - now)
        return min(pause, left * returns.LEFT_PART)
