"""Gossip messages between entries about endpoints and their usage.

Endpoints are identified by a short digest of their names, which halves the
length of a message.
"""

import math
from typing import Annotated
import zlib

import msgspec
import result

__all__ = [
    'AGE_UNIT',
    'CACHE_UNIT',
    'LONGEST_AGE',
    'PACE_UNIT',
    'Message',
    'MessageWithReading',
    'MessageWithRemovals',
    'MessageWithSuspicions',
    'Suspicions',
    'add_reading',
    'add_removals',
    'add_suspicions',
    'decode',
    'digest',
    'encode',
]

# Unit of reserved cache: tokens times layers.
CACHE_UNIT = 1000
# Unit of the time since the last progress at an endpoint, in seconds, and the
# largest value that is sent, which fits one byte; it means "none known".
AGE_UNIT = 0.01
LONGEST_AGE = 127
# Unit of the pace of engines; a pace of 1 is the published one.
PACE_UNIT = 0.01

_Count = Annotated[int, msgspec.Meta(ge=0)]


class Message(msgspec.Struct, array_like=True):
    """One datagram.

    :ivar sender: name of the entry
    :ivar version: version of the sender's configuration, 0 for none
    :ivar usages: digest of an endpoint or of a pipe between two failure
        domains, sequences, started ones, and reserved cache in
        ``CACHE_UNIT``; None in an alert
    :ivar leaving: digests of endpoints that leave
    :ivar ejected: digests of endpoints that the sender ejected
    :ivar broken: fingerprints of requests whose runs broke off, each with the
        name of the endpoint
    :ivar refused: digests of requests that were refused recently
    :ivar refusing: digests of endpoints that keep refusing requests although
        they are far from full
    :ivar ages: for each item of ``usages``, time since a stream through the
        endpoint made progress, in ``AGE_UNIT``; ``LONGEST_AGE`` if none did
    :ivar full: digests of endpoints that just refused the sender
    :ivar paces: digests of engines that the sender probed recently, and
        their paces in ``PACE_UNIT``
    """

    sender: str
    version: _Count
    usages: list[tuple[_Count, _Count, _Count, _Count]] | None
    leaving: list[_Count]
    ejected: list[_Count]
    broken: list[tuple[str, str]]
    refused: list[_Count]
    refusing: list[_Count] = []
    ages: list[_Count] = []
    full: list[_Count] = []
    paces: list[tuple[_Count, _Count]] = []


class MessageWithRemovals(Message, array_like=True):
    """A datagram with one more field, which is sent only if there are any.

    :ivar removed: digests of endpoints that the sender saw the store remove
    """

    removed: list[_Count] = []


class Suspicions(msgspec.Struct, array_like=True, frozen=True):
    """What an entry tells of prompts' parts that may crash endpoints.

    All ages are in ``AGE_UNIT``.

    :ivar crashes: names of endpoints on which runs broke before they had
        written, the age of the first break, and the parts of each run
    :ivar written: parts on which runs of the sender wrote, and the age of the
        last one
    :ivar refused: parts that the sender refuses together, the age of the
        decision, and the age of the last request that has them
    """

    crashes: list[tuple[str, _Count, list[list[str]]]] = []
    written: list[tuple[str, _Count]] = []
    refused: list[tuple[list[str], _Count, _Count]] = []

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to tell."""
        return not (self.crashes or self.written or self.refused)


class MessageWithSuspicions(MessageWithRemovals, array_like=True):
    """A datagram with one more field, which is sent only if there are any.

    :ivar suspicions: what the sender knows of parts that crash endpoints
    """

    suspicions: Suspicions = Suspicions()


class MessageWithReading(MessageWithSuspicions, array_like=True):
    """A datagram with one more field, sent only with shared reading on.

    :ivar reading: digest of what the sender knows of the store, and the age
        of its last answer in ``AGE_UNIT``, rounded up; None if it has none
    """

    reading: tuple[_Count, _Count] | None = None


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(MessageWithReading)


def digest(name: str) -> int:
    """Return the digest that identifies an endpoint or a pipe."""
    return zlib.crc32(name.encode())


def encode(message: Message) -> bytes:
    """Encode a message."""
    return _encoder.encode(message)


def add_removals(message: Message, removed: list[int]) -> Message:
    """Return a message with removals, the message itself if there are none.

    :param removed: digests of endpoints that the sender saw the store remove
    """
    if not removed:
        return message
    return MessageWithRemovals(*msgspec.structs.astuple(message), removed)


def add_suspicions(message: Message, suspicions: Suspicions) -> Message:
    """Return a message with suspicions, the message itself if it has none."""
    if suspicions.is_empty:
        return message
    fields = msgspec.structs.astuple(message)
    if not isinstance(message, MessageWithRemovals):
        fields = (*fields, [])
    return MessageWithSuspicions(*fields, suspicions)


def add_reading(message: Message, digest: int, age: float) -> Message:
    """Return a message with what the sender has read of the store.

    :param digest: digest of what it knows of the store
    :param age: time since its last answer, in seconds
    """
    fields = msgspec.structs.astuple(message)
    if not isinstance(message, MessageWithRemovals):
        fields = (*fields, [])
    if not isinstance(message, MessageWithSuspicions):
        fields = (*fields, Suspicions())
    # Rounded up, so that a reading never seems to be later than it was.
    return MessageWithReading(*fields, (digest, math.ceil(age / AGE_UNIT)))


def decode(data: bytes) -> result.Result[MessageWithReading, str]:
    """Decode a message.

    :returns: the message, or why it is malformed
    """
    try:
        return result.Ok(_decoder.decode(data))
    except msgspec.DecodeError as error:
        return result.Err(str(error))
