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
_NEWS = b'='

_encoder = msgspec.msgpack.Encoder()
_decoders = {
    _ASK: msgspec.msgpack.Decoder(permits.PermitRequest),
    _ANSWER: msgspec.msgpack.Decoder(permits.PermitReply),
    _NEWS: msgspec.msgpack.Decoder(permits.LimitUpdate),
}
_kinds = {
    permits.PermitRequest: _ASK,
    permits.PermitReply: _ANSWER,
    permits.LimitUpdate: _NEWS,
}


def encode(message: permits.Message) -> bytes:
    """Write a message."""
    return MARK + _kinds[type(message)] + _encoder.encode(message)


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
    for endpoint, limit, age in permits.list_limits(message):
        if limit is not None and not 0 <= limit < float('inf'):
            return result.Err(f'limit {limit} of {endpoint}')
        if not 0 <= age <= float('inf'):
            return result.Err(f'age {age} of {endpoint}')
    return result.Ok(message)
