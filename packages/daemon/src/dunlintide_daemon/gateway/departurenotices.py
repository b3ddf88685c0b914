"""Effects of what other entries say about endpoints that were removed."""

import collections
from typing import Collection, Iterable

from dunlintide_daemon.gateway import state as state_module

__all__ = [
    'confirm_removals',
    'expire_departures',
    'receive_removals',
]

State = state_module.State


def receive_removals(state: State, names: Iterable[str], source: str) -> None:
    """Stop using endpoints that another entry saw removed from the store.

    :param names: names of listed endpoints
    :param source: the entry that said so
    """
    services = collections.defaultdict(list)
    for name in names:
        services[state.endpoints[name].service].append(name)
    for service, told in services.items():
        listed = [each.name for each in state.list_all_endpoints(service)]
        for name in state.departures.receive_removals(told, listed, state.now):
            state.counters.leaving_learned.labels('entry').inc()
            state.log.write(
                'removal told',
                endpoint=name,
                source=source,
                listing_age=state.listing_age,
            )
            state.pool.drop(state.endpoints[name].address)
            state.record_usability_change()


def confirm_removals(
    state: State, read_at: float, held_back: Collection[str]
) -> None:
    """Compare what other entries said with a reading of the store.

    :param read_at: monotonic time from which on the reading tells of all
        changes, in seconds
    :param held_back: names of endpoints whose removal is held back
    """
    refuted = state.departures.confirm(read_at, held_back, state.now)
    _use_again(state, refuted, 'listed')


def expire_departures(state: State) -> None:
    """Forget endpoints that left long ago, and old words of other entries."""
    ended = state.departures.expire(state.now, state.endpoints)
    _use_again(state, ended, 'not confirmed')


def _use_again(state: State, names: Iterable[str], reason: str) -> None:
    for name in names:
        if name in state.endpoints:
            state.log.write('endpoint stays', endpoint=name, reason=reason)
            state.record_usability_change()
