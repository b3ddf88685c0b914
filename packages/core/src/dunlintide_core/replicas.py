"""One process's replica of the fleet's state: configuration and members.

A round of anti-entropy is one ``Request`` answered by one ``Reply``. It
carries recent changes and two short digests; only where those differ do
more messages follow, so that a round costs its changes and not the whole
state. The caller drives it: nothing here reads a clock or sends bytes.
"""

import collections
import random
from typing import Iterable

import attrs

from dunlintide_core import exchanges
from dunlintide_core import fleet
from dunlintide_core import membership
from dunlintide_core import neighbours
from dunlintide_core import records
from dunlintide_core import revisions
from dunlintide_core import spread
from dunlintide_core import watchers

__all__ = ['Replica', 'Timing']

CHUNK_BYTES = 192 << 10
_DIGESTS = 256
_RECORDS = 400
_FAILURES_TO_ACCUSE = 2
_OUTCOMES = 10
# A process whose own calls mostly fail accuses nobody.
_HEALTHY_SHARE = 0.4
_SUSPECT_SHARE = 0.25
_SEED_SHARE = 0.02
_JITTER = 0.25
_READY_PEERS = 3


@attrs.frozen
class Timing:
    """Pauses between rounds, in seconds.

    :ivar round: between two rounds
    :ivar eager: between two rounds after something newer arrived
    :ivar eager_rounds: how many of those
    :ivar reconcile: least time between two comparisons of whole views
    """

    round: float = 1.0
    eager: float = 0.1
    eager_rounds: int = 6
    reconcile: float = 5.0


