"""Steps for what entries tell each other of endpoints that leave."""

import asyncio
import random

import attrs
import behave
from dunlintide_core.pipeline import watchbudget
from dunlintide_daemon.gateway import departurenotices
from dunlintide_daemon.gateway import follower
from dunlintide_daemon.gateway import gossip
from dunlintide_daemon.gateway import gossipmessages
from dunlintide_daemon.gateway import state as state_module
from dunlintide_platform import keys
from dunlintide_platform import listings
from dunlintide_platform import store as store_module
from dunlintide_platform import storevalues
from dunlintide_standins.fleet import operators
from dunlintide_standins.fleet import store as stores
import edge_settings
import sharedreaders
import storenetwork
import virtualtime

MODULES = (state_module, follower, stores)
ANSWER_SECONDS = 0.02
# Time for which calls of the store are counted, in seconds.
COUNT_SECONDS = 40.0
# Width of a link of 10 Mbit/s, in bytes per second.
BANDWIDTH = 1_250_000
LARGE_VERSIONS = 8
ADDRESS = '10.0.0.1:80'


class _Clock:
    """A clock that is set by hand."""

    def __init__(self):
        self.now = 1000.0

    def time(self):
        return self.now


def _apply(context, name, value):
    context.revision += 1
    revision = storevalues.Revision(0, context.revision)
    item = storevalues.Item(f'servers/{name}', value, revision)
    context.follower.apply(item)


def _list(context, count, **more):
    context.clock = _Clock()
    context.stack.enter_context(
        virtualtime.replace_clocks(context.clock, MODULES)
    )
    context.state = edge_settings.make_state()
    context.revision = 0
    context.follower = follower.Follower(
        context.state, None, lambda item: None
    )
    for number in range(count):
        row = {**edge_settings.make_row(), **more}
        _apply(context, f'i-{number}', edge_settings.encode_row(row))
    context.state.has_listing = True
    context.state.listing_read_at = context.clock.now
    context.gossip = gossip.Gossip(context.state)


@behave.given('an entry that lists {count:d} endpoints')
def list_endpoints(context, count):
    _list(context, count)


@behave.given('an entry that lists {count:d} engines')
def list_engines(context, count):
    layers = [{'from': 0, 'to': 9, 'version': 1}]
    _list(context, count, route_type='small', layers=layers)


@behave.given('its listing is {age:g} s old with a drain time of {drain:g} s')
def age_listing(context, age, drain):
    assert context.state.settings.drain == drain
    context.clock.now += age


def _receive(context, leaving=(), removed=()):
    message = gossipmessages.MessageWithRemovals(
        'two',
        0,
        [],
        list(map(gossipmessages.digest, leaving)),
        [],
        [],
        [],
        removed=list(map(gossipmessages.digest, removed)),
    )
    data = gossipmessages.encode(message)
    context.gossip.datagram_received(data, ('127.0.0.1', 1))


@behave.when('another entry says that the store removed {count:d} of them')
def say_removed(context, count):
    context.clock.now += 0.1
    _receive(context, removed=[f'i-{number}' for number in range(count)])


@behave.when('another entry says that 1 of them {leaves}')
def say_leaving(context, leaves):
    if leaves == 'leaves':
        _receive(context, leaving=['i-0'])
    else:
        _receive(context, removed=['i-0'])


@behave.given(
    'the store was away for {seconds:g} s and removes 1 of them just after'
)
def remove_after_outage(context, seconds):
    context.follower._failing_since = context.clock.now
    context.clock.now += seconds
    context.follower._record_success()
    _apply(context, 'i-0', None)


@behave.when('a reading of the store that began {when} that still lists them')
def read_store(context, when):
    sign = -1 if when == 'before' else 1
    began = context.clock.now + sign * 0.05
    context.clock.now += 0.1
    context.follower._confirm_removals(began)


@behave.when('{seconds:g} s pass without the store')
def pass_time(context, seconds):
    context.clock.now += seconds
    departurenotices.expire_departures(context.state)


@behave.then('{count:d} endpoints are used')
def check_used(context, count):
    used = context.state.list_endpoints('web')
    assert len(used) == count, used


@behave.then('{count:d} engines get streams')
def check_engines(context, count):
    profile = edge_settings.make_profile()
    used = context.state.list_engines('web', profile)
    assert len(used) == count, used


