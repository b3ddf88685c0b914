"""Requests that are held to crash endpoints, and what entries tell of them."""

from typing import Iterable

from dunlintide_core.pipeline import partsuspicions
from dunlintide_daemon.gateway import exchange as exchange_module
from dunlintide_daemon.gateway import gossipmessages
from dunlintide_daemon.gateway import state as state_module

__all__ = [
    'RETRY_SECONDS',
    'allow',
    'describe',
    'find_refusal',
    'is_refused',
    'reevaluate',
    'list_news',
    'receive_news',
    'record_break',
    'record_written',
]

Exchange = exchange_module.Exchange
State = state_module.State
Refusal = partsuspicions.Refusal

# Retry-After of a request that is held to crash endpoints, in seconds.
RETRY_SECONDS = 5.0
# Reads of a run's answer up to which it may have crashed its endpoint as it
# began to write, and from which on its parts are known to be sound.
MAX_SUSPECT_READS = 1
MIN_SOUND_READS = 3
_AGE_UNIT = gossipmessages.AGE_UNIT


def find_refusal(state: State, exchange: Exchange) -> str | None:
    """Return why a request must not reach an endpoint, None if it may.

    It is asked at admission and again at each send, as it may have waited,
    or crashed endpoints itself, in between.
    """
    refusal = state.part_suspicions.find_refusal(
        exchange.caller_request.shared_parts, state.now
    )
    if refusal is not None:
        state.counters.suspicion_refusals.labels('part').inc()
        state.log.write(
            'part refused',
            request=exchange.caller_request.name,
            parts=sorted(refusal.parts),
            refused_for=round(state.now - refusal.since, 3),
            sends=exchange.sends,
        )
        return 'a part crashes endpoints'
    # One that was written on did not crash its endpoint.
    if not exchange.events and state.poison_requests.is_poison(
        exchange.fingerprint, state.now
    ):
        state.counters.suspicion_refusals.labels('request').inc()
        return 'seems to crash endpoints'
    return None


def is_refused(state: State, exchange: Exchange) -> bool:
    """Return whether a request must not reach an endpoint, without a log."""
    parts = exchange.caller_request.shared_parts
    refusal = state.part_suspicions.find_refusal(parts, state.now)
    return refusal is not None


def record_break(
    state: State, exchange: Exchange, endpoint: str, reads: int, fault: str
) -> None:
    """Record a run that broke off.

    :param endpoint: name of the endpoint that received it
    :param reads: reads of its answer that brought events
    :param fault: how it broke, for the log
    """
    count = state.poison_requests.record_broken_run(
        exchange.fingerprint, endpoint, state.now
    )
    parts = exchange.caller_request.shared_parts
    state.log.write(
        'run broken',
        request=exchange.caller_request.name,
        endpoint=endpoint,
        fault=fault,
        broken_runs=count,
        events=reads,
        parts=parts,
    )
    if reads > MAX_SUSPECT_READS or not parts:
        return
    decided = state.part_suspicions.record_break(endpoint, parts, state.now)
    _alert(state)
    _report_decided(state, decided, 'crashes')


def record_written(state: State, exchange: Exchange) -> None:
    """Record that a run has written, so that its parts are sound."""
    parts = exchange.caller_request.shared_parts
    ended = state.part_suspicions.record_written(parts, state.now)
    _report_ended(state, ended, exchange.caller_request.name)
    reevaluate(state)


def reevaluate(state: State) -> None:
    """Evaluate crashes again that could not be explained before."""
    decided = state.part_suspicions.reevaluate(state.now)
    _report_decided(state, decided, 'crashes')


def allow(state: State, parts: Iterable[str], source: str) -> bool:
    """Take parts for sound, on an operator's word.

    :param source: who said so, for the log
    :returns: whether any of them was refused
    """
    ended = state.part_suspicions.allow(parts, state.now)
    _report_ended(state, ended, source)
    _alert(state)
    return bool(ended)


def _alert(state: State) -> None:
    """Tell all other entries at once."""
    state.suspicions_pending = True
    state.alert_pending.set()


def _report_decided(
    state: State, decided: Iterable[Refusal], source: str
) -> None:
    """Log new refusals, and wake the requests that they concern.

    :param source: ``crashes``, or the entry that told it
    """
    decided = list(decided)
    for refusal in decided:
        state.counters.refused_parts.labels(
            'crashes' if source == 'crashes' else 'entry'
        ).inc()
        state.log.write_always(
            'part suspected',
            parts=sorted(refusal.parts),
            crashes=refusal.crashes,
            source=source,
            age=round(state.now - refusal.since, 3),
        )
    if decided:
        if source == 'crashes':
            _alert(state)
        state.wake_waiters()


def _report_ended(state: State, ended: Iterable[Refusal], source: str) -> None:
    """Log refusals that ended since a run wrote on their parts.

    :param source: id of the request, or the entry that told it
    """
    for refusal in ended:
        state.log.write_always(
            'part allowed', parts=sorted(refusal.parts), source=source
        )


# What entries tell each other.


def _encode_age(state: State, at: float) -> int:
    return max(0, round((state.now - at) / _AGE_UNIT))


def list_news(state: State) -> gossipmessages.Suspicions:
    """List what this entry tells the others."""
    known, now = state.part_suspicions, state.now
    return gossipmessages.Suspicions(
        crashes=[
            (
                report.endpoint,
                _encode_age(state, report.at),
                [sorted(run) for run in report.runs],
            )
            for report in known.list_own_crashes(now)
        ],
        written=[
            (part, _encode_age(state, at))
            for part, at in known.list_own_written(now)
        ],
        refused=[
            (
                sorted(refusal.parts),
                _encode_age(state, refusal.since),
                _encode_age(state, refusal.asked_at),
            )
            for refusal in known.list_refusals(now)
        ],
    )


def receive_news(
    state: State, news: gossipmessages.Suspicions, sender: str
) -> None:
    """Take over what another entry told."""
    known, now = state.part_suspicions, state.now
    for part, age in news.written:
        ended = known.receive_written(part, now - age * _AGE_UNIT)
        _report_ended(state, ended, sender)
    for parts, age, asked_age in news.refused:
        told = known.receive_refusal(
            parts, now - age * _AGE_UNIT, now - asked_age * _AGE_UNIT, now
        )
        _report_decided(state, [told] if told else [], sender)
    for endpoint, age, runs in news.crashes:
        report = partsuspicions.CrashReport(
            endpoint, now - age * _AGE_UNIT, runs
        )
        decided = known.receive_crash(report, now)
        _report_decided(state, decided, 'crashes')


def describe(state: State) -> list[dict[str, object]]:
    """Describe the refusals in force, for the state dump."""
    return [
        {
            'parts': sorted(refusal.parts),
            'crashes': refusal.crashes,
            'refused_for': round(state.now - refusal.since, 3),
            'asked_ago': round(state.now - refusal.asked_at, 3),
        }
        for refusal in state.part_suspicions.list_refusals(state.now)
    ]
