"""Steps for a store restored from a backup while entries run."""

import time

import behave
from dunlintide_standins.fleet import operators

ENTRIES = 'dunlintide/entries/'
LEADER = 'dunlintide/leader'


def _configure(context):
    context.version = getattr(context, 'version', 7) + 1
    context.scene.configure(operators.make_configuration(context.version))


def _wait_for_version(context, seconds):
    end = time.monotonic() + seconds
    while True:
        versions = {
            entry.name: entry.read_state()['configuration']['revision']
            for entry in context.scene.entries
        }
        if set(versions.values()) == {context.version}:
            return
        assert time.monotonic() < end, (versions, context.version)
        time.sleep(0.05)


@behave.given('the store makes a copy')
def make_copy(context):
    context.scene.loop.loop.call_soon_threadsafe(
        context.scene.store.make_backup
    )


@behave.given('an empty copy of what entries wrote')
def make_empty_copy(context):
    scene = context.scene
    scene.wait_until(
        lambda: len(scene.store.list_keys(ENTRIES)) == 2
        and scene.store.list_keys(LEADER),
        'two entries are listed and one leads',
    )
    context.fence = max(_list_fences(scene))
    scene.store.make_backup()
    made = scene.store._backup
    for key in (*scene.store.list_keys(ENTRIES), LEADER):
        del made.items[key]
    made.leases.clear()


@behave.given(
    'the operator writes {count:d} further versions, in force on all entries'
)
def write_versions(context, count):
    for _ in range(count):
        _configure(context)
        _wait_for_version(context, 5.0)


@behave.given('other keys are written {count:d} times')
def write_others(context, count):
    for number in range(count):
        context.scene.run(context.scene.store.put('op/other', number))


def _come_back(context, seconds):
    scene = context.scene
    scene.store.faults.away = True
    scene.run(scene.store.restore_backup())
    time.sleep(seconds)
    scene.store.faults.away = False


@behave.when('the store comes back from the copy after {seconds:f} s')
def come_back(context, seconds):
    _come_back(context, seconds)
    context.scene.run(context.scene.store.rewrite_platform_keys())


@behave.when(
    'the store comes back from the copy after {seconds:f} s, not yet written'
    ' again'
)
def come_back_bare(context, seconds):
    _come_back(context, seconds)


@behave.when('the operator writes 1 further version')
def write_version(context):
    _configure(context)


@behave.then(
    'the newest version is in force on all entries within {seconds:f} s'
)
def check_version(context, seconds):
    _wait_for_version(context, seconds)


@behave.then('all entries are listed within {seconds:f} s')
def check_listed(context, seconds):
    scene = context.scene
    end = time.monotonic() + seconds
    while len(scene.store.list_keys(ENTRIES)) < len(scene.entries):
        assert time.monotonic() < end, scene.store.list_keys('')
        time.sleep(0.02)


def _list_fences(scene):
    return [
        row['fence']
        for entry in scene.entries
        for row in entry.list_events('leadership gained')
    ]


@behave.then(
    'one entry leads within {seconds:f} s, with a higher fence than before'
)
def check_leader(context, seconds):
    scene = context.scene
    end = time.monotonic() + seconds
    while max(_list_fences(scene)) <= context.fence:
        assert time.monotonic() < end, _list_fences(scene)
        time.sleep(0.05)
    assert scene.store.list_keys(LEADER)
    gained = [
        (entry.name, row['fence'])
        for entry in scene.entries
        for row in entry.list_events('leadership gained')
        if row['fence'] > context.fence
    ]
    assert len(gained) == 1, gained


@behave.given(
    'an endpoint leaves and another one drains, known to all entries'
)
def leave(context):
    scene = context.scene
    gone = scene.run(scene.fleet.add('web', 'a'))
    draining = scene.run(scene.fleet.add('web', 'b'))

    def list_usable(entry):
        return {
            each['name']
            for each in entry.read_state()['endpoints']
            if not each['draining']
        }

    leaving = {gone.name, draining.name}
    scene.wait_until(
        lambda: all(leaving <= list_usable(each) for each in scene.entries),
        'both are listed',
    )
    scene.store.make_backup()
    scene.run(scene.store.remove(gone.key))
    scene.run(draining.write_entry('draining'))
    scene.wait_until(
        lambda: not any(leaving & list_usable(each) for each in scene.entries),
        'both are known to leave',
    )
    context.leaving = (gone, draining)
    context.calls = [len(each.runs) for each in context.leaving]


@behave.when('callers call "{path}" on all entries for {seconds:f} s')
def call_all(context, path, seconds):
    end = time.monotonic() + seconds
    number = 0
    while time.monotonic() < end:
        for entry in context.scene.entries:
            number += 1
            entry.call(f'e-{number}', path)


@behave.then('neither endpoint got a call')
def check_unused(context):
    calls = [len(each.runs) for each in context.leaving]
    assert calls == context.calls, calls
