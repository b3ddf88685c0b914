"""Streams of events through chains of engines."""

import asyncio

import attrs

from dunlintide_adapters import callerhttp
from dunlintide_adapters import endpointhttp
from dunlintide_core.pipeline import backlog
from dunlintide_core.pipeline import chains
from dunlintide_core.pipeline import endpoints as endpoints_module
from dunlintide_core.pipeline import occupancy
from dunlintide_core.pipeline import profiles
from dunlintide_daemon.gateway import events
from dunlintide_daemon.gateway import exchange as exchange_module
from dunlintide_daemon.gateway import state as state_module
from dunlintide_platform import requests

__all__ = ['StreamServer']

Outcome = exchange_module.Outcome

# Time to connect to an engine, in seconds: links take under a
# millisecond, and a lost packet is sent again only after a second.
CONNECT_SECONDS = 0.25
# Part of the target within which a stream must have found its chain to be
# on time: reading its prompt takes the rest.
ON_TIME_PART = 0.6
# How long a stream waits that was refused before, in seconds: it can't be
# on time any more, and its caller does not ask a third time. Callers leave
# after two seconds without an event, and the prompt is still to be read.
RETURNED_SECONDS = 1.2
# How long a stream waits that lost its chain midway, from its last event
# in seconds: callers leave after two.
UNDER_WAY_SECONDS = 1.5
# Target for the first event and pause where the rule has none, in seconds.
USUAL_TARGET = 0.5
# Part of the target for the first event after which a still run is moved.
FIRST_PART = 0.6
# Part of the longest allowed pause after which a still run is moved.
GAP_PART = 0.6
# A run that stays still for so much longer is moved though nothing else
# shows which of its endpoints is at fault.
PATIENCE_FACTOR = 2.0
# Part of an engine's memory that is given out: other entries' use is known
# a little late, and engines keep memory in blocks.
ROOM_PART = 0.9
# How long engines hold on to a run that was left because one of its parts
# stood still, in seconds: those before it wait for the dead one.
LINGER_SECONDS = 1.5
# Part of the expected answer for which memory is reserved: streams that
# share an engine are at all points of their answers, so they take little
# more than half of it on average.
ANSWER_PART = 0.7
# Answers at least this late after the send blame a dead endpoint, sooner
# ones a full or leaving one, in seconds.
DEAD_SECONDS = 0.5


@attrs.define(eq=False)
class _Run:
    """One run of a stream on a chain.

    :ivar began: monotonic time of its send, in seconds
    :ivar moved: when its last event came
    :ivar lingers: whether its endpoints hold it for a while after its end
    """

    hops: tuple[endpoints_module.Hop, ...]
    reservation: occupancy.Reservation
    began: float
    moved: float
    events: int = 0
    lingers: bool = False

    @property
    def first(self) -> endpoints_module.Endpoint:
        """The endpoint that receives the request."""
        return self.hops[0].endpoint

    @property
    def names(self) -> list[str]:
        """Names of its endpoints."""
        return [hop.endpoint.name for hop in self.hops]


class _End(Exception):
    """How a run ended without a whole answer.

    :ivar ran: whether it may have run
    :ivar reason: for the log
    :ivar retry: whether another chain may do better
    :ivar hops: the chain on which it goes on, paid for, None to find one
    """

    def __init__(
        self,
        ran: bool,
        reason: str,
        retry: bool = True,
        hops: tuple[endpoints_module.Hop, ...] | None = None,
    ) -> None:
        super().__init__(reason)
        self.ran = ran
        self.reason = reason
        self.retry = retry
        self.hops = hops


