"""What endpoints say of themselves in their answers, and its effect."""

import result

from dunlintide_core.pipeline import backoffs
from dunlintide_daemon.gateway import state as state_module
from dunlintide_platform import notices

__all__ = [
    'apply_notice',
    'expire_backoffs',
    'log_rate_limit',
    'log_turned_away',
]

State = state_module.State


def apply_notice(
    state: State, name: str, notice: notices.Notice, sent: float, request: str
) -> None:
    """Act on what an endpoint says of itself in an answer.

    :param name: name of the endpoint
    :param sent: monotonic time at which the request was sent, in seconds
    :param request: id of the request, empty for a report or order
    """
    _record_rate_limit(state, name, notice.rate_limit, sent)
    _record_backoff(state, name, notice.backoff, request)
    is_accepted = bool(request) and notice.accepted
    if is_accepted and state.backoffs.record_accepted(name, sent):
        endpoint = state.endpoints.get(name)
        if endpoint is not None:
            state.wake(endpoint.service)
    if notice.leaving:
        state.mark_leaving(name, 'answer', request)


def _record_backoff(
    state: State,
    name: str,
    asked: result.Result[float | None, str],
    request: str,
) -> None:
    if asked.is_err():
        state.counters.refused_items.labels('back-off').inc()
        state.log.write(
            'back-off refused',
            request=request,
            endpoint=name,
            value=asked.err_value,
            seconds=backoffs.DEFAULT_SECONDS,
        )
    seconds = asked.ok_value if asked.is_ok() else backoffs.DEFAULT_SECONDS
    if seconds is None:
        return
    left = state.backoffs.get_left(name, state.now)
    if state.backoffs.begin(name, seconds, state.now):
        state.log.write(
            'back-off began',
            request=request,
            endpoint=name,
            seconds=seconds,
            left_before=round(left, 3),
        )


def expire_backoffs(state: State) -> None:
    """Log the back-offs that ended, and end slow starts."""
    for ended in state.backoffs.report_ended(state.now):
        state.log.write(
            'back-off ended',
            endpoint=ended.name,
            seconds=round(ended.seconds, 3),
        )
    for name, accepted in state.backoffs.drop_recovered(state.now).items():
        state.log.write('slow start ended', endpoint=name, accepted=accepted)


def _record_rate_limit(
    state: State,
    name: str,
    announced: result.Result[float | None, str],
    sent: float,
) -> None:
    if announced.is_err():
        state.counters.refused_items.labels('rate limit').inc()
        state.log.write(
            'rate limit refused', endpoint=name, value=announced.err_value
        )
        return
    age = state.rate_limits.get_age(name, state.now)
    if state.rate_limits.record(name, announced.ok_value, sent, state.now):
        log_rate_limit(state, name, 'answer', age)
        state.alert_pending.set()


def log_rate_limit(state: State, name: str, source: str, age: float) -> None:
    """Log a changed rate limit.

    :param source: ``answer``, or the entry that reported it
    :param age: age of the previous observation, in seconds
    """
    state.log.write(
        'rate limit changed',
        endpoint=name,
        limit=state.rate_limits.get(name),
        source=source,
        age_before=round(age, 3) if age != float('inf') else None,
    )


def log_turned_away(
    state: State,
    name: str,
    request: str,
    status: int,
    notice: notices.Notice | None,
) -> None:
    """Log that an endpoint turned a request away, and what it asked for.

    :param request: id of the request
    :param notice: None if another endpoint answered at its address
    """
    asked = notice.backoff if notice else result.Ok(None)
    backoff = asked.ok_value if asked.is_ok() else asked.err_value
    state.counters.turned_away.labels(
        'asked' if backoff is not None else 'none'
    ).inc()
    state.log.write(
        'request turned away',
        request=request,
        endpoint=name,
        status=status,
        backoff=backoff,
        leaving=notice.leaving if notice else None,
    )
