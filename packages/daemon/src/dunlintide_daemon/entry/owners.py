"""Assignment of claim buckets to the entries that commit their claims."""

from typing import Iterable, Protocol

from dunlintide_core import claims
from dunlintide_core import fleet

__all__ = ['BucketOwners', 'Host']


class Host(Protocol):
    """Fields of a fleet member that the assignment depends on."""

    name: str
    role: str
    address: str


class BucketOwners:
    """Maps each bucket to its owner among the listed entries.

    The list lags behind, and entries may see different lists for a while.
    A bucket then has two writers, which only causes write conflicts in the
    store.
    """

    def __init__(self, name: str) -> None:
        """Initialize with this entry as the owner of all buckets.

        :param name: name of this entry
        """
        self._name = name
        self._addresses: tuple[str | None, ...] = (None,) * claims.BUCKETS

    def update(self, hosts: Iterable[Host]) -> set[str]:
        """Assign the buckets anew.

        :param hosts: all members of the fleet
        :returns: addresses of the other entries that own buckets
        """
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
