"""Calls of plain services, whose answers are relayed in one piece."""

import asyncio
import contextlib
from typing import Container

import attrs

from dunlintide_adapters import callermessages
from dunlintide_adapters import endpointhttp
from dunlintide_core.pipeline import balance
from dunlintide_core.pipeline import bytebudget
from dunlintide_core.pipeline import endpoints as endpoints_module
from dunlintide_core.pipeline import mechanisms
from dunlintide_core.pipeline import returns
from dunlintide_daemon.gateway import admission
from dunlintide_daemon.gateway import endpointgate
from dunlintide_daemon.gateway import exchange as exchange_module
from dunlintide_daemon.gateway import reservations
from dunlintide_daemon.gateway import shutdowns
from dunlintide_daemon.gateway import state as state_module
from dunlintide_daemon.gateway import suspicions
from dunlintide_platform import requests

__all__ = ['CallServer']

Outcome = exchange_module.Outcome

# Timeout for a connection to a service, in seconds.
CONNECT_SECONDS = 0.25
# A call that must not run twice reuses a connection only if it was idle for
# at most this long, in seconds: on a stale connection the call may be lost.
MAX_IDLE_SECONDS = 0.3
# Fraction of the target latency after which a repeatable call is hedged.
# Calls usually take a third of the target, so only slow or lost ones are.
HEDGE_FRACTION = 0.5
# Longest wait for capacity at an endpoint, as a fraction of the target.
WAIT_FRACTION = 1.0
# Target latency if the rule has none, in seconds.
DEFAULT_TARGET_SECONDS = 0.5
# Retry-After where no rate limit is in force, in seconds.
RETRY_AFTER_SECONDS = 0.3
# Range of the random factor on the Retry-After of refused callers.
JITTER = (0.7, 1.5)
# Most endpoints that a call tries, hedges aside. Failed connections do not
# count as sends, so nothing else limits them.
MAX_CONNECTS = 4
# Largest answer that is read whole before it is forwarded, in bytes. While it
# is, a repeatable call can still be sent elsewhere.
MAX_HELD_BYTES = 1 << 20
# Largest answer that needs no reservation, and the part of a large one that is
# read before it is forwarded where there is no room for it, in bytes.
MIN_HELD_BYTES = 64 << 10
# Largest answer that is not counted, in bytes; most are far smaller.
UNCOUNTED_BYTES = 8 << 10
# Bytes that one up to MIN_HELD_BYTES occupies, with what its connection has
# read.
COUNTED_BYTES = 2 * MIN_HELD_BYTES
# Bytes of a large answer that are written at a time, as its caller reads them.
FORWARDED_BYTES = 64 << 10
# Largest answer whose length its endpoint does not state, in bytes: it may
# have no end.
MAX_UNSTATED_BYTES = 16 << 20


@attrs.frozen
class _SendResult:
    """Result of one send.

    :ivar head: head of a valid answer, None without one
    :ivar ran: whether the call may have run at the endpoint
    :ivar reason: why there is no valid answer, for the log
    :ivar withheld: whether it was not sent, so that its retry is still paid
    :ivar body: body of the answer, or its start, which is taken from it as it
        is forwarded
    :ivar rest: connection that holds the rest of the body, None if it is whole
    """

    endpoint: endpoints_module.Endpoint
    ran: bool
    reason: str = ''
    head: endpointhttp.AnswerHead | None = None
    body: bytearray = attrs.field(factory=bytearray)
    withheld: bool = False
    rest: endpointhttp.Connection | None = None

    @property
    def is_good(self) -> bool:
        """Whether there is an answer other than a server error."""
        return self.head is not None and self.head.status < 500


async def _write(reply: callermessages.Reply, data: bytearray) -> None:
    """Write bytes as a caller reads them, and take them from those held."""
    while data:
        reply.write(bytes(data[:FORWARDED_BYTES]))
        del data[:FORWARDED_BYTES]
        await reply.drain()


