"""Propagation of the configuration: time and bytes by size of the fleet.

The replicas run the product's code; calls and time are simulated.
"""

from typing import Iterator

from dunlintide_trials import figures
from dunlintide_trials import fleets

__all__ = ['CASES']

SPREAD_BOUND = 4.0
BYTES_BOUND = 5000.0
_TEAMS = 5600
_FEW_TEAMS = 100
_CHANGE_SECONDS = 86400 / 640
_REPLACED_SECONDS = 86400 / 404
_IDLE_SECONDS = 20
_CHANGE_WINDOW = 8


def measure_spread() -> Iterator[figures.Figure]:
    """Measure the seconds from a change until all processes have it."""
    for size in fleets.SIZES:
        net = fleets.make_fleet(size)
        first = fleets.make_document(_FEW_TEAMS, 1)
        yield figures.at_most(
            f'config.spread.{size}',
            round(fleets.spread_change(net, first), 2),
            's',
            SPREAD_BOUND,
            note='simulated calls, store up',
        )
        net.publish(fleets.make_document(_FEW_TEAMS, 2))
        # The store fails right after the watchers were notified.
        net.run(0.006)
        net.store.up = False
        start = net.now
        revision = net.store.snapshot.head.revision
        net.run_until(
            lambda: all(
                host.replica.configuration.revision >= revision
                for host in net.up()
            ),
            60,
        )
        yield figures.at_most(
            f'config.spread.{size}.outage',
            round(net.now - start, 2),
            's',
            SPREAD_BOUND,
            note='store lost just after the watchers were told',
        )


def _count_bytes(net) -> int:
    return sum(host.sent_bytes for host in net.up())


def measure_bytes() -> Iterator[figures.Figure]:
    """Measure the bytes/s that a process sends, by cause and in total."""
    for size in fleets.SIZES:
        net = fleets.make_fleet(size, fleets.size_message)
        fleets.spread_change(net, fleets.make_document(_TEAMS, 1))
        net.run(_IDLE_SECONDS)
        before = _count_bytes(net)
        net.run(_IDLE_SECONDS)
        idle = (_count_bytes(net) - before) / size / _IDLE_SECONDS
        before = _count_bytes(net)
        fleets.spread_change(net, fleets.make_document(_TEAMS, 2))
        net.run(_CHANGE_WINDOW)
        change = (_count_bytes(net) - before) / size
        before = _count_bytes(net)
        net.restart(net.up()[0])
        net.run(_IDLE_SECONDS)
        replaced = (_count_bytes(net) - before) / size
        replaced = max(0.0, replaced - idle * _IDLE_SECONDS)
        total = idle + change / _CHANGE_SECONDS
        total += replaced / _REPLACED_SECONDS
        prefix = f'config.bytes.{size}'
        yield figures.plain(f'{prefix}.idle', round(idle), 'B/s')
        yield figures.plain(f'{prefix}.change', round(change), 'B')
        yield figures.plain(f'{prefix}.replaced', round(replaced), 'B')
        yield figures.at_most(
            prefix,
            round(total),
            'B/s',
            BYTES_BOUND,
            note='sent; 640 changes and 404 replacements a day',
        )


CASES = [measure_spread, measure_bytes]
