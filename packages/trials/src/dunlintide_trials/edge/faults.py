"""Faults that a soak of the edge role injects.

A fault is a function that takes the field and a random generator, injects
the fault at once and returns a function that reverts it.
"""

import random
import signal
import time
from typing import Callable

from dunlintide_standins.fleet import operators
from dunlintide_trials.edge import soakscene as fields

__all__ = ['FAULTS']

# Minimum and maximum seconds of the store's outage before it is restored
# from a backup.
DRILL_SECONDS = (0.0, 1.5)

Heal = Callable[[], None]
Fault = Callable[['fields.Field', random.Random], Heal]


def _do_nothing() -> None:
    """Revert a fault that ends without help."""


def kill_entry(field: fields.Field, draw: random.Random) -> Heal:
    """Kill an entry and restart it later."""
    entry = draw.choice(field.scene.entries)
    field.note_entry(entry)
    entry.stop()
    return lambda: field.restart(entry)


def kill_entries(field: fields.Field, draw: random.Random) -> Heal:
    """Kill all entries at the same moment."""
    for entry in field.scene.entries:
        field.note_entry(entry)
        entry.stop()

    def heal() -> None:
        for entry in field.scene.entries:
            field.restart(entry)

    return heal


def pause_entry(field: fields.Field, draw: random.Random) -> Heal:
    """Suspend an entry."""
    entry = draw.choice(field.scene.entries)
    field.note_entry(entry)
    field.signal(entry, signal.SIGSTOP)
    return lambda: field.signal(entry, signal.SIGCONT)


def stop_entry(field: fields.Field, draw: random.Random) -> Heal:
    """Stop an entry gracefully and restart it later."""
    entry = draw.choice(field.scene.entries)
    field.note_entry(entry)
    field.signal(entry, signal.SIGTERM)
    return lambda: field.restart(entry)


def reload_entry(field: fields.Field, draw: random.Random) -> Heal:
    """Reload an entry's settings, which are sometimes invalid."""
    entry = draw.choice(field.scene.entries)
    entry.write_settings('{' if draw.random() < 0.3 else None)
    field.signal(entry, signal.SIGHUP)
    return entry.write_settings


def cut_entry(field: fields.Field, draw: random.Random) -> Heal:
    """Stall or reset an entry's connections to the store."""
    relay = draw.choice(list(field.relays.values()))
    field.note_store()
    if draw.random() < 0.3:
        relay.cut()
        return _do_nothing
    relay.stall(new=draw.random() < 0.5)
    return relay.resume


def slow_entry(field: fields.Field, draw: random.Random) -> Heal:
    """Delay the data between an entry and the store."""
    relay = draw.choice(list(field.relays.values()))
    field.note_store()
    relay.shape(delay=0.3)
    return lambda: relay.shape(delay=0.0)


def spoil_store(field: fields.Field, draw: random.Random) -> Heal:
    """Make the store refuse, hang, respond slowly or drop responses."""
    faults = field.scene.store.faults
    field.note_store()
    kind = draw.choice(('refuse', 'busy', 'silent', 'slow', 'lose', 'late'))
    if kind == 'refuse':
        faults.refuse = 503
    elif kind == 'busy':
        faults.refuse = 429
    elif kind == 'silent':
        faults.silent = True
    elif kind == 'slow':
        faults.slow = 0.25
    else:
        faults.lose = draw.randint(1, 5)
        faults.late = 2.0 if kind == 'late' else 0.0

    def heal() -> None:
        faults.refuse, faults.silent, faults.slow = 0, False, 0.0

    return heal


def compact_store(field: fields.Field, draw: random.Random) -> Heal:
    """Compact the history of the store."""
    field.scene.loop.loop.call_soon_threadsafe(field.scene.store.compact)
    return _do_nothing


def drill_store(field: fields.Field, draw: random.Random) -> Heal:
    """Back up the store now and restore the backup later."""
    store = field.scene.store
    field.note_store()
    field.scene.loop.loop.call_soon_threadsafe(store.copy)

    def heal() -> None:
        field.note_store()
        store.faults.away = True
        field.scene.run(store.come_back())
        time.sleep(draw.uniform(*DRILL_SECONDS))
        store.faults.away = False
        field.scene.run(store.write_again())

    return heal


def crash_endpoint(field: fields.Field, draw: random.Random) -> Heal:
    """Crash an endpoint, half the time without removing its store entry."""
    runner = draw.choice(field.scene.fleet.runners)
    if not field.take(runner):
        return _do_nothing
    field.scene.run(runner.crash(listed=draw.random() < 0.5))

    def heal() -> None:
        field.scene.run(field.scene.store.remove(runner.key))
        field.scene.run(runner.start())
        field.give_back(runner)

    return heal


def drain_endpoint(field: fields.Field, draw: random.Random) -> Heal:
    """Drain an endpoint and start a new incarnation of it later."""
    runner = draw.choice(field.scene.fleet.runners)
    if not field.take(runner):
        return _do_nothing
    field.note_drain(runner)
    field.scene.run(runner.list_itself('draining'))

    def heal() -> None:
        field.scene.run(runner.crash(listed=False))
        field.scene.run(runner.start())
        field.give_back(runner)

    return heal


def _spoil_one(field: fields.Field, draw: random.Random, name: str) -> Heal:
    """Switch a fault of a random endpoint on until it is reverted."""
    runner = draw.choice(field.scene.fleet.runners)
    setattr(runner.faults, name, True)
    return lambda: setattr(runner.faults, name, False)


def stall_endpoint(field: fields.Field, draw: random.Random) -> Heal:
    """Stall the requests that run at an endpoint."""
    return _spoil_one(field, draw, 'stall')


def spoil_endpoint(field: fields.Field, draw: random.Random) -> Heal:
    """Make endpoints fail, drop, truncate or corrupt some responses."""
    name = draw.choice(('fail', 'lose', 'cut', 'extra', 'unframed'))
    for runner in field.scene.fleet.runners:
        if draw.random() < 0.5:
            setattr(runner.faults, name, draw.randint(1, 4))
    return _do_nothing


def fill_endpoint(field: fields.Field, draw: random.Random) -> Heal:
    """Make an endpoint refuse requests as full."""
    return _spoil_one(field, draw, 'full')


def limit_endpoint(field: fields.Field, draw: random.Random) -> Heal:
    """Change or remove the rate limit that an endpoint announces."""
    runner = draw.choice(field.scene.fleet.runners)
    field.set_limit(runner, draw.choice((None, 1.0, 3.0, 8.0)))
    return _do_nothing


def delay_orders(field: fields.Field, draw: random.Random) -> Heal:
    """Make engines execute their next order late and without a reply."""
    for engine in field.scene.list_engines():
        engine.faults.lose_orders = 1
        engine.faults.order_delay = draw.uniform(0.5, 3.0)
    return _do_nothing


def change_configuration(field: fields.Field, draw: random.Random) -> Heal:
    """Write several configuration versions in quick succession."""
    for _ in range(draw.randint(1, 4)):
        field.version += draw.randint(1, 5)
        found = operators.make_configuration(field.version)
        field.scene.configure(operators.shuffle_routes(found, draw))
    return _do_nothing


FAULTS: tuple[Fault, ...] = (
    kill_entry,
    kill_entries,
    pause_entry,
    stop_entry,
    reload_entry,
    cut_entry,
    slow_entry,
    spoil_store,
    compact_store,
    drill_store,
    crash_endpoint,
    drain_endpoint,
    stall_endpoint,
    spoil_endpoint,
    fill_endpoint,
    limit_endpoint,
    delay_orders,
    change_configuration,
)
