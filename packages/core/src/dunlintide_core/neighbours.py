"""Selection of the peers that a process gossips with.

Processes are placed on several hash rings, and each gossips with its
successor on every ring. Some rings contain only its own failure domain,
the others only remote processes. This bounds the number of connections
in both directions, and a start or stop changes only a few of them.
"""

import random
from typing import Iterable

import attrs


from dunlintide_core import fleet
from dunlintide_core import hashing

__all__ = ['Neighbours', 'find']

LOCAL_RINGS = 6
REMOTE_RINGS = 4
# Share of the rounds with a peer of the same failure domain, where traffic
# is cheap.
_LOCAL_SHARE = 0.7


@attrs.frozen
class Neighbours:
    """Names of the peers that a process gossips with.

    :ivar local: peers in the same failure domain
    :ivar remote: peers in other failure domains
    """

    local: tuple[str, ...] = ()
    remote: tuple[str, ...] = ()

    @property
    def names(self) -> tuple[str, ...]:
        """Names of all neighbours."""
        return self.local + self.remote

    def choose(self, rng: random.Random) -> str | None:
        """Draw a neighbour at random, preferably a local one."""
        if not self.names:
            return None
        local = rng.random() < _LOCAL_SHARE
        group = self.local if local else self.remote
        return rng.choice(group or self.names)


def _find_successors(
    me: str, names: list[str], rings: range
) -> tuple[str, ...]:
    if not names:
        return ()
    found = {}
    for ring in rings:
        start = hashing.hash_text(me, seed=ring)
        nearest = min(
            names,
            key=lambda name: (hashing.hash_text(name, seed=ring) - start)
            % (1 << hashing.HASH_BITS),
        )
        found[nearest] = None
    return tuple(found)


def find(me: fleet.Peer, peers: Iterable[fleet.Peer]) -> Neighbours:
    """Find the neighbours of a process.

    :param peers: all processes that are not dead; includes suspects, so
        that their return is detected
    """
    others = [peer for peer in peers if peer.name != me.name]
    domain = me.failure_domain
    local = [p.name for p in others if p.failure_domain == domain]
    remote = [p.name for p in others if p.failure_domain != domain]
    remote_rings = range(LOCAL_RINGS, LOCAL_RINGS + REMOTE_RINGS)
    return Neighbours(
        _find_successors(me.name, local, range(LOCAL_RINGS)),
        _find_successors(me.name, remote, remote_rings),
    )
