"""Conversion of anti-entropy messages to and from protobuf."""

from dunlintide_adapters.wire import link_pb2
from dunlintide_core import configreplica
from dunlintide_core import exchanges
from dunlintide_core import fleet
from dunlintide_core import records

__all__ = [
    'decode_endpoint',
    'decode_peer',
    'decode_reply',
    'decode_request',
    'encode_endpoint',
    'encode_peer',
    'encode_reply',
    'encode_request',
]


def encode_endpoint(endpoint: fleet.Endpoint) -> link_pb2.Endpoint:
    """Encode the endpoint of an agent."""
    return link_pb2.Endpoint(
        kind=endpoint.kind,
        model=endpoint.model,
        version=endpoint.version,
        layer_start=endpoint.layer_start,
        layer_end=endpoint.layer_end,
        layer_count=endpoint.layer_count,
        accelerator=endpoint.accelerator,
        service=endpoint.service,
        tokens_per_second=endpoint.tokens_per_second,
        checks_fence=endpoint.checks_fence,
        max_in_flight=endpoint.max_in_flight,
        max_layers=endpoint.max_layers,
        away=endpoint.away,
    )


def decode_endpoint(message: link_pb2.Endpoint) -> fleet.Endpoint:
    """Decode an endpoint.

    :raises ValueError: for a kind that this version does not know
    """
    return fleet.Endpoint(
        kind=fleet.EndpointKind(message.kind),
        model=message.model,
        version=message.version,
        layer_start=message.layer_start,
        layer_end=message.layer_end,
        layer_count=message.layer_count,
        accelerator=message.accelerator,
        service=message.service,
        tokens_per_second=message.tokens_per_second,
        checks_fence=message.checks_fence,
        max_in_flight=message.max_in_flight,
        max_layers=message.max_layers,
        away=message.away,
    )


def encode_peer(peer: fleet.Peer) -> link_pb2.Hello:
    """Encode the description of a process.

    A peer without an address is encoded in short form, without its role.
    """
    short = not peer.address
    endpoint = None
    if peer.endpoint is not None:
        endpoint = encode_endpoint(peer.endpoint)
    return link_pb2.Hello(
        name=peer.name,
        role='' if short else peer.role,
        incarnation=peer.incarnation,
        failure_domain=peer.failure_domain,
        region=peer.region,
        address=peer.address,
        endpoint=endpoint,
        leaving=peer.leaving,
        edition=peer.edition,
    )


def decode_peer(message: link_pb2.Hello) -> fleet.Peer:
    """Decode the description of a process.

    :raises ValueError: for a role or kind that is not known
    """
    endpoint = None
    if message.HasField('endpoint'):
        endpoint = decode_endpoint(message.endpoint)
    # The short form has no role; merging the record fills it in.
    role = fleet.Role(message.role) if message.role else fleet.Role.AGENT
    return fleet.Peer(
        name=message.name,
        role=role,
        incarnation=message.incarnation,
        failure_domain=message.failure_domain,
        region=message.region,
        address=message.address,
        endpoint=endpoint,
        leaving=message.leaving,
        edition=message.edition,
    )


def _encode_record(record: records.Record) -> link_pb2.MemberRecord:
    alive = record.state is records.State.ALIVE
    return link_pb2.MemberRecord(
        hello=encode_peer(record.peer),
        version=record.version,
        state='' if alive else record.state,
        witnesses=record.witnesses,
    )


def _decode_record(message: link_pb2.MemberRecord) -> records.Record:
    return records.Record(
        peer=decode_peer(message.hello),
        version=message.version,
        dead=message.state == records.State.DEAD,
        witnesses=tuple(message.witnesses),
    )


def _encode_digest(digest: records.Digest) -> link_pb2.MemberDigest:
    alive = digest.state is records.State.ALIVE
    return link_pb2.MemberDigest(
        name=digest.name,
        incarnation=digest.incarnation,
        version=digest.version,
        state='' if alive else digest.state,
    )


def _decode_digest(message: link_pb2.MemberDigest) -> records.Digest:
    return records.Digest(
        message.name,
        message.incarnation,
        message.version,
        records.State(message.state or records.State.ALIVE),
    )


def encode_request(request: exchanges.Request) -> link_pb2.ExchangeRequest:
    """Encode a request."""
    return link_pb2.ExchangeRequest(
        sender=encode_peer(request.sender.peer),
        version=request.sender.version,
        revision=request.offer.revision,
        head_digest=bytes.fromhex(request.offer.digest),
        known_revision=request.known_revision,
        members_hash=request.members_hash,
        changes=map(_encode_record, request.changes),
        reconcile=request.reconcile,
        buckets=request.buckets,
        members=map(_encode_digest, request.digests),
        wanted_chunks=map(bytes.fromhex, request.wanted_chunks),
    )


def decode_request(message: link_pb2.ExchangeRequest) -> exchanges.Request:
    """Decode a request.

    :raises ValueError: for a value that this version does not know
    """
    return exchanges.Request(
        sender=records.Record(decode_peer(message.sender), message.version),
        offer=configreplica.Offer(message.revision, message.head_digest.hex()),
        known_revision=message.known_revision,
        members_hash=message.members_hash,
        changes=tuple(map(_decode_record, message.changes)),
        reconcile=message.reconcile,
        buckets=tuple(message.buckets),
        digests=tuple(map(_decode_digest, message.members)),
        wanted_chunks=tuple(each.hex() for each in message.wanted_chunks),
    )


def encode_reply(reply: exchanges.Reply) -> link_pb2.ExchangeReply:
    """Encode a reply."""
    return link_pb2.ExchangeReply(
        sender=encode_peer(reply.sender.peer),
        version=reply.sender.version,
        revision=reply.offer.revision,
        head_digest=bytes.fromhex(reply.offer.digest),
        head=reply.head,
        chunks=[link_pb2.Chunk(data=body) for body in reply.chunks],
        members=map(_encode_record, reply.changes),
        bucket_hashes=reply.bucket_hashes,
        wanted_members=reply.wanted_members,
    )


def decode_reply(message: link_pb2.ExchangeReply) -> exchanges.Reply:
    """Decode a reply.

    :raises ValueError: for a value that this version does not know
    """
    return exchanges.Reply(
        sender=records.Record(decode_peer(message.sender), message.version),
        offer=configreplica.Offer(message.revision, message.head_digest.hex()),
        head=message.head,
        chunks=tuple(each.data for each in message.chunks),
        changes=tuple(map(_decode_record, message.members)),
        bucket_hashes=tuple(message.bucket_hashes),
        wanted_members=tuple(message.wanted_members),
    )
