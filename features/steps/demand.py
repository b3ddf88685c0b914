"""Steps of demand.feature, with real entries and stand-in engines."""

import pathlib
import tempfile

import behave
from dunlintide_trials.edge import demandfaults
from dunlintide_trials.edge import demandload

# Shares that a test compares are rounded to this many digits in messages.
DIGITS = 3
# Runs of a load: one in which callers were late shows nothing of the entries,
# and the machine may be less busy the next time.
RUNS = 2


def check_lag(lag):
    assert lag.is_acceptable, f'callers and stand-ins were late: {lag}'


def start_shared(context):
    """Start one deployment for the whole feature, and measure its capacity.

    A capacity that was measured while callers were late is not used.
    """
    if 'scene' not in context.shared:
        folder = context.feature_stack.enter_context(
            tempfile.TemporaryDirectory(prefix='dunlintide-')
        )
        scene = demandload.start(
            context.pick_ports, pathlib.Path(folder), context.feature_stack
        )
        context.shared['scene'] = scene
    scene = context.shared['scene']
    if 'capacity' not in context.shared:
        capacity = demandload.measure_capacity(scene)
        check_lag(capacity.lag)
        context.shared['capacity'] = capacity
    return scene, context.shared['capacity']


@behave.given('entries before engines of measured capacity')
def make_entries(context):
    context.scene, context.capacity = start_shared(context)


@behave.when('the load "{name}" comes')
def run_load(context, name):
    for _ in range(RUNS):
        context.outcome = demandload.run_load(
            context.scene, name, context.capacity.rate
        )
        if context.outcome.lag.is_acceptable:
            break
    check_lag(context.outcome.lag)


@behave.then('{part:f} of the requests of "{kind}" are in time')
def check_in_time(context, part, kind):
    found = context.outcome.kinds[kind]
    assert found.in_time >= part, context.outcome


@behave.then(
    '"{kind}" completes {part:f} of the capacity that "{urgent}" leaves'
)
def check_rest(context, kind, part, urgent):
    kinds = context.outcome.kinds
    left = 1.0 - kinds[urgent].complete_of_capacity
    found = kinds[kind].complete_of_capacity
    assert found >= part * left, (round(left, DIGITS), context.outcome)


@behave.then(
    'no kind of caller completes less than {part:f} of the share of all'
)
def check_starving(context, part):
    bound = part * context.outcome.all.complete
    for kind, figures in context.outcome.kinds.items():
        assert figures.complete >= bound, (kind, context.outcome)


@behave.then('requests in time take {part:f} of the capacity')
def check_used_in_time(context, part):
    found = context.outcome.all.in_time_of_capacity
    assert found >= part, context.outcome


@behave.when('an entry is killed while urgent requests wait there')
def kill_entry(context):
    context.pause, lag = demandfaults.measure_pause_after_kill(
        context.scene, context.capacity.rate
    )
    check_lag(lag)


@behave.then(
    'streams begin at the other entries within {seconds:f} s, and go on'
)
def check_pause(context, seconds):
    assert context.pause <= seconds, context.pause


@behave.given('entries of which two halves do not hear each other')
def make_parted(context):
    context.scene = demandfaults.start_partitioned(
        context.pick_ports, context.make_folder(), context.stack
    )


@behave.when('they are overloaded')
def overload_parted(context):
    context.outcome, context.shares = demandfaults.run_partitioned(
        context.scene, context.capacity.rate
    )
    check_lag(context.outcome.lag)


@behave.then('requests complete {part:f} of the capacity')
def check_used(context, part):
    found = context.outcome.all.complete_of_capacity
    assert found >= part, context.outcome


@behave.then('each half has {part:f} of the starts')
def check_halves(context, part):
    assert min(context.shares.values()) >= part, context.shares
