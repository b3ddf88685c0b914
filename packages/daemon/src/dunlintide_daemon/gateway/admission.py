"""Admission of requests to the capacity of a service, for streams and calls.

Where a service is shared, the requests of all entries are ordered together:
one that finds capacity may have to leave it to another entry, and one that
can't be served in time is refused at once. Elsewhere each entry serves its own
queue.
"""

import asyncio
from typing import Awaitable, Callable, Container, Iterable, TypeVar

import attrs

from dunlintide_core.pipeline import backlog as backlog_module
from dunlintide_core.pipeline import demandrows
from dunlintide_core.pipeline import endpoints as endpoints_module
from dunlintide_core.pipeline import mechanisms
from dunlintide_core.pipeline import refusalhistory
from dunlintide_core.pipeline import servicequeue
from dunlintide_daemon.gateway import counters as counters_module
from dunlintide_daemon.gateway import exchange as exchange_module
from dunlintide_daemon.gateway import state as state_module

__all__ = [
    'Ticket',
    'choose_max_refusals',
    'choose_retry_after',
    'choose_queue_class',
    'describe_refusal',
    'has_turn',
    'is_too_long',
    'leave',
    'make_ticket',
    'may_hedge',
    'may_start',
    'record_full',
    'record_refusal',
    'reserve',
    'wait',
]

Exchange = exchange_module.Exchange
QueueClass = backlog_module.QueueClass
State = state_module.State
_Found = TypeVar('_Found')

# Shortest Retry-After in seconds, before the random factor: streams end and
# free capacity within it.
MIN_RETRY_AFTER_SECONDS = 0.4
# Range of the random factor on Retry-After, so that refused callers do not
# return at the same time.
JITTER = (0.6, 1.4)
# Shortest time left to a caller that its Retry-After is derived from, in
# seconds.
MIN_LEFT_SECONDS = 0.1
# Shortest time between two log lines about capacity that is left to other
# entries, in seconds and for each service.
LOG_INTERVAL_SECONDS = 1.0


def _ignore() -> None:
    """Do nothing; the wake-up of a request that is not queued."""


def _never() -> bool:
    return False


@attrs.define(eq=False)
class Ticket:
    """A request that looks for capacity.

    :ivar waiter: its place in the queue, even before it is queued
    :ivar has_yielded: whether its last try left capacity to another entry
    :ivar has_looked: whether it looked for capacity before it was queued
    """

    exchange: Exchange
    waiter: backlog_module.Waiter
    has_yielded: bool = False
    has_looked: bool = False

    @property
    def service(self) -> str:
        """Name of the service."""
        return self.exchange.service


def make_ticket(
    exchange: Exchange, queue_class: QueueClass, expires: float
) -> Ticket:
    """Build the ticket of a request that is not queued yet.

    :param expires: monotonic time at which its wait ends, in seconds
    """
    waiter = backlog_module.Waiter(
        exchange.priority,
        queue_class,
        backlog_module.NOT_QUEUED,
        expires,
        _ignore,
        exchange.team or '',
    )
    return Ticket(exchange, waiter)


def choose_queue_class(state: State, exchange: Exchange) -> QueueClass:
    """Choose the queue class of a request that has not run."""
    if exchange.was_refused and state.is_shared(exchange.service):
        return QueueClass.RETRIED
    return QueueClass.FRESH


def choose_max_refusals(state: State, service: str) -> int:
    """Choose how many sends refusals by endpoints may use up."""
    if state.is_shared(service):
        return exchange_module.MAX_SHARED_REFUSALS
    return exchange_module.MAX_REFUSALS


def has_turn(state: State, ticket: Ticket) -> bool:
    """Return whether a request that is not queued may look for capacity."""
    waiter = ticket.waiter
    if state.is_shared(ticket.service):
        queue = state.get_queue(ticket.service)
        ticket.has_looked = queue.is_first(waiter, state.now)
        return ticket.has_looked
    backlog = state.get_backlog(ticket.service)
    return not backlog.count_ahead(waiter.priority, waiter.queue_class)


def may_hedge(state: State, exchange: Exchange) -> bool:
    """Return whether a call may take capacity for a second send.

    Where the service is shared, it must not precede requests that wait.
    """
    if not state.is_shared(exchange.service):
        return True
    ticket = make_ticket(exchange, QueueClass.FRESH, exchange.deadline)
    queue = state.get_queue(exchange.service)
    return queue.precedes_all(ticket.waiter, state.now)


