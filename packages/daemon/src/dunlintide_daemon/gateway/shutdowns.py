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
    'Verdict',
    'choose_retry_after',
    'judge',
    'record_duration',
]

Exchange = exchange_module.Exchange
State = state_module.State

# Target latency of a call if its rule has none, in seconds.
DEFAULT_TARGET_SECONDS = 0.5
# Longest id of an event that is read as a number, in digits. Python refuses to
# convert more than 4,300.
MAX_EVENT_DIGITS = 18


@attrs.frozen
class Verdict:
    """Whether a request ends before the process does.

    :ivar is_in_time: whether it does
    :ivar expected: time that it is expected to take in seconds, None if
        unknown
    """

    is_in_time: bool
    expected: float | None = None


def record_duration(state: State, exchange: Exchange, seconds: float) -> None:
    """Record how long an endpoint took for a call, in seconds."""
    state.call_durations.record(exchange.rule.name, seconds)


def judge(state: State, exchange: Exchange, now: float) -> Verdict:
    """Judge whether a request ends before the process does.

    :param now: monotonic time in seconds
    """
    plan = state.shutdown
    if plan is None:
        return Verdict(True)
    if exchange.terms.stream:
        expected = _estimate_stream(state, exchange)
        return Verdict(
            shutdown.is_stream_finished(plan, now, expected), expected
        )
    expected = state.call_durations.estimate(
        exchange.rule.name,
        exchange.terms.target_seconds or DEFAULT_TARGET_SECONDS,
    )
    left = exchange.deadline - now
    return Verdict(shutdown.is_answered(plan, now, left, expected), expected)


def _estimate_stream(state: State, exchange: Exchange) -> float | None:
    """Return how long a stream will take in seconds, None if unknown.

    It counts as unknown if no other entry is listed that could take it.
    """
    if not (
        state.settings.demand.stop_by_length
        and state.has(mechanisms.Mechanism.STOP_BY_LENGTH)
        and state.listed_entries
    ):
        return None
    service = state.deployment.services.get(exchange.service)
    if service is None or service.engine is None:
        return None
    request, profile = exchange.caller_request, service.engine
    # A caller that resumes a stream names the number of its last event.
    after = request.after or ''
    is_number = after.isdecimal() and len(after) <= MAX_EVENT_DIGITS
    received = int(after) if is_number else 0
    stride = max(1, profile.stride)
    tokens = chainfinder.estimate_answer(request, profile, received * stride)
    return shutdown.estimate_stream(
        state.first_event_delays.typical,
        math.ceil(tokens / stride),
        state.get_event_seconds(exchange.service).typical,
    )


def choose_retry_after(state: State, exchange: Exchange, now: float) -> float:
    """Choose the Retry-After of a request that is refused, in seconds.

    :param now: monotonic time in seconds
    """
    pause = refusalhistory.choose_shutdown_delay(
        len(state.listed_entries), state.shutdown.killed - now
    )
    # Callers do not honour a longer one.
    return min(
        pause, (exchange.deadline - now) * refusalhistory.MAX_DELAY_FRACTION
    )
