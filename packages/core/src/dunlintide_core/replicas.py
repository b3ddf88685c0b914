"""One process's replica of the fleet's state: configuration and members.

A round of anti-entropy is one ``Request`` answered by one ``Reply``. It
carries recent changes and two short digests; only where those differ do
more messages follow, so that a round costs its changes and not the whole
state. The caller drives it: nothing here reads a clock or sends bytes.
"""

import random
from typing import Iterable

from dunlintide_core import contacts
from dunlintide_core import exchanges
from dunlintide_core import fleet
from dunlintide_core import membership
from dunlintide_core import neighbours
from dunlintide_core import records
from dunlintide_core import revisions
from dunlintide_core import spread
from dunlintide_core import suspicion
from dunlintide_core import watchers

__all__ = ['Replica', 'Timing']

Timing = contacts.Timing
CHUNK_BYTES = 192 << 10
_DIGESTS = 256
_RECORDS = 400


class Replica:
    """State of one process and its part in each round.

    :ivar members: view of the fleet
    :ivar spread: configuration
    """

    def __init__(
        self,
        me: fleet.Peer,
        rng: random.Random,
        timing: contacts.Timing = contacts.Timing(),
        membership_timing: suspicion.Timing = suspicion.Timing(),
    ) -> None:
        self.members = membership.View(me, membership_timing)
        self.spread = spread.Spread()
        self._rng = rng
        self._timing = timing
        self._contacts = contacts.Contacts(self.members, rng, timing)
        self._introduced: set[str] = set()
        self._reconciled = 0.0
        self._was_ready = False
        self._generation = -1
        self._is_watcher = False

    @property
    def near(self) -> neighbours.Neighbours:
        """Peers that this process talks to."""
        return self._contacts.near

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
        asked, needed = self._contacts.count_asked()
        if asked < needed:
            return f'asked {asked} of {needed} peers'
        newest = self._contacts.newest
        if newest > self.spread.revision:
            return f'still fetching revision {newest}'
        self._was_ready = True
        return ''

    def add_seeds(self, addresses: Iterable[str]) -> None:
        """Set addresses to try besides the known members.

        :param addresses: ``host:port``, from the host list or settings
        """
        self._contacts.add_seeds(addresses)

    @property
    def urgent(self) -> bool:
        """Whether the next round should not wait for its turn."""
        return self._contacts.urgent

    def pause(self) -> float:
        """Return seconds until the next round."""
        return self._contacts.pause()

    def update_endpoint(self, now: float, endpoint: fleet.Endpoint) -> None:
        """Announce that this process stands before something else."""
        self.members.update_endpoint(now, endpoint)
        # Peers know this process by its old record only.
        self._introduced.clear()

    def probe(self, name: str) -> None:
        """Call a process soon, as something else says that it is gone."""
        self._contacts.probe(name)

    def settle(self, now: float) -> list[str]:
        """Declare deaths that are due; return their names."""
        dead = self.members.settle(now)
        self._introduced.difference_update(dead)
        return dead

    def choose(self) -> exchanges.Target | None:
        """Choose the peer of the next round, or None when alone."""
        return self._contacts.choose(self.spread.revision)

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
        self._contacts.hear(name, offer.revision)
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
            self._contacts.call_next(name)
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
        self._contacts.note_answer(target)
        self._introduced.add(name)
        self._hear(now, reply.sender, reply.offer)
        self._merge(now, reply.changes)
        if reply.head:
            self.spread.take_head(reply.head)
        self.spread.take_chunks(reply.chunks)
        self.adopt()
        # The peer pulls what it now knows of; no need to tell it again.
        self._contacts.hear(name, self.spread.revision)
        return self._follow(name, reply)

    def take_stored(self, head: revisions.Head, document: bytes) -> None:
        """Take a configuration as the store gave it."""
        if self.spread.take_stored(head, document) is not None:
            self._contacts.hurry()

    def adopt(self) -> spread.Snapshot | None:
        """Put a pulled configuration in force once it is whole."""
        snapshot = self.spread.adopt()
        if snapshot is not None:
            self._contacts.hurry()
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
        self._contacts.note_failure(now, target)
