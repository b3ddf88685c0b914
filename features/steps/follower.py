"""Steps for the entry's watch on the platform's store."""

import asyncio
import random

import attrs
import behave
from dunlintide_core.pipeline import watchbudget
from dunlintide_daemon.gateway import follower
from dunlintide_daemon.gateway import state as state_module
from dunlintide_platform import store as store_module
from dunlintide_platform import storevalues
from dunlintide_standins.fleet import operators
from dunlintide_standins.fleet import store as stores
import edge_settings
import result
import sharedreaders
import storenetwork
import virtualtime

MODULES = (state_module, follower, stores)
# Times that connecting and an answer take, in seconds.
CONNECT_SECONDS = 0.01
ANSWER_SECONDS = 0.03
# Pauses between changes of other keys, by the words of the step, in seconds.
CHANGING = {'seldom': 30.0, 'all the time': 0.05}
NEVER = 3600.0


def _read_clock():
    return asyncio.get_running_loop().time()


class FakeStore:
    """Answer each watch at once with one change."""

    def __init__(self):
        self.given_up = []
        self.times = []

    async def list_items(self, prefix, idle_seconds):
        self.answered = _read_clock()
        return result.Ok(storevalues.ItemBatch((), storevalues.Revision(0, 1)))

    async def watch(
        self,
        prefix,
        after,
        seconds,
        slack,
        connect_seconds,
        limit,
        idle_seconds,
    ):
        self.given_up.append(_read_clock() - self.answered + seconds + slack)
        self.times.append(_read_clock())
        await asyncio.sleep(0)
        self.answered = _read_clock()
        revision = storevalues.Revision(0, after.number + 1)
        item = storevalues.Item('other', b'', revision)
        return result.Ok(storevalues.ItemBatch((item,), revision))


@behave.given(
    'a follower whose endpoints may be used for {drain:f} s while they leave'
)
def make_follower(context, drain):
    context.store = FakeStore()
    context.follower = follower.Follower(
        edge_settings.make_state(drain=drain),
        context.store,
        lambda item: None,
    )


@behave.given(
    'two others of its failure domain that read the same until a change'
)
def share_readings(context):
    context.shares = True


def _share(context, state, start, is_current):
    """Let other entries read the same, if the scenario says so."""
    if 'shares' in context:
        demand = sharedreaders.SETTINGS
        state.settings = attrs.evolve(state.settings, demand=demand)
        start(sharedreaders.report_same(state, is_current))


@behave.when('it watches the store for a while')
def watch_store(context):
    async def run():
        followed = context.follower
        try:
            async with asyncio.timeout(1.0), asyncio.TaskGroup() as group:
                _share(
                    context,
                    followed._state,
                    group.create_task,
                    lambda: False,
                )
                await followed.run()
        except TimeoutError:
            pass

    loop = virtualtime.Loop()
    context.stack.callback(loop.close)
    with virtualtime.replace_clocks(loop, MODULES):
        loop.run_until_complete(run())


@behave.then(
    'its watches are given up {silence:f} s after an answer and begin'
    ' {pause:f} s after news at the earliest'
)
def check_watches(context, silence, pause):
    times = context.store.times
    assert len(times) >= 3, times
    given_up = context.store.given_up
    assert all(abs(each - silence) < 1e-6 for each in given_up), given_up
    gaps = [later - sooner for sooner, later in zip(times, times[1:])]
    assert min(gaps) >= pause * 0.99, gaps


@behave.then(
    'with a drain time of {drain:g} s silence, pause, connection and reserve'
    ' take {total:g} s'
)
def check_sum(context, drain, total):
    budget = context.budget = watchbudget.WatchBudget.from_drain(drain)
    steps = (
        budget.silence,
        budget.jitter,
        budget.connect,
        watchbudget.RESERVE_FRACTION * drain,
    )
    assert abs(sum(steps) - total) < 1e-9, steps


@behave.then(
    'a watch waits for {calm:g} s after an empty answer and {busy:g} s after'
    ' news'
)
def check_waits(context, calm, busy):
    budget = context.budget
    waits = budget.choose_wait(0.0), budget.choose_wait(budget.batch)
    assert abs(waits[0] - calm) < 1e-9 and abs(waits[1] - busy) < 1e-9, waits


@behave.given('a store at which something changes {changing}')
def choose_changes(context, changing):
    context.pause = CHANGING[changing]


@behave.when(
    '{lost:d} answer is lost at each of {count:d} leavings with a drain time'
    ' of {drain:g} s'
)
def play_leavings(context, lost, count, drain):
    loop = virtualtime.Loop()
    context.stack.callback(loop.close)
    context.drain = drain
    with virtualtime.replace_clocks(loop, MODULES):
        work = _play_leavings(context, lost, count, drain)
        context.delays = loop.run_until_complete(work)


