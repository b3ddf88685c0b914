"""Convergence of the membership after a network partition.

The partition separates one failure domain or half of the fleet.
"""

from typing import Callable, Iterator

from dunlintide_trials import figures
from dunlintide_trials import fleets
from dunlintide_trials import network

__all__ = ['CASES']

_LONG_SECONDS = 3600.0
_SHORT_SECONDS = 120.0
# Larger fleets are partitioned for a shorter time to limit the run time.
_LARGEST_LONG_SIZE = 100
_SIZES = (50, 100, 200, 400)
_TIMEOUT_SECONDS = 600.0
AGREE_BOUND = 120.0
_CALLS_BOUND = 4.0


def _set_partition(
    net: network.Network, is_inside: Callable[[int], bool]
) -> None:
    for host in net.hosts.values():
        domain = int(host.peer.failure_domain.rpartition('-')[2])
        host.partition = int(is_inside(domain))


def _is_converged(net: network.Network) -> bool:
    views = [host.replica.members for host in net.up()]
    if len({view.hash for view in views}) > 1:
        return False
    return all(len(view.list_usable()) == len(views) for view in views)


def _measure_cut(
    name: str, size: int, is_inside: Callable[[int], bool]
) -> Iterator[figures.Figure]:
    net = fleets.make_fleet(size, fleets.size_message)
    partition_seconds = (
        _LONG_SECONDS if size <= _LARGEST_LONG_SIZE else _SHORT_SECONDS
    )
    _set_partition(net, is_inside)
    net.run(partition_seconds)
    _set_partition(net, lambda domain: False)
    start, calls = net.now, net.calls
    before = sum(host.sent_bytes for host in net.up())
    agreed = net.run_until(lambda: _is_converged(net), _TIMEOUT_SECONDS)
    seconds = net.now - start
    sent = sum(host.sent_bytes for host in net.up()) - before
    deaths = sum(host.replica.members.deaths for host in net.up())
    note = f'after {partition_seconds:.0f} s apart'
    prefix = f'membership.convergence.{name}.{size}'
    yield figures.at_most(
        f'{prefix}.seconds',
        round(seconds if agreed else _TIMEOUT_SECONDS, 1),
        's',
        AGREE_BOUND,
        note=note,
    )
    yield figures.at_most(
        f'{prefix}.deaths', deaths, 'processes', 0, note='declared in error'
    )
    yield figures.at_most(
        f'{prefix}.calls',
        round((net.calls - calls) / size / seconds, 2),
        'calls/s',
        _CALLS_BOUND,
        note='a process, until all agree',
    )
    yield figures.plain(
        f'{prefix}.bytes', round(sent / size / seconds), 'B/s', note=note
    )


def measure_convergence() -> Iterator[figures.Figure]:
    """Measure the time, calls and false deaths until all views agree."""
    for size in _SIZES:
        yield from _measure_cut('domain', size, lambda domain: domain == 2)
        yield from _measure_cut('half', size, lambda domain: domain < 4)


CASES = [measure_convergence]
