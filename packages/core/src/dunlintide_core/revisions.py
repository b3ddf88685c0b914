"""Storage format of a configuration: a head and content-addressed chunks.

A document is the canonical JSON of a configuration. Chunk boundaries are
defined by the hashes of item names, so they do not move when other items
are added, removed or changed. An edit therefore costs about its own size
and not that of the document.
"""

import difflib
import hashlib
from typing import Iterable, Iterator, Mapping

import attrs
import msgspec
import result

__all__ = [
    'MAX_CHUNK_BYTES',
    'RECENT_CHANGES',
    'Chunk',
    'Corruption',
    'Head',
    'decode_head',
    'diff_documents',
    'digest_bytes',
    'encode_head',
    'find_missing',
    'has_change',
    'join',
    'make_head',
    'split',
]

MAX_CHUNK_BYTES = 256 << 10
# Number of change ids in a head. They show whether a write whose answer
# was lost has succeeded.
RECENT_CHANGES = 64

_DIGEST_BYTES = 20
# Mean number of items per chunk: one item in this many ends its chunk.
_ITEMS_PER_CHUNK = 64
_ENVELOPE_BYTES = 256
_DIFF_CONTEXT = 1


@attrs.frozen
class Chunk:
    """A piece of a document, stored under its digest.

    :ivar digest: ``digest_bytes(body)``
    :ivar body: JSON of the section's name and some of its items
    """

    digest: str
    body: bytes


@attrs.frozen
class Head:
    """One accepted revision of the configuration.

    :ivar revision: number of the revision, from 1; incremented by every
        accepted change
    :ivar change_id: unique id of the write that created the revision
    :ivar chunks: digests of the chunks, in document order
    :ivar document: digest of the complete document
    :ivar parent: revision that this one replaced, 0 for none
    :ivar time: creation time, in seconds since the epoch
    :ivar recent_changes: ids of the latest changes, newest first
    """

    revision: int
    change_id: str
    chunks: tuple[str, ...]
    document: str
    parent: int = 0
    author: str = ''
    comment: str = ''
    time: float = 0.0
    recent_changes: tuple[str, ...] = ()


@attrs.frozen
class Corruption:
    """Reason why stored bytes are not a valid head or document.

    :ivar message: description of the error
    :ivar missing: digests of the missing chunks
    """

    message: str
    missing: tuple[str, ...] = ()


class _Named(msgspec.Struct):
    name: str


class _Section(msgspec.Struct):
    section: str
    items: list[msgspec.Raw]


_documents = msgspec.json.Decoder(dict[str, list[msgspec.Raw]])
_names = msgspec.json.Decoder(_Named)
_sections = msgspec.json.Decoder(_Section)
_heads = msgspec.json.Decoder(Head)


def digest_bytes(body: bytes) -> str:
    """Return the digest under which bytes are stored.

    :param body: bytes of a chunk or a document
    """
    return hashlib.blake2b(body, digest_size=_DIGEST_BYTES).hexdigest()


def _ends_chunk(name: str) -> bool:
    digest = hashlib.blake2b(name.encode(), digest_size=8).digest()
    return int.from_bytes(digest) % _ITEMS_PER_CHUNK == 0


def _group_items(items: Iterable[bytes]) -> Iterator[list[bytes]]:
    group, size = [], _ENVELOPE_BYTES
    for item in items:
        if group and size + len(item) >= MAX_CHUNK_BYTES:
            yield group
            group, size = [], _ENVELOPE_BYTES
        group.append(item)
        size += len(item) + 1
        if _ends_chunk(_names.decode(item).name):
            yield group
            group, size = [], _ENVELOPE_BYTES
    if group:
        yield group


def _make_chunk(section: str, items: list[bytes]) -> Chunk:
    raws = [msgspec.Raw(item) for item in items]
    body = msgspec.json.encode(_Section(section, raws))
    return Chunk(digest_bytes(body), body)


def _assemble(bodies: Iterable[bytes]) -> bytes:
    sections: dict[str, list[bytes]] = {}
    for body in bodies:
        part = _sections.decode(body)
        items = sections.setdefault(part.section, [])
        items.extend(bytes(item) for item in part.items)
    parts = [
        msgspec.json.encode(name) + b':[' + b','.join(items) + b']'
        for name, items in sorted(sections.items())
    ]
    return b'{' + b','.join(parts) + b'}'


