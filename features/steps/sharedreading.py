"""Steps for entries that share their readings of the store."""

import asyncio
import types

import behave
from dunlintide_core.pipeline import sharedreading
from dunlintide_core.pipeline import watchbudget
from dunlintide_daemon.gateway import follower
from dunlintide_daemon.gateway import gossipmessages
from dunlintide_platform import configurations
from dunlintide_platform import listings
from dunlintide_platform import storevalues
import edge_settings
import msgspec
import result
import virtualtime

NOW = 1000.0
LOAD_SECONDS = 0.5
DIGESTS = {'same': 1, 'other': 2}
# Fields that the helper of the settings takes.
MADE_FIELDS = ('state', 'slots', 'seq')
NAMES = ('i-0', 'i-1', 'i-2')


@behave.given('reports of other entries: {reports}')
def receive_reports(context, reports):
    context.reports = []
    for report in reports.split(', ') if reports != 'none' else ():
        digest, read, age = report.split()
        context.reports.append((DIGESTS[digest], float(read), float(age)))


@behave.then(
    '{elapsed:g} s after its own answer an entry with a drain time of'
    ' {drain:g} s makes no call for {pause:g} s from it'
)
def check_pause(context, elapsed, drain, pause):
    # Its name is behind those of the others, so it is not a reader.
    shared = sharedreading.SharedReading('f')
    now = NOW + elapsed
    for number, (digest, read, age) in enumerate(context.reports):
        shared.receive(f'e{number}', digest, NOW + read, now - age)
    budget = watchbudget.WatchBudget.from_drain(drain)
    longest = budget.silence - budget.slack
    due = shared.choose_due(budget, longest, DIGESTS['same'], NOW, now)
    assert abs(due - NOW - pause) < 1e-9, due - NOW


def _apply(entry, name, **more):
    made = {key: more.pop(key) for key in list(more) if key in MADE_FIELDS}
    row = edge_settings.make_row(**made) | more
    value = edge_settings.encode_row(row)
    key = f'{listings.ENDPOINT_PREFIX}{name}'
    decoded = listings.decode_endpoint(key, value, NOW)
    entry.apply_endpoint(decoded.unwrap())


@behave.given('the endpoints of two entries, listed in opposite order')
def list_endpoints(context):
    context.first = edge_settings.make_state(edge_settings.SilentLog())
    context.second = edge_settings.make_state(edge_settings.SilentLog())
    for name in NAMES:
        _apply(context.first, name)
    for name in reversed(NAMES):
        _apply(context.second, name)


@behave.when('an endpoint of the first writes a heartbeat')
def write_heartbeat(context):
    _apply(context.first, 'i-1', seq=2, slots=3)


@behave.when('an endpoint of the first drains')
def drain_first(context):
    _apply(context.first, 'i-1', state='draining')


@behave.when('the same endpoint of the second drains')
def drain_second(context):
    _apply(context.second, 'i-1', state='draining')


@behave.when('an endpoint of the first is removed')
def remove_first(context):
    context.first.remove_endpoint('i-1')


@behave.when('the first entry follows the store by parts')
def follow_parts(context):
    context.before = context.first.reading_digest
    context.first.follows_parts = not context.first.follows_parts


@behave.when('both know each other')
def know_each_other(context):
    names = 'first', 'second'
    for state, name in zip((context.first, context.second), names):
        state.entries_digest = 0
        for each in names:
            state.add_listed_entry(each, 'a')


@behave.when('a third entry is listed at the {which}')
def list_third(context, which):
    getattr(context, which).add_listed_entry('third', 'a')


@behave.when('the third entry is dropped at the second')
def drop_third(context):
    context.second.drop_listed_entry('third')


@behave.then('their digests are equal')
def check_equal(context):
    assert context.first.reading_digest == context.second.reading_digest


@behave.then('their digests differ')
def check_different(context):
    assert context.first.reading_digest != context.second.reading_digest


@behave.then('its digest differs from before')
def check_changed(context):
    assert context.first.reading_digest != context.before


@behave.given('the endpoints "{names}" of two entries')
def list_named(context, names):
    context.first = edge_settings.make_state(edge_settings.SilentLog())
    context.second = edge_settings.make_state(edge_settings.SilentLog())
    for name in names.split():
        _apply(context.first, name)
        _apply(context.second, name)
    check_equal(context)


@behave.when('"{names}" of the first {change}')
def change_first(context, names, change):
    changed = {
        'drain': {'state': 'draining'},
        'get another address': {'address': '10.0.0.2:80'},
        'get another domain': {'zone': 'b'},
    }
    for name in names.split():
        if change == 'are removed':
            context.first.remove_endpoint(name)
        else:
            _apply(context.first, name, **changed[change])


class _Loader:
    """Loads configurations slowly."""

    def __init__(self, state, is_sound):
        self.state = state
        self.is_sound = is_sound

    async def load(self, value, source, revision, read_seconds):
        await asyncio.sleep(LOAD_SECONDS)
        if not self.is_sound:
            return result.Err('malformed')
        self.state.deployment = types.SimpleNamespace(version=2)
        return result.Ok(True)


@behave.given('a follower that has read a configuration that is {fate}')
def read_configuration(context, fate):
    state = edge_settings.make_state(edge_settings.SilentLog())
    state.follows_parts = False
    context.first = state
    context.before = state.reading_digest
    loader = _Loader(state, fate == 'loaded')
    context.follower = follower.Follower(state, None, None, loader)
    context.follower.apply(
        storevalues.Item(
            configurations.CONFIGURATION_KEY,
            b'{}',
            storevalues.Revision(0, 5),
        )
    )


@behave.when('it decodes the configuration for 0.5 s')
def load_configuration(context):
    loop = virtualtime.Loop()
    context.stack.callback(loop.close)

    async def run():
        digests = []
        loading = loop.create_task(context.follower._load_configuration())
        while not loading.done():
            await asyncio.sleep(LOAD_SECONDS / 5)
            digests.append(context.first.reading_digest)
        return digests[:-1]

    context.digests = loop.run_until_complete(run())


@behave.then('its digest differs from before until the end, and {after} then')
def check_loading(context, after):
    assert len(context.digests) >= 3
    assert context.before not in context.digests
    is_equal = context.first.reading_digest == context.before
    assert is_equal == (after == 'is equal')


@behave.given('a message of an entry with and one without shared reading')
def make_messages(context):
    use = (7, 1, 1, 40)
    plain = gossipmessages.Message('e', 1, [use], [5], [], [], [], [], [12])
    context.plain = plain
    context.without = gossipmessages.encode(plain)
    shared = gossipmessages.add_reading(plain, 77, 0.401)
    context.shared = gossipmessages.encode(shared)


@behave.then('the one without is the same as that of the build before')
def check_without(context):
    fields = list(msgspec.structs.astuple(context.plain))
    assert context.without == msgspec.msgpack.encode(fields)


@behave.then('older decoders pass over the reading, and read the rest')
def check_older(context):
    older = msgspec.msgpack.decode(
        context.shared, type=gossipmessages.MessageWithSuspicions
    )
    assert older.usages == context.plain.usages
    assert not older.removed and older.suspicions.is_empty


@behave.then('newer decoders read both')
def check_newer(context):
    shared = gossipmessages.decode(context.shared).unwrap()
    assert shared.reading == (77, 41), shared
    assert gossipmessages.decode(context.without).unwrap().reading is None