class Replica:
    """State of one process and its part in each round.

    :ivar members: view of the fleet
    :ivar spread: configuration
    """

    def __init__(
        self,
        me: fleet.Peer,
        rng: random.Random,
        timing: Timing = Timing(),
        membership_timing: membership.Timing = membership.Timing(),
    ) -> None:
        self.members = membership.View(me, membership_timing)
        self.spread = spread.Spread()
        self._rng = rng
        self._timing = timing
        self._seeds: tuple[str, ...] = ()
        self._introduced: set[str] = set()
        self._failures: dict[str, int] = {}
        self._outcomes: collections.deque[bool] = collections.deque(
            maxlen=_OUTCOMES
        )
        self._told: dict[str, int] = {}
        self._eager = 0
        self._next: list[str] = []
        self._reconciled = 0.0
        self._asked: set[str] = set()
        self._was_ready = False
        self._population = -1
        self._generation = -1
        self._is_watcher = False
        self._neighbours = neighbours.Neighbours()

    @property
    def near(self) -> neighbours.Neighbours:
        """Peers that this process talks to."""
        if self._population != self.members.population:
            self._population = self.members.population
            present = [each.peer for each in self.members.present()]
            self._neighbours = neighbours.find(self.members.me.peer, present)
        return self._neighbours

    @property
    def is_watcher(self) -> bool:
        """Whether this process has to watch the store."""
        if self._generation != self.members.generation:
            self._generation = self.members.generation
            me = self.members.me.peer
            usable = self.members.usable()
            self._is_watcher = watchers.is_watcher(me, usable)
        return self._is_watcher

    def why_not_ready(self) -> str:
        """Say why this process cannot serve yet; empty when it can.

        A new process takes the highest revision of several peers, since
        the store alone may have been set back.
        """
        if not self.spread.revision:
            return 'no configuration, neither from the store nor a peer'
        if self._was_ready:
            return ''
        known = {*self._seeds}
        known.update(
            each.peer.address
            for each in self.members.present()
            if each.peer.name != self.members.name
        )
        needed = min(_READY_PEERS, len(known))
        if len(self._asked) < needed:
            return f'asked {len(self._asked)} of {needed} peers'
        newest = max(self._told.values(), default=0)
        if newest > self.spread.revision:
            return f'still fetching revision {newest}'
        self._was_ready = True
        return ''

    def add_seeds(self, addresses: Iterable[str]) -> None:
        """Set addresses to try besides the known members.

        :param addresses: ``host:port``, from the host list or settings
        """
        own = self.members.me.peer.address
        self._seeds = tuple(a for a in addresses if a != own)

    @property
    def urgent(self) -> bool:
        """Whether the next round should not wait for its turn."""
        return bool(self._next) or self._eager > 0

    def pause(self) -> float:
        """Return seconds until the next round."""
        if self._next:
            return 0.0
        base = self._timing.round
        if self._eager > 0 or len(self._asked) < _READY_PEERS:
            base = self._timing.eager
        return base * self._rng.uniform(1 - _JITTER, 1 + _JITTER)

    def settle(self, now: float) -> list[str]:
        """Declare deaths that are due; return their names."""
        dead = self.members.settle(now)
        for name in dead:
            self._failures.pop(name, None)
            self._introduced.discard(name)
            self._told.pop(name, None)
        return dead

    def choose(self) -> exchanges.Target | None:
        """Choose the peer of the next round, or None when alone."""
        while self._next:
            target = self._target(self._next.pop())
            if target is not None:
                return target
        if len(self._asked) < _READY_PEERS:
            target = self._draw_unasked()
            if target is not None:
                return target
        name = self._draw()
        alone = name is None or self._rng.random() < _SEED_SHARE
        if self._seeds and alone:
            return exchanges.Target(self._rng.choice(self._seeds))
        return self._target(name) if name is not None else None

    def _draw_unasked(self) -> exchanges.Target | None:
        targets = [exchanges.Target(address) for address in self._seeds]
        targets += [self._target(name) for name in self.near.names]
        targets = [
            each
            for each in targets
            if each and each.address not in self._asked
        ]
        return self._rng.choice(targets) if targets else None

    def _target(self, name: str) -> exchanges.Target | None:
        record = self.members.get(name)
        if record is None or record.dead:
            return None
        return exchanges.Target(record.peer.address, name)

    def _draw(self) -> str | None:
        near = self.near
        if self._eager > 0:
            self._eager -= 1
            name = self._draw_uninformed(near)
            if name is not None:
                return name
        name = near.choose(self._rng)
        record = self.members.get(name) if name else None
        doubted = record is not None and record.witnesses
        if doubted and self._rng.random() > _SUSPECT_SHARE:
            name = near.choose(self._rng)
        return name

    def _draw_uninformed(self, near: neighbours.Neighbours) -> str | None:
        revision = self.spread.revision
        names = [
            name
            for name in near.names
            if self._told.get(name, 0) < revision and not self._doubted(name)
        ]
        return self._rng.choice(names) if names else None

    def _doubted(self, name: str) -> bool:
        record = self.members.get(name)
        return record is None or bool(record.witnesses)

    def open(self, now: float, target: exchanges.Target) -> exchanges.Request:
        """Begin a round.

        :param now: seconds
        """
        due = now - self._reconciled >= self._timing.reconcile
        if due:
            self._reconciled = now
        return self._request(target.name, reconcile=due)

    def _request(self, name: str, **fields) -> exchanges.Request:
        changes = fields.pop('changes', None)
        if changes is None:
            changes = self._tell(name)
        mine = self.members.me
        known = name in self._introduced
        return exchanges.Request(
            sender=records.shorten(mine) if known else mine,
            offer=self.spread.offer,
            known_revision=self.spread.known_revision,
            members_hash=self.members.hash,
            changes=tuple(changes),
            wanted_chunks=self.spread.missing(),
            **fields,
        )

    def _tell(self, name: str) -> list[records.Record]:
        """Return recent changes, led by a suspicion of the peer itself."""
        changes = self.members.deltas()
        theirs = self.members.get(name)
        if theirs is not None and theirs.witnesses:
            changes.append(records.shorten(theirs))
        return [
            records.shorten(each) if each.witnesses and not each.dead else each
            for each in changes
        ]

    def _merge(self, now: float, changes: Iterable[records.Record]) -> None:
        for record in changes:
            self.members.merge(now, record)

    def _hear(
        self, now: float, sender: records.Record, offer: spread.Offer
    ) -> None:
        name = sender.peer.name
        self.members.merge(now, sender)
        self._told[name] = offer.revision
        self._failures.pop(name, None)
        self.spread.compare(offer)

    def answer(
        self,
        now: float,
        request: exchanges.Request,
        chunk_bytes: int = CHUNK_BYTES,
    ) -> exchanges.Reply:
        """Answer a peer's request.

        :param chunk_bytes: most bytes of chunks to send, 0 for none
        """
        name = request.sender.peer.name
        self._hear(now, request.sender, request.offer)
        self._merge(now, request.changes)
        wanted = [] if self.members.get(name) else [name]
        lacking, unknown = self._reconcile(request)
        if request.offer.revision > self.spread.known_revision:
            if name not in self._next:
                self._next.append(name)
        head = b''
        if self.spread.revision > request.known_revision:
            head = self.spread.snapshot.body
        differs = request.members_hash != self.members.hash
        hashes = ()
        if request.reconcile and differs:
            hashes = self.members.bucket_hashes
        told = self._tell(name)
        return exchanges.Reply(
            sender=records.shorten(self.members.me),
            offer=self.spread.offer,
            head=head,
            chunks=tuple(
                self.spread.chunks(request.wanted_chunks, chunk_bytes)
            ),
            changes=(*lacking, *told),
            bucket_hashes=hashes,
            wanted_members=(*wanted, *unknown),
        )

    def _reconcile(
        self, request: exchanges.Request
    ) -> tuple[list[records.Record], list[str]]:
        """Compare buckets with a peer's digests of them.

        :return: records that the peer lacks, names that this view lacks
        """
        theirs = {each.name: each for each in request.digests}
        lacking = []
        for index in request.buckets:
            for record in self.members.bucket(index):
                digest = theirs.get(record.peer.name)
                if records.is_newer(record, digest):
                    lacking.append(record)
        wanted = [
            name
            for name, digest in theirs.items()
            if records.is_older(self.members.get(name), digest)
        ]
        return lacking[:_RECORDS], wanted

    def take(
        self, now: float, target: exchanges.Target, reply: exchanges.Reply
    ) -> exchanges.Request | None:
        """Take in a reply.

        :return: a request to send to the same peer at once, or None
        """
        name = reply.sender.peer.name
        self._outcomes.append(True)
        self._asked.add(target.address)
        self._failures.pop(target.name, None)
        self._introduced.add(name)
        self._hear(now, reply.sender, reply.offer)
        self._merge(now, reply.changes)
        if reply.head:
            self.spread.take_head(reply.head)
        self.spread.take_chunks(reply.chunks)
        self.adopt()
        # The peer pulls what it now knows of; no need to tell it again.
        self._told[name] = max(self._told[name], self.spread.revision)
        return self._follow(name, reply)

    def take_stored(self, head: revisions.Head, document: bytes) -> None:
        """Take a configuration as the store gave it."""
        if self.spread.take_stored(head, document) is not None:
            self._eager = self._timing.eager_rounds

    def adopt(self) -> spread.Snapshot | None:
        """Put a pulled configuration in force once it is whole."""
        snapshot = self.spread.adopt()
        if snapshot is not None:
            self._eager = self._timing.eager_rounds
        return snapshot

    def _follow(
        self, name: str, reply: exchanges.Reply
    ) -> exchanges.Request | None:
        mine = self.members.bucket_hashes
        differing = [
            index
            for index, theirs in enumerate(reply.bucket_hashes)
            if theirs != mine[index]
        ]
        pulls = bool(self.spread.missing()) and (
            reply.offer.revision >= self.spread.known_revision
        )
        wanted = [
            self.members.get(each)
            for each in reply.wanted_members
            if self.members.get(each) is not None
        ]
        if not (differing or pulls or wanted):
            return None
        buckets, digests = self._digest(differing)
        return self._request(
            name,
            changes=wanted[:_RECORDS],
            buckets=tuple(buckets),
            digests=tuple(digests),
        )

    def _digest(
        self, differing: list[int]
    ) -> tuple[list[int], list[records.Digest]]:
        self._rng.shuffle(differing)
        buckets, digests = [], []
        for index in differing:
            if len(digests) >= _DIGESTS:
                break
            buckets.append(index)
            digests.extend(
                records.make_digest(record)
                for record in self.members.bucket(index)
            )
        return buckets, digests

    def fail(self, now: float, target: exchanges.Target) -> None:
        """Take note that a peer did not answer."""
        self._outcomes.append(False)
        self._asked.add(target.address)
        name = target.name
        record = self.members.get(name)
        if record is None or record.dead:
            return
        failures = self._failures.get(name, 0) + 1
        self._failures[name] = failures
        if failures < _FAILURES_TO_ACCUSE:
            if not record.witnesses:
                self._next.append(name)
            return
        answered = sum(self._outcomes) / len(self._outcomes)
        if answered >= _HEALTHY_SHARE:
            domain = self.members.me.peer.failure_domain
            self.members.accuse(now, name, domain)
