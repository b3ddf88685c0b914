"""Steps for streams at an entry that stops."""

import asyncio
import contextlib
import os
import signal
import threading
import time
import types
from unittest import mock

import attrs
import behave
from dunlintide_adapters import stopsignal
from dunlintide_core.pipeline import calldurations
from dunlintide_core.pipeline import callerrequests
from dunlintide_core.pipeline import durations
from dunlintide_core.pipeline import mechanisms
from dunlintide_core.pipeline import profiles
from dunlintide_core.pipeline import settings
from dunlintide_core.pipeline import shutdown
from dunlintide_daemon.gateway import runs as runs_module
from dunlintide_daemon.gateway import shutdowns
from dunlintide_standins.fleet import callers
import edge_settings
import hypothesis
from hypothesis import strategies
import stoppedentries

SERVICE = 'llm'
STRIDE = 4
NOW = 1000.0
DEADLINE_SECONDS = 20.0


@behave.given(
    'an entry with a grace of {grace:g} s that stopped {elapsed:g} s ago'
    ' beside {others:d} others'
)
def make_stopping_entry(context, grace, elapsed, others):
    state = edge_settings.make_state(
        edge_settings.SilentLog(),
        grace=grace,
        demand=settings.Demand(stop_by_length=True),
    )
    state.shutdown = shutdown.Shutdown.from_grace(NOW - elapsed, grace)
    state.listed_entries.update(f'e{number}' for number in range(others))
    context.state = state
    _set_usual_answer(context, 0)


def _set_usual_answer(context, tokens):
    profile = edge_settings.make_profile(stride=STRIDE, usual_answer=tokens)
    service = profiles.ServiceProfile(SERVICE, '/h', 1, profile)
    context.state.deployment = types.SimpleNamespace(
        services={SERVICE: service}
    )


@behave.given(
    'its streams take {first:g} s to the first of their events, of unknown'
    ' interval'
)
def record_first(context, first):
    for _ in range(durations.MIN_DURATIONS):
        context.state.first_event_delays.record(first)


@behave.given(
    'its streams take {first:g} s to the first of their events,'
    ' {interval:g} s apart'
)
def record_times(context, first, interval):
    record_first(context, first)
    window = context.state.get_event_seconds(SERVICE)
    for _ in range(durations.MIN_DURATIONS):
        window.record(interval)


@behave.given('the slowest of its streams had events {interval:g} s apart')
def record_slowest(context, interval):
    context.state.get_event_seconds(SERVICE).record(interval)


@behave.given('its engines usually answer with {tokens:d} tokens')
def set_usual_answer(context, tokens):
    _set_usual_answer(context, tokens)


@behave.when(
    'SIGTERM arrives {delay:g} s into a callback of the event loop that takes'
    ' {seconds:g} s'
)
def send_signal_to_busy_loop(context, delay, seconds):
    def send():
        context.signalled_at = time.monotonic()
        os.kill(os.getpid(), signal.SIGTERM)

    def work():
        until = time.monotonic() + seconds
        timer = threading.Timer(delay, send)
        timer.start()
        while time.monotonic() < until:
            pass

    async def run():
        stop = stopsignal.StopSignal()
        asyncio.get_running_loop().call_soon(work)
        return await stop.wait()

    with contextlib.ExitStack() as stack:
        for number in stopsignal.SIGNALS:
            handler = signal.getsignal(number)
            stack.callback(signal.signal, number, handler)
        context.began_at = asyncio.run(run())


@behave.then('the grace period has begun within {seconds:g} s of the signal')
def check_began(context, seconds):
    elapsed = context.began_at - context.signalled_at
    assert 0 <= elapsed <= seconds, elapsed


@behave.given('the mechanism "{name}" is off')
def switch_off(context, name):
    off = (mechanisms.Mechanism(name),)
    context.state.settings = attrs.evolve(
        context.state.settings, experiments=settings.Experiments(off)
    )