class StreamServer:
    """Serves streams with the beliefs of one entry."""

    def __init__(self, state: state_module.State) -> None:
        self._state = state

    async def serve(
        self,
        exchange: exchange_module.Exchange,
        profile: profiles.EngineProfile,
    ) -> Outcome:
        """Answer a request whose rule names engines."""
        sequence = events.Sequence(exchange.ask.after)
        ran = False
        hops = None
        while True:
            if hops is None:
                hops = await self._find_chain(exchange, profile, sequence)
                if hops is None:
                    return self._give_up(exchange, ran, 'no room')
                if exchange.sends and not self._may_send_again(exchange):
                    return self._give_up(exchange, ran, 'no budget')
            try:
                return await self._run(exchange, profile, hops, sequence)
            except _End as end:
                ran = ran or end.ran
                self._log_end(exchange, hops, sequence, end)
                if not end.retry or not self._can_go_on(exchange, ran):
                    return self._give_up(exchange, ran, end.reason)
                hops = end.hops

    def _log_end(
        self,
        exchange: exchange_module.Exchange,
        hops: tuple[endpoints_module.Hop, ...],
        sequence: events.Sequence,
        end: _End,
    ) -> None:
        self._state.log.write(
            'run ended early',
            request=exchange.ask.name,
            reason=end.reason,
            may_have_run=end.ran,
            sends=exchange.sends,
            last_event=sequence.last,
            chain=_describe(hops),
        )

    def _may_send_again(self, exchange: exchange_module.Exchange) -> bool:
        budget = self._state.get_budget(exchange.service)
        if not budget.spend(self._state.now):
            return False
        self._state.counters.resends.labels('stream').inc()
        return True

    def _can_go_on(
        self, exchange: exchange_module.Exchange, ran: bool
    ) -> bool:
        if ran and not exchange.may_repeat:
            return False
        if not exchange.may_run_again:
            return False
        return exchange.deadline > self._state.now

    def _give_up(
        self, exchange: exchange_module.Exchange, ran: bool, reason: str
    ) -> Outcome:
        reply = exchange.reply
        if reply.started:
            reply.cut()
            return Outcome.CUT
        if ran:
            late = self._state.now >= exchange.deadline
            exchange_module.refuse(reply, 504 if late else 502)
            return Outcome.UNKNOWN
        self._state.returns.refuse(exchange.digest, self._state.now)
        pause = self._estimate_return(exchange)
        self._state.log.write(
            'request refused',
            returned=exchange.returned,
            request=exchange.ask.name,
            reason=reason,
            waiting=len(self._state.get_backlog(exchange.service)),
            retry_after=round(pause, 3),
            version=exchange.version,
        )
        exchange_module.refuse(reply, 503, pause)
        return Outcome.NOT_RUN

    def _estimate_return(self, exchange: exchange_module.Exchange) -> float:
        """Tell when there may be room, with jitter to spread returns."""
        now = self._state.now
        pause = self._state.returns.choose_pause(now)
        pause *= self._state.random.uniform(0.6, 1.4)
        left = max(0.1, exchange.deadline - now)
        return min(pause, left / 3.0)

    # Finding a chain.

    def _choose(
        self,
        exchange: exchange_module.Exchange,
        profile: profiles.EngineProfile,
        sequence: events.Sequence,
    ) -> tuple[endpoints_module.Hop, ...] | None:
        state = self._state
        ask = exchange.ask
        demand = self._estimate(exchange, profile, sequence)

        def get_load(endpoint: endpoints_module.Endpoint) -> chains.Load:
            usage = state.occupancy.get(endpoint.name)
            held = endpoint.end - endpoint.start
            room = profile.count_cache(endpoint.kind, held) * ROOM_PART
            room -= usage.cache
            if state.soundness.is_full(endpoint.name, state.now):
                room = 0.0
            return chains.Load(usage.sequences, usage.started, room)

        candidates = [
            each
            for each in state.list_endpoints(exchange.service)
            if each.name not in exchange.tried
            and each.kind in profile.accelerators
        ]
        hops = chains.choose_chain(
            profile,
            candidates,
            get_load,
            demand,
            lambda pipe: state.occupancy.get(pipe).sequences,
        )
        if hops is None:
            return None
        if not endpoints_module.covers_exactly(hops, profile.layers):
            state.log.write_always(
                'chain is not exact',
                request=ask.name,
                chain=_describe(hops),
            )
            return None
        return hops

    def _estimate(
        self,
        exchange: exchange_module.Exchange,
        profile: profiles.EngineProfile,
        sequence: events.Sequence,
    ) -> chains.Demand:
        """Tell what a run from here on will take."""
        ask = exchange.ask
        written = sequence.count * profile.stride
        most = max(1, ask.answer - written)
        usual = ask.hint or profile.usual_answer or ask.answer
        expected = max(1, min(most, usual - written))
        prompt = ask.prompt + written
        return chains.Demand(
            prompt=prompt,
            answer=expected,
            tokens=prompt + int(expected * ANSWER_PART),
            domain=self._state.settings.failure_domain,
        )

    async def _find_chain(
        self,
        exchange: exchange_module.Exchange,
        profile: profiles.EngineProfile,
        sequence: events.Sequence,
    ) -> tuple[endpoints_module.Hop, ...] | None:
        """Find a chain with room, waiting for a while if there is none."""
        queue = self._state.get_backlog(exchange.service)
        standing, expires = self._rank(exchange, sequence)
        if not queue.count_ahead(exchange.priority, standing):
            hops = self._choose(exchange, profile, sequence)
            if hops is not None:
                queue.note_served(self._state.now)
                return hops
        if queue.is_hopeless(
            exchange.priority, standing, self._state.now, expires
        ):
            return None
        loop = asyncio.get_running_loop()
        awake = asyncio.Event()
        waiter = queue.add(exchange.priority, standing, expires, awake.set)
        timer = loop.call_at(expires, awake.set)
        self._state.counters.waiting.inc()
        try:
            while True:
                await awake.wait()
                awake.clear()
                hops = self._choose(exchange, profile, sequence)
                if hops is not None:
                    queue.note_served(self._state.now)
                if hops is not None or self._state.now >= expires:
                    return hops
        finally:
            self._state.counters.waiting.dec()
            timer.cancel()
            queue.remove(waiter)

    def _rank(
        self, exchange: exchange_module.Exchange, sequence: events.Sequence
    ) -> tuple[backlog.Standing, float]:
        """Tell what is at stake for a stream and how long it waits."""
        now = self._state.now
        arrived = exchange.request.arrived
        target = exchange.terms.target_seconds or USUAL_TARGET
        if exchange.runs:
            standing = backlog.Standing.UNDER_WAY
            expires = now + UNDER_WAY_SECONDS
        elif exchange.returned:
            standing = backlog.Standing.RETURNED
            expires = arrived + RETURNED_SECONDS
        else:
            standing = backlog.Standing.ON_TIME
            expires = arrived + target * ON_TIME_PART
        return standing, min(expires, exchange.deadline)

    # Running on a chain.

    async def _run(
        self,
        exchange: exchange_module.Exchange,
        profile: profiles.EngineProfile,
        hops: tuple[endpoints_module.Hop, ...],
        sequence: events.Sequence,
    ) -> Outcome:
        state = self._state
        now = state.now
        tokens = self._estimate(exchange, profile, sequence).tokens
        pipes = chains.list_pipes(hops)
        reservation = state.occupancy.reserve(hops, tokens, pipes)
        run = _Run(hops, reservation, now, now)
        state.soundness.begin(run.names)
        address = run.first.address
        connection = None
        try:
            connection = await self._connect(exchange, run)
            return await self._relay(
                exchange, profile, run, connection, sequence
            )
        except _End as end:
            if end.hops is not None:
                run.lingers = True
            raise
        finally:
            state.soundness.end(run.names)
            self._release(exchange.service, run)
            if connection is not None:
                state.pool.release(address, connection)

    def _release(self, service: str, run: _Run) -> None:
        """Give back what a run took, later if its engines still hold it."""
        state = self._state
        if not run.lingers:
            state.release(service, run.reservation)
            return
        loop = asyncio.get_running_loop()
        loop.call_later(
            LINGER_SECONDS, state.release, service, run.reservation
        )

    async def _connect(
        self, exchange: exchange_module.Exchange, run: _Run
    ) -> endpointhttp.Connection:
        state = self._state
        try:
            connection = await state.pool.acquire(
                run.first.address, CONNECT_SECONDS
            )
        except endpointhttp.Broken as broken:
            exchange.tried.append(run.first.name)
            state.accuse([run.first.name], str(broken), exchange.ask.name)
            raise _End(False, f'no connection: {broken}') from broken
        return connection

    def _send(
        self,
        exchange: exchange_module.Exchange,
        run: _Run,
        connection: endpointhttp.Connection,
        sequence: events.Sequence,
    ) -> None:
        relayed = requests.Relayed(
            endpoint=run.first,
            left=exchange.deadline - self._state.now,
            team=exchange.team,
            hops=run.hops,
            priority=exchange.priority,
            after=sequence.last,
        )
        exchange.sends += 1
        exchange.runs += 1
        run.began = run.moved = self._state.now
        connection.send(requests.encode(exchange.request, relayed))
        self._state.log.write(
            'stream sent',
            request=exchange.ask.name,
            chain=_describe(run.hops),
            send=exchange.sends,
            after=sequence.last,
            rule=exchange.rule.name,
            version=exchange.version,
            listing_age=round(self._state.now - self._state.listed_at, 3),
        )

    async def _relay(
        self,
        exchange: exchange_module.Exchange,
        profile: profiles.EngineProfile,
        run: _Run,
        connection: endpointhttp.Connection,
        sequence: events.Sequence,
    ) -> Outcome:
        self._send(exchange, run, connection, sequence)
        try:
            head = await self._read_head(
                exchange, profile, run, connection, sequence
            )
            verdict = requests.judge(head)
            if verdict.name not in (None, exchange.ask.name):
                raise _End(True, 'answer to another request')
            if verdict.not_run:
                exchange.runs -= 1
                self._blame_refusal(exchange, run, verdict)
                where = verdict.culprit or run.first.address
                raise _End(False, f'refused with {head.status} by {where}')
            if head.status != 200:
                return await self._pass_failure(
                    exchange, run, connection, head
                )
            if not verdict.signed:
                raise _End(True, 'answer without a signature')
            await self._pass_events(
                exchange, profile, run, connection, head, sequence
            )
        except endpointhttp.Broken as broken:
            self._note_break(exchange, run, broken)
            raise _End(True, f'run broke: {broken}') from broken
        return Outcome.COMPLETE

    def _blame_refusal(
        self,
        exchange: exchange_module.Exchange,
        run: _Run,
        verdict: requests.Verdict,
    ) -> None:
        """Leave out the endpoint at fault, the first if none is named."""
        culprit = run.first
        if verdict.culprit:
            for hop in run.hops:
                if hop.endpoint.address == verdict.culprit:
                    culprit = hop.endpoint
        # A full one may serve it a moment later; a dead one will not.
        self._state.soundness.fill(culprit.name, self._state.now)
        late = self._state.now - run.began >= DEAD_SECONDS
        if late or verdict.misdirected:
            exchange.tried.append(culprit.name)
            reason = 'misdirected' if verdict.misdirected else 'stalled'
            self._state.accuse([culprit.name], reason, exchange.ask.name)

    def _note_break(
        self,
        exchange: exchange_module.Exchange,
        run: _Run,
        broken: endpointhttp.Broken,
    ) -> None:
        state = self._state
        if broken.fault is endpointhttp.Fault.TIMEOUT:
            return
        exchange.tried.append(run.first.name)
        count = state.crashers.report(
            exchange.fingerprint, run.first.name, state.now
        )
        state.log.write(
            'run broken',
            request=exchange.ask.name,
            endpoint=run.first.name,
            fault=broken.fault,
            broken_runs=count,
        )

    async def _read_head(
        self,
        exchange: exchange_module.Exchange,
        profile: profiles.EngineProfile,
        run: _Run,
        connection: endpointhttp.Connection,
        sequence: events.Sequence,
    ) -> endpointhttp.AnswerHead:
        target = exchange.terms.target_seconds or USUAL_TARGET
        limit = target * FIRST_PART
        while True:
            due = min(run.moved + limit, exchange.deadline)
            try:
                return await connection.read_head(due)
            except endpointhttp.Broken as broken:
                if broken.fault is not endpointhttp.Fault.TIMEOUT:
                    raise
                limit = self._judge_silence(
                    exchange, profile, run, sequence, target
                )

    def _judge_silence(
        self,
        exchange: exchange_module.Exchange,
        profile: profiles.EngineProfile,
        run: _Run,
        sequence: events.Sequence,
        target: float,
    ) -> float:
        """Decide whether a still run is moved to another chain.

        It is left only for a chain that is at hand and paid for, since a
        slow run is worth more than none.

        :returns: how long to wait from its last event, in seconds
        """
        state = self._state
        now = state.now
        if now >= exchange.deadline:
            raise _End(True, 'deadline', retry=False)
        silence = now - run.moved
        again = silence + target * GAP_PART
        if not self._can_go_on(exchange, True):
            return exchange.deadline - run.moved
        still = state.soundness.find_still(run.names, run.moved)
        certain = 0 < len(still) < len(run.names)
        if not certain and silence < target * PATIENCE_FACTOR:
            return target * PATIENCE_FACTOR
        if certain:
            state.accuse(still, 'still', exchange.ask.name)
        before = list(exchange.tried)
        exchange.tried.extend(still)
        hops = self._choose(exchange, profile, sequence)
        if hops is None or not self._may_send_again(exchange):
            exchange.tried[:] = before
            return again
        raise _End(True, f'still for {silence:.3f} s', hops=hops)

    async def _pass_failure(
        self,
        exchange: exchange_module.Exchange,
        run: _Run,
        connection: endpointhttp.Connection,
        head: endpointhttp.AnswerHead,
    ) -> Outcome:
        """Try elsewhere after an endpoint's own failure, or pass it on."""
        if self._can_go_on(exchange, True) and head.status >= 500:
            exchange.tried.append(run.first.name)
            raise _End(True, f'failed with {head.status}')
        parts = []
        while part := await connection.read(exchange.deadline):
            parts.append(part)
        if exchange.reply.started:
            raise _End(True, f'failed with {head.status}', retry=False)
        passed = callerhttp.Head(
            head.status,
            requests.list_reply_headers(head),
            reason=head.reason,
        )
        exchange.reply.send(passed, b''.join(parts))
        return Outcome.FAILED

    async def _pass_events(
        self,
        exchange: exchange_module.Exchange,
        profile: profiles.EngineProfile,
        run: _Run,
        connection: endpointhttp.Connection,
        head: endpointhttp.AnswerHead,
        sequence: events.Sequence,
    ) -> None:
        state = self._state
        reply = exchange.reply
        splitter = events.Splitter()
        first = not sequence.count
        while True:
            data = await self._read_events(
                exchange, profile, run, connection, sequence
            )
            if not data:
                break
            now = state.now
            whole = splitter.split(data)
            if not whole:
                continue
            fresh, intact = sequence.admit(whole)
            if not intact:
                raise _End(True, 'an event is missing')
            if not fresh:
                continue
            if not reply.started:
                passed = callerhttp.Head(
                    200,
                    requests.list_reply_headers(head),
                    length=None,
                    reason=head.reason,
                )
                reply.start(passed)
            reply.write(fresh)
            self._observe(exchange, run, now, first)
            first = False
        rest = splitter.rest
        if rest.strip():
            raise _End(True, 'ended within an event')
        if not reply.started:
            passed = callerhttp.Head(
                200,
                requests.list_reply_headers(head),
                length=None,
                reason=head.reason,
            )
            reply.start(passed)
        reply.finish(rest)
        state.crashers.clear(exchange.fingerprint)

    def _observe(
        self,
        exchange: exchange_module.Exchange,
        run: _Run,
        now: float,
        first: bool,
    ) -> None:
        counters = self._state.counters
        if first:
            arrived = exchange.request.arrived
            exchange.first_event = now - arrived
            counters.first_event_seconds.observe(now - arrived)
        else:
            gap = now - run.moved
            exchange.longest_gap = max(exchange.longest_gap, gap)
            counters.gap_seconds.observe(gap)
        run.events += 1
        exchange.events += 1
        run.moved = now
        self._state.soundness.report_progress(run.names, now)

    async def _read_events(
        self,
        exchange: exchange_module.Exchange,
        profile: profiles.EngineProfile,
        run: _Run,
        connection: endpointhttp.Connection,
        sequence: events.Sequence,
    ) -> bytes:
        terms = exchange.terms
        if run.events:
            target = terms.gap_seconds or USUAL_TARGET
            limit = target * GAP_PART
        else:
            target = terms.target_seconds or USUAL_TARGET
            limit = target * FIRST_PART
        while True:
            due = min(run.moved + limit, exchange.deadline)
            try:
                return await connection.read(due)
            except endpointhttp.Broken as broken:
                if broken.fault is not endpointhttp.Fault.TIMEOUT:
                    raise
                limit = self._judge_silence(
                    exchange, profile, run, sequence, target
                )


def _describe(hops: tuple[endpoints_module.Hop, ...]) -> str:
    return ','.join(
        f'{hop.endpoint.name}:{hop.start}-{hop.end}' for hop in hops
    )
