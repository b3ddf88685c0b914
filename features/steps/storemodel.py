"""Model test of entries whose store is restored from older backups."""

import asyncio
import contextlib
from unittest import mock

import behave
from dunlintide_daemon.gateway import follower
from dunlintide_daemon.gateway import leadership
from dunlintide_daemon.gateway import registrar
from dunlintide_daemon.gateway import state as state_module
from dunlintide_platform import keys
from dunlintide_platform import store as store_module
from dunlintide_standins.fleet import operators
from dunlintide_standins.fleet import store as stores
import edge_settings
import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import storenetwork
import virtualtime

NAMES = ('one', 'two', 'three')
RUNNERS = ('i-1', 'i-2', 'i-3', 'i-4')
# Time to converge after the last fault, and the longest that a version may
# take to be in force, in seconds.
SETTLE_SECONDS = 14.0
APPLY_SECONDS = 2.0
MODULES = (state_module, leadership, follower, stores)
# Routes of a large configuration, the size from which an answer counts as
# large, and the bandwidth of each entry in bytes per second: reading one takes
# 0.4 s.
ROUTES = 40
LARGE_BYTES = 8000
BANDWIDTH = 40_000.0


class _Log:
    """Collect the log records of an entry."""

    def __init__(self):
        self.rows = []

    def write(self, event, **fields):
        self.rows.append((event, fields))

    write_always = write


class _Entry:
    """The components of an entry that follow the store."""

    def __init__(self, name, store, loop):
        self.log = _Log()
        self.state = edge_settings.make_state(self.log, name=name)
        self.client = store_module.Store(edge_settings.ADDRESS)
        self.network = self.client._pool = storenetwork.Network(store)
        self.listed = {name}
        self.versions = []
        self.seen = set()
        self.leaving = set()
        entry = keys.Entry(name, 'a', '127.0.0.1:1', '127.0.0.1:2')
        self.registrar = registrar.Registrar(self.state, self.client, entry)
        self.leadership = leadership.Leadership(self.state, self.client)
        self.follower = follower.Follower(
            self.state, self.client, self._handle_item
        )
        self.client.era_listeners += (
            self.registrar.begin_era,
            self.leadership.begin_era,
            self.follower.begin_era,
        )
        self._tasks = [
            loop.create_task(part.run())
            for part in (self.follower, self.registrar, self.leadership)
        ]

    async def receive(self, value, revision):
        """Take in a configuration that another entry sends."""
        loaded = await self.follower._loader.load(value, 'other', revision)
        loaded.unwrap()
        if revision is not None:
            self.follower.skip_configuration(revision)

    def _handle_item(self, item):
        name = item.key.removeprefix(keys.ENTRY_PREFIX)
        if item.key == keys.LEADER_KEY:
            self.leadership.handle_item(item)
        elif name == self.state.settings.name:
            self.registrar.handle_item(item)
        elif item.value is None:
            self.listed.discard(name)
        else:
            self.listed.add(name)

    def list_usable(self):
        return {
            each.name
            for each in self.state.endpoints.values()
            if not each.draining
        }

    def stop(self):
        for task in self._tasks:
            task.cancel()