def _ask(
    context, answer, hint=0, received=None, left=DEADLINE_SECONDS, runs=0
):
    request = callerrequests.CallerRequest(
        's-1', 'x', '/', 'POST', answer=answer, hint=hint, after=received
    )
    exchange = mock.Mock(
        caller_request=request,
        service=SERVICE,
        terms=types.SimpleNamespace(stream=True),
        deadline=NOW + left,
        runs=runs,
    )
    found = shutdowns.assess(context.state, exchange)
    context.is_refused = found.latest_start < NOW


@behave.when('a caller asks for a stream with at most {answer:d} tokens')
def ask(context, answer):
    _ask(context, answer)


@behave.when(
    'the only run of a stream with at most {answer:d} tokens has broken off'
)
def ask_again(context, answer):
    _ask(context, answer, runs=1)


@behave.when(
    'a caller that may wait {left:g} s asks for a stream with at most'
    ' {answer:d} tokens'
)
def ask_with_deadline(context, left, answer):
    _ask(context, answer, left=left)


@behave.when(
    'a caller asks for a stream with at most {answer:d} tokens, {hint:d}'
    ' hinted'
)
def ask_with_hint(context, answer, hint):
    _ask(context, answer, hint)


@behave.when(
    'a caller asks for a stream with at most {answer:d} tokens, {hint:d}'
    ' hinted, {received:d} events received'
)
def resume_with_hint(context, answer, hint, received):
    _ask(context, answer, hint, str(received))


@behave.when(
    'a caller resumes a stream of {answer:d} tokens behind an id of'
    ' {digits:d} digits'
)
def resume_behind(context, answer, digits):
    _ask(context, answer, received='9' * digits)


@behave.then('the stream may be sent {result}')
def check_sent(context, result):
    assert context.is_refused is (result != 'again'), context.is_refused


@behave.then('the stream is {result}')
def check_result(context, result):
    assert context.is_refused is (result == 'refused'), context.is_refused


@behave.when(
    '{runs:d} runs end, {seconds:g} s and {count:d} numbered events after'
    ' their first ones'
)
def end_runs(context, runs, seconds, count):
    server = runs_module.RunServer(context.state, None)
    run = mock.Mock(first_event_at=NOW, last_progress=NOW + seconds)
    for _ in range(runs):
        server._record_interval(SERVICE, run, count)


@behave.then('the interval of events is {interval}')
def check_interval(context, interval):
    found = context.state.get_event_seconds(SERVICE).typical
    expected = None if interval == 'unknown' else float(interval)
    assert found == expected, found


@behave.given('the entry has served {count:d} streams')
def serve_streams(context, count):
    for number in range(count):
        caller = callers.Caller(context.entry.listen)
        context.stack.callback(caller.close)
        caller.send(callers.build_stream(f'before-{number}', 8))
        assert caller.read_answer().is_complete


@behave.when(
    'the entry is stopped, and {seconds:g} s later asked for a stream'
    ' "{name}" of {tokens:d} tokens'
)
def stop_and_ask(context, seconds, name, tokens):
    caller = stoppedentries.stop_and_connect(context, seconds)
    hint = str(tokens)
    began = time.monotonic()
    caller.send(callers.build_stream(name, tokens, Length_Hint=hint))
    context.answers[name] = caller.read_answer()
    context.took = time.monotonic() - began


@behave.then(
    '"{name}" got {status:d} within {seconds:g} s and ran {count:d} times'
)
def check_answer(context, name, status, seconds, count):
    answer = context.answers[name]
    assert answer.status == status, answer.status
    assert context.took <= seconds, context.took
    runs = context.scene.fleet.list_runs(name)
    assert len(runs) == count, len(runs)


SECONDS = strategies.floats(0.01, 60.0)


@behave.then(
    'any call that takes no longer than the recent ones is answered in time'
)
def check_accepted(context):
    @hypothesis.settings(max_examples=300, deadline=None)
    @hypothesis.given(
        SECONDS,
        SECONDS,
        SECONDS,
        strategies.lists(SECONDS, min_size=1, max_size=9),
        strategies.floats(0.0, 1.0),
    )
    def check(grace, elapsed, left, durations, part):
        plan = shutdown.Shutdown.from_grace(NOW, grace)
        known = calldurations.CallDurations()
        for seconds in durations:
            known.record('r', seconds)
        now = NOW + elapsed
        latest = shutdown.find_latest_call_start(
            plan, now + left, known.estimate('r', 0.5)
        )
        if now <= latest:
            work = part * max(durations)
            assert min(now + work, now + left) <= plan.ends <= plan.killed

    check()