@behave.then('{count:d} engines count as holders of their layers')
def check_holders(context, count):
    state = context.state
    holders = state.list_engines(
        'web',
        edge_settings.make_profile(),
        trusts_others=state.is_listing_fresh,
    )
    assert len(holders) == count, holders


class _Transport:
    """Deliver datagrams of an entry, and lose some."""

    def __init__(self, fleet, rng):
        self._fleet = fleet
        self._rng = rng

    def sendto(self, data, address):
        if self._rng.random() < self._fleet.lost:
            return
        receiver = self._fleet.entries[address[1]].gossip
        loop = asyncio.get_running_loop()
        loop.call_later(0.01, receiver.datagram_received, data, ('x', 1))


class _Entry:
    """The parts of an entry that follow the store and the others."""

    def __init__(self, fleet, number, domain):
        rng = random.Random(number)
        self.state = edge_settings.make_state(
            edge_settings.SilentLog(),
            name=f'e{number}',
            failure_domain=domain,
            drain=fleet.drain,
        )
        client = store_module.Store(edge_settings.ADDRESS)
        network = storenetwork.Network(fleet.store)
        self.network = client._pool = network
        network.answer_seconds = ANSWER_SECONDS
        network.is_lost = lambda: rng.random() < fleet.lost
        self.follower = follower.Follower(
            self.state, client, lambda item: None
        )
        self.gossip = gossip.Gossip(self.state)
        self.gossip.connection_made(_Transport(fleet, rng))

    async def run(self, delay):
        await asyncio.sleep(delay)
        await asyncio.gather(self.follower.run(), self.gossip.run())


class _Fleet:
    """Entries, each with a follower and its gossip, in virtual time."""

    def __init__(self, count, domains, drain):
        self.drain = drain
        self.lost = 0.0
        self.change_seconds = 0.0
        self.first_delays = []
        self.store = stores.Store()
        self.entries = [
            _Entry(self, number, f'd{number % domains}')
            for number in range(count)
        ]
        for entry in self.entries:
            for number, other in enumerate(self.entries):
                name = other.state.settings.name
                domain = other.state.settings.failure_domain
                address = f'127.0.0.1:{number}'
                entry.gossip.set_entry(
                    keys.Entry(name, domain, address, address)
                )

    async def play(self, lost, leavings):
        """Let endpoints leave one after the other.

        :returns: time until the last entry knew each of them, in seconds
        """
        rng = random.Random(3)
        random.seed(3)
        for number in range(leavings):
            row = edge_settings.make_row()
            await self.store.put(f'servers/i-{number}', row)
        tasks = [
            asyncio.ensure_future(entry.run(rng.uniform(0, self.drain)))
            for entry in self.entries
        ]
        tasks.append(asyncio.ensure_future(self._change_others()))
        await asyncio.sleep(2 * self.drain)
        self.lost = lost
        delays = []
        for number in range(leavings):
            await asyncio.sleep(rng.uniform(self.drain, 2 * self.drain))
            delays.append(await self._leave(f'i-{number}'))
        for task in tasks:
            task.cancel()
        await asyncio.sleep(0.1)
        return delays

    async def count_calls(self, seconds):
        """Return the calls of the store of entries that begin together."""
        random.seed(3)
        tasks = [asyncio.ensure_future(entry.run(0)) for entry in self.entries]
        tasks.append(asyncio.ensure_future(self._change_others()))
        await asyncio.sleep(5 * self.drain)
        before = self._sum_calls()
        await asyncio.sleep(seconds)
        made = self._sum_calls() - before
        for task in tasks:
            task.cancel()
        await asyncio.sleep(0.1)
        return made

    async def write_versions(self, size):
        """Write small and large versions in turn.

        :returns: time until each large one is in force at all entries
        """
        rng = random.Random(3)
        random.seed(3)
        for entry in self.entries:
            entry.network.bandwidth = BANDWIDTH
        tasks = [
            asyncio.ensure_future(entry.run(rng.uniform(0, self.drain)))
            for entry in self.entries
        ]
        tasks.append(asyncio.ensure_future(self._change_others()))
        delays = []
        for version in range(1, 2 * LARGE_VERSIONS + 1):
            made = operators.make_configuration(version)
            is_large = version % 2 == 0
            if is_large:
                made['services'][0]['health_path'] = '/' + 'h' * size
            began = asyncio.get_running_loop().time()
            await self.store.put('op/config', made)
            while any(each.state.version < version for each in self.entries):
                await asyncio.sleep(0.01)
            if is_large:
                delays.append(asyncio.get_running_loop().time() - began)
            await asyncio.sleep(rng.uniform(2 * self.drain, 4 * self.drain))
        for task in tasks:
            task.cancel()
        await asyncio.sleep(0.1)
        return delays

    def _sum_calls(self):
        return sum(entry.network.calls for entry in self.entries)

    async def _leave(self, name):
        began = asyncio.get_running_loop().time()
        row = edge_settings.make_row('draining')
        await self.store.put(f'{listings.ENDPOINT_PREFIX}{name}', row)
        self.first_delays.append(None)
        while not all(drains := self._list_draining(name)):
            if any(drains) and self.first_delays[-1] is None:
                now = asyncio.get_running_loop().time()
                self.first_delays[-1] = now - began
            await asyncio.sleep(0.01)
        return asyncio.get_running_loop().time() - began

    def _list_draining(self, name):
        return [entry.state.endpoints[name].draining for entry in self.entries]

    def share_readings(self):
        """Let entries share readings while other keys change."""
        self.change_seconds = 0.05
        for entry in self.entries:
            entry.state.settings = attrs.evolve(
                entry.state.settings, demand=sharedreaders.SETTINGS
            )

    async def _change_others(self):
        number = 0
        while self.change_seconds:
            number += 1
            await self.store.put('other', number)
            await asyncio.sleep(self.change_seconds)


