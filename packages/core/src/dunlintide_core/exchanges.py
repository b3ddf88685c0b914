"""Messages of an anti-entropy (gossip) round between two processes."""

import attrs

from dunlintide_core import configreplica
from dunlintide_core import records

__all__ = ['Reply', 'Request', 'Target']


@attrs.frozen
class Target:
    """Peer to call; the name of a seed is not known yet."""

    address: str
    name: str = ''


@attrs.frozen
class Request:
    """Request of an anti-entropy round.

    :ivar sender: record of the sender; shortened (without address) when
        the receiver already has the complete one
    :ivar offer: configuration that the sender can supply
    :ivar known_revision: newest revision whose head the sender has
    :ivar members_hash: hash of the sender's membership view
    :ivar changes: membership changes for the receiver to merge
    :ivar reconcile: whether the receiver replies with bucket hashes when
        the views differ
    :ivar buckets: buckets for which ``digests`` is complete
    :ivar digests: digests of the sender's records in ``buckets``
    :ivar wanted_chunks: digests of the chunks that the sender lacks
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
    """Reply to a request.

    :ivar offer: configuration that the replying process can supply
    :ivar head: encoded head if it is newer than the requester's, else
        empty
    :ivar chunks: bodies of requested chunks, up to a size limit
    :ivar changes: membership changes for the requester to merge
    :ivar bucket_hashes: bucket hashes of this view, if requested and if
        the views differ
    :ivar wanted_members: names whose records are newer at the requester
    """

    sender: records.Record
    offer: configreplica.Offer
    head: bytes = b''
    chunks: tuple[bytes, ...] = ()
    changes: tuple[records.Record, ...] = ()
    bucket_hashes: tuple[int, ...] = ()
    wanted_members: tuple[str, ...] = ()
