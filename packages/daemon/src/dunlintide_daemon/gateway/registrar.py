"""Keeps an entry listed in the store, so that others find it."""

import asyncio
import random

import result

from dunlintide_daemon.gateway import state as state_module
from dunlintide_platform import keys
from dunlintide_platform import store as store_module
from dunlintide_platform import storevalues

__all__ = ['Registrar']

# Time after which a silent entry is not listed any more, in seconds.
LEASE_SECONDS = 8.0
# Pause between renewals, in seconds: two may fail in a row.
KEEP_SECONDS = 2.5
RETRY_SECONDS = (0.3, 0.8)
# Pause before a lost registration is made anew, so that entries that lost it
# together do not write together.
LOST_SECONDS = (0.0, 0.3)


class Registrar:
    """Holder of the lease under which an entry is listed."""

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
        self._woken = asyncio.Event()

    async def run(self) -> None:
        """Stay listed until the entry stops."""
        while True:
            if self._state.stopping:
                # What is kept is what others count on; see leave.
                await asyncio.sleep(KEEP_SECONDS)
                continue
            if self._lease is None:
                done = await self._register()
            else:
                done = await self._keep()
            if done.is_ok():
                await self._pause(KEEP_SECONDS)
            else:
                await asyncio.sleep(random.uniform(*RETRY_SECONDS))

    async def _pause(self, seconds: float) -> None:
        """Wait, or until the registration is lost."""
        self._woken.clear()
        if self._lease is None:
            return
        try:
            async with asyncio.timeout(seconds):
                await self._woken.wait()
        except TimeoutError:
            return
        await asyncio.sleep(random.uniform(*LOST_SECONDS))

    def begin_era(self) -> None:
        """Register anew; the key and its lease may be gone."""
        self._drop_lease(f'era {self._store.era} of the store')

    def handle_item(self, item: storevalues.Item) -> None:
        """Register anew if the own key is gone or not under the own lease.

        A write of an earlier registration that comes late replaces the key.
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
            self._woken.set()

    async def _register(self) -> result.Result[None, storevalues.StoreFailure]:
        begun = await self._store.grant_lease(LEASE_SECONDS)
        if begun.is_err():
            return begun
        key = keys.make_entry_key(self._entry.name)
        value = keys.encode_entry(self._entry)
        write = storevalues.Write(key, value, begun.ok_value)
        # Without a condition: the newest life of a name replaces others,
        # and a write that comes late says the same.
        written = await self._store.write((), (write,))
        if written.is_ok():
            self._lease = begun.ok_value
            self._revision = written.ok_value
            self._state.log.write(
                'registered', lease=self._lease.number, era=self._lease.era
            )
        if self._state.stopping:
            # The stop came while the call was under way.
            await self.leave()
        return written.map(lambda _: None)

    async def _keep(self) -> result.Result[None, storevalues.StoreFailure]:
        kept = await self._store.renew_lease(self._lease)
        if kept.is_err() and kept.err_value.kind is (
            storevalues.FailureKind.MISSING
        ):
            self._drop_lease('lease ended')
        return kept

    async def leave(self) -> None:
        """End the lease, so that others stop to count on this entry."""
        if self._lease is not None:
            ended = await self._store.revoke_lease(self._lease)
            if ended.is_err():
                self._state.log.write(
                    'registration kept', fault=ended.err_value.kind
                )
            self._lease = None
