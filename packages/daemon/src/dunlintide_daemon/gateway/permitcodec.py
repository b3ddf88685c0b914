"""Encoding of messages about permits in datagrams between entries."""

import msgspec
import result

from dunlintide_core.pipeline import permits

__all__ = [
    'MARK',
    'decode',
    'encode',
]

# First byte of these messages; gossip messages never begin with it.
MARK = b'\xc1'
_REQUEST = b'?'
_REPLY = b'!'
_UPDATE = b'='

_encoder = msgspec.msgpack.Encoder()
_decoders = {
    _REQUEST: msgspec.msgpack.Decoder(permits.PermitRequest),
    _REPLY: msgspec.msgpack.Decoder(permits.PermitReply),
    _UPDATE: msgspec.msgpack.Decoder(permits.LimitUpdate),
}
_kinds = {
    permits.PermitRequest: _REQUEST,
    permits.PermitReply: _REPLY,
    permits.LimitUpdate: _UPDATE,
}


def encode(message: permits.Message) -> bytes:
    """Encode a message."""
    return MARK + _kinds[type(message)] + _encoder.encode(message)


def decode(data: bytes) -> result.Result[permits.Message, str]:
    """Decode a message.

    :returns: the message, or why it is malformed
    """
    decoder = _decoders.get(data[1:2])
    if decoder is None:
        return result.Err(f'unknown kind {data[1:2]!r} of permit message')
    try:
        message = decoder.decode(data[2:])
    except msgspec.DecodeError as error:
        return result.Err(str(error))
    for endpoint, limit, age in permits.list_limits(message):
        if limit is not None and not 0 <= limit < float('inf'):
            return result.Err(
                f'limit {limit} of {endpoint} is negative or not finite'
            )
        if not 0 <= age <= float('inf'):
            return result.Err(
                f'age {age} of {endpoint} is negative or not a number'
            )
    return result.Ok(message)
