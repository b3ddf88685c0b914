"""Fleets of the sizes at which benchmark cases are measured."""

from typing import Callable

import msgspec

from dunlintide_adapters import peercodec
from dunlintide_core import exchanges
from dunlintide_trials import network

__all__ = [
    'SIZES',
    'make_document',
    'make_fleet',
    'size_message',
    'spread_change',
]

SIZES = (50, 100, 200, 400, 970)
DOMAINS = 7
# Share of entries among all processes, at the largest of these sizes.
_ENTRY_SHARE = 370 / 970
_SETTLED_SECONDS = 5


def make_document(teams: int, version: int) -> bytes:
    """Make a configuration; versions differ in one team's key.

    :param teams: number of teams, about 200 bytes each
    """
    listed = [
        {
            'name': f'team-{index:05d}',
            'key_hashes': [f'{index:064x}', f'{index + teams:064x}'],
        }
        for index in range(teams)
    ]
    listed[0]['key_hashes'] = [f'{version:064x}']
    return msgspec.json.encode({'members': listed}, order='deterministic')


def size_message(message: object) -> int:
    """Return the encoded size of a message, in bytes."""
    if isinstance(message, exchanges.Request):
        return peercodec.encode_request(message).ByteSize()
    return peercodec.encode_reply(message).ByteSize()


def make_fleet(
    size: int, size_of: Callable[[object], int] | None = None
) -> network.Network:
    """Make a fleet that has run for long."""
    net = network.Network(1, size_of)
    entries = round(size * _ENTRY_SHARE)
    for peer in network.make_peers(entries, size - entries, DOMAINS):
        net.add(peer, [])
    net.introduce()
    net.run(_SETTLED_SECONDS)
    return net


def spread_change(
    net: network.Network, document: bytes, most: float = 60.0
) -> float:
    """Apply a change and return the seconds until all have it."""
    revision = net.publish(document)
    start = net.now

    def spread() -> bool:
        return all(
            host.replica.configuration.revision >= revision
            for host in net.up()
        )

    if not net.run_until(spread, most):
        raise RuntimeError(f'revision {revision} did not reach all')
    return net.now - start
