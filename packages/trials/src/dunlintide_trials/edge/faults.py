"""Faults that a soak puts on entries, endpoints and the store.

Each takes the field and a source of randomness, does its harm at once and
returns what heals it.
"""

import random
import signal
import time
from typing import Callable

from dunlintide_standins.fleet import operators
from dunlintide_trials.edge import field as fields

__all__ = ['FAULTS']

# How long the store is away before it comes back from a copy, in seconds.
DRILL_SECONDS = (0.0, 1.5)

Heal = Callable[[], None]
Fault = Callable[['fields.Field', random.Random], Heal]


def _do_nothing() -> None:
    """Heal what heals by itself."""


def kill_entry(field: fields.Field, draw: random.Random) -> Heal:
    """Kill an entry and start it again later."""
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
    """Ask an entry to stop, and start it again later."""
    entry = draw.choice(field.scene.entries)
    field.note_entry(entry)
    field.signal(entry, signal.SIGTERM)
    return lambda: field.restart(entry)


def reload_entry(field: fields.Field, draw: random.Random) -> Heal:
    """Change an entry's settings, sometimes to nonsense."""
    entry = draw.choice(field.scene.entries)
    entry.write_settings('{' if draw.random() < 0.3 else None)
    field.signal(entry, signal.SIGHUP)
    return entry.write_settings


def cut_entry(field: fields.Field, draw: random.Random) -> Heal:
    """Silence or reset an entry's connections to the store."""
    relay = draw.choice(list(field.relays.values()))
    field.note_store()
    if draw.random() < 0.3:
        relay.cut()
        return _do_nothing
    relay.stall(new=draw.random() < 0.5)
    return relay.resume


def slow_entry(field: fields.Field, draw: random.Random) -> Heal:
    """Delay what passes between an entry and the store."""
    relay = draw.choice(list(field.relays.values()))
    field.note_store()
    relay.shape(delay=0.3)
    return lambda: relay.shape(delay=0.0)


def spoil_store(field: fields.Field, draw: random.Random) -> Heal:
    """Let the store refuse, be silent, be slow, or lose answers."""
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
    """Let the store forget its history."""
    field.scene.loop.loop.call_soon_threadsafe(field.scene.store.compact)
    return _do_nothing


def drill_store(field: fields.Field, draw: random.Random) -> Heal:
    """Let the store come back later from a copy made now."""
    store = field.scene.store
    field.note_store()
    field.scene.loop.loop.call_soon_threadsafe(store.make_backup)

    def heal() -> None:
        field.note_store()
        store.faults.away = True
        field.scene.run(store.restore_backup())
        time.sleep(draw.uniform(*DRILL_SECONDS))
        store.faults.away = False
        field.scene.run(store.rewrite_platform_keys())

    return heal


def crash_endpoint(field: fields.Field, draw: random.Random) -> Heal:
    """Crash an endpoint; its entry stays for a while, then goes."""
    runner = draw.choice(field.scene.fleet.runners)
    if not field.take(runner):
        return _do_nothing
    field.scene.run(runner.crash(keep_entry=draw.random() < 0.5))

    def heal() -> None:
        field.scene.run(field.scene.store.remove(runner.key))
        field.scene.run(runner.start())
        field.give_back(runner)

    return heal


def drain_endpoint(field: fields.Field, draw: random.Random) -> Heal:
    """Let an endpoint leave as planned, and another life of it come."""
    runner = draw.choice(field.scene.fleet.runners)
    if not field.take(runner):
        return _do_nothing
    field.note_drain(runner)
    field.scene.run(runner.write_entry('draining'))

    def heal() -> None:
        field.scene.run(runner.crash(keep_entry=False))
        field.scene.run(runner.start())
        field.give_back(runner)

    return heal


def _spoil_one(field: fields.Field, draw: random.Random, name: str) -> Heal:
    """Put one lasting fault on one endpoint."""
    runner = draw.choice(field.scene.fleet.runners)
    setattr(runner.faults, name, True)
    return lambda: setattr(runner.faults, name, False)


def stall_endpoint(field: fields.Field, draw: random.Random) -> Heal:
    """Let the work of an endpoint stand still."""
    return _spoil_one(field, draw, 'stall')


def spoil_endpoint(field: fields.Field, draw: random.Random) -> Heal:
    """Let endpoints fail, lose, cut or garble some answers."""
    name = draw.choice(('fail', 'lose', 'cut', 'extra', 'unframed'))
    for runner in field.scene.fleet.runners:
        if draw.random() < 0.5:
            setattr(runner.faults, name, draw.randint(1, 4))
    return _do_nothing


def fill_endpoint(field: fields.Field, draw: random.Random) -> Heal:
    """Let an endpoint refuse requests as full."""
    return _spoil_one(field, draw, 'full')


def limit_endpoint(field: fields.Field, draw: random.Random) -> Heal:
    """Let an endpoint name another rate limit, or none any more."""
    runner = draw.choice(field.scene.fleet.runners)
    field.set_limit(runner, draw.choice((None, 1.0, 3.0, 8.0)))
    return _do_nothing


def delay_orders(field: fields.Field, draw: random.Random) -> Heal:
    """Let engines carry out their next orders late and unanswered."""
    for engine in field.scene.list_engines():
        engine.faults.lose_orders = 1
        engine.faults.order_delay = draw.uniform(0.5, 3.0)
    return _do_nothing


def change_configuration(field: fields.Field, draw: random.Random) -> Heal:
    """Write new versions in quick succession."""
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
