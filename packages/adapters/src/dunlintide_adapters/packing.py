"""Packing of frames into messages of bounded size, and unpacking.

A message proves that a link is alive only once it has arrived completely.
So it must be small enough that a slow link transfers it well before the
peer assumes the link lost. A larger frame is split into pieces.
"""

from typing import Iterable, Iterator

from dunlintide_adapters.wire import link_pb2

__all__ = [
    'BATCH_BYTES',
    'MAX_FRAME_BYTES',
    'Unpacker',
    'pack',
]

MAX_FRAME_BYTES = 4 << 20
BATCH_BYTES = 16 << 10


def _split_frame(frame: link_pb2.Frame) -> Iterator[link_pb2.Envelope]:
    data = frame.SerializeToString()
    for start in range(0, len(data), BATCH_BYTES):
        end = start + BATCH_BYTES
        yield link_pb2.Envelope(piece=data[start:end], more=end < len(data))


def pack(
    frames: Iterable[link_pb2.Frame], batch_bytes: int = BATCH_BYTES
) -> Iterator[link_pb2.Envelope]:
    """Yield messages that each hold as many frames as fit.

    :param batch_bytes: maximum size of a message with several frames
    """
    envelope = link_pb2.Envelope()
    size = 0
    for frame in frames:
        length = frame.ByteSize()
        if envelope.frames and size + length > batch_bytes:
            yield envelope
            envelope = link_pb2.Envelope()
            size = 0
        if length > BATCH_BYTES:
            yield from _split_frame(frame)
            continue
        envelope.frames.append(frame)
        size += length
    if envelope.frames:
        yield envelope


class Unpacker:
    """Reassembles the split frames of one link."""

    def __init__(self) -> None:
        self._pieces: list[bytes] = []
        self._size = 0

    def unpack(self, envelope: link_pb2.Envelope) -> Iterable[link_pb2.Frame]:
        """Return the frames of a message; a split one with its last piece.

        :raises ValueError: if a split frame exceeds ``MAX_FRAME_BYTES``
        :raises google.protobuf.message.DecodeError: if the joined pieces
            are not a valid frame
        """
        if not envelope.piece:
            return envelope.frames
        self._pieces.append(envelope.piece)
        self._size += len(envelope.piece)
        if self._size > MAX_FRAME_BYTES:
            raise ValueError('a frame is larger than a message may be')
        if envelope.more:
            return ()
        data = b''.join(self._pieces)
        self._pieces.clear()
        self._size = 0
        return (link_pb2.Frame.FromString(data),)