@behave.given(
    '{count:d} entries in {domains:d} failure domains and a drain time of'
    ' {drain:g} s'
)
def make_fleet(context, count, domains, drain):
    context.loop = virtualtime.Loop()
    context.stack.callback(context.loop.close)
    context.stack.enter_context(
        virtualtime.replace_clocks(context.loop, MODULES)
    )
    context.fleet = _Fleet(count, domains, drain)
    context.lost = 0.0


@behave.given('they share their readings while other keys change all the time')
def share_readings(context):
    context.fleet.share_readings()


@behave.when(
    'versions of {size:d} bytes follow small ones over links of 10 Mbit/s'
)
def write_versions(context, size):
    work = context.fleet.write_versions(size)
    context.delays = context.loop.run_until_complete(work)


@behave.then('all of them are in force within 0.8 of the bound')
@behave.then('all entries know each of them within 0.8 of the drain time')
def check_spread(context):
    longest = max(context.delays)
    assert longest <= 0.8 * context.fleet.drain, sorted(context.delays)


@behave.given('they share their readings while nothing else changes')
def share_calm_readings(context):
    context.fleet.share_readings()
    context.fleet.change_seconds = 0.0


@behave.then('all entries know each of them within {seconds:g} s of the first')
def check_distance(context, seconds):
    firsts = context.fleet.first_delays
    pairs = zip(context.delays, firsts, strict=True)
    # Where one step finds all of them informed, there is no earlier first.
    longest = max(
        last - (last if first is None else first) for last, first in pairs
    )
    assert longest <= seconds, longest


@behave.when('all of them begin at the same moment')
def count_calls(context):
    work = context.fleet.count_calls(COUNT_SECONDS)
    context.calls = context.loop.run_until_complete(work)


@behave.then(
    'they call the store at most {fraction:g} times as often as without'
)
def check_calls(context, fraction):
    # Without sharing each entry reads after each pause and answer.
    batch = watchbudget.WatchBudget.from_drain(context.fleet.drain).batch
    alone = COUNT_SECONDS / (batch + ANSWER_SECONDS)
    most = fraction * alone * len(context.fleet.entries)
    assert context.calls <= most, (context.calls, most)


@behave.then('one entry knows each of them within the pause of {pause:g} s')
def check_first(context, pause):
    # An answer is on its way when its reading seems to have been made.
    longest = max(context.fleet.first_delays)
    assert longest <= pause + 2 * ANSWER_SECONDS + 0.06, longest


@behave.when("a third of the store's answers and of the messages is lost")
def lose_third(context):
    context.lost = 1 / 3


@behave.when('{leavings:d} endpoints leave, one after the other')
def leave_in_turn(context, leavings):
    work = context.fleet.play(context.lost, leavings)
    context.delays = context.loop.run_until_complete(work)