class StoreMachine(stateful.RuleBasedStateMachine):
    """Writes, runners, restores, cuts and restarts in any order."""

    def __init__(self):
        super().__init__()
        self.stack = contextlib.ExitStack()
        self.loop = virtualtime.Loop()
        self.stack.callback(self.loop.close)
        self.stack.enter_context(
            virtualtime.replace_clocks(self.loop, MODULES)
        )
        self.version = 7
        self.runners = {}
        self.left = set()
        self.slots = dict.fromkeys(RUNNERS, 1)
        self.seq = 0
        self.run(self._start())

    async def _start(self):
        self.store = stores.Store()
        self.sweeper = self.loop.create_task(self.store._expire_leases())
        await self._configure()
        for name in RUNNERS:
            await self._list(name, 'ready')
        self.store.make_backup()
        self.entries = [_Entry(name, self.store, self.loop) for name in NAMES]
        self.ended = []
        await asyncio.sleep(SETTLE_SECONDS)

    def run(self, work):
        return self.loop.run_until_complete(work)

    async def _configure(self):
        await self.store.put('op/config', self._make_configuration())

    def _make_configuration(self):
        return operators.make_configuration(self.version)

    async def _list(self, name, state):
        self.runners[name] = state
        self.seq += 1
        row = edge_settings.make_row(state, self.slots[name], self.seq)
        await self.store.report(f'servers/{name}', row)

    @stateful.rule(seconds=strategies.sampled_from((0.05, 0.3, 1.0, 4.0)))
    def wait(self, seconds):
        self.run(asyncio.sleep(seconds))

    @stateful.rule(step=strategies.integers(1, 4))
    def write_version(self, step):
        self.version += step
        self.run(self._configure())

    @stateful.rule(name=strategies.sampled_from(RUNNERS))
    def beat(self, name):
        if name not in self.left:
            self.run(self._list(name, self.runners[name]))

    @stateful.rule(name=strategies.sampled_from(RUNNERS))
    def change(self, name):
        if name not in self.left:
            self.slots[name] += 1
            self.run(self._list(name, self.runners[name]))

    @stateful.rule(name=strategies.sampled_from(RUNNERS))
    def expire(self, name):
        self.run(self.store.expire(f'servers/{name}'))

    @stateful.rule(name=strategies.sampled_from(RUNNERS[1:]))
    def drain(self, name):
        if name not in self.left:
            # No runner returns: it would be another runner with another id.
            self.run(self._list(name, 'draining'))

    @stateful.rule(name=strategies.sampled_from(RUNNERS[1:]))
    def leave(self, name):
        self.left.add(name)
        self.run(self.store.remove(f'servers/{name}'))

    @stateful.rule()
    def copy(self):
        self.store.make_backup()

    @stateful.rule(
        seconds=strategies.sampled_from((0.05, 0.5, 2.5)),
        later=strategies.sampled_from((0.0, 0.8)),
    )
    def drill(self, seconds, later):
        async def come_back():
            self.store.faults.away = True
            await self.store.restore_backup()
            await asyncio.sleep(seconds)
            self.store.faults.away = False
            await asyncio.sleep(later)
            self.check_leaving()
            await self.store.rewrite_platform_keys()

        self.run(come_back())

    @stateful.rule(index=strategies.integers(0, 2))
    def cut(self, index):
        network = self.entries[index].network
        network.cut = not network.cut

    @stateful.rule(index=strategies.integers(0, 2))
    def lose_answers(self, index):
        self.entries[index].network.late = 2

    @stateful.rule(index=strategies.integers(0, 2))
    def restart(self, index):
        entry = self.entries[index]
        entry.stop()
        self.ended.append(entry)
        self.entries[index] = _Entry(NAMES[index], self.store, self.loop)

    @stateful.invariant()
    def fences_rise(self):
        fences = sorted(
            (fields['era'], fields['revision'], fields['fence'])
            for entry in self.entries + self.ended
            for event, fields in entry.log.rows
            if event == 'leadership gained'
        )
        numbers = [fence for _, _, fence in fences]
        assert numbers == sorted(set(numbers)), fences

    @stateful.invariant()
    def check_leaving(self):
        """Check that no entry uses a runner again that it saw leave."""
        for entry in self.entries:
            usable = entry.list_usable()
            assert not usable & entry.leaving, (usable, entry.leaving)
            leaving = {
                name
                for name, state in self.runners.items()
                if state == 'draining' or name in self.left
            }
            entry.leaving |= leaving & entry.seen - usable
            entry.seen |= usable

    @stateful.invariant()
    def versions_rise(self):
        for entry in self.entries:
            entry.versions.append(entry.state.version)
            assert entry.versions == sorted(entry.versions)

    def teardown(self):
        for entry in self.entries:
            entry.network.cut = False
            entry.network.late = 0
        try:
            for name, state in self.runners.items():
                if name not in self.left:
                    self.run(self._list(name, state))
            self.run(asyncio.sleep(SETTLE_SECONDS))
            self.version += 1
            self.run(self._configure())
            self.run(asyncio.sleep(APPLY_SECONDS))
            self._check_settled()
        finally:
            for entry in self.entries:
                entry.stop()
            self.sweeper.cancel()
            self.run(asyncio.sleep(0.1))
            self.stack.close()

    def _check_settled(self):
        ready = {
            name
            for name, state in self.runners.items()
            if state == 'ready' and name not in self.left
        }
        leading = []
        for entry in self.entries:
            name = entry.state.settings.name
            assert entry.state.version == self.version, name
            assert entry.listed == set(NAMES), (name, entry.listed)
            assert self.store.get(keys.make_entry_key(name)), name
            assert entry.list_usable() == ready, (name, entry.list_usable())
            for each in entry.state.endpoints.values():
                assert each.slots == self.slots[each.name], (name, each)
            if entry.leadership.is_leading:
                leading.append(entry.leadership)
        assert len(leading) == 1, [each.fence for each in leading]
        seat = self.store.get(keys.LEADER_KEY).decode()
        assert seat.startswith(leading[0]._identity), seat


