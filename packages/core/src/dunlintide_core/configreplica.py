"""Replication of the configuration between processes.

Each process keeps the encoded newest head and its chunks, and serves them
to its peers. A head is activated only if its revision is higher than the
active one, all of its chunks are present and the digests match.
"""

from typing import Iterable

import attrs
import result

from dunlintide_core import revisions

__all__ = ['ConfigurationReplica', 'Offer', 'Snapshot']

_MAX_CONFLICTS = 16


@attrs.frozen
class Snapshot:
    """A complete configuration.

    :ivar head: decoded head
    :ivar body: encoded head, as kept in the store
    :ivar document: encoded document
    """

    head: revisions.Head
    body: bytes
    document: bytes = attrs.field(repr=False)


@attrs.frozen
class Offer:
    """Announcement of a process's active configuration.

    :ivar revision: revision of the configuration, 0 for none
    :ivar digest: digest of the encoded head
    """

    revision: int = 0
    digest: str = ''


class ConfigurationReplica:
    """Active and pending configuration of one process.

    :ivar snapshot: active configuration, None until the first one
    :ivar conflicts: revisions for which two different heads were seen
    :ivar store_revision: latest revision read from the store, or None
    :ivar refused: number of corrupt heads and documents
    """

    def __init__(self) -> None:
        self.snapshot: Snapshot | None = None
        self.conflicts: set[int] = set()
        self.store_revision: int | None = None
        self.refused = 0
        self._chunks: dict[str, bytes] = {}
        self._pending: revisions.Head | None = None
        self._pending_body = b''

    @property
    def revision(self) -> int:
        """Active revision, 0 for none."""
        return self.snapshot.head.revision if self.snapshot else 0

    @property
    def offer(self) -> Offer:
        """Announcement for peers."""
        if self.snapshot is None:
            return Offer()
        digest = revisions.digest_bytes(self.snapshot.body)
        return Offer(self.revision, digest)

    @property
    def known_revision(self) -> int:
        """Newest revision whose head is known, active or pending."""
        pending = self._pending.revision if self._pending else 0
        return max(self.revision, pending)

    @property
    def store_behind(self) -> bool:
        """Whether the store has an older revision than this process.

        This happens after the store was restored from a backup. The next
        change must be based on the revision of the fleet.
        """
        stored = self.store_revision
        return stored is not None and stored < self.revision

    def note_store_revision(self, revision: int) -> None:
        """Record the revision in the store."""
        self.store_revision = revision

    def detect_conflict(self, offer: Offer) -> None:
        """Detect two different heads with the same revision.

        This happens only after the store was restored from a backup. Each
        process keeps its own head until a higher revision arrives.
        """
        mine = self.offer
        if offer.revision != mine.revision or offer.digest == mine.digest:
            return
        if len(self.conflicts) < _MAX_CONFLICTS:
            self.conflicts.add(offer.revision)

    def accept_head(self, body: bytes) -> bool:
        """Make an encoded head pending if it is newer than all known heads.

        :return: whether the head is pending now
        """
        decoded = revisions.decode_head(body)
        if isinstance(decoded, result.Err):
            self.refused += 1
            return False
        head = decoded.ok_value
        if head.revision <= self.known_revision:
            return False
        self._pending, self._pending_body = head, body
        return True

    def accept_stored(
        self, head: revisions.Head, document: bytes
    ) -> Snapshot | None:
        """Accept a complete configuration that was read from the store.

        :return: the new snapshot, or None if nothing changed
        """
        self.note_store_revision(head.revision)
        if not self.accept_head(revisions.encode_head(head)):
            return None
        chunks = revisions.split(document)
        if isinstance(chunks, result.Ok):
            self.accept_chunks(chunk.body for chunk in chunks.ok_value)
        return self.activate_pending()

    def list_missing(self) -> tuple[str, ...]:
        """Return the digests of missing chunks of the pending head."""
        if self._pending is None:
            return ()
        return revisions.find_missing(self._pending, self._chunks)

    def accept_chunks(self, bodies: Iterable[bytes]) -> None:
        """Keep the chunks that the pending head lacks."""
        wanted = set(self.list_missing())
        for body in bodies:
            digest = revisions.digest_bytes(body)
            # Other chunks may be present already or belong to another head.
            if digest in wanted:
                self._chunks[digest] = body

    def activate_pending(self) -> Snapshot | None:
        """Activate the pending head if all of its chunks are present.

        :return: the new snapshot, or None if nothing changed
        """
        head = self._pending
        if head is None or self.list_missing():
            return None
        self._pending = None
        if head.revision <= self.revision:
            return None
        document = revisions.join(head, self._chunks)
        if isinstance(document, result.Err):
            self.refused += 1
            return None
        self.snapshot = Snapshot(head, self._pending_body, document.ok_value)
        kept = set(head.chunks)
        self._chunks = {d: b for d, b in self._chunks.items() if d in kept}
        return self.snapshot

    def list_chunks(self, digests: Iterable[str], limit: int) -> list[bytes]:
        """Return the chunks that are present, up to a total size.

        :param limit: bytes; the first chunk is returned even if it is
            larger, unless the limit is 0
        """
        if limit <= 0:
            return []
        found = []
        size = 0
        for digest in digests:
            body = self._chunks.get(digest)
            if body is None:
                continue
            if found and size + len(body) > limit:
                break
            found.append(body)
            size += len(body)
        return found

    @property
    def size_bytes(self) -> int:
        """Memory used by heads, documents and chunks, in bytes."""
        snapshot = self.snapshot
        own = len(snapshot.body) + len(snapshot.document) if snapshot else 0
        return own + sum(map(len, self._chunks.values()))
