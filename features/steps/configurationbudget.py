"""Steps for the budget of a configuration, in virtual time."""

import asyncio
import random

import behave
from dunlintide_core.pipeline import configurationbudget
from dunlintide_core.pipeline import watchbudget
from dunlintide_daemon.gateway import follower
from dunlintide_daemon.gateway import state as state_module
from dunlintide_platform import store as store_module
from dunlintide_platform import storevalues
from dunlintide_standins.fleet import operators
from dunlintide_standins.fleet import store as stores
import edge_settings
import sharedreaders
import storenetwork
import virtualtime

MODULES = (state_module, follower, stores)
BYTES_PER_MBIT = 125_000
ANSWER_SECONDS = 0.01
# Times between another change and the first version, in seconds: the pause
# that batches changes has just begun, or has not.
PHASES = (0.001, 0.02, 0.1, 0.3, 2.0)
# Time between two versions, in seconds.
GAP_SECONDS = 0.3
# An answer holds little more than the value.
SLACK_BYTES = 400


def _divide(drain, bound):
    budget = configurationbudget.ConfigurationBudget
    return budget.from_bounds(drain, bound)


@behave.then(
    'with a bound of {bound:g} s batch pause, connection, transfer and reserve'
    ' take {total:g} s'
)
def check_sum(context, bound, total):
    budget = context.budget = _divide(bound, bound)
    reserve = configurationbudget.RESERVE_FRACTION * bound
    watch = budget.watch
    steps = watch.batch, watch.connect, budget.transfer, reserve
    assert abs(sum(steps) - total) < 1e-9, steps


@behave.then('{size:d} bytes of a value fit a link of {width:g} Mbit/s')
def check_size(context, size, width):
    largest = context.budget.compute_largest(width)
    encoded = storevalues.compute_encoded_size(size) + SLACK_BYTES
    assert encoded <= largest, (encoded, largest)


@behave.then(
    'with a drain time of {drain:g} s and a bound of {bound:g} s a watch is as'
    ' with {same:g} s'
)
def check_watch(context, drain, bound, same):
    expected = watchbudget.WatchBudget.from_drain(same)
    assert _divide(drain, bound).watch == expected


@behave.given(
    'an entry alone behind a link of {width:g} Mbit/s with a bound of'
    ' {bound:g} s'
)
def choose_link(context, width, bound):
    context.bandwidth, context.bound = width * BYTES_PER_MBIT, bound


@behave.given('a configuration of {size:d} bytes is in force')
def hold_version(context, size):
    context.held = size


@behave.when(
    '{count:d} versions of {size:d} bytes are written at the worst moments'
)
def write_versions(context, count, size):
    loop = virtualtime.Loop()
    context.stack.callback(loop.close)
    context.delays = {}
    with virtualtime.replace_clocks(loop, MODULES):
        for phase in PHASES:
            work = _play(context, count, size, phase)
            context.delays[phase] = loop.run_until_complete(work)


def _make_version(version, size):
    """Return a configuration of a size, most of it in one long name."""
    made = operators.make_configuration(version)
    made['services'][0]['health_path'] = '/' + 'h' * size
    return made


async def _play(context, count, size, phase):
    """Write versions behind another change.

    :returns: time from the last one until it is in force, in seconds
    """
    random.seed(7)
    store = stores.Store()
    shares = 'shares' in context
    more = {'demand': sharedreaders.SETTINGS} if shares else {}
    state = edge_settings.make_state(
        drain=context.bound, apply=context.bound, **more
    )
    client = store_module.Store(edge_settings.ADDRESS)
    network = client._pool = storenetwork.Network(store)
    network.answer_seconds = ANSWER_SECONDS
    network.bandwidth = context.bandwidth
    followed = follower.Follower(state, client, lambda item: None)
    held = context.held if 'held' in context else 0
    await store.put('op/config', _make_version(1, held))
    tasks = [asyncio.ensure_future(followed.run())]
    newest = 1
    if shares:
        work = sharedreaders.report_same(
            state, lambda: state.version >= newest
        )
        tasks.append(asyncio.ensure_future(work))
    await asyncio.sleep(2 * context.bound)
    await store.put('servers/i-0', edge_settings.make_row())
    await asyncio.sleep(phase)
    for number in range(count):
        if number:
            await asyncio.sleep(GAP_SECONDS)
        newest = number + 2
        await store.put('op/config', _make_version(number + 2, size))
    began = state.now
    while state.version <= count:
        await asyncio.sleep(0.005)
        assert state.now < began + 10 * context.bound, 'never in force'
    for task in tasks:
        task.cancel()
    await asyncio.sleep(0.1)
    return round(state.now - began - 0.1, 3)


@behave.then('each last one is in force within {fraction:g} of the bound')
def check_delays(context, fraction):
    longest = max(context.delays.values())
    # What the reserve is for takes no time here.
    assert longest <= fraction * context.bound, context.delays
