"""Runs of streams on chains: send the request and relay the events."""

import asyncio
import contextlib
from typing import Awaitable, Callable, TypeVar

import attrs

from dunlintide_adapters import callermessages
from dunlintide_adapters import endpointhttp
from dunlintide_core.pipeline import bytebudget
from dunlintide_core.pipeline import chaincosts
from dunlintide_core.pipeline import chains
from dunlintide_core.pipeline import endpoints as endpoints_module
from dunlintide_core.pipeline import paces
from dunlintide_daemon.gateway import admission
from dunlintide_daemon.gateway import chainfinder
from dunlintide_daemon.gateway import endpointgate
from dunlintide_daemon.gateway import events
from dunlintide_daemon.gateway import exchange as exchange_module
from dunlintide_daemon.gateway import runends
from dunlintide_daemon.gateway import stalls
from dunlintide_daemon.gateway import state as state_module
from dunlintide_daemon.gateway import suspicions
from dunlintide_platform import requests

__all__ = ['RunServer']

Hops = chains.Hops
Outcome = exchange_module.Outcome
Stream = exchange_module.Stream
_Part = TypeVar('_Part')

# Timeout for a connection to an engine, in seconds: connecting takes under a
# millisecond, and a lost packet is sent again only after a second.
CONNECT_SECONDS = 0.25
# How long the engines of a run that was moved because it stalled still hold
# it, in seconds: those before a dead engine wait for it.
HELD_SECONDS = 1.5
# Time after the send from which a refusal means that an endpoint of the chain
# does not respond, in seconds; an earlier one means that it is full or
# leaving.
DEAD_AFTER_SECONDS = 0.5
# Time over which the mean interval of events is measured, in seconds; single
# gaps vary too much.
PACE_WINDOW_SECONDS = 0.25
# Largest body of an error answer, in bytes.
MAX_FAILURE_BYTES = 1 << 20
# Largest event with the comments before it, in bytes.
MAX_EVENT_BYTES = 64 << 10
# Part of an event that is not counted, in bytes; most are far smaller.
UNCOUNTED_BYTES = 8 << 10
# Bytes without an event that the caller does not have yet.
MAX_REPEATED_BYTES = 1 << 20
# Events of a stream beyond one for each token that its caller asked for.
MAX_EXTRA_EVENTS = 16


@attrs.define(eq=False)
class _Run:
    """One run of a stream on a chain.

    :ivar release: releases its reservation
    :ivar began: monotonic time of the send, in seconds
    :ivar last_progress: monotonic time of the last event, or of the send
    :ivar first_event_at: monotonic time of the first event, in seconds
    :ivar longest_pause: longest pause between its events, in seconds
    :ivar published_event_seconds: time per event by the published speed of
        its engines
    :ivar events_since_check: events since its pace was last checked
    :ivar checked_at: monotonic time of that check, in seconds
    :ivar was_refused: whether an endpoint refused it
    :ivar is_held: whether its engines still hold it for a while after its end
    :ivar is_sent: whether its request was sent
    :ivar connection: connection to the first endpoint, None before it exists
    """

    hops: Hops
    release: Callable[..., None]
    began: float
    last_progress: float
    events: int = 0
    first_event_at: float = 0.0
    longest_pause: float = 0.0
    published_event_seconds: float = 0.0
    events_since_check: int = 0
    checked_at: float = 0.0
    was_refused: bool = False
    is_held: bool = False
    is_sent: bool = False
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
    """Build the head for the caller from that of an endpoint."""
    headers = requests.list_reply_headers(head)
    return callermessages.Head(head.status, headers, length, head.reason)


def _has_excess_events(stream: Stream) -> bool:
    """Return whether a stream has more events than its caller asked for."""
    tokens = stream.exchange.caller_request.answer
    return 0 < tokens < stream.sequence.total - MAX_EXTRA_EVENTS


