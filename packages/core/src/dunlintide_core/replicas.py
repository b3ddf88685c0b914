"""Replica of the fleet's state: configuration and membership.

An anti-entropy round consists of one ``Request`` and one ``Reply``. Both
carry recent changes and two short digests. Further messages follow only
if the digests differ, so the cost of a round depends on the changes and
not on the size of the state. The caller passes in the time and sends the
messages.
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
    """Replicated state of one process.

    :ivar members: membership view
    :ivar configuration: active and pending configuration
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
        """Peers that this process gossips with."""
        return self._selector.neighbours

    @property
    def is_watcher(self) -> bool:
        """Whether this process must watch the store for new revisions."""
        if self._generation != self.members.generation:
            self._generation = self.members.generation
            me = self.members.own_record.peer
            usable = self.members.list_usable()
            self._is_watcher = watchers.is_watcher(me, usable)
        return self._is_watcher

    def explain_unready(self) -> str:
        """Describe why this process cannot serve yet; empty if it can.

        A new process adopts the highest revision of several peers, since
        the store may have been restored from a backup.
        """
        if not self.configuration.revision:
            return 'no configuration from the store or a peer'
        if self._was_ready:
            return ''
        contacted, needed = self._selector.count_contacted()
        if contacted < needed:
            return f'contacted {contacted} of {needed} peers'
        newest = self._selector.newest_revision
        if newest > self.configuration.revision:
            return (
                f'fetching configuration revision {newest}, have'
                f' {self.configuration.revision}'
            )
        self._was_ready = True
        return ''

    def add_seeds(self, addresses: Iterable[str]) -> None:
        """Set addresses to contact in addition to the known members.

        :param addresses: ``host:port``, from the host list or settings
        """
        self._selector.add_seeds(addresses)

    @property
    def is_urgent(self) -> bool:
        """Whether the next round should start without the usual pause."""
        return self._selector.is_urgent

    def draw_pause(self) -> float:
        """Return the seconds until the next round, with jitter."""
        return self._selector.draw_pause()

    def update_endpoint(self, now: float, endpoint: fleet.Endpoint) -> None:
        """Announce a changed endpoint of this process."""
        self.members.update_endpoint(now, endpoint)
        # Peers have the old record, so send them the complete new one.
        self._informed_peers.clear()

    def probe(self, name: str) -> None:
        """Schedule a call to a process to which a link was lost."""
        self._selector.probe(name)

    def expire_suspects(self, now: float) -> list[str]:
        """Declare timed-out suspects dead and return their names.

        :param now: seconds
        """
        dead = self.members.expire_suspects(now)
        self._informed_peers.difference_update(dead)
        return dead

    def choose_target(self) -> exchanges.Target | None:
        """Choose the peer of the next round; None without known peers."""
        return self._selector.choose_target(self.configuration.revision)

    def make_request(
        self, now: float, target: exchanges.Target
    ) -> exchanges.Request:
        """Start a round and return the request to send.

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
        """Return the recent changes, and any suspicion of the peer itself.

        A suspected peer refutes the suspicion when it receives it.
        """
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
        """Handle a request of a peer and return the reply.

        :param now: seconds
        :param chunk_bytes: maximum bytes of chunks to send, 0 for none
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
        """Compare buckets with the digests that a peer sent for them.

        :return: records that are newer here, and names whose records are
            newer at the peer
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
        """Handle the reply of a peer.

        :param now: seconds
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
        # The peer pulls a newer revision by itself once it has seen the
        # offer, so it counts as up to date.
        self._selector.note_revision(name, self.configuration.revision)
        return self._build_follow_up(name, reply)

    def apply_stored(self, head: revisions.Head, document: bytes) -> None:
        """Apply a configuration that was read from the store."""
        if self.configuration.accept_stored(head, document) is not None:
            self._selector.start_eager_rounds()

    def activate_pending(self) -> configreplica.Snapshot | None:
        """Activate the pending configuration if it is complete.

        :return: the new snapshot, or None if nothing changed
        """
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
        """Record that a peer did not answer.

        :param now: seconds
        """
        self._selector.note_failure(now, target)
