"""Encoding of notices of demand in datagrams between entries."""

import itertools
from typing import Annotated, Iterable, Sequence

import msgspec
import result

from dunlintide_core.pipeline import demandrows

__all__ = [
    'MARK',
    'Notice',
    'decode',
    'encode',
]

# First bytes of a notice; gossip messages and messages about permits never
# begin with them.
MARK = b'DN1'

_Digest = Annotated[int, msgspec.Meta(ge=0, le=0xFFFFFFFF)]
_Value = Annotated[int, msgspec.Meta(ge=0, le=demandrows.MAX_VALUE)]
_Sequence = Annotated[int, msgspec.Meta(ge=0)]


class _Demand(msgspec.Struct, array_like=True, frozen=True):
    """A row without its service, see ``demandrows.Row``."""

    priority: _Value
    team: _Digest
    waiting: _Value
    load: _Value
    started: _Value


class _Service(msgspec.Struct, array_like=True, frozen=True):
    """Rows of one service; its digest is sent once."""

    service: _Digest
    demands: list[_Demand]


class _Message(msgspec.Struct, array_like=True, frozen=True):
    """One datagram after its mark."""

    sender: str
    sequence: _Sequence
    services: list[_Service]


class Notice(msgspec.Struct, frozen=True):
    """Demand that an entry sends to another.

    :ivar sender: name of the entry
    :ivar sequence: number of the notice, increasing
    :ivar rows: complete demand of the entry, the most urgent first
    """

    sender: str
    sequence: int
    rows: Sequence[demandrows.Row]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_Message)


def _group(rows: Iterable[demandrows.Row]) -> list[_Service]:
    """Group adjacent rows of one service, which keeps their order."""
    return [
        _Service(
            service,
            [
                _Demand(
                    row.priority,
                    row.team,
                    row.waiting,
                    row.load,
                    row.started,
                )
                for row in group
            ],
        )
        for service, group in itertools.groupby(rows, lambda row: row.service)
    ]


def encode(notice: Notice) -> bytes:
    """Encode a notice."""
    message = _Message(notice.sender, notice.sequence, _group(notice.rows))
    return MARK + _encoder.encode(message)


def decode(data: bytes) -> result.Result[Notice, str]:
    """Decode a notice.

    :returns: the notice, or why it is malformed
    """
    try:
        message = _decoder.decode(data[len(MARK) :])
    except msgspec.DecodeError as error:
        return result.Err(str(error))
    rows = tuple(
        demandrows.Row(service.service, *msgspec.structs.astuple(demand))
        for service in message.services
        for demand in service.demands
    )
    return result.Ok(Notice(message.sender, message.sequence, rows))