def may_start(
    state: State, ticket: Ticket, domains: Container[str] | None = None
) -> bool:
    """Return whether a request may take the capacity that it has found.

    If not, it is woken when it may try again.

    :param domains: failure domains of the capacity, None if entries of all
        failure domains use it alike
    """
    ticket.has_yielded = False
    if not state.is_shared(ticket.service):
        return True
    queue = state.get_queue(ticket.service)

    def is_near(entry: str) -> bool:
        return domains is None or state.entry_domains.get(entry) in domains

    yielded = queue.find_yield(ticket.waiter, state.now, is_near)
    if yielded is None:
        return True
    ticket.has_yielded = True
    loop = asyncio.get_running_loop()
    loop.call_later(yielded.left, _begin_round, state, ticket.service)
    if yielded.is_new:
        _log_yield(state, ticket, yielded)
    return False


def _begin_round(state: State, service: str) -> None:
    """Let waiting requests look for capacity in order."""
    if state.is_shared(service):
        state.get_queue(service).begin_round(state.now)
    else:
        state.wake(service)


def _log_yield(
    state: State, ticket: Ticket, yielded: servicequeue.Yielded
) -> None:
    """Log that capacity is left to another entry, at a limited rate."""
    waiter = ticket.waiter
    queue = state.get_queue(ticket.service)
    unlogged = queue.count_unlogged(state.now, LOG_INTERVAL_SECONDS)
    if unlogged is None:
        return
    state.log.write(
        'capacity left to another entry',
        service=ticket.service,
        priority=waiter.priority,
        load=round(queue.get_load(waiter, state.now), 2),
        entry=yielded.entry,
        seconds=round(yielded.left, 3),
        since_last=unlogged,
    )


def record_full(state: State, ticket: Ticket) -> None:
    """Record that a request finds no capacity."""
    if state.is_shared(ticket.service):
        state.get_queue(ticket.service).record_full(ticket.waiter)


def is_too_long(state: State, ticket: Ticket) -> bool:
    """Return whether a request is refused at once, as others are ahead."""
    if not state.has(mechanisms.Mechanism.HOPELESS):
        return False
    waiter = ticket.waiter
    if state.is_shared(ticket.service):
        queue = state.get_queue(ticket.service)
        return queue.is_too_long(waiter, state.now)
    return state.get_backlog(ticket.service).exceeds_wait(
        waiter.priority, waiter.queue_class, state.now, waiter.expires
    )


async def wait(
    state: State,
    ticket: Ticket,
    attempt: Callable[[], Awaitable[_Found | None]],
    is_lost: Callable[[], bool],
    is_refused: Callable[[], bool] = _never,
) -> _Found | None:
    """Queue a request until it finds capacity or its wait ends.

    :param attempt: looks for capacity, None if there is none for it
    :param is_lost: whether no endpoint can serve it in time
    :param is_refused: whether it must not be served any more
    :returns: what ``attempt`` found, None if the request leaves unserved
    """
    waiter = ticket.waiter
    backlog = state.get_backlog(ticket.service)
    awake = asyncio.Event()
    waiter.wake = awake.set
    backlog.insert(waiter)
    timer = asyncio.get_running_loop().call_at(waiter.expires, awake.set)
    gauge = state.counters.waiting_requests.labels(
        counters_module.label_priority(waiter.priority)
    )
    gauge.inc()
    _record_arrival(state, ticket.exchange)
    if state.is_shared(ticket.service) and not ticket.has_looked:
        # It may fit where those before it do not, and no other event might
        # begin a round before its wait ends.
        state.wake(ticket.service)
    found = None
    try:
        while True:
            await awake.wait()
            awake.clear()
            if is_refused():
                return None
            if _is_called(state, ticket):
                found = await _try(state, ticket, attempt)
            if found is not None or state.now >= waiter.expires:
                return found
            if is_lost():
                # Wakes those behind it, to be refused before they expire.
                state.wake(ticket.service)
                return None
    finally:
        gauge.dec()
        timer.cancel()
        backlog.remove(waiter)
        if found is None:
            leave(state, ticket.exchange)
        if found is not None or waiter.is_called:
            _begin_round_later(state, ticket.service)


def _begin_round_later(state: State, service: str) -> None:
    """Begin a round once the caller has reserved what it found."""
    if state.is_shared(service):
        loop = asyncio.get_running_loop()
        loop.call_soon(_begin_round, state, service)


def _is_called(state: State, ticket: Ticket) -> bool:
    """Return whether a request that was woken may look for capacity."""
    if not state.is_shared(ticket.service):
        return True
    waiter = ticket.waiter
    if waiter.is_called:
        return True
    if state.now < waiter.expires:
        return False
    return state.get_queue(ticket.service).is_first(waiter, state.now)


