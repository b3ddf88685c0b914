"""Faults that a soak of the edge role injects.

A fault is a function that takes the field and a random generator, injects
the fault at once and returns a function that reverts it.
"""

import random
import signal
import time
from typing import Callable, Coroutine

from dunlintide_core.pipeline import configurationbudget
from dunlintide_standins.fleet import runners
from dunlintide_trials.edge import soakscene
from dunlintide_trials.edge import versions

__all__ = [
    'ANSWER_FAULTS',
    'CONFIGURATION_FAULTS',
    'FAULTS',
    'Fault',
    'LEAVING_FAULTS',
    'PART_FAULTS',
]

# Part of an answer that tells of a change in the store.
NEWS_PATTERN = b'"events": [{'
# Minimum and maximum seconds of the store's outage before it is restored
# from a backup.
OUTAGE_SECONDS = (0.0, 1.5)
# Largest value of the store as it is sent, and the size of a route in JSON.
MAX_ENCODED_BYTES = (1 << 20) * 4 // 3
BYTES_PER_ROUTE = 226
# Largest number of large versions in a row.
MAX_VERSIONS = 8
# Largest number of parts that crash engines.
MAX_CRASHING_PARTS = 3
# Pause between two large versions, in seconds.
VERSION_GAP_SECONDS = (0.0, 0.4)

Heal = Callable[[], None]
Fault = Callable[['soakscene.SoakScene', random.Random], Heal]


def _do_nothing() -> None:
    """Revert a fault that ends without help."""


def kill_entry(soak: soakscene.SoakScene, rng: random.Random) -> Heal:
    """Kill an entry and restart it later."""
    entry = rng.choice(soak.scene.entries)
    soak.record_entry_fault(entry)
    entry.stop()
    return lambda: soak.restart(entry)


def kill_entries(soak: soakscene.SoakScene, rng: random.Random) -> Heal:
    """Kill all entries at the same moment."""
    for entry in soak.scene.entries:
        soak.record_entry_fault(entry)
        entry.stop()

    def heal() -> None:
        for entry in soak.scene.entries:
            soak.restart(entry)

    return heal


def pause_entry(soak: soakscene.SoakScene, rng: random.Random) -> Heal:
    """Suspend an entry."""
    entry = rng.choice(soak.scene.entries)
    soak.record_entry_fault(entry)
    soak.signal(entry, signal.SIGSTOP)
    return lambda: soak.signal(entry, signal.SIGCONT)


def stop_entry(soak: soakscene.SoakScene, rng: random.Random) -> Heal:
    """Stop an entry gracefully and restart it later."""
    entry = rng.choice(soak.scene.entries)
    soak.record_entry_fault(entry)
    soak.signal(entry, signal.SIGTERM)
    return lambda: soak.restart(entry)


def reload_entry(soak: soakscene.SoakScene, rng: random.Random) -> Heal:
    """Reload an entry's settings, which are sometimes invalid."""
    entry = rng.choice(soak.scene.entries)
    entry.write_settings('{' if rng.random() < 0.3 else None)
    soak.signal(entry, signal.SIGHUP)
    return entry.write_settings


def cut_entry(soak: soakscene.SoakScene, rng: random.Random) -> Heal:
    """Stall or reset an entry's connections to the store."""
    name, relay = rng.choice(list(soak.relays.items()))
    if rng.random() < 0.3:
        relay.cut()
        soak.disruptions.record(name)
        return _do_nothing
    hits_new = rng.random() < 0.5
    relay.stall(new=hits_new)
    if not hits_new:
        # Only connections that are open are lost, as by a reset.
        soak.disruptions.record(name)
        return relay.resume
    begun = soak.disruptions.begin(name)

    def heal() -> None:
        relay.resume()
        soak.disruptions.end(begun)

    return heal


def slow_entry(soak: soakscene.SoakScene, rng: random.Random) -> Heal:
    """Delay the data between an entry and the store."""
    name, relay = rng.choice(list(soak.relays.items()))
    begun = soak.disruptions.begin(name)
    relay.shape(delay=0.3)

    def heal() -> None:
        relay.shape(delay=0.0)
        soak.disruptions.end(begun)

    return heal


def disturb_store(soak: soakscene.SoakScene, rng: random.Random) -> Heal:
    """Make the store refuse, hang, respond slowly or drop responses."""
    faults = soak.scene.store.faults
    begun = soak.disruptions.begin()
    kind = rng.choice(('refuse', 'busy', 'silent', 'slow', 'lose', 'late'))
    if kind == 'refuse':
        faults.refuse = 503
    elif kind == 'busy':
        faults.refuse = 429
    elif kind == 'silent':
        faults.silent = True
    elif kind == 'slow':
        faults.slow = 0.25
    else:
        faults.lose = rng.randint(1, 5)
        faults.late = 2.0 if kind == 'late' else 0.0

    def heal() -> None:
        faults.refuse, faults.silent, faults.slow = 0, False, 0.0
        soak.disruptions.end(begun)

    return heal


