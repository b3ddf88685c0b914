"""Event streams: run them on chains, resume and end them."""

import asyncio

import attrs
import result

from dunlintide_core.pipeline import chains
from dunlintide_core.pipeline import profiles
from dunlintide_core.pipeline import refusalhistory
from dunlintide_core.pipeline import returns
from dunlintide_daemon.gateway import admission
from dunlintide_daemon.gateway import chainfinder
from dunlintide_daemon.gateway import events
from dunlintide_daemon.gateway import exchange as exchange_module
from dunlintide_daemon.gateway import runends
from dunlintide_daemon.gateway import runs
from dunlintide_daemon.gateway import shutdowns
from dunlintide_daemon.gateway import state as state_module
from dunlintide_daemon.gateway import suspicions

__all__ = ['StreamServer']

Hops = chains.Hops
Outcome = exchange_module.Outcome

# Range of the random factor on Retry-After, so that refused callers do not
# return at the same time.
JITTER = (0.6, 1.4)
# Time between two checks of an exhausted retry budget, in seconds: a quarter
# of the shortest gap target that callers are known to use.
BUDGET_POLL_SECONDS = 0.05


@attrs.frozen
class _Failure:
    """Why a stream gets no further run.

    :ivar shortage: layers without room, for the log
    :ivar returns_in: seconds until engines that asked for a pause may be used,
        0 if that is not why
    :ivar is_suspected: whether it is held to crash endpoints
    :ivar is_stopping: whether the process ends before it could
    """

    reason: str
    shortage: str = ''
    returns_in: float = 0.0
    is_suspected: bool = False
    is_stopping: bool = False


_STOPPING = _Failure(shutdowns.REASON, is_stopping=True)


def _has_time(
    state: state_module.State, exchange: exchange_module.Exchange
) -> bool:
    """Return whether another run may end before the process does.

    A caller that has a part of the stream gets as much of the rest as it can.
    """
    return exchange.reply.started or shutdowns.can_send(state, exchange)


