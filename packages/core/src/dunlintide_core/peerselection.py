"""Selection of the peer for the next gossip round, and failure detection.

Decides which peer a process calls next and how long it pauses first. A
peer that does not answer repeatedly is reported as unreachable.
"""

import collections
import random
from typing import Iterable

import attrs

from dunlintide_core import exchanges
from dunlintide_core import membership
from dunlintide_core import neighbours

__all__ = ['PeerSelector', 'Timing']

READY_PEERS = 3
_FAILURES_TO_REPORT = 2
_KEPT_OUTCOMES = 10
_MAX_PROBES = 4
# A process whose calls mostly fail is probably cut off itself, so below
# this share of answered calls it reports no peer as unreachable.
_MIN_ANSWERED_SHARE = 0.4
# Probability of calling a drawn peer although it is suspected.
_SUSPECT_SHARE = 0.25
# Probability of calling a seed although neighbours are known.
_SEED_SHARE = 0.02
_JITTER = 0.25


@attrs.frozen
class Timing:
    """Intervals between gossip rounds, in seconds.

    :ivar round: normal interval between two rounds
    :ivar eager: interval after a newer configuration arrived, and until a
        new process has contacted enough peers
    :ivar eager_rounds: number of rounds at the eager interval
    :ivar reconcile: minimum interval between two full comparisons of the
        membership views
    """

    round: float = 1.0
    eager: float = 0.1
    eager_rounds: int = 6
    reconcile: float = 5.0