async def _play_leavings(context, lost, count, drain):
    """Let endpoints leave one after the other.

    :returns: times until the entry knew it, in seconds
    """
    random.seed(7)
    rng = random.Random(7)
    store = stores.Store()
    state = edge_settings.make_state(drain=drain)
    client = store_module.Store(edge_settings.ADDRESS)
    network = client._pool = storenetwork.Network(store)
    network.connect_seconds = CONNECT_SECONDS
    network.answer_seconds = ANSWER_SECONDS
    followed = follower.Follower(state, client, lambda item: None)

    async def change():
        for number in range(10**9):
            await asyncio.sleep(context.pause)
            await store.put('other', number)

    tasks = [
        asyncio.ensure_future(change()),
        asyncio.ensure_future(followed.run()),
    ]
    written = {}

    def is_current():
        known = state.endpoints
        return all(
            name in known and known[name].draining is draining
            for name, draining in written.items()
        )

    _share(
        context,
        state,
        lambda work: tasks.append(asyncio.ensure_future(work)),
        is_current,
    )
    delays = []
    for number in range(count):
        name = f'i-{number}'
        row = edge_settings.make_row()
        written[name] = False
        await store.put(f'servers/{name}', row)
        await asyncio.sleep(rng.uniform(2 * drain, 4 * drain))
        began = state.now
        network.lose = lost
        written[name] = True
        await store.put(f'servers/{name}', {**row, 'state': 'draining'})
        while not state.endpoints[name].draining:
            await asyncio.sleep(0.005)
            assert state.now < began + NEVER
        delays.append(state.now - began)
    for task in tasks:
        task.cancel()
    await asyncio.sleep(0.1)
    return delays


@behave.then(
    'each of them is known within 0.8 of the drain time and the last answer'
)
def check_delays(context):
    longest = max(context.delays)
    bound = 0.8 * context.drain + CONNECT_SECONDS + ANSWER_SECONDS + 0.01
    assert longest <= bound, f'{longest:.3f} s, {bound:.3f} s allowed'


@behave.given(
    'a store that was away for {away:g} s at a drain time of {drain:g} s'
)
def lose_store(context, away, drain):
    context.away, context.drain = away, drain


@behave.when(
    'an endpoint is removed {after:g} s after the entry has found it again'
)
def remove_after_outage(context, after):
    loop = virtualtime.Loop()
    context.stack.callback(loop.close)
    with virtualtime.replace_clocks(loop, MODULES):
        work = _remove_after_outage(context.away, context.drain, after)
        context.removed_after = loop.run_until_complete(work)


async def _remove_after_outage(away, drain, after):
    """Remove an endpoint shortly after an outage.

    :returns: time from the end of the outage for the entry until it is out of
        use, in seconds
    """
    random.seed(7)
    store = stores.Store()
    state = edge_settings.make_state(drain=drain)
    client = store_module.Store(edge_settings.ADDRESS)
    network = client._pool = storenetwork.Network(store)
    network.answer_seconds = ANSWER_SECONDS
    followed = follower.Follower(state, client, lambda item: None)
    await store.put('servers/i-0', edge_settings.make_row())
    task = asyncio.ensure_future(followed.run())
    await asyncio.sleep(2 * drain)
    network.cut = True
    # What waits at the store ends with a change, and is reset.
    await store.put('other', 1)
    await asyncio.sleep(away)
    network.cut = False
    while followed._failing_since is not None:
        await asyncio.sleep(0.001)
    began = state.now
    await asyncio.sleep(after)
    await store.remove('servers/i-0')
    while state.endpoints:
        await asyncio.sleep(0.005)
    task.cancel()
    await asyncio.sleep(0.1)
    return state.now - began - 0.1


@behave.then('it is out of use {seconds:g} s after that at the latest')
def check_removed(context, seconds):
    assert context.removed_after <= seconds, context.removed_after


@behave.given('an entry that follows a store with version {version:d}')
def make_versions(context, version):
    context.version = version


@behave.when('version {version:d} and a malformed version come in one answer')
def write_malformed(context, version):
    loop = virtualtime.Loop()
    context.stack.callback(loop.close)
    with virtualtime.replace_clocks(loop, MODULES):
        work = _write_malformed(context.version, version)
        context.state = loop.run_until_complete(work)


async def _write_malformed(first, version):
    store = stores.Store()
    state = edge_settings.make_state()
    client = store_module.Store(edge_settings.ADDRESS)
    network = client._pool = storenetwork.Network(store)
    network.answer_seconds = ANSWER_SECONDS
    followed = follower.Follower(state, client, lambda item: None)
    await store.put('op/config', operators.make_configuration(first))
    task = asyncio.ensure_future(followed.run())
    await asyncio.sleep(2.0)
    # The pause that batches changes brings both in one answer.
    await store.put('other', 1)
    await asyncio.sleep(2 * ANSWER_SECONDS)
    await store.put('op/config', operators.make_configuration(version))
    malformed = operators.make_invalid_configuration(version + 1)
    await store.put('op/config', malformed)
    await asyncio.sleep(2.0)
    task.cancel()
    await asyncio.sleep(0.1)
    return state


@behave.then('version {version:d} is in force and the other one is refused')
def check_malformed(context, version):
    assert context.state.version == version, context.state.version
    refused = context.state.counters.refused_items.labels('configuration')
    assert refused._value.get() == 1, refused._value.get()
