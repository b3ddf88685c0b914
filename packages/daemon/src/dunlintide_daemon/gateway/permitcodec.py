"""Messages about permits as they go between entries in datagrams."""

import msgspec
import result

from dunlintide_core.pipeline import permits

__all__ = [
    'MARK',
    'decode',
    'encode',
]

# First byte of these messages; no other message between entries begins so.
MARK = b'\xc1'
_ASK = b'?'
_ANSWER = b'!'

_encoder = msgspec.msgpack.Encoder()
_decoders = {
    _ASK: msgspec.msgpack.Decoder(permits.Ask),
    _ANSWER: msgspec.msgpack.Decoder(permits.Answer),
}


def encode(message: permits.Message) -> bytes:
    """Write a message."""
    kind = _ASK if isinstance(message, permits.Ask) else _ANSWER
    return MARK + kind + _encoder.encode(message)


def decode(data: bytes) -> result.Result[permits.Message, str]:
    """Read a message.

    :returns: the message, or what is wrong with it
    """
    decoder = _decoders.get(data[1:2])
    if decoder is None:
        return result.Err(f'kind {data[1:2]!r}')
    try:
        message = decoder.decode(data[2:])
    except msgspec.DecodeError as error:
        return result.Err(str(error))
    limit = message.limit
    if limit is not None and not 0 <= limit < float('inf'):
        return result.Err(f'limit {limit}')
    if not 0 <= message.age <= float('inf'):
        return result.Err(f'age {message.age}')
    return result.Ok(message)
