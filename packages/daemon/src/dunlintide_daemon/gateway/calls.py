"""Plain calls of services, answered whole."""

import asyncio
from typing import Container

import attrs

from dunlintide_adapters import callermessages
from dunlintide_adapters import endpointhttp
from dunlintide_core.pipeline import backlog
from dunlintide_core.pipeline import balance
from dunlintide_core.pipeline import endpoints as endpoints_module
from dunlintide_core.pipeline import mechanisms
from dunlintide_daemon.gateway import exchange as exchange_module
from dunlintide_daemon.gateway import state as state_module
from dunlintide_platform import requests

__all__ = ['CallServer']

Outcome = exchange_module.Outcome

# Time to connect to a service, in seconds.
CONNECT_SECONDS = 0.25
# A call that may not run twice uses a kept connection only this shortly
# after its last use, in seconds: on a stale one it may be lost.
YOUNG_SECONDS = 0.3
# Part of the target after which a repeatable call is also sent to another
# endpoint: calls take a third of it, so it catches the slow and the lost.
HEDGE_PART = 0.5
# Longest wait for a place at an endpoint, as a part of the target.
WAIT_PART = 1.0
# Target where the rule has none, in seconds.
USUAL_TARGET = 0.5
RETRY_SECONDS = 0.3
# Spread of the times at which refused callers return, as parts of the pause.
JITTER = (0.7, 1.5)
# Connection failures after which a call stops to look further.
MAX_DIALS = 4


@attrs.frozen
class _Answer:
    """What one send gave.

    :ivar head: None when nothing whole came
    :ivar ran: whether the call may have run there
    """

    endpoint: endpoints_module.Endpoint
    ran: bool
    reason: str = ''
    head: endpointhttp.AnswerHead | None = None
    body: bytes = b''

    @property
    def is_good(self) -> bool:
        """Whether it is an answer that the caller wants."""
        return self.head is not None and self.head.status < 500