class PeerSelector:
    """Selector of gossip targets with the outcomes of earlier calls."""

    def __init__(
        self, members: membership.View, rng: random.Random, timing: Timing
    ) -> None:
        """Create a selector without call history.

        :param members: membership view of this process
        """
        self._members = members
        self._rng = rng
        self._timing = timing
        self._seeds: tuple[str, ...] = ()
        self._contacted: set[str] = set()
        self._peer_revisions: dict[str, int] = {}
        self._failures: dict[str, int] = {}
        self._recent_outcomes: collections.deque[bool] = collections.deque(
            maxlen=_KEPT_OUTCOMES
        )
        self._eager_rounds_left = 0
        self._scheduled: list[str] = []
        self._population = -1
        self._neighbours = neighbours.Neighbours()

    @property
    def neighbours(self) -> neighbours.Neighbours:
        """Peers that this process gossips with."""
        if self._population != self._members.population:
            self._population = self._members.population
            present = [each.peer for each in self._members.list_present()]
            self._neighbours = neighbours.find(
                self._members.own_record.peer, present
            )
            names = {peer.name for peer in present}
            for table in (self._peer_revisions, self._failures):
                for name in table.keys() - names:
                    del table[name]
        return self._neighbours

    @property
    def is_urgent(self) -> bool:
        """Whether the next round should start without the usual pause."""
        return bool(self._scheduled) or self._eager_rounds_left > 0

    @property
    def newest_revision(self) -> int:
        """Highest configuration revision that a peer has announced."""
        return max(self._peer_revisions.values(), default=0)

    def add_seeds(self, addresses: Iterable[str]) -> None:
        """Set addresses to contact in addition to the known members.

        :param addresses: ``host:port``
        """
        own = self._members.own_record.peer.address
        self._seeds = tuple(a for a in addresses if a != own)

    def count_contacted(self) -> tuple[int, int]:
        """Return how many peers were contacted and how many are required.

        A new process becomes ready after it has contacted that many.
        """
        known = {*self._seeds}
        known.update(
            each.peer.address for each in self._members.list_present()
        )
        known.discard(self._members.own_record.peer.address)
        return len(self._contacted), min(READY_PEERS, len(known))

    def draw_pause(self) -> float:
        """Return the seconds until the next round, with jitter."""
        if self._scheduled:
            return 0.0
        base = self._timing.round
        if self._eager_rounds_left > 0 or self._list_uncontacted():
            base = self._timing.eager
        return base * self._rng.uniform(1 - _JITTER, 1 + _JITTER)

    def start_eager_rounds(self) -> None:
        """Run the next rounds at the eager interval, to spread an update."""
        self._eager_rounds_left = self._timing.eager_rounds

    def call_next(self, name: str) -> None:
        """Schedule a peer as the target of the next round."""
        if name not in self._scheduled:
            self._scheduled.append(name)

    def probe(self, name: str) -> None:
        """Schedule a call to a process to which a link was lost.

        The lost link counts as one failed call. The number of scheduled
        probes is limited, since calls to dead processes block until they
        time out and so delay updates.
        """
        if len(self._scheduled) < _MAX_PROBES:
            self._failures.setdefault(name, 1)
            self.call_next(name)

    def choose_target(self, revision: int) -> exchanges.Target | None:
        """Choose the peer of the next round; None without known peers.

        :param revision: active configuration revision; during eager
            rounds peers that lack it are preferred
        """
        while self._scheduled:
            target = self._make_target(self._scheduled.pop())
            if target is not None:
                return target
        uncontacted = self._list_uncontacted()
        if uncontacted:
            return self._rng.choice(uncontacted)
        name = self._draw_neighbour(revision)
        use_seed = name is None or self._rng.random() < _SEED_SHARE
        if self._seeds and use_seed:
            return exchanges.Target(self._rng.choice(self._seeds))
        return self._make_target(name) if name is not None else None

    def _list_uncontacted(self) -> list[exchanges.Target]:
        """List peers that a new process has not contacted yet.

        The list is empty once enough peers were contacted.
        """
        if len(self._contacted) >= READY_PEERS:
            return []
        targets = [exchanges.Target(address) for address in self._seeds]
        targets += [self._make_target(name) for name in self.neighbours.names]
        return [
            each
            for each in targets
            if each is not None and each.address not in self._contacted
        ]

    def _make_target(self, name: str) -> exchanges.Target | None:
        record = self._members.get(name)
        if record is None or record.dead:
            return None
        return exchanges.Target(record.peer.address, name)

    def _draw_neighbour(self, revision: int) -> str | None:
        nearby = self.neighbours
        if self._eager_rounds_left > 0:
            self._eager_rounds_left -= 1
            name = self._draw_outdated(revision)
            if name is not None:
                return name
        name = nearby.choose(self._rng)
        suspect = name is not None and self._is_suspect(name)
        if suspect and self._rng.random() > _SUSPECT_SHARE:
            name = nearby.choose(self._rng)
        return name

    def _draw_outdated(self, revision: int) -> str | None:
        names = [
            name
            for name in self.neighbours.names
            if self._peer_revisions.get(name, 0) < revision
            and not self._is_suspect(name)
        ]
        return self._rng.choice(names) if names else None

    def _is_suspect(self, name: str) -> bool:
        record = self._members.get(name)
        return record is None or bool(record.witnesses)

    def note_revision(self, name: str, revision: int) -> None:
        """Record the configuration revision that a peer has or will pull."""
        self._peer_revisions[name] = max(
            self._peer_revisions.get(name, 0), revision
        )
        self._failures.pop(name, None)

    def note_answer(self, target: exchanges.Target) -> None:
        """Record that a peer answered."""
        self._note_outcome(target, True)
        self._failures.pop(target.name, None)

    def note_failure(self, now: float, target: exchanges.Target) -> None:
        """Record a failed call and report the peer after repeated failures.

        :param now: seconds
        """
        self._note_outcome(target, False)
        name = target.name
        record = self._members.get(name)
        if record is None or record.dead:
            return
        failures = self._failures.get(name, 0) + 1
        self._failures[name] = failures
        if failures < _FAILURES_TO_REPORT:
            if not record.witnesses:
                self._scheduled.append(name)
            return
        answered = sum(self._recent_outcomes) / len(self._recent_outcomes)
        if answered >= _MIN_ANSWERED_SHARE:
            domain = self._members.own_record.peer.failure_domain
            self._members.report_unreachable(now, name, domain)

    def _note_outcome(self, target: exchanges.Target, answered: bool) -> None:
        self._recent_outcomes.append(answered)
        if len(self._contacted) < READY_PEERS:
            self._contacted.add(target.address)
