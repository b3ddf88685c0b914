"""Registration of an entry in the store, so that others find it."""

import asyncio
import random

import result

from dunlintide_daemon.gateway import state as state_module
from dunlintide_platform import keys
from dunlintide_platform import store as store_module
from dunlintide_platform import storevalues

__all__ = ['Registrar']

# Time without renewal after which an entry is no longer listed, in seconds.
LEASE_SECONDS = 8.0
# Time between renewals, in seconds: two may fail in a row.
RENEW_INTERVAL_SECONDS = 2.5
RETRY_SECONDS = (0.3, 0.8)
# The same once this many calls in a row have failed, where entries share
# readings of the store: refused calls count too.
OUTAGE_FAILURES = 3
OUTAGE_RETRY_SECONDS = (0.8, 2.0)
# Range of the delay before a lost registration is renewed, in seconds: entries
# that lose theirs at the same time do not write at the same time.
REREGISTER_DELAY_SECONDS = (0.0, 0.3)


class Registrar:
    """Keeper of the lease under which an entry is listed."""

    def __init__(
        self,
        state: state_module.State,
        store: store_module.Store,
        entry: keys.Entry,
    ) -> None:
        self._state = state
        self._store = store
        self._entry = entry
        self._lease: storevalues.Lease | None = None
        self._revision: storevalues.Revision | None = None
        self._registration_lost = asyncio.Event()

    async def run(self) -> None:
        """Register, and renew the lease until the entry stops."""
        failures = 0
        while True:
            if self._state.stopping:
                # No renewal while stopping; ``unregister`` ends the lease.
                await asyncio.sleep(RENEW_INTERVAL_SECONDS)
                continue
            if self._lease is None:
                done = await self._register()
            else:
                done = await self._renew()
            if done.is_ok():
                failures = 0
                await self._wait(RENEW_INTERVAL_SECONDS)
            else:
                failures += 1
                await asyncio.sleep(self._choose_retry_pause(failures))

    def _choose_retry_pause(self, failures: int) -> float:
        """Return the pause after a failed call, in seconds.

        :param failures: failed calls since the last answer
        """
        if self._state.shares_reading and failures > OUTAGE_FAILURES:
            return random.uniform(*OUTAGE_RETRY_SECONDS)
        return random.uniform(*RETRY_SECONDS)

    async def _wait(self, seconds: float) -> None:
        """Wait, at most until the registration is lost."""
        self._registration_lost.clear()
        if self._lease is None:
            return
        try:
            async with asyncio.timeout(seconds):
                await self._registration_lost.wait()
        except TimeoutError:
            return
        await asyncio.sleep(random.uniform(*REREGISTER_DELAY_SECONDS))

    def begin_era(self) -> None:
        """Register again, since the key and its lease may be lost."""
        self._drop_lease(f'era {self._store.era} of the store')

    def handle_item(self, item: storevalues.Item) -> None:
        """Register again if the entry's key is gone or under another lease.

        A late write of an earlier registration can replace the key.
        """
        if self._lease is None or self._revision is None:
            return
        if item.revision <= self._revision:
            return
        if item.value is None or item.lease != self._lease.number:
            self._drop_lease('key changed')

    def _drop_lease(self, reason: str) -> None:
        if self._lease is not None and not self._state.stopping:
            self._state.log.write(
                'registration lost', lease=self._lease.number, reason=reason
            )
            self._lease = None
            self._registration_lost.set()

    async def _register(self) -> result.Result[None, storevalues.StoreFailure]:
        begun = await self._store.grant_lease(LEASE_SECONDS)
        if begun.is_err():
            return begun
        key = keys.make_entry_key(self._entry.name)
        value = keys.encode_entry(self._entry)
        write = storevalues.Write(key, value, begun.ok_value)
        # Without a condition: the newest incarnation of an entry replaces
        # older ones, and a late write has the same value.
        written = await self._store.write((), (write,))
        if written.is_ok():
            self._lease = begun.ok_value
            self._revision = written.ok_value
            self._state.log.write(
                'registered', lease=self._lease.number, era=self._lease.era
            )
        if self._state.stopping:
            # The stop began while the call was under way.
            await self.unregister()
        return written.map(lambda _: None)

    async def _renew(self) -> result.Result[None, storevalues.StoreFailure]:
        kept = await self._store.renew_lease(self._lease)
        if kept.is_err() and kept.err_value.kind is (
            storevalues.FailureKind.MISSING
        ):
            self._drop_lease('lease ended')
        return kept

    async def unregister(self) -> None:
        """End the lease, so that others no longer use this entry."""
        if self._lease is not None:
            ended = await self._store.revoke_lease(self._lease)
            if ended.is_err():
                self._state.log.write(
                    'registration kept', fault=ended.err_value.kind
                )
            self._lease = None