async def _try(
    state: State,
    ticket: Ticket,
    attempt: Callable[[], Awaitable[_Found | None]],
) -> _Found | None:
    """Let a queued request look for capacity, then the next if it fails."""
    waiter = ticket.waiter
    waiter.is_trying = True
    # An attempt that finds nothing free does not reach ``may_start``, which
    # resets it too.
    ticket.has_yielded = False
    # Called only if the attempt suspends, for instance for a permit.
    pause = asyncio.get_running_loop().call_soon(_record_pause, state, ticket)
    try:
        found = await attempt()
    finally:
        pause.cancel()
        waiter.is_trying = False
    waiter.is_called = False
    if found is None and state.is_shared(ticket.service):
        if not ticket.has_yielded:
            queue = state.get_queue(ticket.service)
            queue.record_miss(waiter, state.now)
    return found


def _record_pause(state: State, ticket: Ticket) -> None:
    if state.is_shared(ticket.service):
        state.get_queue(ticket.service).record_pause(state.now)


# Records of who waits and who holds capacity.


def _make_kind(exchange: Exchange) -> demandrows.Kind:
    return demandrows.Kind(
        exchange.service, exchange.priority, exchange.team or ''
    )


def _record_arrival(state: State, exchange: Exchange) -> None:
    """Record that a request begins to wait, once for each wait."""
    if exchange.is_waiting or not state.is_shared(exchange.service):
        return
    exchange.is_waiting = True
    state.demand.record_arrival(
        _make_kind(exchange), exchange.terms.weight, state.now
    )


def leave(state: State, exchange: Exchange) -> None:
    """Record that a request waits no longer, if it did, and has no start."""
    if exchange.is_waiting:
        exchange.is_waiting = False
        state.demand.record_departure(_make_kind(exchange), state.now)


def reserve(
    state: State,
    exchange: Exchange,
    hops: Iterable[endpoints_module.Hop],
    tokens: int = 0,
    pipes: Iterable[str] = (),
) -> Callable[..., None]:
    """Reserve capacity for a send of a request, and record its start.

    :param tokens: tokens that each layer keeps
    :param pipes: names of the pipes that the chain crosses
    :returns: releases the capacity; to be called once, with True if the send
        was refused
    """
    service = exchange.service
    kind, weight = _make_kind(exchange), exchange.terms.weight
    waited, exchange.is_waiting = exchange.is_waiting, False
    is_shared = state.is_shared(service)
    reservation = state.occupancy.reserve(hops, tokens, pipes)
    if waited or is_shared:
        state.demand.record_start(kind, weight, state.now, waited)
        state.get_queue(service).record_start(exchange.priority, state.now)

    def release(was_refused: bool = False) -> None:
        if is_shared:
            state.demand.record_end(kind, weight, state.now)
        state.release(service, reservation, was_refused)
        if is_shared:
            state.offer_capacity(service)

    return release


# Refusals.


def _estimate(
    state: State, exchange: Exchange, queue_class: QueueClass
) -> servicequeue.Ahead:
    """Estimate what precedes a request that is refused."""
    ticket = make_ticket(exchange, queue_class, exchange.deadline)
    queue = state.get_queue(exchange.service)
    return queue.estimate(ticket.waiter, state.now)


def choose_retry_after(state: State, exchange: Exchange) -> float | None:
    """Choose the Retry-After of a refused request by the queue it would meet.

    :returns: seconds; None where the service is not shared, or nothing starts
    """
    if not state.is_shared(exchange.service):
        return None
    ahead = _estimate(state, exchange, QueueClass.RETRIED)
    if ahead.rate <= 0:
        return None
    pause = max(MIN_RETRY_AFTER_SECONDS, ahead.wait or 0.0)
    left = max(MIN_LEFT_SECONDS, exchange.deadline - state.now)
    return min(
        pause * state.random.uniform(*JITTER),
        left * refusalhistory.MAX_DELAY_FRACTION,
    )


def describe_refusal(state: State, exchange: Exchange) -> dict[str, object]:
    """Return the fields of the log line about a refused request.

    :returns: none where the service is not shared
    """
    if not state.is_shared(exchange.service):
        return {}
    queue_class = choose_queue_class(state, exchange)
    ahead = _estimate(state, exchange, queue_class)
    return {
        'priority': exchange.priority,
        'team': exchange.team,
        'ahead': ahead.here,
        'ahead_elsewhere': round(ahead.elsewhere, 1),
        'wait': None if ahead.wait is None else round(ahead.wait, 3),
    }


def record_refusal(state: State, exchange: Exchange) -> None:
    """Count a request that is refused with 503."""
    label = counters_module.label_priority(exchange.priority)
    state.counters.refused_requests.labels(label).inc()
