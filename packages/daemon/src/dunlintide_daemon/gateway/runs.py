"""One run of a stream on a chain: its send, its events, its end."""

import asyncio
from typing import Awaitable, Callable, TypeVar

import attrs

from dunlintide_adapters import callermessages
from dunlintide_adapters import endpointhttp
from dunlintide_core.pipeline import chaincosts
from dunlintide_core.pipeline import chains
from dunlintide_core.pipeline import endpoints as endpoints_module
from dunlintide_core.pipeline import occupancy
from dunlintide_core.pipeline import paces
from dunlintide_daemon.gateway import chainfinder
from dunlintide_daemon.gateway import events
from dunlintide_daemon.gateway import exchange as exchange_module
from dunlintide_daemon.gateway import runends
from dunlintide_daemon.gateway import silences
from dunlintide_daemon.gateway import state as state_module
from dunlintide_platform import requests

__all__ = ['RunServer']

Hops = chains.Hops
Outcome = exchange_module.Outcome
Stream = exchange_module.Stream
_Part = TypeVar('_Part')

# Time to connect to an engine, in seconds: links take under a
# millisecond, and a lost packet is sent again only after a second.
CONNECT_SECONDS = 0.25
# How long engines hold on to a run that was left because one of its parts
# stood still, in seconds: those before it wait for the dead one.
LINGER_SECONDS = 1.5
# Answers at least this late after the send blame a dead endpoint, sooner
# ones a full or leaving one, in seconds.
DEAD_SECONDS = 0.5
# Time over which the events of a run are counted to judge its pace, in
# seconds; single pauses say little.
PACE_SECONDS = 0.25
# Breaks that say nothing of the endpoint that received the run.
_NO_FAULT_OF_FIRST = (
    endpointhttp.Fault.TIMEOUT,
    endpointhttp.Fault.ABANDONED,
)


@attrs.define(eq=False)
class _Run:
    """One run of a stream on a chain.

    :ivar began: monotonic time of its send, in seconds
    :ivar moved: when its last event came
    :ivar longest: its longest pause between events, in seconds
    :ivar published: time of an event by what is published of its endpoints,
        in seconds
    :ivar paced: events since its mean time between events was judged
    :ivar paced_since: monotonic time of that, in seconds
    :ivar lingers: whether its endpoints hold it for a while after its end
    :ivar connection: to the first endpoint, None until there is one
    """

    hops: Hops
    reservation: occupancy.Reservation
    began: float
    moved: float
    events: int = 0
    longest: float = 0.0
    published: float = 0.0
    paced: int = 0
    paced_since: float = 0.0
    lingers: bool = False
    connection: endpointhttp.Connection | None = None

    @property
    def first(self) -> endpoints_module.Endpoint:
        """The endpoint that receives the request."""
        return self.hops[0].endpoint

    @property
    def names(self) -> list[str]:
        """Names of its endpoints."""
        return [hop.endpoint.name for hop in self.hops]


def _make_head(
    head: endpointhttp.AnswerHead, length: int | None
) -> callermessages.Head:
    """Build what the caller gets of an endpoint's head."""
    headers = requests.list_reply_headers(head)
    return callermessages.Head(head.status, headers, length, head.reason)