class RunServer:
    """Runs streams on chains, one run at a time for each stream."""

    def __init__(
        self, state: state_module.State, finder: chainfinder.ChainFinder
    ) -> None:
        self._state = state
        self._finder = finder
        self._stall_monitor = stalls.StallMonitor(state, finder)
        self._active: set[_Run] = set()
        state.incarnation_listeners.append(self._abandon_runs)

    def _abandon_runs(self, name: str) -> None:
        """Abandon the runs through an incarnation of an endpoint that ended.

        They would stall until their engines give them up, seconds later.
        """
        for run in list(self._active):
            if run.connection is not None and name in run.names:
                run.connection.abandon()

    async def run(self, stream: Stream, hops: Hops) -> Outcome:
        """Run a stream on a chain.

        :raises RunEnded: when it ends without a complete answer
        """
        state = self._state
        now = state.now
        tokens = self._finder.estimate(stream).tokens
        pipes = chains.list_pipes(hops)
        release = admission.reserve(
            state, stream.exchange, hops, tokens, pipes
        )
        published_event_seconds = chaincosts.estimate_event_seconds(
            stream.profile, hops
        )
        run = _Run(
            hops,
            release,
            now,
            now,
            published_event_seconds=published_event_seconds,
        )
        state.health.record_sent(run.names)
        self._active.add(run)
        connection = None
        try:
            connection = await self._connect(stream.exchange, run)
            run.connection = connection
            return await self._relay(stream, run, connection)
        except runends.RunEnded as ended:
            run.is_held = ended.next_hops is not None
            raise
        finally:
            self._active.discard(run)
            stream.exchange.running -= run.is_sent
            state.health.record_finished(run.names, run.events > 0)
            self._release(run)
            if connection is not None:
                state.pool.release(run.first.address, connection)

    def _release(self, run: _Run) -> None:
        """Release a run's reservation, later if its engines still hold it."""
        if not run.is_held:
            run.release(run.was_refused)
            return
        loop = asyncio.get_running_loop()
        loop.call_later(HELD_SECONDS, run.release)

    async def _connect(
        self, exchange: exchange_module.Exchange, run: _Run
    ) -> endpointhttp.Connection:
        state = self._state
        try:
            return await endpointgate.connect(
                state,
                run.first,
                exchange.caller_request.name,
                CONNECT_SECONDS,
            )
        except endpointhttp.CallError as broken:
            exchange.excluded_endpoints.append(run.first.name)
            state.eject(
                [run.first.name],
                str(broken),
                exchange.caller_request.name,
                is_certain=broken.kind is not endpointhttp.FailureKind.TIMEOUT,
            )
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
            last_event_id=stream.sequence.last_id,
        )
        try:
            endpointgate.send(
                state,
                connection,
                (hop.endpoint for hop in run.hops),
                requests.encode(exchange.request, relayed),
                exchange.caller_request.name,
                exchange=exchange,
                rest=exchange.request.rest,
            )
        except endpointhttp.CallError as held:
            raise runends.RunEnded(False, str(held), withheld=True) from held
        exchange.sends += 1
        exchange.runs += 1
        exchange.running += 1
        run.is_sent = True
        run.began = run.last_progress = state.now
        state.log.write(
            'stream sent',
            request=exchange.caller_request.name,
            chain=chainfinder.format_chain(run.hops),
            send=exchange.sends,
            after=stream.sequence.last_id,
            rule=exchange.rule.name,
            version=exchange.version,
            listing_age=state.listing_age,
        )

    async def _relay(
        self, stream: Stream, run: _Run, connection: endpointhttp.Connection
    ) -> Outcome:
        exchange = stream.exchange
        self._send(stream, run, connection)
        try:
            head = await self._read_head(stream, run, connection)
            verdict = requests.read_answer_headers(head)
            if verdict.not_run:
                exchange.runs -= 1
                run.was_refused = True
                self._blame_refusal(stream, run, verdict)
                where = verdict.faulty_address or run.first.address
                reason = f'refused with {head.status} by {where}'
                raise runends.RunEnded(False, reason)
            if head.status != 200:
                return await self._forward_failure(
                    stream, run, connection, head
                )
            if not verdict.signed:
                raise runends.RunEnded(True, 'answer without a signature')
            account = bytebudget.Account(exchange.request.account.owner)
            with contextlib.ExitStack() as stack:
                stack.callback(self._state.budget.release, account)
                await self._forward_events(
                    stream, run, connection, head, account
                )
        except endpointhttp.CallError as broken:
            self._record_break(exchange, run, broken)
            raise runends.RunEnded(True, f'run broke: {broken}') from broken
        return Outcome.COMPLETE

    # Conclusions from the end of a run about endpoints.

    def _blame_refusal(
        self, stream: Stream, run: _Run, verdict: requests.AnswerHeaders
    ) -> None:
        """Blame a refusal on the endpoint named in it, else on the first."""
        state = self._state
        exchange = stream.exchange
        culprit = run.first
        for hop in run.hops:
            if hop.endpoint.address == verdict.faulty_address:
                culprit = hop.endpoint
        # A full endpoint may accept the request a moment later; a dead one
        # will not.
        # One that asked for a pause lives and says when to come back.
        if not state.backoffs.get_left(culprit.name, state.now):
            has_room = self._finder.has_ample_room(stream.profile, culprit)
            state.record_refusal(culprit.name, exchange.service, has_room)
        late = state.now - run.began >= DEAD_AFTER_SECONDS
        if late or verdict.misdirected:
            exchange.excluded_endpoints.append(culprit.name)
            reason = 'misdirected' if verdict.misdirected else 'stalled'
            state.eject([culprit.name], reason, exchange.caller_request.name)

    def _record_break(
        self,
        exchange: exchange_module.Exchange,
        run: _Run,
        broken: endpointhttp.CallError,
    ) -> None:
        """Record a run whose connection failed.

        :raises RunEnded: for an answer that may have no end
        """
        state = self._state
        if broken.kind is endpointhttp.FailureKind.TIMEOUT:
            return
        if (
            broken.kind is endpointhttp.FailureKind.ABANDONED
            and run.first.name in state.endpoints
        ):
            # Another endpoint of the chain ended.
            return
        if broken.kind in (
            endpointhttp.FailureKind.OVERSIZED,
            endpointhttp.FailureKind.TOO_LARGE,
        ):
            raise self._end_endless(
                exchange, run, f'run broke: {broken}'
            ) from broken
        exchange.excluded_endpoints.append(run.first.name)
        if broken.kind is endpointhttp.FailureKind.GARBLED:
            state.record_garbled(
                run.first.name, str(broken), exchange.caller_request.name
            )
            return
        suspicions.record_break(
            state, exchange, run.first.name, run.events, broken.kind
        )

    # Relay of the answer to the caller.

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
        """Read a part of the answer, and check the run while it stalls.

        :param target: longest wait by the rule in seconds, None for the
            default
        :param read: reads until the given time of the event loop
        """
        limits = self._stall_monitor.choose_limits(target, run.events > 0)
        limit = limits.suspected
        while True:
            due = min(run.last_progress + limit, stream.exchange.deadline)
            try:
                return await read(due)
            except endpointhttp.CallError as broken:
                if broken.kind is not endpointhttp.FailureKind.TIMEOUT:
                    raise
                stall = stalls.Stall(
                    run.names, run.last_progress, run.events > 0
                )
                limit = self._stall_monitor.check(stream, stall, limits)

    async def _forward_failure(
        self,
        stream: Stream,
        run: _Run,
        connection: endpointhttp.Connection,
        head: endpointhttp.AnswerHead,
    ) -> Outcome:
        """Forward an endpoint's error answer, unless a retry is possible.

        :raises RunEnded: when the stream may be retried, or when its reply
            has started already
        """
        exchange = stream.exchange
        again = exchange.can_retry(True, self._state.now)
        if again and head.status >= 500:
            exchange.excluded_endpoints.append(run.first.name)
            raise runends.RunEnded(True, f'failed with {head.status}')
        body = await connection.read_all(exchange.deadline, MAX_FAILURE_BYTES)
        if exchange.reply.started:
            raise runends.RunEnded(
                True, f'failed with {head.status}', retry=False
            )
        exchange.reply.send(_make_head(head, 0), body)
        return Outcome.FAILED

    async def _forward_events(
        self,
        stream: Stream,
        run: _Run,
        connection: endpointhttp.Connection,
        head: endpointhttp.AnswerHead,
        account: bytebudget.Account,
    ) -> None:
        """Forward complete events until the answer is complete.

        :param account: gets what an event that is not complete occupies
        """
        exchange, sequence = stream.exchange, stream.sequence
        reply = exchange.reply
        splitter = events.EventSplitter()
        sequence.begin_run()
        first_count = repeated_bytes = 0
        while data := await self._read_events(stream, run, connection):
            now = self._state.now
            fresh, intact = sequence.filter_new(splitter.split(data))
            if not intact:
                raise runends.RunEnded(True, 'an event is missing')
            repeated_bytes += len(data)
            waiting_bytes = len(splitter.remainder) + sequence.unnamed_bytes
            if (
                waiting_bytes > MAX_EVENT_BYTES
                or repeated_bytes > MAX_REPEATED_BYTES
                and not fresh
            ):
                raise self._end_endless(exchange, run, 'sent no event')
            if waiting_bytes > UNCOUNTED_BYTES or account.held:
                self._state.budget.force(account, waiting_bytes)
            if not fresh:
                continue
            repeated_bytes = 0
            if not reply.started:
                reply.start(_make_head(head, None))
            reply.write(fresh)
            self._record_events(exchange, run, now)
            if run.events == 1:
                first_count = sequence.count
            if _has_excess_events(stream):
                raise self._end_endless(
                    exchange, run, 'more events than tokens', retry=False
                )
            if reply.is_paused:
                await self._drain(exchange)
                run.last_progress = self._state.now
        if splitter.is_within_event:
            raise self._end_broken(exchange, run, 'ended within an event')
        if not run.events and not connection.is_framed:
            raise self._end_broken(exchange, run, 'ended without an event')
        if not reply.started:
            reply.start(_make_head(head, None))
        reply.finish(sequence.take_rest() + splitter.remainder)
        self._state.garbled_answers.clear(run.first.name)
        self._state.poison_requests.clear(exchange.fingerprint)
        suspicions.record_written(self._state, exchange)
        if run.events > 1:
            self._state.longest_gaps.record(run.longest_pause)
            later = sequence.count - first_count
            self._record_interval(exchange.service, run, later)

    async def _drain(self, exchange: exchange_module.Exchange) -> None:
        """Wait until a caller has read what was sent.

        :raises RunEnded: when its deadline has passed
        """
        try:
            async with asyncio.timeout_at(exchange.deadline):
                await exchange.reply.drain()
        except TimeoutError as error:
            raise runends.RunEnded(True, 'deadline', retry=False) from error

    def _record_interval(self, service: str, run: _Run, count: int) -> None:
        """Record the mean interval of the events of a complete run.

        :param count: events behind the first ones that came at once; 0 also
            if events have no ids, which are not counted
        """
        if count:
            elapsed = run.last_progress - run.first_event_at
            window = self._state.get_event_seconds(service)
            window.record(elapsed / count)

    def _end_broken(
        self, exchange: exchange_module.Exchange, run: _Run, reason: str
    ) -> runends.RunEnded:
        """Record a run whose answer ended too early.

        :returns: the exception to raise
        """
        exchange.excluded_endpoints.append(run.first.name)
        suspicions.record_break(
            self._state, exchange, run.first.name, run.events, reason
        )
        return runends.RunEnded(True, reason)

    def _end_endless(
        self,
        exchange: exchange_module.Exchange,
        run: _Run,
        reason: str,
        retry: bool = True,
    ) -> runends.RunEnded:
        """Record a run whose answer is none, and may have no end.

        Its endpoint is alive, so that the request is no suspect.

        :returns: the exception to raise
        """
        exchange.excluded_endpoints.append(run.first.name)
        self._state.eject(
            [run.first.name], reason, exchange.caller_request.name
        )
        return runends.RunEnded(True, reason, retry)

    def _record_events(
        self, exchange: exchange_module.Exchange, run: _Run, now: float
    ) -> None:
        counters = self._state.counters
        if exchange.first_event_delay is None:
            exchange.first_event_delay = now - exchange.request.received_at
            counters.first_event_seconds.observe(exchange.first_event_delay)
        else:
            gap = now - exchange.last_event
            exchange.longest_gap = max(exchange.longest_gap, gap)
            counters.gap_seconds.observe(gap)
        if run.events:
            run.longest_pause = max(run.longest_pause, now - run.last_progress)
            self._check_pace(run, now)
        else:
            self._state.first_event_delays.record(now - run.began)
            self._state.health.record_accepted(run.names, run.began)
            run.checked_at = run.first_event_at = now
        run.events += 1
        if run.events == suspicions.MIN_SOUND_READS:
            suspicions.record_written(self._state, exchange)
        exchange.events += 1
        exchange.last_event = now
        run.last_progress = now
        self._state.health.report_progress(run.names, now)

    def _check_pace(self, run: _Run, now: float) -> None:
        """Mark the engines of a run as possibly slow if its events are."""
        run.events_since_check += 1
        elapsed = now - run.checked_at
        if elapsed < PACE_WINDOW_SECONDS or not run.published_event_seconds:
            return
        state = self._state
        slowdown = (
            elapsed / run.events_since_check / run.published_event_seconds
        )
        run.events_since_check, run.checked_at = 0, now
        if paces.is_slow_run(slowdown, state.event_intervals.typical):
            state.suspect_slow(run.names)
        if state.paces.list_slow(now).keys().isdisjoint(run.names):
            state.event_intervals.record(slowdown)
