"""Steps of demandtable.feature."""

import asyncio
import random

import behave
from dunlintide_core.pipeline import demandrows
from dunlintide_core.pipeline import demandtable
from dunlintide_core.pipeline import settings
from dunlintide_daemon.gateway import demandcodec
from dunlintide_daemon.gateway import gossip
from dunlintide_daemon.gateway import state as state_module
from dunlintide_platform import keys
import edge_settings
import msgspec
import virtualtime

SERVICE = '1'
START = 1000.0
HEADER_BYTES = 28
DELAY_SECONDS = 0.01
SHARED = settings.Demand(sharing=settings.Sharing.ON)


def _make_row(text):
    service, priority, team, *numbers = text.split()
    return demandrows.Row(
        demandrows.digest(service),
        int(priority),
        demandrows.digest(team),
        *map(int, numbers),
    )


def _kind(priority, team='red'):
    return demandrows.Kind(SERVICE, priority, team)


@behave.given('a table')
def make_table(context):
    context.is_shared = True
    context.demand = demandtable.DemandTable(lambda name: context.is_shared)


@behave.given('a table of {count:d} other entries')
def make_listed(context, count):
    make_table(context)
    context.demand.set_listed(count)


@behave.given(
    'a table where team red has 2 of weight 2 in flight and 1 waiting at'
    ' priority 1'
)
def make_used(context):
    make_table(context)
    for _ in range(2):
        context.demand.record_arrival(_kind(1), 2, START)
        context.demand.record_start(_kind(1), 2, START)
    context.demand.record_arrival(_kind(1), 2, START)


@behave.given('a table with 10 waiting teams and 50 with requests in flight')
def make_teams(context):
    make_table(context)
    kinds = [_kind(1, f'team {number}') for number in range(50)]
    for number, kind in enumerate(kinds):
        for _ in range(number):
            context.demand.record_start(kind, 1, START - 1, waited=False)
    for kind in kinds:
        context.demand.record_start(kind, 1, START, waited=False)
    for number in range(10):
        context.demand.record_arrival(_kind(1, f'idle {number}'), 1, START)


@behave.given(
    'a table with a request of priority {priority:d} and weight {weight} that'
    ' waits and one in flight'
)
def make_odd(context, priority, weight):
    make_table(context)
    kind = _kind(priority)
    context.demand.record_start(kind, float(weight), START, waited=False)
    context.demand.record_arrival(kind, float(weight), START)


@behave.then(
    'its notice is read with priority {priority:d} and a load of {load:d}'
)
def check_odd(context, priority, load):
    rows = context.demand.list_rows(START)
    notice = demandcodec.Notice('e', 1, rows)
    read = demandcodec.decode(demandcodec.encode(notice)).unwrap()
    ((found, told),) = ((row.priority, row.load) for row in read.rows)
    assert (found, told) == (priority, load), read.rows


@behave.when('entry {one} tells {row} and entry {other} tells {second}')
def tell_two(context, one, row, other, second):
    context.demand.receive(one, [_make_row(row)], START)
    context.demand.receive(other, [_make_row(second)], START)
    context.told = _make_row(second)


@behave.when('{count:d} of them tell {row}')
def tell_many(context, count, row):
    for number in range(count):
        context.demand.receive(f'e{number}', [_make_row(row)], START)


@behave.when('entry {name} repeats it after {seconds:g} s')
def repeat(context, name, seconds):
    context.demand.receive(name, [context.told], START + seconds)


@behave.then('team red has a load of {load:g} at priority 1')
def check_load(context, load):
    found = context.demand.get_load(SERVICE, 1, 'red', START)
    assert abs(found - load) < 0.001, found


@behave.then('{rate:g} requests start a second')
def check_rate(context, rate):
    found = context.demand.get_start_rate(SERVICE, START + 0.1)
    assert found == rate, found


@behave.then(
    'the totals of red are {own:d} and {told:g} waiting, {load:g} and'
    ' {told_load:g} in flight'
)
def check_totals(context, own, told, load, told_load):
    (total,) = context.demand.list_totals(START)
    found = total.waiting, total.told_waiting, total.load, total.told_load
    assert found == (own, told, load, told_load), total
    assert total.kind == _kind(1) and total.waiting_since == START, total