class CallServer:
    """Relays calls to plain services, with retries and hedges."""

    def __init__(self, state: state_module.State) -> None:
        self._state = state
        # Monotonic time until which an endpoint that has turned a call away
        # gets others only if no better one is free, by name, in seconds.
        self._refused_until: dict[str, float] = {}

    async def serve(self, exchange: exchange_module.Exchange) -> Outcome:
        """Answer a request that is routed to a plain service."""
        results: list[_SendResult] = []
        pending: set[asyncio.Task] = set()
        with contextlib.ExitStack() as stack:
            stack.callback(admission.leave, self._state, exchange)
            try:
                return await self._serve(exchange, results, pending, stack)
            finally:
                for task in pending:
                    task.cancel()

    async def _serve(
        self,
        exchange: exchange_module.Exchange,
        results: list[_SendResult],
        pending: set[asyncio.Task],
        stack: contextlib.ExitStack,
    ) -> Outcome:
        """Send a call until it has an answer.

        :param stack: gets what its answers hold open
        """
        state = self._state
        target = exchange.terms.target_seconds or DEFAULT_TARGET_SECONDS
        hedge = target * HEDGE_FRACTION
        connects = 0
        is_paid = False
        while True:
            if not pending:
                suspicion = suspicions.find_refusal(state, exchange)
                if suspicion:
                    return await self._end_unanswered(
                        exchange, results, suspicion
                    )
                if not shutdowns.can_send(state, exchange):
                    return await self._end_unanswered(
                        exchange, results, shutdowns.REASON
                    )
                if not is_paid and (
                    connects >= MAX_CONNECTS
                    or not self._charge_send(exchange, results)
                ):
                    return await self._end_unanswered(exchange, results)
                endpoint = await self._find_endpoint(exchange, target)
                if endpoint is None:
                    return await self._end_unanswered(
                        exchange, results, 'no room'
                    )
                if not shutdowns.can_send(state, exchange):
                    # It had to wait for too long.
                    return await self._end_unanswered(
                        exchange, results, shutdowns.REASON
                    )
                pending.add(self._start(exchange, endpoint, stack))
                connects += 1
                is_paid = False
            left = exchange.deadline - state.now
            done, rest = await asyncio.wait(
                pending,
                timeout=max(0.0, min(left, hedge)),
                return_when=asyncio.FIRST_COMPLETED,
            )
            pending.clear()
            pending.update(rest)
            for task in done:
                result = task.result()
                if result.is_good:
                    return await self._forward(exchange, result)
                if result.withheld:
                    is_paid = True
                    continue
                results.append(result)
            if state.now >= exchange.deadline:
                return await self._end_unanswered(
                    exchange, results, 'deadline', pending
                )
            if not done:
                hedge = float('inf')
                started = self._start_hedge(exchange, results, stack)
                if started is not None:
                    pending.add(started)

    def _charge_send(
        self, exchange: exchange_module.Exchange, results: list[_SendResult]
    ) -> bool:
        """Charge another send to the retry budget; the first one is free.

        :returns: whether the call may be sent
        """
        if not exchange.sends:
            return True
        ran = any(result.ran for result in results)
        if ran and not exchange.is_repeatable:
            return False
        if not exchange.has_attempts_left:
            return False
        return self._state.spend_retry_budget(exchange.service, 'call')

    def _start_hedge(
        self,
        exchange: exchange_module.Exchange,
        results: list[_SendResult],
        stack: contextlib.ExitStack,
    ) -> asyncio.Task | None:
        if not self._state.has(mechanisms.Mechanism.HEDGES):
            return None
        if not exchange.is_repeatable:
            return None
        if not exchange.has_attempts_left:
            return None
        if not shutdowns.can_send(self._state, exchange):
            return None
        if not admission.may_hedge(self._state, exchange):
            return None
        # Endpoints with a rate limit get no hedges, which may be wasted.
        endpoint = self._choose(
            exchange, self._state.rate_limits.list_limited()
        )
        if endpoint is None:
            return None
        if not self._state.spend_retry_budget(exchange.service, 'hedge'):
            return None
        return self._start(exchange, endpoint, stack)

    def _start(
        self,
        exchange: exchange_module.Exchange,
        endpoint: endpoints_module.Endpoint,
        stack: contextlib.ExitStack,
    ) -> asyncio.Task:
        exchange.excluded_endpoints.append(endpoint.name)
        hop = endpoints_module.Hop(endpoint, 0, 0)
        release = admission.reserve(self._state, exchange, (hop,))
        self._state.health.record_sent((endpoint.name,))
        work = self._send(exchange, endpoint, stack)
        task = asyncio.get_running_loop().create_task(work)

        def end(_: asyncio.Task) -> None:
            self._state.health.record_finished((endpoint.name,), False)
            release()

        task.add_done_callback(end)
        return task

    def _choose(
        self, exchange: exchange_module.Exchange, excluded: Container[str]
    ) -> endpoints_module.Endpoint | None:
        """Choose an endpoint with free capacity.

        :param excluded: names of endpoints that must not get the call
        """
        state = self._state
        listed = state.list_endpoints(exchange.service)
        fresh = [
            each
            for each in listed
            if each.name not in exchange.excluded_endpoints
            and each.name not in excluded
        ]
        return balance.choose(
            fresh,
            lambda name: state.occupancy.get(name).sequences,
            state.settings.failure_domain,
            state.random,
            self._list_refused(),
            reservations.choose_fraction(state, exchange),
        )

    def _list_refused(self) -> set[str]:
        """Return the names of endpoints that have just turned a call away."""
        now = self._state.now
        for name, until in list(self._refused_until.items()):
            if until <= now:
                del self._refused_until[name]
        return set(self._refused_until)

    async def _choose_admitted(
        self, ticket: admission.Ticket
    ) -> endpoints_module.Endpoint | None:
        """Choose an endpoint with free capacity whose rate limit permits it.

        :returns: None if there is none or it is left to another entry
        """
        state = self._state
        exchange = ticket.exchange
        while True:
            paused = state.permits.list_paused(state.now)
            endpoint = self._choose(exchange, paused)
            if endpoint is None:
                admission.record_full(state, ticket)
                return None
            if not admission.may_start(state, ticket):
                return None
            if await state.admit(endpoint.name, exchange.caller_request.name):
                state.get_backlog(exchange.service).record_served(state.now)
                return endpoint
            if state.now >= ticket.waiter.expires:
                return None

    async def _find_endpoint(
        self, exchange: exchange_module.Exchange, target: float
    ) -> endpoints_module.Endpoint | None:
        """Choose an endpoint with free capacity, queueing for it if needed.

        :param target: target latency in seconds
        """
        state = self._state
        wait = target * WAIT_FRACTION
        expires = min(state.now + wait, exchange.deadline)
        if self._is_unservable(exchange, expires):
            return None
        queue_class = admission.choose_queue_class(state, exchange)
        ticket = admission.make_ticket(exchange, queue_class, expires)
        if admission.has_turn(state, ticket):
            endpoint = await self._choose_admitted(ticket)
            if endpoint is not None:
                return endpoint
        if admission.is_too_long(state, ticket):
            return None
        return await admission.wait(
            state,
            ticket,
            lambda: self._choose_admitted(ticket),
            lambda: self._is_unservable(exchange, expires),
        )

    def _is_unservable(
        self, exchange: exchange_module.Exchange, expires: float
    ) -> bool:
        """Return whether no endpoint may get the call in time.

        :param expires: monotonic time at which its wait ends, in seconds
        """
        state = self._state
        now = state.now

        def get_left(name: str) -> float:
            if name in exchange.excluded_endpoints:
                return float('inf')
            return state.backoffs.get_left(name, now)

        listed = state.list_all_endpoints(exchange.service)
        return now + returns.find_service_return(listed, get_left) > expires

    def _find_return(self, service: str) -> float:
        """Return the time until a service may be used, in seconds.

        :returns: 0 if it may be used now, or if it is not known when
        """
        state = self._state
        now = state.now
        seconds = returns.find_service_return(
            state.list_all_endpoints(service),
            lambda name: state.backoffs.get_left(name, now),
        )
        return seconds if seconds < float('inf') else 0.0

    async def _send(
        self,
        exchange: exchange_module.Exchange,
        endpoint: endpoints_module.Endpoint,
        stack: contextlib.ExitStack,
    ) -> _SendResult:
        state = self._state
        max_idle = None if exchange.is_repeatable else MAX_IDLE_SECONDS
        try:
            connection = await endpointgate.connect(
                state,
                endpoint,
                exchange.caller_request.name,
                CONNECT_SECONDS,
                max_idle,
            )
        except endpointhttp.CallError as broken:
            state.eject(
                [endpoint.name],
                str(broken),
                exchange.caller_request.name,
                is_certain=broken.kind is not endpointhttp.FailureKind.TIMEOUT,
            )
            return _SendResult(endpoint, False, f'no connection: {broken}')
        with contextlib.ExitStack() as sent:
            sent.callback(state.pool.release, endpoint.address, connection)
            account = bytebudget.Account(exchange.request.account.owner)
            stack.callback(state.budget.release, account)
            result = await self._try_exchange(
                exchange, endpoint, connection, account
            )
            if result.rest is not None:
                stack.enter_context(sent.pop_all())
            return result

    async def _try_exchange(
        self,
        exchange: exchange_module.Exchange,
        endpoint: endpoints_module.Endpoint,
        connection: endpointhttp.Connection,
        account: bytebudget.Account,
    ) -> _SendResult:
        """Exchange a call; a failure is a result too.

        :param account: gets what its answer occupies
        """
        try:
            return await self._exchange(
                exchange, endpoint, connection, account
            )
        except endpointhttp.CallError as broken:
            if broken.kind is endpointhttp.FailureKind.WITHHELD:
                exchange.excluded_endpoints.remove(endpoint.name)
                return _SendResult(endpoint, False, str(broken), withheld=True)
            self._record_break(exchange, endpoint, broken)
            return _SendResult(endpoint, True, str(broken))

    def _record_break(
        self,
        exchange: exchange_module.Exchange,
        endpoint: endpoints_module.Endpoint,
        broken: endpointhttp.CallError,
    ) -> None:
        """Record a call without a complete answer."""
        state, kind = self._state, broken.kind
        request = exchange.caller_request.name
        if kind is endpointhttp.FailureKind.OVERSIZED:
            # The endpoint is alive, so that the request is no suspect.
            state.eject([endpoint.name], str(broken), request)
        elif kind is endpointhttp.FailureKind.GARBLED:
            state.record_garbled(endpoint.name, str(broken), request)
        elif kind is not endpointhttp.FailureKind.TIMEOUT:
            state.poison_requests.record_broken_run(
                exchange.fingerprint, endpoint.name, state.now
            )

    async def _exchange(
        self,
        exchange: exchange_module.Exchange,
        endpoint: endpoints_module.Endpoint,
        connection: endpointhttp.Connection,
        account: bytebudget.Account,
    ) -> _SendResult:
        state = self._state
        relayed = requests.RelayOptions(
            endpoint=endpoint,
            remaining=exchange.deadline - state.now,
            team=exchange.team,
            last_event_id=exchange.caller_request.after,
        )
        sent_at = state.now
        endpointgate.send(
            state,
            connection,
            (endpoint,),
            requests.encode(exchange.request, relayed),
            exchange.caller_request.name,
            exchange.request.method == 'HEAD',
            exchange,
            exchange.request.rest,
        )
        exchange.sends += 1
        exchange.runs += 1
        exchange.running += 1
        state.log.write(
            'call sent',
            request=exchange.caller_request.name,
            endpoint=endpoint.name,
            send=exchange.sends,
            rule=exchange.rule.name,
            version=exchange.version,
            listing_age=state.listing_age,
        )
        try:
            head = await connection.read_head(exchange.deadline)
            verdict = requests.read_answer_headers(head)
            body, is_whole = await self._read_body(
                exchange, connection, account
            )
        except endpointhttp.CallError as broken:
            if broken.kind is endpointhttp.FailureKind.TIMEOUT:
                shutdowns.record_duration(state, exchange, state.now - sent_at)
            raise
        finally:
            exchange.running -= 1
        if verdict.not_run:
            exchange.runs -= 1
            self._refused_until[endpoint.name] = (
                state.now + balance.REFUSED_SECONDS
            )
            if verdict.misdirected:
                state.eject(
                    [endpoint.name],
                    'misdirected',
                    exchange.caller_request.name,
                )
            return _SendResult(endpoint, False, f'refused with {head.status}')
        if not verdict.signed and head.status < 300:
            return _SendResult(endpoint, True, 'answer without a signature')
        state.health.report_progress((endpoint.name,), state.now)
        state.garbled_answers.clear(endpoint.name)
        self._clear_crashes(exchange, endpoint, sent_at)
        shutdowns.record_duration(state, exchange, state.now - sent_at)
        rest = None if is_whole else connection
        return _SendResult(endpoint, True, '', head, body, rest=rest)

    async def _read_body(
        self,
        exchange: exchange_module.Exchange,
        connection: endpointhttp.Connection,
        account: bytebudget.Account,
    ) -> tuple[bytearray, bool]:
        """Read the body of an answer, or the start of a large one.

        :param account: gets what a large answer occupies
        :returns: what was read, and whether it is whole
        """
        budget = self._state.budget
        body = bytearray()
        for limit in (UNCOUNTED_BYTES, MIN_HELD_BYTES, MAX_HELD_BYTES):
            if limit == MIN_HELD_BYTES:
                budget.force(account, COUNTED_BYTES)
            elif limit == MAX_HELD_BYTES:
                if not budget.reserve(account, 2 * MAX_HELD_BYTES):
                    # It is forwarded as its caller reads it, and counts
                    # there while it is not read.
                    budget.release(account)
                    break
            more, is_whole = await connection.read_until(
                exchange.deadline, limit - len(body)
            )
            body += more
            if is_whole:
                return body, True
        return body, False

    def _clear_crashes(
        self,
        exchange: exchange_module.Exchange,
        endpoint: endpoints_module.Endpoint,
        sent_at: float,
    ) -> None:
        """Discard crash reports about an endpoint that answers again.

        A lost answer looks like a crash, and three reports would have the
        request refused for a minute.
        """
        cleared = self._state.poison_requests.clear_endpoint_runs(
            endpoint.name, sent_at
        )
        if cleared:
            self._state.log.write(
                'broken runs cleared',
                request=exchange.caller_request.name,
                endpoint=endpoint.name,
                broken_runs=cleared,
            )

    async def _forward(
        self, exchange: exchange_module.Exchange, result: _SendResult
    ) -> Outcome:
        head = result.head
        forwarded = callermessages.Head(
            head.status, requests.list_reply_headers(head), reason=head.reason
        )
        if len(result.body) <= MIN_HELD_BYTES and result.rest is None:
            exchange.reply.send(forwarded, bytes(result.body))
        elif not await self._forward_large(exchange, result, forwarded):
            return Outcome.CUT
        if head.status < 300:
            self._state.poison_requests.clear(exchange.fingerprint)
            return Outcome.COMPLETE
        return Outcome.FAILED

    async def _forward_large(
        self,
        exchange: exchange_module.Exchange,
        result: _SendResult,
        head: callermessages.Head,
    ) -> bool:
        """Forward a large answer as its caller reads it.

        :returns: whether it is whole
        """
        reply, connection = exchange.reply, result.rest
        size = len(result.body)
        stated = result.head.get('content-length')
        length = int(stated) if stated and stated.isdecimal() else None
        if connection is None:
            length = size
        reply.start(attrs.evolve(head, length=length))
        if length is None:
            # It may have no end, as the endpoint's next answer.
            self._refused_until[result.endpoint.name] = exchange.deadline
        reason = ''
        exchange.running += 1
        try:
            async with asyncio.timeout_at(exchange.deadline):
                data = result.body
                while data:
                    await _write(reply, data)
                    if connection is None:
                        break
                    if length is None and (
                        connection.received > MAX_UNSTATED_BYTES
                    ):
                        raise endpointhttp.CallError(
                            endpointhttp.FailureKind.TOO_LARGE, True
                        )
                    data = bytearray(await connection.read(exchange.deadline))
            reply.finish()
            self._refused_until.pop(result.endpoint.name, None)
        except TimeoutError:
            reason = 'deadline'
        except endpointhttp.CallError as broken:
            reason = str(broken)
            self._state.eject(
                [result.endpoint.name], reason, exchange.caller_request.name
            )
        finally:
            exchange.running -= 1
        self._state.log.write(
            'large answer forwarded',
            request=exchange.caller_request.name,
            endpoint=result.endpoint.name,
            size=size if connection is None else connection.received,
            stated=length,
            reason=reason,
        )
        if reason:
            reply.abort()
        return not reason

    def _choose_retry_after(
        self, exchange: exchange_module.Exchange, ran: bool
    ) -> float:
        """Choose the Retry-After of a call, in seconds.

        Under a rate limit it grows with the number of refused callers.

        :param ran: whether the call may have run, so that it is not refused
        """
        state = self._state
        limited = state.rate_limits.list_limited()
        if ran or not any(
            each.name in limited
            for each in state.list_endpoints(exchange.service)
        ):
            if not ran and state.is_shared(exchange.service):
                state.refusal_history.record_uncounted(
                    exchange.digest, state.now
                )
                by_queue = admission.choose_retry_after(state, exchange)
                if by_queue is not None:
                    return by_queue
            return RETRY_AFTER_SECONDS * state.random.uniform(*JITTER)
        state.refusal_history.record_refusal(exchange.digest, state.now)
        pause = state.refusal_history.choose_retry_delay(state.now)
        return pause * state.random.uniform(*JITTER)

    async def _end_unanswered(
        self,
        exchange: exchange_module.Exchange,
        results: list[_SendResult],
        reason: str = '',
        pending: set[asyncio.Task] | None = None,
    ) -> Outcome:
        """Answer the caller of a call that got no good answer.

        :param reason: why it ended, by default the reasons of its sends
        :param pending: sends that are still under way
        """
        failures = [result for result in results if result.head is not None]
        if failures:
            return await self._forward(exchange, failures[-1])
        state = self._state
        reasons = [result.reason for result in results]
        ran = bool(pending) or any(result.ran for result in results)
        late = self._state.now >= exchange.deadline
        left = max(0.1, exchange.deadline - self._state.now)
        returns_in = self._find_return(exchange.service)
        if reason == shutdowns.REASON:
            pause = shutdowns.choose_retry_after(state, exchange, state.now)
        elif returns_in:
            pause = returns.choose_retry_delay(returns_in, self._state.random)
        else:
            pause = min(self._choose_retry_after(exchange, ran), left / 3.0)
        self._state.log.write(
            'call not answered',
            request=exchange.caller_request.name,
            reason=reason or '; '.join(reasons),
            may_have_run=ran,
            sends=exchange.sends,
            returns_in=round(returns_in, 3),
            retry_after=None if ran else round(pause, 3),
            version=exchange.version,
            **({} if ran else admission.describe_refusal(state, exchange)),
        )
        if ran:
            exchange_module.refuse(exchange.reply, 504 if late else 502)
            return Outcome.UNKNOWN
        admission.record_refusal(state, exchange)
        exchange_module.refuse(exchange.reply, 503, pause)
        return Outcome.NOT_RUN