def compact_store(soak: soakscene.SoakScene, rng: random.Random) -> Heal:
    """Compact the history of the store."""
    soak.scene.loop.loop.call_soon_threadsafe(soak.scene.store.compact)
    return _do_nothing


def restore_store(soak: soakscene.SoakScene, rng: random.Random) -> Heal:
    """Back up the store now and restore the backup later."""
    store = soak.scene.store
    soak.scene.loop.loop.call_soon_threadsafe(store.make_backup)

    def heal() -> None:
        begun = soak.disruptions.begin()
        store.faults.away = True
        soak.scene.run(store.restore_backup())
        time.sleep(rng.uniform(*OUTAGE_SECONDS))
        store.faults.away = False
        soak.scene.run(store.rewrite_platform_keys())
        soak.disruptions.end(begun)

    return heal


def crash_endpoint(soak: soakscene.SoakScene, rng: random.Random) -> Heal:
    """Crash an endpoint, half the time without removing its store entry."""
    runner = rng.choice(soak.scene.fleet.runners)
    if not soak.reserve(runner):
        return _do_nothing
    soak.scene.run(runner.crash(keep_entry=rng.random() < 0.5))

    def heal() -> None:
        soak.scene.run(soak.scene.store.remove(runner.key))
        soak.scene.run(runner.start())
        soak.release(runner)

    return heal


def _leave(
    soak: soakscene.SoakScene,
    rng: random.Random,
    leave: Callable[[runners.Runner], Coroutine],
) -> Heal:
    """Let an endpoint leave, and start a new incarnation of it later.

    Half the time the answer that tells one of the entries is lost.
    """
    runner = rng.choice(soak.scene.fleet.runners)
    if not soak.reserve(runner):
        return _do_nothing
    if rng.random() < 0.5:
        rng.choice(list(soak.relays.values())).lose(1, NEWS_PATTERN)
    soak.record_drain(runner)
    soak.scene.run(leave(runner))

    def heal() -> None:
        soak.scene.run(runner.crash(keep_entry=False))
        soak.scene.run(runner.start())
        soak.release(runner)

    return heal


def drain_endpoint(soak: soakscene.SoakScene, rng: random.Random) -> Heal:
    """Drain an endpoint."""
    return _leave(soak, rng, lambda runner: runner.write_entry('draining'))


def remove_endpoint(soak: soakscene.SoakScene, rng: random.Random) -> Heal:
    """Remove an endpoint from the store without a word."""
    return _leave(soak, rng, lambda runner: runner.remove_entry())


def _switch_fault(
    soak: soakscene.SoakScene, rng: random.Random, name: str
) -> Heal:
    """Switch a fault of a random endpoint on until it is reverted."""
    runner = rng.choice(soak.scene.fleet.runners)
    setattr(runner.faults, name, True)
    return lambda: setattr(runner.faults, name, False)


def stall_endpoint(soak: soakscene.SoakScene, rng: random.Random) -> Heal:
    """Stall the requests that run at an endpoint."""
    return _switch_fault(soak, rng, 'stall')


def corrupt_endpoint(soak: soakscene.SoakScene, rng: random.Random) -> Heal:
    """Make endpoints fail, drop, truncate or corrupt some responses."""
    name = rng.choice(('fail', 'lose', 'cut', 'extra', 'unframed'))
    for runner in soak.scene.fleet.runners:
        if rng.random() < 0.5:
            count = rng.randint(1, 4)
            setattr(runner.faults, name, count)
            # Engines lose no calls, and services cut no streams.
            if name == ('lose' if runner.kind else 'cut'):
                runner.faults.cut_heads = count
                runner.faults.cut_fraction = count / 5
    return _do_nothing


def send_late_answers(soak: soakscene.SoakScene, rng: random.Random) -> Heal:
    """Make endpoints send answers to other requests on kept connections."""
    for runner in soak.scene.fleet.runners:
        if rng.random() < 0.5:
            runner.faults.draw_late(rng, bool(runner.kind))
    return _do_nothing


def pour_bytes(soak: soakscene.SoakScene, rng: random.Random) -> Heal:
    """Make an endpoint answer with bytes that never end."""
    runner = rng.choice(soak.scene.fleet.runners)
    runner.faults.draw_pours(rng, bool(runner.kind))

    def heal() -> None:
        runner.faults.pours = None

    return heal


def fill_endpoint(soak: soakscene.SoakScene, rng: random.Random) -> Heal:
    """Make an endpoint refuse requests as full."""
    return _switch_fault(soak, rng, 'full')


def _list_addressed(soak: soakscene.SoakScene) -> list[runners.Runner]:
    """List the endpoints that entries send to, rather than other engines."""
    return [
        each
        for each in soak.scene.fleet.runners
        if not each.kind or (each.layers and each.layers[0] == 0)
    ]


def ask_for_backoff(soak: soakscene.SoakScene, rng: random.Random) -> Heal:
    """Make some endpoints refuse requests and ask for a pause."""
    asking = rng.choices(_list_addressed(soak), k=3)
    seconds = rng.choice(('0.3', '1', '2.5', '4', 'soon'))
    for runner in asking:
        runner.faults.backoff = (seconds,)

    def heal() -> None:
        for runner in asking:
            runner.faults.backoff = ()

    return heal


