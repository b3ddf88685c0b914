"""Selection of the processes that watch the store.

All other processes get new revisions from their peers.
"""

from typing import Iterable


from dunlintide_core import fleet
from dunlintide_core import hashing

__all__ = ['WATCHERS_PER_DOMAIN', 'choose', 'is_watcher']

WATCHERS_PER_DOMAIN = 2


def _score(peer: fleet.Peer) -> int:
    return hashing.hash_text(f'{peer.failure_domain}/{peer.name}')


def choose(
    peers: Iterable[fleet.Peer], count: int = WATCHERS_PER_DOMAIN
) -> set[str]:
    """Return the names of all watchers, selected by rendezvous hashing.

    :param peers: processes that are alive
    :param count: number of watchers per failure domain
    """
    domains: dict[str, list[fleet.Peer]] = {}
    for peer in peers:
        domains.setdefault(peer.failure_domain, []).append(peer)
    chosen = set()
    for group in domains.values():
        group.sort(key=lambda peer: (_score(peer), peer.name), reverse=True)
        chosen.update(peer.name for peer in group[:count])
    return chosen


def is_watcher(me: fleet.Peer, peers: Iterable[fleet.Peer]) -> bool:
    """Return whether this process must watch the store.

    A process that knows no other in its failure domain is a watcher.

    :param me: this process
    :param peers: processes that are alive, with or without this one
    """
    own = [
        peer
        for peer in peers
        if peer.failure_domain == me.failure_domain and peer.name != me.name
    ]
    return me.name in choose([*own, me])