class RunServer:
    """Runs streams on chains with the beliefs of one entry."""

    def __init__(
        self, state: state_module.State, finder: chainfinder.ChainFinder
    ) -> None:
        self._state = state
        self._finder = finder
        self._judge = silences.Judge(state, finder)
        self._active: set[_Run] = set()
        state.life_listeners.append(self._lose)

    def _lose(self, name: str) -> None:
        """End the runs through a life of an endpoint that is over.

        They stand still until their engines give them up, seconds later.
        """
        for run in list(self._active):
            if run.connection is not None and name in run.names:
                run.connection.abandon()

    async def run(self, stream: Stream, hops: Hops) -> Outcome:
        """Run a stream on a chain.

        :raises RunEnded: when it ends without a whole answer
        """
        state = self._state
        now = state.now
        tokens = self._finder.estimate(stream).tokens
        pipes = chains.list_pipes(hops)
        reservation = state.occupancy.reserve(hops, tokens, pipes)
        published = chaincosts.time_event(stream.profile, hops)
        run = _Run(hops, reservation, now, now, published=published)
        state.soundness.begin(run.names)
        self._active.add(run)
        connection = None
        try:
            connection = await self._connect(stream.exchange, run)
            run.connection = connection
            return await self._relay(stream, run, connection)
        except runends.RunEnded as ended:
            run.lingers = ended.hops is not None
            raise
        finally:
            self._active.discard(run)
            state.soundness.end(run.names, run.events > 0)
            self._release(stream.exchange.service, run)
            if connection is not None:
                state.pool.release(run.first.address, connection)

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
            return await state.pool.acquire(run.first.address, CONNECT_SECONDS)
        except endpointhttp.Broken as broken:
            exchange.tried.append(run.first.name)
            state.accuse([run.first.name], str(broken), exchange.ask.name)
            raise runends.RunEnded(
                False, f'no connection: {broken}'
            ) from broken

    def _send(
        self, stream: Stream, run: _Run, connection: endpointhttp.Connection
    ) -> None:
        state = self._state
        exchange = stream.exchange
        relayed = requests.RelayOptions(
            endpoint=run.first,
            remaining=exchange.deadline - state.now,
            team=exchange.team,
            hops=run.hops,
            priority=exchange.priority,
            last_event_id=stream.sequence.last,
        )
        exchange.sends += 1
        exchange.runs += 1
        run.began = run.moved = state.now
        connection.send(requests.encode(exchange.request, relayed))
        state.log.write(
            'stream sent',
            request=exchange.ask.name,
            chain=chainfinder.describe(run.hops),
            send=exchange.sends,
            after=stream.sequence.last,
            rule=exchange.rule.name,
            version=exchange.version,
            listing_age=round(state.now - state.listed_at, 3),
        )

    async def _relay(
        self, stream: Stream, run: _Run, connection: endpointhttp.Connection
    ) -> Outcome:
        exchange = stream.exchange
        self._send(stream, run, connection)
        try:
            head = await self._read_head(stream, run, connection)
            verdict = requests.read_answer_headers(head)
            self._state.record_rate_limit(
                run.first.name, verdict.rate_limit, run.began
            )
            if verdict.name not in (None, exchange.ask.name):
                raise runends.RunEnded(True, 'answer to another request')
            if verdict.not_run:
                exchange.runs -= 1
                self._blame_refusal(stream, run, verdict)
                where = verdict.faulty_address or run.first.address
                reason = f'refused with {head.status} by {where}'
                raise runends.RunEnded(False, reason)
            if head.status != 200:
                return await self._pass_failure(stream, run, connection, head)
            if not verdict.signed:
                raise runends.RunEnded(True, 'answer without a signature')
            await self._pass_events(stream, run, connection, head)
        except endpointhttp.Broken as broken:
            self._note_break(exchange, run, broken)
            raise runends.RunEnded(True, f'run broke: {broken}') from broken
        return Outcome.COMPLETE

    # What a run's end says of endpoints.

    def _blame_refusal(
        self, stream: Stream, run: _Run, verdict: requests.AnswerHeaders
    ) -> None:
        """Leave out the endpoint at fault, the first if none is named."""
        state = self._state
        exchange = stream.exchange
        culprit = run.first
        for hop in run.hops:
            if hop.endpoint.address == verdict.faulty_address:
                culprit = hop.endpoint
        # A full one may serve it a moment later; a dead one will not.
        roomy = self._finder.is_roomy(stream.profile, culprit)
        state.note_refusal(culprit.name, exchange.service, roomy)
        late = state.now - run.began >= DEAD_SECONDS
        if late or verdict.misdirected:
            exchange.tried.append(culprit.name)
            reason = 'misdirected' if verdict.misdirected else 'stalled'
            state.accuse([culprit.name], reason, exchange.ask.name)

    def _note_break(
        self,
        exchange: exchange_module.Exchange,
        run: _Run,
        broken: endpointhttp.Broken,
    ) -> None:
        state = self._state
        if broken.fault in _NO_FAULT_OF_FIRST:
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

    # What the caller gets.

    async def _read_head(
        self, stream: Stream, run: _Run, connection: endpointhttp.Connection
    ) -> endpointhttp.AnswerHead:
        target = stream.exchange.terms.target_seconds
        return await self._wait(stream, run, target, connection.read_head)

    async def _read_events(
        self, stream: Stream, run: _Run, connection: endpointhttp.Connection
    ) -> bytes:
        terms = stream.exchange.terms
        target = terms.gap_seconds if run.events else terms.target_seconds
        return await self._wait(stream, run, target, connection.read)

    async def _wait(
        self,
        stream: Stream,
        run: _Run,
        target: float | None,
        read: Callable[[float], Awaitable[_Part]],
    ) -> _Part:
        """Read a part of the answer, and judge the run while none comes.

        :param target: silence allowed, in seconds, None for the usual one
        :param read: takes the loop time until which it waits
        """
        limits = self._judge.choose_limits(target, run.events > 0)
        limit = limits.named
        while True:
            due = min(run.moved + limit, stream.exchange.deadline)
            try:
                return await read(due)
            except endpointhttp.Broken as broken:
                if broken.fault is not endpointhttp.Fault.TIMEOUT:
                    raise
                silence = silences.Silence(
                    run.names, run.moved, run.events > 0
                )
                limit = self._judge.judge(stream, silence, limits)

    async def _pass_failure(
        self,
        stream: Stream,
        run: _Run,
        connection: endpointhttp.Connection,
        head: endpointhttp.AnswerHead,
    ) -> Outcome:
        """Try elsewhere after an endpoint's own failure, or pass it on."""
        exchange = stream.exchange
        again = exchange.can_go_on(True, self._state.now)
        if again and head.status >= 500:
            exchange.tried.append(run.first.name)
            raise runends.RunEnded(True, f'failed with {head.status}')
        body = await connection.read_all(exchange.deadline)
        if exchange.reply.started:
            raise runends.RunEnded(
                True, f'failed with {head.status}', retry=False
            )
        exchange.reply.send(_make_head(head, 0), body)
        return Outcome.FAILED

    async def _pass_events(
        self,
        stream: Stream,
        run: _Run,
        connection: endpointhttp.Connection,
        head: endpointhttp.AnswerHead,
    ) -> None:
        """Pass whole events on until the answer is whole."""
        exchange, sequence = stream.exchange, stream.sequence
        reply = exchange.reply
        splitter = events.Splitter()
        while data := await self._read_events(stream, run, connection):
            now = self._state.now
            fresh, intact = sequence.admit(splitter.split(data))
            if not intact:
                raise runends.RunEnded(True, 'an event is missing')
            if not fresh:
                continue
            if not reply.started:
                reply.start(_make_head(head, None))
            reply.write(fresh)
            self._observe(exchange, run, now)
        if splitter.rest.strip():
            raise runends.RunEnded(True, 'ended within an event')
        if not reply.started:
            reply.start(_make_head(head, None))
        reply.finish(splitter.rest)
        self._state.crashers.clear(exchange.fingerprint)
        if run.events > 1:
            self._state.pauses.note(run.longest)

    def _observe(
        self, exchange: exchange_module.Exchange, run: _Run, now: float
    ) -> None:
        counters = self._state.counters
        if exchange.first_event is None:
            exchange.first_event = now - exchange.request.arrived
            counters.first_event_seconds.observe(exchange.first_event)
        else:
            gap = now - exchange.last_event
            exchange.longest_gap = max(exchange.longest_gap, gap)
            counters.gap_seconds.observe(gap)
        if run.events:
            run.longest = max(run.longest, now - run.moved)
            self._judge_pace(run, now)
        else:
            self._state.first_events.note(now - run.began)
            self._state.soundness.accept(run.names, run.began)
            run.paced_since = now
        run.events += 1
        exchange.events += 1
        exchange.last_event = now
        run.moved = now
        self._state.soundness.report_progress(run.names, now)

    def _judge_pace(self, run: _Run, now: float) -> None:
        """Suspect the engines of a run whose events come slowly."""
        run.paced += 1
        elapsed = now - run.paced_since
        if elapsed < PACE_SECONDS or not run.published:
            return
        state = self._state
        against = elapsed / run.paced / run.published
        run.paced, run.paced_since = 0, now
        if paces.is_slow_run(against, state.event_times.usual):
            state.suspect_slow(run.names)
        if state.paces.list_slow(now).keys().isdisjoint(run.names):
            state.event_times.note(against)