class CallServer:
    """Serves calls with the beliefs of one entry."""

    def __init__(self, state: state_module.State) -> None:
        self._state = state

    async def serve(self, exchange: exchange_module.Exchange) -> Outcome:
        """Answer a request whose rule names a plain service."""
        answers: list[_Answer] = []
        pending: set[asyncio.Task] = set()
        try:
            return await self._serve(exchange, answers, pending)
        finally:
            for task in pending:
                task.cancel()

    async def _serve(
        self,
        exchange: exchange_module.Exchange,
        answers: list[_Answer],
        pending: set[asyncio.Task],
    ) -> Outcome:
        state = self._state
        target = exchange.terms.target_seconds or USUAL_TARGET
        hedge = target * HEDGE_PART
        dials = 0
        while True:
            if not pending:
                if dials >= MAX_DIALS or not self._may_start(
                    exchange, answers
                ):
                    return self._conclude(exchange, answers)
                endpoint = await self._find_endpoint(exchange, target)
                if endpoint is None:
                    return self._conclude(exchange, answers, 'no room')
                pending.add(self._start(exchange, endpoint))
                dials += 1
            left = exchange.deadline - state.now
            done, rest = await asyncio.wait(
                pending,
                timeout=max(0.0, min(left, hedge)),
                return_when=asyncio.FIRST_COMPLETED,
            )
            pending.clear()
            pending.update(rest)
            for task in done:
                answer = task.result()
                if answer.is_good:
                    return self._pass(exchange, answer)
                answers.append(answer)
            if state.now >= exchange.deadline:
                return self._conclude(exchange, answers, 'deadline', pending)
            if not done:
                hedge = float('inf')
                started = self._start_hedge(exchange, answers)
                if started is not None:
                    pending.add(started)

    def _may_start(
        self, exchange: exchange_module.Exchange, answers: list[_Answer]
    ) -> bool:
        """Tell whether another send is allowed, and pay for it."""
        if not exchange.sends:
            return True
        ran = any(answer.ran for answer in answers)
        if ran and not exchange.may_repeat:
            return False
        if not exchange.may_run_again:
            return False
        return self._state.pay_resend(exchange.service, 'call')

    def _start_hedge(
        self, exchange: exchange_module.Exchange, answers: list[_Answer]
    ) -> asyncio.Task | None:
        if not self._state.has(mechanisms.Mechanism.HEDGES):
            return None
        if not exchange.may_repeat:
            return None
        if not exchange.may_run_again:
            return None
        # An endpoint that names a rate limit is spared what may be in vain.
        endpoint = self._choose(
            exchange, self._state.rate_limits.list_limited()
        )
        if endpoint is None:
            return None
        if not self._state.pay_resend(exchange.service, 'hedge'):
            return None
        return self._start(exchange, endpoint)

    def _start(
        self,
        exchange: exchange_module.Exchange,
        endpoint: endpoints_module.Endpoint,
    ) -> asyncio.Task:
        exchange.tried.append(endpoint.name)
        hop = endpoints_module.Hop(endpoint, 0, 0)
        reservation = self._state.occupancy.reserve((hop,), 0)
        self._state.soundness.begin((endpoint.name,))
        work = self._send(exchange, endpoint)
        task = asyncio.get_running_loop().create_task(work)

        def end(_: asyncio.Task) -> None:
            self._state.soundness.end((endpoint.name,), False)
            self._state.release(exchange.service, reservation)

        task.add_done_callback(end)
        return task

    def _choose(
        self, exchange: exchange_module.Exchange, spared: Container[str]
    ) -> endpoints_module.Endpoint | None:
        """Find an endpoint with a place.

        :param spared: names of endpoints that are to get nothing
        """
        state = self._state
        listed = state.list_endpoints(exchange.service)
        fresh = [
            each
            for each in listed
            if each.name not in exchange.tried and each.name not in spared
        ]
        return balance.choose(
            fresh,
            lambda name: state.occupancy.get(name).sequences,
            state.settings.failure_domain,
            state.random,
        )

    async def _choose_admitted(
        self, exchange: exchange_module.Exchange, expires: float
    ) -> endpoints_module.Endpoint | None:
        """Find an endpoint with a place that may get a request.

        :param expires: monotonic time until which to look, in seconds
        """
        state = self._state
        while True:
            paused = state.permits.list_paused(state.now)
            endpoint = self._choose(exchange, paused)
            if endpoint is None:
                return None
            if await state.admit(endpoint.name, exchange.ask.name):
                state.get_backlog(exchange.service).note_served(state.now)
                return endpoint
            if state.now >= expires:
                return None

    async def _find_endpoint(
        self, exchange: exchange_module.Exchange, target: float
    ) -> endpoints_module.Endpoint | None:
        """Find an endpoint with a place, waiting for a while."""
        queue = self._state.get_backlog(exchange.service)
        standing = backlog.Standing.ON_TIME
        wait = target * WAIT_PART
        expires = min(self._state.now + wait, exchange.deadline)
        if not queue.count_ahead(exchange.priority, standing):
            endpoint = await self._choose_admitted(exchange, expires)
            if endpoint is not None:
                return endpoint
        hopeless = queue.is_hopeless(
            exchange.priority, standing, self._state.now, expires
        )
        if hopeless and self._state.has(mechanisms.Mechanism.HOPELESS):
            return None
        awake = asyncio.Event()
        waiter = queue.add(exchange.priority, standing, expires, awake.set)
        timer = asyncio.get_running_loop().call_at(expires, awake.set)
        try:
            while True:
                await awake.wait()
                awake.clear()
                endpoint = await self._choose_admitted(exchange, expires)
                if endpoint is not None or self._state.now >= expires:
                    return endpoint
        finally:
            timer.cancel()
            queue.remove(waiter)

    async def _send(
        self,
        exchange: exchange_module.Exchange,
        endpoint: endpoints_module.Endpoint,
    ) -> _Answer:
        state = self._state
        newest = None if exchange.may_repeat else YOUNG_SECONDS
        try:
            connection = await state.pool.acquire(
                endpoint.address, CONNECT_SECONDS, newest
            )
        except endpointhttp.Broken as broken:
            state.accuse([endpoint.name], str(broken), exchange.ask.name)
            return _Answer(endpoint, False, f'no connection: {broken}')
        exchange.sends += 1
        exchange.runs += 1
        try:
            return await self._exchange(exchange, endpoint, connection)
        except endpointhttp.Broken as broken:
            if broken.fault is not endpointhttp.Fault.TIMEOUT:
                state.crashers.report(
                    exchange.fingerprint, endpoint.name, state.now
                )
            return _Answer(endpoint, True, str(broken))
        finally:
            state.pool.release(endpoint.address, connection)

    async def _exchange(
        self,
        exchange: exchange_module.Exchange,
        endpoint: endpoints_module.Endpoint,
        connection: endpointhttp.Connection,
    ) -> _Answer:
        state = self._state
        relayed = requests.RelayOptions(
            endpoint=endpoint,
            remaining=exchange.deadline - state.now,
            team=exchange.team,
            last_event_id=exchange.ask.after,
        )
        data = requests.encode(exchange.request, relayed)
        sent_at = state.now
        connection.send(data, exchange.request.method == 'HEAD')
        state.log.write(
            'call sent',
            request=exchange.ask.name,
            endpoint=endpoint.name,
            send=exchange.sends,
            rule=exchange.rule.name,
            version=exchange.version,
            listing_age=round(state.now - state.listed_at, 3),
        )
        head = await connection.read_head(exchange.deadline)
        verdict = requests.read_answer_headers(head)
        state.record_rate_limit(endpoint.name, verdict.rate_limit, sent_at)
        body = await connection.read_all(exchange.deadline)
        if verdict.name not in (None, exchange.ask.name):
            return _Answer(endpoint, True, 'answer to another request')
        if verdict.not_run:
            exchange.runs -= 1
            if verdict.misdirected:
                state.accuse([endpoint.name], 'misdirected', exchange.ask.name)
            return _Answer(endpoint, False, f'refused with {head.status}')
        if not verdict.signed and head.status < 300:
            return _Answer(endpoint, True, 'answer without a signature')
        state.soundness.report_progress((endpoint.name,), state.now)
        self._clear_crashes(exchange, endpoint, sent_at)
        return _Answer(endpoint, True, '', head, body)

    def _clear_crashes(
        self,
        exchange: exchange_module.Exchange,
        endpoint: endpoints_module.Endpoint,
        sent_at: float,
    ) -> None:
        """Take back what broke at an endpoint that goes on answering.

        An answer that is lost looks like a crash, and three of them refused
        a caller for a minute.
        """
        cleared = self._state.crashers.clear_endpoint(endpoint.name, sent_at)
        if cleared:
            self._state.log.write(
                'broken runs cleared',
                request=exchange.ask.name,
                endpoint=endpoint.name,
                broken_runs=cleared,
            )

    def _pass(
        self, exchange: exchange_module.Exchange, answer: _Answer
    ) -> Outcome:
        head = answer.head
        passed = callermessages.Head(
            head.status, requests.list_reply_headers(head), reason=head.reason
        )
        exchange.reply.send(passed, answer.body)
        if head.status < 300:
            self._state.crashers.clear(exchange.fingerprint)
            return Outcome.COMPLETE
        return Outcome.FAILED

    def _choose_pause(
        self, exchange: exchange_module.Exchange, ran: bool
    ) -> float:
        """Tell when to return; later the more are refused under a limit.

        :param ran: whether the call may have run, so that it is not refused
        """
        state = self._state
        limited = state.rate_limits.list_limited()
        if ran or not any(
            each.name in limited
            for each in state.list_endpoints(exchange.service)
        ):
            return RETRY_SECONDS * state.random.uniform(*JITTER)
        state.returns.refuse(exchange.digest, state.now)
        pause = state.returns.choose_pause(state.now)
        return pause * state.random.uniform(*JITTER)

    def _conclude(
        self,
        exchange: exchange_module.Exchange,
        answers: list[_Answer],
        reason: str = '',
        pending: set[asyncio.Task] | None = None,
    ) -> Outcome:
        """End a call that got no good answer."""
        failures = [answer for answer in answers if answer.head is not None]
        if failures:
            return self._pass(exchange, failures[-1])
        reasons = [answer.reason for answer in answers]
        ran = bool(pending) or any(answer.ran for answer in answers)
        late = self._state.now >= exchange.deadline
        pause = self._choose_pause(exchange, ran)
        self._state.log.write(
            'call not answered',
            request=exchange.ask.name,
            reason=reason or '; '.join(reasons),
            may_have_run=ran,
            sends=exchange.sends,
            retry_after=None if ran else round(pause, 3),
            version=exchange.version,
        )
        if ran:
            exchange_module.refuse(exchange.reply, 504 if late else 502)
            return Outcome.UNKNOWN
        left = max(0.1, exchange.deadline - self._state.now)
        exchange_module.refuse(exchange.reply, 503, min(pause, left / 3.0))
        return Outcome.NOT_RUN