def _find_late_start(plan, firsts, intervals, count, expected):
    first, interval = durations.DurationWindow(), durations.DurationWindow()
    for window, recent in ((first, firsts), (interval, intervals)):
        for seconds in recent:
            window.record(seconds)
    times = shutdown.StreamTimes(
        expected,
        shutdown.estimate_stream(first.typical, count, interval.typical),
        shutdown.estimate_stream(first.longest, count, interval.longest),
    )
    return shutdown.find_latest_stream_start(
        plan, plan.killed + 100.0, times, True, False
    )


def _list_durations(most):
    return strategies.lists(
        strategies.floats(0.001, most),
        min_size=durations.MIN_DURATIONS,
        max_size=durations.MIN_DURATIONS + 4,
    )


@behave.then(
    'any stream that is accepted late ends in time at the slowest pace and'
    ' greatest length'
)
def check_late_streams(context):
    @hypothesis.settings(max_examples=300, deadline=None)
    @hypothesis.given(
        strategies.floats(4.0, 60.0),
        strategies.floats(0.0, 60.0),
        _list_durations(2.0),
        _list_durations(0.3),
        strategies.integers(1, 200),
    )
    def check(grace, elapsed, firsts, intervals, count):
        plan = shutdown.Shutdown.from_grace(NOW, grace)
        now = NOW + max(elapsed, shutdown.STREAM_CUTOFF_SECONDS + 0.01)
        latest = _find_late_start(plan, firsts, intervals, count, 0.1)
        if now <= latest:
            longest = max(firsts) + count * max(intervals)
            assert now + longest <= plan.ends <= plan.killed

    check()


@behave.then('what its caller expects makes no difference to that')
def check_hints(context):
    @hypothesis.settings(max_examples=100, deadline=None)
    @hypothesis.given(
        strategies.integers(1, 200),
        strategies.floats(0.0, 60.0),
        strategies.floats(0.0, 60.0),
    )
    def check(count, one, other):
        plan = shutdown.Shutdown.from_grace(NOW, 60.0)
        recent = [0.1] * durations.MIN_DURATIONS
        cutoff = NOW + shutdown.STREAM_CUTOFF_SECONDS
        found = {
            max(cutoff, _find_late_start(plan, recent, recent, count, each))
            for each in (one, other)
        }
        assert len(found) == 1, found

    check()


@behave.then('any call is accepted whose deadline comes before the end')
def check_bounded(context):
    @hypothesis.settings(max_examples=300, deadline=None)
    @hypothesis.given(SECONDS, SECONDS, SECONDS, SECONDS)
    def check(grace, elapsed, left, expected):
        plan = shutdown.Shutdown.from_grace(NOW, grace)
        now = NOW + elapsed
        if now + left < plan.ends:
            assert now <= shutdown.find_latest_call_start(
                plan, now + left, expected
            )

    check()


@behave.given('{count:d} calls of a rule that took {seconds:g} s each')
def record_calls(context, count, seconds):
    context.durations = calldurations.CallDurations()
    for _ in range(count):
        context.durations.record('r', seconds)


@behave.then(
    'a call of that rule with a target of {target:g} s is expected to take'
    ' {seconds:g} s'
)
def check_expected(context, target, seconds):
    assert context.durations.estimate('r', target) == seconds


@behave.given(
    '{near:d} entries serve in its failure domain and {far:d} in others'
)
def list_entries(context, near, far):
    for number in range(near):
        context.state.add_listed_entry(f'near-{number}', 'a')
    for number in range(far):
        context.state.add_listed_entry(f'far-{number}', 'b')


@behave.then(
    'a caller that may wait {left:g} s is told to return after {seconds:g} s'
)
def check_return(context, left, seconds):
    exchange = mock.Mock(deadline=NOW + left)
    pause = shutdowns.choose_retry_after(context.state, exchange, NOW)
    assert abs(pause - seconds) < 1e-6, pause
