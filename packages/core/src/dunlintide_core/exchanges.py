"""Messages of one round of anti-entropy."""

import attrs

from dunlintide_core import configreplica
from dunlintide_core import records

__all__ = ['Reply', 'Request', 'Target']


@attrs.frozen
class Target:
    """Whom to call; a seed has an address and no name yet."""

    address: str
    name: str = ''


@attrs.frozen
class Request:
    """What a process tells a peer and asks of it.

    :ivar sender: its own record; in short (no address) after the first
    :ivar known_revision: newest revision whose head it has
    :ivar reconcile: whether to answer with hashes when views differ
    :ivar buckets: buckets of which ``digests`` are all that it has
    :ivar wanted_chunks: digests of chunks to send
    """

    sender: records.Record
    offer: configreplica.Offer
    known_revision: int
    members_hash: int
    changes: tuple[records.Record, ...] = ()
    reconcile: bool = False
    buckets: tuple[int, ...] = ()
    digests: tuple[records.Digest, ...] = ()
    wanted_chunks: tuple[str, ...] = ()


@attrs.frozen
class Reply:
    """Answer to a request.

    :ivar head: encoded head, when it is newer than the asker's
    :ivar bucket_hashes: hashes of this view, when they were asked for
    :ivar wanted_members: names of which the asker knows more
    """

    sender: records.Record
    offer: configreplica.Offer
    head: bytes = b''
    chunks: tuple[bytes, ...] = ()
    changes: tuple[records.Record, ...] = ()
    bucket_hashes: tuple[int, ...] = ()
    wanted_members: tuple[str, ...] = ()