def split(document: bytes) -> result.Result[tuple[Chunk, ...], Corruption]:
    """Split a document into chunks, in document order.

    :param document: canonical document: an object of lists of objects,
        each with a ``name``
    :returns: the chunks, or why the bytes are not a valid document
    """
    try:
        sections = _documents.decode(document)
        chunks = tuple(
            _make_chunk(section, group)
            for section, items in sorted(sections.items())
            for group in _group_items(bytes(item) for item in items)
        )
    except (msgspec.MsgspecError, RecursionError) as error:
        return result.Err(Corruption(f'not a configuration document: {error}'))
    if any(len(chunk.body) > MAX_CHUNK_BYTES for chunk in chunks):
        return result.Err(
            Corruption(f'an item exceeds {MAX_CHUNK_BYTES} bytes')
        )
    return result.Ok(chunks)


def find_missing(head: Head, known: Iterable[str]) -> tuple[str, ...]:
    """List the chunks of a head that must be fetched.

    :param known: digests of the chunks that are present
    """
    known = frozenset(known)
    wanted = dict.fromkeys(head.chunks)
    return tuple(digest for digest in wanted if digest not in known)


def join(
    head: Head, bodies: Mapping[str, bytes]
) -> result.Result[bytes, Corruption]:
    """Assemble the document of a head and verify its digest.

    :param bodies: bodies of chunks by digest; extra chunks are ignored
    :returns: the document, or the reason why it cannot be assembled
    """
    missing = find_missing(head, bodies)
    if missing:
        return result.Err(Corruption('chunks are missing', missing))
    try:
        document = _assemble(bodies[digest] for digest in head.chunks)
    except (msgspec.MsgspecError, RecursionError) as error:
        return result.Err(Corruption(f'cannot decode a chunk: {error}'))
    if digest_bytes(document) != head.document:
        return result.Err(
            Corruption('the digest of the document does not match')
        )
    return result.Ok(document)


def make_head(
    parent: Head | None,
    chunks: Iterable[Chunk],
    change_id: str,
    author: str,
    comment: str,
    now: float,
) -> Head:
    """Build the head of the next revision.

    :param parent: head to replace, None for the first
    :param chunks: chunks of the new document, as returned by ``split``
    :param change_id: unique id of this change
    :param now: seconds since the epoch
    """
    chunks = tuple(chunks)
    earlier = parent.recent_changes if parent else ()
    revision = parent.revision if parent else 0
    return Head(
        revision=revision + 1,
        change_id=change_id,
        chunks=tuple(chunk.digest for chunk in chunks),
        document=digest_bytes(_assemble(chunk.body for chunk in chunks)),
        parent=revision,
        author=author,
        comment=comment,
        time=now,
        recent_changes=(change_id, *earlier)[:RECENT_CHANGES],
    )


def has_change(head: Head, change_id: str) -> bool:
    """Return whether a head includes a change among its recent changes.

    :param change_id: id of a change whose answer may have been lost
    """
    return change_id in head.recent_changes


def encode_head(head: Head) -> bytes:
    """Encode a head for the store and the wire."""
    return msgspec.json.encode(head, order='deterministic')


def decode_head(body: bytes) -> result.Result[Head, Corruption]:
    """Decode a head encoded by ``encode_head``.

    :returns: the head, or why the bytes cannot be decoded
    """
    try:
        return result.Ok(_heads.decode(body))
    except (msgspec.MsgspecError, RecursionError) as error:
        return result.Err(Corruption(f'not a head: {error}'))


def _list_lines(document: bytes) -> list[str]:
    sections = _documents.decode(document) if document else {}
    return [
        f'{section}: {bytes(item).decode()}'
        for section, items in sorted(sections.items())
        for item in items
    ]


def diff_documents(old: bytes, new: bytes) -> str:
    """Return a unified diff of two documents with one item per line.

    :param old: canonical document, may be empty
    :param new: canonical document, may be empty
    :returns: the diff, empty if both are equal
    """
    lines = difflib.unified_diff(
        _list_lines(old),
        _list_lines(new),
        'before',
        'after',
        n=_DIFF_CONTEXT,
        lineterm='',
    )
    return '\n'.join(lines)
