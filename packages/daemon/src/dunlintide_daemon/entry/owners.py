"""Which entry commits the claims of each bucket."""

from typing import Iterable, Protocol

from dunlintide_core import claims
from dunlintide_core import fleet

__all__ = ['Host', 'BucketOwners']


class Host(Protocol):
    """One host of the platform's list, as far as it matters here."""

    name: str
    role: str
    address: str


class BucketOwners:
    """Owners of the buckets, by the entries that are listed.

    The list lags, and entries may see different ones for a while; then a
    bucket has two writers, which costs conflicts and nothing else.
    """

    def __init__(self, name: str) -> None:
        """Begin with this entry alone.

        :param name: this entry's name
        """
        self._name = name
        self._addresses: tuple[str | None, ...] = (None,) * claims.BUCKETS

    def update(self, hosts: Iterable[Host]) -> set[str]:
        """Take in the host list and return the owners' addresses."""
        listed: dict[str, str | None] = {
            host.name: host.address
            for host in hosts
            if host.role == fleet.Role.ENTRY
        }
        listed[self._name] = None
        self._addresses = tuple(
            listed[claims.choose_owner(bucket, listed)]
            for bucket in range(claims.BUCKETS)
        )
        return {address for address in self._addresses if address is not None}

    def find(self, bucket: int) -> str | None:
        """Return the address of a bucket's owner, None for this entry."""
        return self._addresses[bucket]