def _check_outranking(context, priority, load, names, ahead):
    found = context.demand.find_outranking(SERVICE, priority, load, START)
    assert list(found) == names.split(), found
    found = context.demand.count_ahead(SERVICE, priority, load, START)
    assert found == ahead, found


@behave.then(
    'a request of priority {priority:d} and load {load:g} waits for {names},'
    ' with {ahead:g} ahead'
)
def check_outranking(context, priority, load, names, ahead):
    _check_outranking(context, priority, load, names, ahead)


@behave.then(
    'a request of priority {priority:d} and load {load:g} waits for , with'
    ' {ahead:g} ahead'
)
def check_first(context, priority, load, ahead):
    _check_outranking(context, priority, load, '', ahead)


@behave.then('after {seconds:g} s requests are known to wait at {names}')
def check_waiting(context, seconds, names):
    found = context.demand.find_outranking(SERVICE, 3, 0, START + seconds)
    expected = [] if names == 'none' else names.split()
    assert sorted(found) == expected, found
    pressed = context.demand.is_pressed(SERVICE, START + seconds)
    assert pressed == bool(expected)


@behave.then('about {ahead:g} requests are ahead and {rate:g} start a second')
def check_scaled(context, ahead, rate):
    found = context.demand.count_ahead(SERVICE, 2, 0, START)
    assert abs(found - ahead) < 0.001, found
    found = context.demand.get_start_rate(SERVICE, START)
    assert abs(found - rate) < 0.001, found


@behave.when('the service is no longer shared')
def stop_sharing(context):
    context.is_shared = False


@behave.then('nothing of it is told, pressed, ahead or outranking')
def check_unshared(context):
    table = context.demand
    assert table.list_rows(START) == []
    assert not table.is_pressed(SERVICE, START)
    assert table.get_load(SERVICE, 1, 'red', START) == 0
    assert table.get_start_rate(SERVICE, START) == 0
    _check_outranking(context, 3, 9, '', 0)


@behave.then('nothing is left when its requests end and others come and go')
def check_empty(context):
    table = context.demand
    for kind in (_kind(1), _kind(1), _kind(2)):
        table.record_arrival(kind, 2, START)
        table.record_departure(kind, START)
        table.record_end(kind, 2, START)
        table.record_end(kind, 2, START)
    assert not table.has_waiting
    assert table.list_totals(START + 1.1) == []


@behave.when(
    '600 entries tell 100 rows each, of ever other services and teams'
)
def flood(context):
    for entry in range(600):
        rows = [
            demandrows.Row(entry, 1, number, 1, 1, 1) for number in range(100)
        ]
        context.demand.receive(f'e{entry}', rows, START)


@behave.then('512 entries with 64 rows each are kept')
def check_kept(context):
    assert len(context.demand.list_totals(START)) == 512 * 64


@behave.then('after {seconds:g} s none')
def check_none(context, seconds):
    assert context.demand.expire(START + seconds)
    assert not context.demand.expire(START + seconds)
    assert context.demand.list_totals(START + seconds) == []


@behave.then('32 rows are told, 10 of them waiting, then the largest loads')
def check_rows(context):
    context.rows = context.demand.list_rows(START)
    assert [row.waiting for row in context.rows] == [1] * 10 + [0] * 22
    loads = [row.load for row in context.rows[10:]]
    assert loads == list(range(500, 280, -10)), loads


@behave.then('with a limit of 4 only those that wait are told')
def check_limited(context):
    context.limited = context.demand.list_rows(START, 4)
    assert [row.waiting for row in context.limited] == [1] * 10


@behave.then('either tells all 50 starts')
def check_starts(context):
    for rows in (context.rows, context.limited):
        assert sum(row.started for row in rows) == 50, rows


