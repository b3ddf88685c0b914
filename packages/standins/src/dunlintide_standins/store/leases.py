"""Leases of the store and their expiry."""

import itertools
import threading
import time

import attrs

from dunlintide_standins.store import state as states

__all__ = ['Leases']

_FIRST_ID = 7587870000000000001
_SWEEP_SECONDS = 0.05


@attrs.define
class _Lease:
    ttl: int
    expires: float


class Leases:
    """Grants leases and removes the keys of those that expire."""

    def __init__(self, state: states.State) -> None:
        self._state = state
        self._leases: dict[int, _Lease] = {}
        self._ids = itertools.count(_FIRST_ID)
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._sweep, daemon=True)

    def start(self) -> None:
        """Start to expire leases."""
        self._thread.start()

    def stop(self) -> None:
        """Stop expiring leases."""
        self._stopped.set()

    def exists(self, lease_id: int) -> bool:
        """Return whether a lease exists."""
        return lease_id in self._leases

    def grant(self, lease_id: int, ttl: int) -> int | None:
        """Grant a lease.

        :param lease_id: requested id, 0 for any
        :param ttl: time to live in seconds
        :returns: id of the lease, None if the id is in use
        """
        with self._state.changed:
            lease_id = lease_id or next(self._ids)
            if lease_id in self._leases:
                return None
            expires = time.monotonic() + ttl
            self._leases[lease_id] = _Lease(ttl, expires)
            return lease_id

    def keep_alive(self, lease_id: int) -> int:
        """Renew a lease.

        :returns: time to live in seconds, 0 if the lease does not exist
        """
        with self._state.changed:
            lease = self._leases.get(lease_id)
            if lease is None:
                return 0
            lease.expires = time.monotonic() + lease.ttl
            return lease.ttl

    def revoke(self, lease_id: int) -> bool:
        """Remove a lease and its keys; return False if it does not exist."""
        with self._state.changed:
            if self._leases.pop(lease_id, None) is None:
                return False
            revision = self._state.revision + 1
            for pair in self._state.find_leased(lease_id):
                self._state.delete(pair.key, b'', revision)
            self._state.commit(revision)
            return True

    def _sweep(self) -> None:
        while not self._stopped.wait(_SWEEP_SECONDS):
            now = time.monotonic()
            with self._state.changed:
                expired = [
                    lease_id
                    for lease_id, lease in self._leases.items()
                    if lease.expires <= now
                ]
                for lease_id in expired:
                    self.revoke(lease_id)
