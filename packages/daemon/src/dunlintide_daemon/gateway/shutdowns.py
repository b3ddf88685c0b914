"""What an entry that shuts down accepts, by what it knows of durations."""

import math

import attrs

from dunlintide_core.pipeline import mechanisms
from dunlintide_core.pipeline import refusalhistory
from dunlintide_core.pipeline import shutdown
from dunlintide_daemon.gateway import chainfinder
from dunlintide_daemon.gateway import exchange as exchange_module
from dunlintide_daemon.gateway import state as state_module

__all__ = [
    'Assessment',
    'REASON',
    'assess',
    'can_send',
    'choose_retry_after',
    'record_duration',
]

Exchange = exchange_module.Exchange
State = state_module.State

# Why a request is refused, in the log.
REASON = 'stopping'
# Longest id of an event that is read as a number, in digits. Python refuses to
# convert more than 4,300.
MAX_EVENT_DIGITS = 18


@attrs.frozen
class Assessment:
    """What is known of the end of a request during a shutdown.

    :ivar latest_start: monotonic time until which it may be sent, in seconds
    :ivar expected: time that it is expected to take in seconds, None if
        unknown
    :ivar longest: time that a stream takes at its greatest length in seconds,
        None if unknown
    """

    latest_start: float
    expected: float | None = None
    longest: float | None = None


def record_duration(state: State, exchange: Exchange, seconds: float) -> None:
    """Record how long an endpoint took for a call, in seconds."""
    state.call_durations.record(exchange.rule.name, seconds)


def assess(state: State, exchange: Exchange) -> Assessment:
    """Assess until when a request may be sent, to end before the process."""
    plan = state.shutdown
    if plan is None:
        return Assessment(math.inf)
    deadline = exchange.deadline
    if exchange.terms.stream:
        times = _estimate_stream(state, exchange)
        latest = shutdown.find_latest_stream_start(
            plan,
            deadline,
            times,
            _stops_by_length(state),
            exchange.runs > 0,
        )
        return Assessment(latest, times.expected, times.longest)
    expected = state.call_durations.estimate(
        exchange.rule.name,
        exchange.terms.target_seconds or chainfinder.DEFAULT_TARGET_SECONDS,
    )
    latest = shutdown.find_latest_call_start(plan, deadline, expected)
    return Assessment(latest, expected)


def can_send(state: State, exchange: Exchange) -> bool:
    """Return whether a request that is sent now ends before the process."""
    if not state.stopping:
        return True
    return state.now <= assess(state, exchange).latest_start


def _stops_by_length(state: State) -> bool:
    """Return whether long streams are refused, as others can take them."""
    return (
        state.settings.demand.stop_by_length
        and state.has(mechanisms.Mechanism.STOP_BY_LENGTH)
        and bool(state.listed_entries)
    )


def _estimate_stream(state: State, exchange: Exchange) -> shutdown.StreamTimes:
    """Estimate how long a stream may take."""
    service = state.deployment.services.get(exchange.service)
    if service is None or service.engine is None:
        return shutdown.StreamTimes()
    request, profile = exchange.caller_request, service.engine
    # A caller that resumes a stream names the number of its last event.
    after = request.after or ''
    is_number = after.isdecimal() and len(after) <= MAX_EVENT_DIGITS
    received = int(after) if is_number else 0
    stride = max(1, profile.stride)
    tokens = chainfinder.estimate_answer(request, profile, received * stride)
    # Callers need not name the most tokens that they accept.
    most_events = None
    if request.answer:
        most_events = max(1, math.ceil(request.answer / stride) - received)
    delays = state.first_event_delays
    intervals = state.get_event_seconds(exchange.service)
    return shutdown.StreamTimes(
        expected=shutdown.estimate_stream(
            delays.typical, math.ceil(tokens / stride), intervals.typical
        ),
        longest=shutdown.estimate_stream(
            delays.typical, most_events, intervals.typical
        ),
        slowest=shutdown.estimate_stream(
            delays.longest, most_events, intervals.longest
        ),
    )


def choose_retry_after(state: State, exchange: Exchange, now: float) -> float:
    """Choose the Retry-After of a request that is refused, in seconds.

    :param now: monotonic time in seconds
    """
    domain = state.settings.failure_domain
    near = [
        name
        for name in state.listed_entries
        if state.entry_domains.get(name) == domain
    ]
    pause = shutdown.choose_retry_delay(
        state.shutdown, now, len(near), len(state.listed_entries)
    )
    # Callers do not honour a longer one.
    return min(
        pause, (exchange.deadline - now) * refusalhistory.MAX_DELAY_FRACTION
    )
