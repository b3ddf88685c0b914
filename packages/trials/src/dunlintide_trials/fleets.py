"""Simulated fleets and configurations for benchmark cases."""

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
# Share of entries among all processes, taken from the largest size.
_ENTRY_SHARE = 370 / 970
_SETTLED_SECONDS = 5


def make_document(teams: int, version: int) -> bytes:
    """Make a configuration document.

    :param teams: number of teams, about 200 bytes each
    :param version: number that determines the key of the first team, so
        that versions differ
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
    """Simulate a fleet in which all processes know each other.

    :param size: number of processes
    :param size_of: see ``network.Network``
    """
    net = network.Network(1, size_of)
    entries = round(size * _ENTRY_SHARE)
    for peer in network.make_peers(entries, size - entries, DOMAINS):
        net.add(peer, [])
    net.share_membership()
    net.run(_SETTLED_SECONDS)
    return net


def spread_change(
    net: network.Network, document: bytes, most: float = 60.0
) -> float:
    """Publish a document and return the seconds until all hosts have it.

    :param most: timeout in simulated seconds
    :raises RuntimeError: when it times out
    """
    revision = net.publish(document)
    start = net.now

    def spread() -> bool:
        return all(
            host.replica.configuration.revision >= revision
            for host in net.up()
        )

    if not net.run_until(spread, most):
        raise RuntimeError(
            f'revision {revision} did not reach all hosts within {most:.0f} s'
        )
    return net.now - start