class _Entry:
    """An entry that exchanges datagrams with others in virtual time."""

    def __init__(self, scene, number):
        self._scene = scene
        self.name = f'e{number}'
        self.state = edge_settings.make_state(
            edge_settings.SilentLog(),
            name=self.name,
            failure_domain=f'd{number % 3}',
            demand=SHARED,
        )
        self.gossip = gossip.Gossip(self.state)
        self.gossip.connection_made(self)
        self.sent = []

    def connect(self, entries):
        for number, other in enumerate(entries):
            domain, address = f'd{number % 3}', f'x:{number}'
            self.gossip.set_entry(
                keys.Entry(other.name, domain, address, address)
            )

    def sendto(self, data, address):
        self.sent.append((len(data) + HEADER_BYTES, address[1]))
        self._scene.deliver(data, address[1])

    def get_known(self):
        totals = self.state.demand.list_totals(self.state.now)
        return {each.team for each in totals if each.told_waiting}


class _Scene:
    """Entries, and a transport that may lose, double and delay datagrams."""

    def __init__(self, loop, count, is_faulty=False):
        self._random = random.Random(5)
        self.is_faulty = is_faulty
        self.loop = loop
        self.entries = [_Entry(self, number) for number in range(count)]
        for entry in self.entries:
            entry.connect(self.entries)

    def deliver(self, data, number):
        copies, delay = 1, DELAY_SECONDS
        if self.is_faulty:
            copies = self._random.choice((0, 0, 1, 2))
        for _ in range(copies):
            if self.is_faulty:
                delay = self._random.uniform(0, 0.2)
            receive = self.entries[number].gossip.datagram_received
            self.loop.call_later(delay, receive, data, ('x', 1))

    def run(self, seconds):
        async def run():
            tasks = [
                asyncio.ensure_future(each.gossip.demand.run())
                for each in self.entries
            ]
            await asyncio.sleep(seconds)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        self.loop.run_until_complete(run())

    def wait_at(self, entries, kinds):
        now = self.loop.time()
        for entry in entries:
            for number in range(kinds):
                kind = _kind(number % 3, f'{entry.name} {number}')
                entry.state.demand.record_arrival(kind, 1, now)

    def stop_waiting(self):
        for entry in self.entries:
            for total in entry.state.demand.list_totals(self.loop.time()):
                if total.waiting:
                    entry.state.demand.record_departure(
                        total.kind, self.loop.time()
                    )


def _make_scene(context, count, is_faulty=False):
    loop = virtualtime.Loop()
    context.stack.callback(loop.close)
    context.stack.enter_context(
        virtualtime.replace_clocks(loop, [state_module])
    )
    context.scene = _Scene(loop, count, is_faulty)


@behave.given('{count:d} entries')
def make_scene(context, count):
    _make_scene(context, count)


@behave.given(
    '{count:d} entries, and half of the notices lost, doubled and late by up'
    ' to 0.2 s'
)
def make_faulty_scene(context, count):
    _make_scene(context, count, True)


@behave.given('an entry among 3 others')
def make_entry(context):
    _make_scene(context, 4)
    context.entry = context.scene.entries[0]


def _receive(context, data):
    context.entry.gossip.datagram_received(data, ('x', 1))


def _encode(sender, waiting, sequence):
    row = _make_row(f'{SERVICE} 1 red {waiting} 0 0')
    return demandcodec.encode(demandcodec.Notice(sender, sequence, [row]))


@behave.when(
    '{name} tells {waiting:d} waiting with sequence number {sequence:d}'
)
def tell(context, name, waiting, sequence):
    _receive(context, _encode(name, waiting, sequence))


@behave.when('a stranger tells {waiting:d} waiting')
def tell_strange(context, waiting):
    _receive(context, _encode('stranger', waiting, 1))


@behave.when(
    '{name} tells {waiting:d} waiting with fields that are unknown here'
)
def tell_more(context, name, waiting):
    kind = demandrows.digest(SERVICE)
    demand = [1, demandrows.digest('red'), waiting, 0, 0, 'new', 2]
    message = [name, 1, [[kind, [demand], {'new': 1}]], [3], 'new']
    _receive(context, demandcodec.MARK + msgspec.msgpack.encode(message))