def leave_in_answers(soak: soakscene.SoakScene, rng: random.Random) -> Heal:
    """Make an endpoint say that it leaves in its answers only, then end it."""
    runner = rng.choice(_list_addressed(soak))
    if not soak.reserve(runner):
        return _do_nothing
    runner.faults.leaving = True

    def heal() -> None:
        soak.scene.run(runner.crash(keep_entry=False))
        runner.faults.leaving = False
        soak.scene.run(runner.start())
        soak.release(runner)

    return heal


def limit_endpoint(soak: soakscene.SoakScene, rng: random.Random) -> Heal:
    """Change or remove the rate limit that an endpoint announces."""
    runner = rng.choice(soak.scene.fleet.runners)
    soak.set_limit(runner, rng.choice((None, 1.0, 3.0, 8.0)))
    return _do_nothing


def delay_orders(soak: soakscene.SoakScene, rng: random.Random) -> Heal:
    """Make engines execute their next order late and without a reply."""
    for engine in soak.scene.list_engines():
        engine.faults.lose_orders = 1
        engine.faults.order_delay = rng.uniform(0.5, 3.0)
    return _do_nothing


def change_configuration(
    soak: soakscene.SoakScene, rng: random.Random
) -> Heal:
    """Write several configuration versions in quick succession."""
    for _ in range(rng.randint(1, 4)):
        soak.write_version(rng)
    return _do_nothing


def grow_configuration(soak: soakscene.SoakScene, rng: random.Random) -> Heal:
    """Write several large versions in a row, half the time losing an answer.

    The largest ones just fit the narrowest link, and the limit of a value. In
    a row, one may come while the one before is still on its way.
    """
    budget = configurationbudget.ConfigurationBudget.from_bounds(
        versions.APPLY_SECONDS, versions.APPLY_SECONDS
    )
    narrowest = min(soak.widths.values())
    encoded = min(MAX_ENCODED_BYTES, budget.compute_largest(narrowest))
    count = rng.randint(1, MAX_VERSIONS)
    if count > 1:
        encoded //= 2
    routes = int(encoded * 3 / 4 * rng.uniform(0.2, 1.0) / BYTES_PER_ROUTE)
    if rng.random() < 0.5:
        rng.choice(list(soak.relays.values())).lose(1, NEWS_PATTERN)
    for number in range(count):
        if number:
            time.sleep(rng.uniform(*VERSION_GAP_SECONDS))
        soak.write_version(rng, routes)
    return _do_nothing


def spoil_part(soak: soakscene.SoakScene, rng: random.Random) -> Heal:
    """Make engines crash under streams with a part, which come to the end."""
    fleet = soak.scene.fleet
    if len(fleet.crashing_parts) < MAX_CRASHING_PARTS:
        fleet.crashing_parts.add(f'bad{len(fleet.crashing_parts)}')
    fleet.crash_point = rng.choice(list(runners.CrashPoint))
    return _do_nothing


def crowd_entry(soak: soakscene.SoakScene, rng: random.Random) -> Heal:
    """Hand most new connections to one entry."""
    soak.crowded = rng.choice(soak.scene.entries)

    def heal() -> None:
        soak.crowded = None

    return heal


# Endpoints that leave, alone: most other faults excuse what reaches them.
LEAVING_FAULTS: tuple[Fault, ...] = (drain_endpoint, remove_endpoint)
# Large configurations beside endpoints that leave.
CONFIGURATION_FAULTS: tuple[Fault, ...] = (
    *2 * (grow_configuration, change_configuration),
    *LEAVING_FAULTS,
)
# Parts that crash engines, beside engines that crash by themselves and entries
# that start, stand still or are cut off.
PART_FAULTS: tuple[Fault, ...] = (
    *4 * (spoil_part,),
    *2 * (crash_endpoint, crowd_entry),
    corrupt_endpoint,
    kill_entry,
    pause_entry,
    stop_entry,
    cut_entry,
)
# Bytes that belong to no request, beside what ends connections and entries.
ANSWER_FAULTS: tuple[Fault, ...] = (
    *3 * (send_late_answers, pour_bytes),
    corrupt_endpoint,
    fill_endpoint,
    stall_endpoint,
    crash_endpoint,
    ask_for_backoff,
    kill_entry,
    pause_entry,
    stop_entry,
    reload_entry,
    cut_entry,
)
# Faults that last long at one endpoint are repeated, so that they overlap.
FAULTS: tuple[Fault, ...] = (
    kill_entry,
    kill_entries,
    pause_entry,
    stop_entry,
    reload_entry,
    cut_entry,
    slow_entry,
    disturb_store,
    compact_store,
    restore_store,
    crash_endpoint,
    *3 * LEAVING_FAULTS,
    stall_endpoint,
    corrupt_endpoint,
    fill_endpoint,
    *3 * (ask_for_backoff, leave_in_answers),
    limit_endpoint,
    delay_orders,
    change_configuration,
    grow_configuration,
    spoil_part,
    crowd_entry,
)
