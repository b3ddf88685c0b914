"""How a configuration passes from process to process.

Each process keeps the bytes of the newest head and of its chunks, and
hands them on. It takes a head only with a higher revision than its own,
and only once every chunk of it is there and its digests are right.
"""

from typing import Iterable

import attrs
import result

from dunlintide_core import revisions

__all__ = ['ConfigurationReplica', 'Offer', 'Snapshot']

_MAX_CONFLICTS = 16


@attrs.frozen
class Snapshot:
    """A whole configuration.

    :ivar body: encoded head, as the store holds it
    :ivar document: bytes of the document
    """

    head: revisions.Head
    body: bytes
    document: bytes = attrs.field(repr=False)


@attrs.frozen
class Offer:
    """What a process says of its configuration; revision 0 for none.

    :ivar digest: digest of the encoded head
    """

    revision: int = 0
    digest: str = ''


class ConfigurationReplica:
    """Configuration of one process and the one it is pulling.

    :ivar conflicts: revisions of which two different heads were seen
    :ivar store_revision: newest revision that the store told, or None
    :ivar refused: heads and documents that were damaged
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
        """Revision in force, 0 for none."""
        return self.snapshot.head.revision if self.snapshot else 0

    @property
    def offer(self) -> Offer:
        """What to tell a peer."""
        if self.snapshot is None:
            return Offer()
        digest = revisions.digest_bytes(self.snapshot.body)
        return Offer(self.revision, digest)

    @property
    def known_revision(self) -> int:
        """Newest revision of which the head is here, maybe not whole."""
        pending = self._pending.revision if self._pending else 0
        return max(self.revision, pending)

    @property
    def store_behind(self) -> bool:
        """Whether the store holds an older revision than this process.

        So it is after the store was restored from a backup. The next
        change has to be based on the fleet's revision.
        """
        told = self.store_revision
        return told is not None and told < self.revision

    def note_store_revision(self, revision: int) -> None:
        """Take note of the revision that the store holds."""
        self.store_revision = revision

    def detect_conflict(self, offer: Offer) -> None:
        """Look for two heads with one revision.

        Only a store that was set back can bring this about, so it is
        no broken invariant: each keeps its own until a higher one comes.
        """
        mine = self.offer
        if offer.revision != mine.revision or offer.digest == mine.digest:
            return
        if len(self.conflicts) < _MAX_CONFLICTS:
            self.conflicts.add(offer.revision)

    def accept_head(self, body: bytes) -> bool:
        """Take an encoded head; True when it is newer than all known."""
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
        """Take a whole configuration as the store gave it.

        :return: the snapshot now in force, or None when nothing changed
        """
        self.note_store_revision(head.revision)
        if not self.accept_head(revisions.encode_head(head)):
            return None
        chunks = revisions.split(document)
        if isinstance(chunks, result.Ok):
            self.accept_chunks(chunk.body for chunk in chunks.ok_value)
        return self.activate_pending()

    def list_missing(self) -> tuple[str, ...]:
        """Return digests of the chunks that the pending head lacks."""
        if self._pending is None:
            return ()
        return revisions.find_missing(self._pending, self._chunks)

    def accept_chunks(self, bodies: Iterable[bytes]) -> None:
        """Keep those chunks that the pending head asks for."""
        wanted = set(self.list_missing())
        for body in bodies:
            digest = revisions.digest_bytes(body)
            # Others may be here already, or belong to a newer head.
            if digest in wanted:
                self._chunks[digest] = body

    def activate_pending(self) -> Snapshot | None:
        """Put the pending head in force once it is whole.

        :return: the new snapshot, or None when nothing changed
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
        """Return those chunks that are here, up to a total size.

        :param limit: bytes; the first chunk comes even if it is larger,
            unless the limit is 0
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
        """Bytes of the configuration that this process holds."""
        whole = self.snapshot
        own = len(whole.body) + len(whole.document) if whole else 0
        return own + sum(map(len, self._chunks.values()))
