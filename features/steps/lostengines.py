"""Steps for the failover of streams when an engine dies."""

import behave
from dunlintide_core.pipeline import durations
from dunlintide_core.pipeline import endpointhealth
from dunlintide_core.pipeline import failover

TARGET = 0.2
DEATH = 10.0
TICK = 0.005


class Run:
    """A stream on a chain of engines; it stalls when one of them dies."""

    def __init__(self, names, first, period):
        self.names = names
        self.next = first
        self.period = period
        self.moved = first
        self.left = None
        self.flows = False


@behave.given(
    '{count:d} streams on one chain of {engines:d} engines, with an event'
    ' each {period:f} s'
)
def make_streams(context, count, engines, period):
    names = [f'e{index}' for index in range(engines)]
    context.period = period
    context.runs = [
        Run(names, 9.0 + period * index / count, period)
        for index in range(count)
    ]
    context.health = endpointhealth.EndpointHealth()


@behave.given('{count:d} streams that share all of them but engine {dead:d}')
def add_streams(context, count, dead):
    names = list(context.runs[0].names)
    names[dead] = 'other'
    context.runs += [
        Run(names, 9.0 + context.period * index / count, context.period)
        for index in range(count)
    ]


@behave.given('the longest pause of a usual stream is {seconds:f} s')
def set_usual(context, seconds):
    seen = durations.DurationWindow()
    for _ in range(durations.MAX_DURATIONS):
        seen.record(seconds)
    context.usual = seen.typical


def play(context, dies, end):
    """Simulate until a time; ``dies(run, now)`` says if a run is stalled."""
    limits = failover.choose_limits(TARGET, context.usual)
    now = 9.0
    while now < end:
        for run in context.runs:
            if run.left is not None:
                continue
            if now >= run.next and not dies(run, now):
                run.moved, run.next = now, now + run.period
                if not run.flows:
                    context.health.record_accepted(run.names, now)
                    run.flows = True
                context.health.report_progress(run.names, now)
            silence = now - run.moved
            if silence >= limits.suspected:
                judge(context, run, silence, limits, now)
        now += TICK


def judge(context, run, silence, limits, now):
    since = failover.choose_stall_start(run.moved, now)
    suspects = context.health.find_ejected(
        run.names, now
    ) or context.health.find_suspects(run.names, since, now, run.flows)
    still = context.health.find_stalled(run.names, since)
    evidence = failover.classify_evidence(suspects, still)
    if failover.decide(silence, limits, evidence).should_move:
        run.left = now
        context.health.record_finished(run.names, run.flows)
        for name in suspects:
            context.health.eject(name, now)


@behave.when('the engine {dead:d} dies')
def kill(context, dead):
    name = f'e{dead}'
    play(
        context,
        lambda run, now: now >= DEATH and name in run.names,
        DEATH + 0.6,
    )
    context.stopped = [run for run in context.runs if name in run.names]


@behave.when('all stand still for {seconds:f} s')
def pause(context, seconds):
    play(
        context,
        lambda run, now: DEATH <= now < DEATH + seconds,
        DEATH + 0.6,
    )


@behave.when('that one stands still for {seconds:f} s')
def pause_last(context, seconds):
    last = context.runs[-1]
    play(
        context,
        lambda run, now: run is last and DEATH <= now < DEATH + seconds,
        DEATH + 0.6,
    )


@behave.then('all streams are moved within {seconds:f} s of their last event')
def check_moved(context, seconds):
    waits = [run.left - run.moved for run in context.stopped]
    assert max(waits) <= seconds, sorted(waits)[-5:]


@behave.then('no stream is moved')
def check_kept(context):
    assert not [run for run in context.runs if run.left is not None]


@behave.then('no sound engine is left out')
def check_none(context):
    assert set(context.health.list_ejected(DEATH + 0.5)) <= {'e4'}


@behave.then('engine {dead:d} alone is left out')
def check_dead(context, dead):
    assert context.health.list_ejected(DEATH + 0.5) == [f'e{dead}']


@behave.then(
    'a stream that may pause for {target:f} s is moved after {named:f} s if'
    ' few engines are suspected, and after {unnamed:f} s in any case'
)
def check_limits(context, target, named, unnamed):
    limits = failover.choose_limits(target, context.usual)
    assert abs(limits.suspected - named) < 1e-9, limits
    assert abs(limits.unclear - unnamed) < 1e-9, limits
