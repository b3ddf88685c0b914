"""Who orders layers: the holder of a key under a lease."""

import asyncio
import random
import time

import attrs

from dunlintide_core.pipeline import mechanisms
from dunlintide_daemon.gateway import state as state_module
from dunlintide_platform import keys
from dunlintide_platform import store as store_module
from dunlintide_platform import storevalues

__all__ = ['Leadership']

# Time that a leadership lives without renewal, in seconds: engines stay
# without orders for as long when a leader dies.
LEASE_SECONDS = 3.0
KEEP_SECONDS = 0.9
# Pause before a free key is taken, in seconds, so that few try at once.
CLAIM_SECONDS = (0.0, 0.25)
IDLE_SECONDS = 0.5
# Pause between tries to renew while the store fails, in seconds.
RENEW_SECONDS = (0.1, 0.3)
# Bits of a fence that hold the revision; the era stands above them, so that a
# fence of a later era is above all that engines remember.
_REVISION_BITS = 40
# Stands between the identity of a leader and the era of its claim.
_ERA_MARK = '@'
# Answers that end a leadership.
_ENDED = (storevalues.FailureKind.MISSING, storevalues.FailureKind.REJECTED)


def _read_clock() -> float:
    """Read a clock that also counts the time of a suspended host."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def _make_fence(revision: storevalues.Revision) -> int:
    return (revision.era << _REVISION_BITS) + revision.number


@attrs.frozen
class _Seat:
    """The key as it was last seen.

    :ivar is_vacant: whether it was claimed in another era than it was seen in
    """

    holder: str
    revision: storevalues.Revision
    is_vacant: bool

    @classmethod
    def from_item(cls, item: storevalues.Item) -> '_Seat':
        """Read the key.

        A claim may come to pass in a later era than it was sent in, and a
        copy may bring one back; its holder does not lead by it.
        """
        holder = item.value.decode('utf-8', 'replace')
        _, mark, era = holder.rpartition(_ERA_MARK)
        is_vacant = bool(mark) and era != str(item.revision.era)
        return cls(holder, item.revision, is_vacant)


class Leadership:
    """An entry's claim to lead.

    :ivar fence: rises with each leader, over all eras of the store, 0 while
        not leading
    """

    def __init__(
        self, state: state_module.State, store: store_module.Store
    ) -> None:
        self._state = state
        self._store = store
        self._seat: _Seat | None = None
        self._lease: storevalues.Lease | None = None
        self._tried = float('-inf')
        self._changed = asyncio.Event()
        self._identity = f'{state.settings.name}/{random.getrandbits(48):x}'
        self.fence = 0

    @property
    def is_leading(self) -> bool:
        """Whether orders may be given now.

        A store that is away ends no leadership: nobody else can begin one
        there meanwhile, and layers that are lost would wait for its return.
        Where only this entry is cut off, another may lead as well; orders say
        how many the engine must have accepted, so of two one takes effect.
        """
        if not self.fence:
            return False
        # Without a try for so long it was suspended itself.
        return _read_clock() - self._tried < LEASE_SECONDS

    def handle_item(self, item: storevalues.Item) -> None:
        """Take note of a change of the key."""
        if item.value is None:
            self._seat = None
        else:
            self._seat = _Seat.from_item(item)
            if self.fence and _make_fence(item.revision) > self.fence:
                self._lose(f'{self._seat.holder} leads')
        self._changed.set()

    def begin_era(self) -> None:
        """Give up what the store may not know any more.

        The key and its lease may be gone or another entry's. What the copy
        holds of the key is read before it is claimed again.
        """
        if self.fence:
            self._lose(f'era {self._store.era} of the store')
        self._lease = None
        self._seat = None
        self._changed.set()

    async def run(self) -> None:
        """Lead whenever nobody else does, until cancelled."""
        while True:
            if self.fence:
                await self._keep()
            elif self._state.listed and not self._state.stopping:
                await self._try_claim()
            else:
                await asyncio.sleep(IDLE_SECONDS)

    async def _keep(self) -> None:
        kept = await self._store.renew_lease(self._lease)
        if not self.fence:
            return
        if kept.is_err() and kept.err_value.kind in _ENDED:
            self._lose(str(kept.err_value.kind))
            return
        leads_on = self._state.has(mechanisms.Mechanism.LEADING_ON)
        if kept.is_ok() or leads_on:
            self._tried = _read_clock()
        if kept.is_ok():
            await asyncio.sleep(KEEP_SECONDS)
        else:
            await asyncio.sleep(random.uniform(*RENEW_SECONDS))

    def _lose(self, reason: str) -> None:
        self._state.log.write_always(
            'leadership lost', fence=self.fence, reason=reason
        )
        self.fence = 0
        self._lease = None

    async def _wait(self, seconds: float) -> None:
        self._changed.clear()
        try:
            async with asyncio.timeout(seconds):
                await self._changed.wait()
        except TimeoutError:
            pass

    async def _try_claim(self) -> None:
        if self._is_taken():
            await self._wait(IDLE_SECONDS)
            return
        await asyncio.sleep(random.uniform(*CLAIM_SECONDS))
        if self._is_taken():
            return
        began = _read_clock()
        lease = await self._store.grant_lease(LEASE_SECONDS)
        if lease.is_err():
            await asyncio.sleep(random.uniform(0.2, 0.6))
            return
        value = f'{self._identity}{_ERA_MARK}{lease.ok_value.era}'.encode()
        write = storevalues.Write(keys.LEADER_KEY, value, lease.ok_value)
        seen = self._seat.revision if self._seat else None
        condition = storevalues.Condition(keys.LEADER_KEY, seen)
        written = await self._store.write((condition,), (write,))
        if written.is_ok():
            self._begin(lease.ok_value, written.ok_value, began)
            return
        if written.err_value.kind is storevalues.FailureKind.UNKNOWN:
            await self._settle(lease.ok_value, value, began)
            return
        await self._store.revoke_lease(lease.ok_value)
        await self._wait(IDLE_SECONDS)

    def _is_taken(self) -> bool:
        return self._seat is not None and not self._seat.is_vacant

    async def _settle(
        self, lease: storevalues.Lease, value: bytes, began: float
    ) -> None:
        """Read whether a claim without an answer was done.

        :param value: that was to be written, of this claim alone in its era
        """
        read = await self._store.get(keys.LEADER_KEY)
        done = (
            read.is_ok()
            and read.ok_value.value == value
            and read.ok_value.lease == lease.number
            and read.ok_value.revision.era == lease.era
        )
        if done:
            self._begin(lease, read.ok_value.revision, began)
            return
        # It may still come to pass; the lease takes the key along.
        await self._store.revoke_lease(lease)
        await self._wait(IDLE_SECONDS)

    def _begin(
        self,
        lease: storevalues.Lease,
        revision: storevalues.Revision,
        began: float,
    ) -> None:
        self._lease = lease
        self._tried = began
        self.fence = _make_fence(revision)
        self._state.log.write_always(
            'leadership gained',
            fence=self.fence,
            era=revision.era,
            revision=revision.number,
        )

    async def leave(self) -> None:
        """Stop to lead at once, so that another begins soon."""
        lease, self.fence = self._lease, 0
        if lease is not None:
            self._lease = None
            await self._store.revoke_lease(lease)
