"""Messages that entries send each other about what they see and use.

Endpoints go by a short digest of their names, which makes a message half as
long.
"""

import functools
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
    'decode',
    'digest',
    'encode',
]

# Reserved memory is told in as many tokens times layers.
CACHE_UNIT = 1000
# Ages of an endpoint's last move are told in this unit, in seconds, and not
# at all beyond the longest, which takes one byte.
AGE_UNIT = 0.01
LONGEST_AGE = 127
# Paces of engines are told in this unit, 1 for the published one.
PACE_UNIT = 0.01

_Count = Annotated[int, msgspec.Meta(ge=0)]


class Message(msgspec.Struct, array_like=True):
    """One datagram.

    :ivar sender: name of the entry
    :ivar version: configuration in force there, 0 for none
    :ivar usages: digest of an endpoint or a pipe, sequences, started and
        reserved memory in its unit; None if only doubts are told
    :ivar leaving: digests of endpoints that leave
    :ivar doubted: digests of endpoints that are left out
    :ivar broken: fingerprints and the endpoints at which they broke
    :ivar refusing: digests of endpoints that go on refusing, though far
        from full
    :ivar refused: digests of requests that were refused just now
    :ivar ages: for each use, how long ago a stream that flows through the
        endpoint moved, in its unit; the longest if none does
    :ivar full: digests of endpoints that just refused its sender
    :ivar paces: digests of engines that its sender asked lately, and their
        paces in hundredths
    """

    sender: str
    version: _Count
    usages: list[tuple[_Count, _Count, _Count, _Count]] | None
    leaving: list[_Count]
    doubted: list[_Count]
    broken: list[tuple[str, str]]
    refused: list[_Count]
    refusing: list[_Count] = []
    ages: list[_Count] = []
    full: list[_Count] = []
    paces: list[tuple[_Count, _Count]] = []


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


@functools.lru_cache(maxsize=4096)
def digest(name: str) -> int:
    """Give the digest by which an endpoint or a pipe goes."""
    return zlib.crc32(name.encode())


def encode(message: Message) -> bytes:
    """Write a message."""
    return _encoder.encode(message)


def decode(data: bytes) -> result.Result[Message, str]:
    """Read a message.

    :returns: the message, or what is wrong with it
    """
    try:
        return result.Ok(_decoder.decode(data))
    except msgspec.DecodeError as error:
        return result.Err(str(error))
