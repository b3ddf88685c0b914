"""Steps for large configurations behind narrow links, with real entries."""

import time

import behave
from dunlintide_standins.fleet import operators
from dunlintide_standins import relay as relays
from dunlintide_trials.edge import scene as scenes

BYTES_PER_MBIT = 125_000
# Time between two versions, in seconds.
GAP_SECONDS = 0.3
WIDE_MBITS = 1000
DRAIN_SECONDS = 2.0
# How long a version is waited for, in seconds: far more than is allowed.
WAIT_SECONDS = 10.0
FIRST_VERSION = 7
# An answer with changes, or with the value of one key.
CHANGES = b'"events": [{'
DOMAINS = ('a', 'b')


def _configure(scene, version, routes):
    made = operators.make_configuration(version)
    scene.configure(operators.add_routes(made, routes))


@behave.given('{count:d} entries with links of {width:g} Mbit/s to the store')
def make_alike(context, count, width):
    _make_entries(context, [width] * count)


@behave.given(
    '{count:d} entries with links of {width:g} Mbit/s to the store and one'
    ' with a wide link'
)
def make_mixed(context, count, width):
    _make_entries(context, [width] * count + [WIDE_MBITS])


def _make_entries(context, widths):
    scene = scenes.Scene(context.pick_ports, context.make_folder())
    context.stack.callback(scene.close)
    context.scene, context.relays = scene, []
    scene.configure(operators.make_configuration(FIRST_VERSION))
    scene.add_runners()
    for number, width in enumerate(widths):
        relay = relays.Relay('127.0.0.1:0', scene.store_address)
        context.stack.callback(relay.stop)
        relay.narrow(width * BYTES_PER_MBIT)
        context.relays.append(relay)
        scene.add_entry(
            f'e{number}',
            DOMAINS[number % len(DOMAINS)],
            f'127.0.0.1:{relay.port}',
            drain=DRAIN_SECONDS,
        )
    scene.wait_for_entries()


@behave.when('{count:d} versions with {routes:d} routes come 0.3 s apart')
def write_versions(context, count, routes):
    context.version = FIRST_VERSION
    for number in range(count):
        if number:
            time.sleep(GAP_SECONDS)
        context.version += 1
        _configure(context.scene, context.version, routes + number)
    context.written_at = time.monotonic()


@behave.when(
    '{count:d} versions with {routes:d} routes come 0.3 s apart and an answer'
    ' is lost at each entry'
)
def write_and_lose(context, count, routes):
    for relay in context.relays:
        relay.lose(1, CHANGES)
    write_versions(context, count, routes)


@behave.when(
    '{count:d} versions with {routes:d} routes come 0.3 s apart and an'
    ' endpoint leaves behind them'
)
def write_and_leave(context, count, routes):
    write_versions(context, count, routes)
    scene = context.scene
    context.leaving = scene.list_services()[0]
    scene.run(context.leaving.write_entry('draining'))
    context.left_at = time.monotonic()


def _measure(context, began, event, check):
    """Return the time until each entry logged an event, None for never."""
    found = {}
    end = began + WAIT_SECONDS
    while len(found) < len(context.scene.entries):
        for entry in context.scene.entries:
            rows = list(filter(check, entry.list_events(event)))
            if rows:
                # Processes on one host share the steady clock.
                found[entry.name] = round(rows[0]['at'] - began, 3)
        if time.monotonic() >= end:
            break
        time.sleep(0.05)
    return {each.name: found.get(each.name) for each in context.scene.entries}


def _is_in_time(times, seconds):
    return all(each is not None and each <= seconds for each in times.values())


@behave.then(
    'the last version is in force on all entries within {seconds:g} s'
)
def check_in_force(context, seconds):
    times = _measure(
        context,
        context.written_at,
        'configuration in force',
        lambda row: row['version'] == context.version,
    )
    assert _is_in_time(times, seconds), times


@behave.then('all entries know within the drain time that it leaves')
def check_leaving(context):
    times = _measure(
        context,
        context.left_at,
        'endpoint listed',
        lambda row: (
            row['endpoint'] == context.leaving.name and row['draining']
        ),
    )
    assert _is_in_time(times, DRAIN_SECONDS), times


@behave.then('the {count:d} entries have it from another entry')
def check_sources(context, count):
    sources = [
        row['source']
        for entry in context.scene.entries[:count]
        for row in entry.list_events('configuration in force')
        if row['version'] == context.version
    ]
    assert len(sources) == count and 'store' not in sources, sources