@behave.when('{count:d} damaged notices arrive')
def tell_damaged(context, count):
    rng = random.Random(6)
    context.damaged = 0
    for _ in range(count):
        data = bytearray(_encode('e1', 9, 10))
        end = rng.randrange(3, len(data))
        for _ in range(rng.randrange(3)):
            data[rng.randrange(3, len(data))] = rng.randrange(256)
        data = bytes(data[:end])
        assert demandcodec.decode(data).is_err(), data
        _receive(context, data)
    context.damaged += count


@behave.when('{seconds:g} s pass without a notice')
def wait(context, seconds):
    context.scene.run(seconds)


@behave.then('{count:d} requests are known to wait')
def check_known(context, count):
    state = context.entry.state
    found = state.demand.count_ahead(SERVICE, 2, 0, state.now)
    assert found == count, found


@behave.then('the damaged ones are counted')
def check_counted(context):
    counters = context.entry.state.counters
    found = counters.refused_items.labels('demand')._value.get()
    assert found == context.damaged, found


@behave.when('capacity is released {count:d} times within 0.1 s')
def release(context, count):
    context.entry.sent.clear()

    async def run():
        for _ in range(count):
            context.entry.state.offer_capacity(SERVICE)
            await asyncio.sleep(0.1 / count)
        await asyncio.sleep(0.1)

    context.scene.loop.run_until_complete(run())


@behave.then('e2 alone was told, {count:d} times')
def check_offered(context, count):
    told = [number for _, number in context.entry.sent]
    assert told == [2] * count, told


@behave.when('a request as urgent as that waits here and capacity is released')
def wait_here(context):
    state = context.entry.state
    state.demand.record_arrival(_kind(1), 1, state.now)
    release(context, 1)


@behave.then('nobody is told')
def check_unsaid(context):
    assert context.entry.sent == []


@behave.when('nothing waits for {seconds:g} s')
def rest(context, seconds):
    context.scene.stop_waiting()
    context.scene.run(seconds)


@behave.when('{kinds:d} kinds of requests wait for {seconds:g} s at {where}')
def press(context, kinds, seconds, where):
    entries = context.scene.entries
    entries = entries if where == 'all entries' else entries[:1]
    context.scene.wait_at(entries, kinds)
    context.scene.run(seconds)
    context.seconds = seconds


@behave.then('nothing was sent')
def check_silent(context):
    assert not any(entry.sent for entry in context.scene.entries)


@behave.then('every entry sent something, and none sends within the next 10 s')
def check_silent_again(context):
    assert all(entry.sent for entry in context.scene.entries)
    for entry in context.scene.entries:
        entry.sent.clear()
    context.scene.run(10)
    check_silent(context)


def _count_known(entry):
    teams = {
        demandrows.digest(f'{other.name} {number}')
        for other in entry._scene.entries
        for number in range(2)
        if other is not entry
    }
    return len(teams & entry.get_known()), len(teams)


@behave.then('every entry knows all that wait')
def check_all_known(context):
    for entry in context.scene.entries:
        known, expected = _count_known(entry)
        assert known == expected, (entry.name, known, expected)


@behave.then('each sent at most {rate:d} bytes a second, and {extra:d} once')
def check_bytes(context, rate, extra):
    for entry in context.scene.entries:
        found = sum(size for size, _ in entry.sent)
        assert found <= rate * context.seconds + extra, found


@behave.then('each knows of at least {count:d} other entries')
def check_heard(context, count):
    for entry in context.scene.entries:
        known, _ = _count_known(entry)
        assert known >= 2 * count, (entry.name, known)


@behave.then('every pair of entries but {missed:g} of all knows of each other')
def check_pairs(context, missed):
    counts = [_count_known(entry) for entry in context.scene.entries]
    known, expected = map(sum, zip(*counts))
    assert known >= (1 - missed) * expected, (known, expected)


@behave.then('nobody knows of waiting requests')
def check_unknown(context):
    assert not any(entry.get_known() for entry in context.scene.entries)