class LargeStoreMachine(StoreMachine):
    """The same with large configurations, narrow links and neighbours."""

    def __init__(self):
        self.patch = mock.patch.object(
            follower, 'LARGE_ANSWER_BYTES', LARGE_BYTES
        )
        self.patch.start()
        self.sent = []
        super().__init__()

    def _make_configuration(self):
        made = super()._make_configuration()
        return operators.add_routes(made, ROUTES)

    async def _start(self):
        await super()._start()
        for entry in self.entries:
            entry.network.bandwidth = BANDWIDTH

    @stateful.rule(index=strategies.integers(0, 2))
    def copy_configuration(self, index):
        """Note what an entry would send, to be received sooner or later."""
        state = self.entries[index].state
        if state.configuration_value:
            revision = state.configuration_origin.revision
            self.sent.append((state.configuration_value, revision))

    @stateful.precondition(lambda self: self.sent)
    @stateful.rule(
        index=strategies.integers(0, 2), age=strategies.integers(0, 3)
    )
    def receive(self, index, age):
        value, revision = self.sent[-1 - age % len(self.sent)]
        self.run(self.entries[index].receive(value, revision))

    @stateful.rule(index=strategies.integers(0, 2))
    def lose_watch(self, index):
        self.entries[index].network.lose = 1

    def teardown(self):
        for entry in self.entries:
            entry.network.lose = 0
        try:
            super().teardown()
        finally:
            self.patch.stop()


@behave.when('troubles of the store come in {count:d} orders')
def play(context, count):
    _play(StoreMachine, count)


@behave.when(
    'the same come in {count:d} orders beside large configurations, narrow'
    ' links and neighbours'
)
def play_large(context, count):
    _play(LargeStoreMachine, count)


def _play(machine, count):
    stateful.run_state_machine_as_test(
        machine,
        settings=hypothesis.settings(
            max_examples=count,
            stateful_step_count=25,
            derandomize=True,
            deadline=None,
            database=None,
            print_blob=False,
            suppress_health_check=list(hypothesis.HealthCheck),
        ),
    )


@behave.when('an endpoint is gone and two copies that hold it come back')
def return_from_copies(context):
    machine = context.machine = StoreMachine()
    context.stack.callback(machine.stack.close)
    machine.check_leaving()
    machine.leave(RUNNERS[-1])
    machine.wait(1.0)
    machine.check_leaving()
    for _ in range(2):
        # The copy holds the endpoint until the platform writes again.
        machine.drill(0.05, 0.8)
        machine.wait(SETTLE_SECONDS / 2)


@behave.then('no entry uses it again')
def check_gone(context):
    context.machine.check_leaving()
    context.machine.teardown()


@behave.then('all entries are in step again after each of them')
def check_in_step(context):
    """Pass: the state machine checks each order in the step before."""
