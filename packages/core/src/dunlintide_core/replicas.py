"""One process's replica of the fleet's state: configuration and members.

A round of anti-entropy is one ``Request`` answered by one ``Reply``. It
carries recent changes and two short digests; only where those differ do
more messages follow, so that a round costs its changes and not the whole
state. The caller drives it: nothing here reads a clock or sends bytes.
"""

import random
from typing import Iterable

from dunlintide_core import configreplica
from dunlintide_core import exchanges
from dunlintide_core import fleet
from dunlintide_core import membership
from dunlintide_core import neighbours
from dunlintide_core import peerselection
from dunlintide_core import records
from dunlintide_core import revisions
from dunlintide_core import suspicion
from dunlintide_core import watchers

__all__ = ['Replica', 'Timing']

Timing = peerselection.Timing
MAX_REPLY_CHUNK_BYTES = 192 << 10
_MAX_DIGESTS = 256
_MAX_RECORDS = 400


class Replica:
    """State of one process and its part in each round.

    :ivar members: view of the fleet
    :ivar spread: configuration
    """

    def __init__(
        self,
        me: fleet.Peer,
        rng: random.Random,
        timing: peerselection.Timing = peerselection.Timing(),
        membership_timing: suspicion.Timing = suspicion.Timing(),
    ) -> None:
        self.members = membership.View(me, membership_timing)
        self.configuration = configreplica.ConfigurationReplica()
        self._rng = rng
        self._timing = timing
        self._selector = peerselection.PeerSelector(self.members, rng, timing)
        self._informed_peers: set[str] = set()
        self._reconciled_at = 0.0
        self._was_ready = False
        self._generation = -1
        self._is_watcher = False

    @property
    def neighbours(self) -> neighbours.Neighbours:
        """Peers that this process talks to."""
        return self._selector.neighbours

    @property
    def is_watcher(self) -> bool:
        """Whether this process has to watch the store."""
        if self._generation != self.members.generation:
            self._generation = self.members.generation
            me = self.members.own_record.peer
            usable = self.members.list_usable()
            self._is_watcher = watchers.is_watcher(me, usable)
        return self._is_watcher

    def explain_unready(self) -> str:
        """Say why this process cannot serve yet; empty when it can.

        A new process takes the highest revision of several peers, since
        the store alone may have been set back.
        """
        if not self.configuration.revision:
            return 'no configuration, neither from the store nor a peer'
        if self._was_ready:
            return ''
        asked, needed = self._selector.count_asked()
        if asked < needed:
            return f'asked {asked} of {needed} peers'
        newest = self._selector.newest_revision
        if newest > self.configuration.revision:
            return f'still fetching revision {newest}'
        self._was_ready = True
        return ''

    def add_seeds(self, addresses: Iterable[str]) -> None:
        """Set addresses to try besides the known members.

        :param addresses: ``host:port``, from the host list or settings
        """
        self._selector.add_seeds(addresses)

    @property
    def is_urgent(self) -> bool:
        """Whether the next round should not wait for its turn."""
        return self._selector.is_urgent

    def draw_pause(self) -> float:
        """Return seconds until the next round."""
        return self._selector.draw_pause()

    def update_endpoint(self, now: float, endpoint: fleet.Endpoint) -> None:
        """Announce that this process stands before something else."""
        self.members.update_endpoint(now, endpoint)
        # Peers know this process by its old record only.
        self._informed_peers.clear()

    def probe(self, name: str) -> None:
        """Call a process soon, as something else says that it is gone."""
        self._selector.probe(name)

    def expire_suspects(self, now: float) -> list[str]:
        """Declare deaths that are due; return their names."""
        dead = self.members.expire_suspects(now)
        self._informed_peers.difference_update(dead)
        return dead

    def choose_target(self) -> exchanges.Target | None:
        """Choose the peer of the next round, or None when alone."""
        return self._selector.choose_target(self.configuration.revision)

    def make_request(
        self, now: float, target: exchanges.Target
    ) -> exchanges.Request:
        """Begin a round.

        :param now: seconds
        """
        due = now - self._reconciled_at >= self._timing.reconcile
        if due:
            self._reconciled_at = now
        return self._build_request(target.name, reconcile=due)

    def _build_request(self, name: str, **fields) -> exchanges.Request:
        changes = fields.pop('changes', None)
        if changes is None:
            changes = self._list_changes_for(name)
        mine = self.members.own_record
        known = name in self._informed_peers
        return exchanges.Request(
            sender=records.shorten(mine) if known else mine,
            offer=self.configuration.offer,
            known_revision=self.configuration.known_revision,
            members_hash=self.members.hash,
            changes=tuple(changes),
            wanted_chunks=self.configuration.list_missing(),
            **fields,
        )

    def _list_changes_for(self, name: str) -> list[records.Record]:
        """Return recent changes, led by a suspicion of the peer itself."""
        changes = self.members.take_deltas()
        theirs = self.members.get(name)
        if theirs is not None and theirs.witnesses:
            changes.append(records.shorten(theirs))
        return [
            records.shorten(each) if each.witnesses and not each.dead else each
            for each in changes
        ]

    def _merge_changes(
        self, now: float, changes: Iterable[records.Record]
    ) -> None:
        for record in changes:
            self.members.merge(now, record)

    def _note_sender(
        self, now: float, sender: records.Record, offer: configreplica.Offer
    ) -> None:
        name = sender.peer.name
        self.members.merge(now, sender)
        self._selector.note_revision(name, offer.revision)
        self.configuration.detect_conflict(offer)

    def handle_request(
        self,
        now: float,
        request: exchanges.Request,
        chunk_bytes: int = MAX_REPLY_CHUNK_BYTES,
    ) -> exchanges.Reply:
        """Answer a peer's request.

        :param chunk_bytes: most bytes of chunks to send, 0 for none
        """
        name = request.sender.peer.name
        self._note_sender(now, request.sender, request.offer)
        self._merge_changes(now, request.changes)
        wanted = [] if self.members.get(name) else [name]
        lacking, unknown = self._compare_digests(request)
        if request.offer.revision > self.configuration.known_revision:
            self._selector.call_next(name)
        head = b''
        if self.configuration.revision > request.known_revision:
            head = self.configuration.snapshot.body
        differs = request.members_hash != self.members.hash
        hashes = ()
        if request.reconcile and differs:
            hashes = self.members.bucket_hashes
        recent = self._list_changes_for(name)
        return exchanges.Reply(
            sender=records.shorten(self.members.own_record),
            offer=self.configuration.offer,
            head=head,
            chunks=tuple(
                self.configuration.list_chunks(
                    request.wanted_chunks, chunk_bytes
                )
            ),
            changes=(*lacking, *recent),
            bucket_hashes=hashes,
            wanted_members=(*wanted, *unknown),
        )

    def _compare_digests(
        self, request: exchanges.Request
    ) -> tuple[list[records.Record], list[str]]:
        """Compare buckets with a peer's digests of them.

        :return: records that the peer lacks, names that this view lacks
        """
        theirs = {each.name: each for each in request.digests}
        lacking = []
        for index in request.buckets:
            for record in self.members.list_bucket(index):
                digest = theirs.get(record.peer.name)
                if records.is_newer(record, digest):
                    lacking.append(record)
        wanted = [
            name
            for name, digest in theirs.items()
            if records.is_older(self.members.get(name), digest)
        ]
        return lacking[:_MAX_RECORDS], wanted

    def handle_reply(
        self, now: float, target: exchanges.Target, reply: exchanges.Reply
    ) -> exchanges.Request | None:
        """Take in a reply.

        :return: a request to send to the same peer at once, or None
        """
        name = reply.sender.peer.name
        self._selector.note_answer(target)
        self._informed_peers.add(name)
        self._note_sender(now, reply.sender, reply.offer)
        self._merge_changes(now, reply.changes)
        if reply.head:
            self.configuration.accept_head(reply.head)
        self.configuration.accept_chunks(reply.chunks)
        self.activate_pending()
        # The peer pulls what it now knows of; no need to tell it again.
        self._selector.note_revision(name, self.configuration.revision)
        return self._build_follow_up(name, reply)

    def apply_stored(self, head: revisions.Head, document: bytes) -> None:
        """Take a configuration as the store gave it."""
        if self.configuration.accept_stored(head, document) is not None:
            self._selector.start_eager_rounds()

    def activate_pending(self) -> configreplica.Snapshot | None:
        """Put a pulled configuration in force once it is whole."""
        snapshot = self.configuration.activate_pending()
        if snapshot is not None:
            self._selector.start_eager_rounds()
        return snapshot

    def _build_follow_up(
        self, name: str, reply: exchanges.Reply
    ) -> exchanges.Request | None:
        mine = self.members.bucket_hashes
        differing = [
            index
            for index, theirs in enumerate(reply.bucket_hashes)
            if theirs != mine[index]
        ]
        pulls = bool(self.configuration.list_missing()) and (
            reply.offer.revision >= self.configuration.known_revision
        )
        wanted = [
            self.members.get(each)
            for each in reply.wanted_members
            if self.members.get(each) is not None
        ]
        if not (differing or pulls or wanted):
            return None
        buckets, digests = self._make_digests(differing)
        return self._build_request(
            name,
            changes=wanted[:_MAX_RECORDS],
            buckets=tuple(buckets),
            digests=tuple(digests),
        )

    def _make_digests(
        self, differing: list[int]
    ) -> tuple[list[int], list[records.Digest]]:
        self._rng.shuffle(differing)
        buckets, digests = [], []
        for index in differing:
            if len(digests) >= _MAX_DIGESTS:
                break
            buckets.append(index)
            digests.extend(
                records.make_digest(record)
                for record in self.members.list_bucket(index)
            )
        return buckets, digests

    def note_failure(self, now: float, target: exchanges.Target) -> None:
        """Take note that a peer did not answer."""
        self._selector.note_failure(now, target)
