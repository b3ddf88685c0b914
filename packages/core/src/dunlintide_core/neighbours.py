"""Which peers a process talks to for anti-entropy.

Processes stand on several hash rings, and each talks to its successor on
every one: some rings hold its failure domain only, some all the others.
So each process has a bounded number of connections, about as many others
talk to it, and a start or stop changes a few links only.
"""

import random
from typing import Iterable

import attrs


from dunlintide_core import fleet
from dunlintide_core import hashing

__all__ = ['Neighbours', 'find']

LOCAL_RINGS = 6
REMOTE_RINGS = 4
# Rounds that stay in the own failure domain, where bytes are cheap.
_LOCAL_SHARE = 0.7


@attrs.frozen
class Neighbours:
    """Names of the peers that a process talks to.

    :ivar local: in its own failure domain
    :ivar cross: in others
    """

    local: tuple[str, ...] = ()
    remote: tuple[str, ...] = ()

    @property
    def names(self) -> tuple[str, ...]:
        """All names."""
        return self.local + self.remote

    def choose(self, rng: random.Random) -> str | None:
        """Draw one, mostly of the own failure domain."""
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

    :param peers: all that are not dead; suspects too, so that their
        return is noticed
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