class StreamServer:
    """Serves event streams, each in as many runs as it needs."""

    def __init__(self, state: state_module.State) -> None:
        self._state = state
        self._finder = chainfinder.ChainFinder(state)
        self._runs = runs.RunServer(state, self._finder)

    async def serve(
        self,
        exchange: exchange_module.Exchange,
        profile: profiles.EngineProfile,
    ) -> Outcome:
        """Answer a request that is routed to engines."""
        try:
            return await self._serve(exchange, profile)
        finally:
            admission.leave(self._state, exchange)

    async def _serve(
        self,
        exchange: exchange_module.Exchange,
        profile: profiles.EngineProfile,
    ) -> Outcome:
        state = self._state
        sequence = events.EventSequence(exchange.caller_request.after)
        stream = exchange_module.Stream(exchange, profile, sequence)
        ran = False
        hops = None
        is_paid = False
        while True:
            suspicion = suspicions.find_refusal(state, exchange)
            if suspicion:
                failure = _Failure(suspicion, is_suspected=True)
                return self._give_up(exchange, ran, failure)
            if not _has_time(state, exchange):
                return self._give_up(exchange, ran, _STOPPING)
            if hops is None:
                found = await self._find_chain(stream, is_paid)
                if found.is_err():
                    return self._give_up(exchange, ran, found.err_value)
                hops = found.ok_value
                if not _has_time(state, exchange):
                    return self._give_up(exchange, ran, _STOPPING)
            try:
                return await self._runs.run(stream, hops)
            except runends.RunEnded as ended:
                ran = ran or ended.ran
                self._log_end(stream, hops, ended)
                again = exchange.can_retry(ran, state.now)
                if not (ended.retry and again):
                    failure = _Failure(ended.reason)
                    return self._give_up(exchange, ran, failure)
                hops = ended.next_hops
                is_paid = ended.withheld

    async def _find_chain(
        self, stream: exchange_module.Stream, is_paid: bool
    ) -> result.Result[Hops, _Failure]:
        """Choose a chain and charge the send on it to the retry budget.

        :param is_paid: whether the send was charged already
        """
        exchange = stream.exchange
        while True:
            hops = await self._finder.find(stream)
            if hops is None:
                return result.Err(self._explain(stream))
            if is_paid or self._charge_send(exchange):
                return result.Ok(hops)
            # It could not use capacity that others leave to it.
            admission.leave(self._state, exchange)
            if not await self._wait_for_budget(exchange):
                return result.Err(_Failure('no budget'))

    def _explain(self, stream: exchange_module.Stream) -> _Failure:
        """Tell why no chain was found."""
        suspicion = suspicions.find_refusal(self._state, stream.exchange)
        if suspicion:
            return _Failure(suspicion, is_suspected=True)
        returns_in = self._finder.find_return(stream)
        return _Failure(
            'back-off' if returns_in else 'no room',
            self._finder.find_shortage(stream),
            returns_in,
        )

    def _charge_send(self, exchange: exchange_module.Exchange) -> bool:
        """Charge a send to the retry budget; the first one is free."""
        if not exchange.sends:
            return True
        under_way = exchange.runs > 0
        return self._state.spend_retry_budget(
            exchange.service, 'stream', under_way
        )

    async def _wait_for_budget(
        self, exchange: exchange_module.Exchange
    ) -> bool:
        """Wait until the retry budget allows another send.

        A stream that has run is not cut off while its caller is connected,
        since the budget refills within seconds. One that has not run is
        refused at once, since its caller can retry.

        :returns: whether the budget allows a send now
        """
        state = self._state
        if not exchange.runs:
            return False
        expires = self._finder.choose_queue_wait(exchange).expires
        budget = state.get_retry_budget(exchange.service)
        while state.now < expires:
            if budget.can_spend(state.now):
                return True
            await asyncio.sleep(BUDGET_POLL_SECONDS)
        return False

    def _log_end(
        self,
        stream: exchange_module.Stream,
        hops: Hops,
        ended: runends.RunEnded,
    ) -> None:
        self._state.log.write(
            'run ended early',
            request=stream.exchange.caller_request.name,
            reason=ended.reason,
            may_have_run=ended.ran,
            sends=stream.exchange.sends,
            last_event=stream.sequence.last_id,
            chain=chainfinder.format_chain(hops),
        )

    def _give_up(
        self,
        exchange: exchange_module.Exchange,
        ran: bool,
        failure: _Failure,
    ) -> Outcome:
        """End a stream that gets no further run."""
        state = self._state
        reply = exchange.reply
        if reply.started or ran:
            state.log.write(
                'stream given up',
                request=exchange.caller_request.name,
                reason=failure.reason,
                scarce=failure.shortage,
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
        if failure.is_suspected:
            pause = suspicions.RETRY_SECONDS
        elif failure.is_stopping:
            pause = shutdowns.choose_retry_after(state, exchange, state.now)
        else:
            state.refusal_history.record_refusal(exchange.digest, state.now)
            pause = self._choose_retry_after(exchange, failure.returns_in)
        state.log.write(
            'request refused',
            request=exchange.caller_request.name,
            reason=failure.reason,
            scarce=failure.shortage,
            returned=exchange.was_refused,
            waiting=len(state.get_backlog(exchange.service)),
            returns_in=round(failure.returns_in, 3),
            retry_after=round(pause, 3),
            version=exchange.version,
            **admission.describe_refusal(state, exchange),
        )
        admission.record_refusal(state, exchange)
        exchange_module.refuse(reply, 503, pause)
        return Outcome.NOT_RUN

    def _choose_retry_after(
        self, exchange: exchange_module.Exchange, returns_in: float
    ) -> float:
        """Choose a Retry-After in seconds, with jitter.

        :param returns_in: seconds until engines that asked for a pause may be
            used, 0 if that is not why
        """
        if returns_in:
            return returns.choose_retry_delay(returns_in, self._state.random)
        by_queue = admission.choose_retry_after(self._state, exchange)
        if by_queue is not None:
            return by_queue
        now = self._state.now
        pause = self._state.refusal_history.choose_retry_delay(now)
        pause *= self._state.random.uniform(*JITTER)
        left = max(0.1, exchange.deadline - now)
        return min(pause, left * refusalhistory.MAX_DELAY_FRACTION)
