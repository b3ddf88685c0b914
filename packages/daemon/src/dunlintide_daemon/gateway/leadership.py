"""Election of the entry that orders layers, by a key under a lease."""

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

# Lifetime of a leadership without renewal, in seconds: when a leader dies,
# engines get no orders for as long.
LEASE_SECONDS = 3.0
RENEW_INTERVAL_SECONDS = 0.9
# Range of the delay before a free key is claimed, in seconds: it keeps
# entries from claiming at the same time.
CLAIM_DELAY_SECONDS = (0.0, 0.25)
CLAIM_POLL_SECONDS = 0.5
# Range of the pause between renewals while the store fails, in seconds.
RENEW_RETRY_SECONDS = (0.1, 0.3)
# Low bits of a fencing token that hold the revision. The era is above them, so
# a token of a later era is greater than all that engines have seen.
_REVISION_BITS = 40
# Separates the identity of a leader from the era of its claim in the key's
# value.
_ERA_MARK = '@'
# Faults of a renewal that end a leadership.
_ENDED = (storevalues.FailureKind.MISSING, storevalues.FailureKind.REJECTED)


def _read_clock() -> float:
    """Read a clock that also runs while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def _make_fence(revision: storevalues.Revision) -> int:
    return (revision.era << _REVISION_BITS) + revision.number


@attrs.frozen
class _Claim:
    """The leader's key as it was last read.

    :ivar holder: identity of the claimant and era of its claim
    :ivar is_void: whether it was claimed in another era than that of its
        revision, so that its holder does not lead
    """

    holder: str
    revision: storevalues.Revision
    is_void: bool

    @classmethod
    def from_item(cls, item: storevalues.Item) -> '_Claim':
        """Parse the key.

        A claim may be carried out in a later era than it was sent in, or be
        restored from a copy of the store. Such a claim is void.
        """
        holder = item.value.decode('utf-8', 'replace')
        _, mark, era = holder.rpartition(_ERA_MARK)
        is_void = bool(mark) and era != str(item.revision.era)
        return cls(holder, item.revision, is_void)


class Leadership:
    """Leader election from the view of one entry.

    :ivar fence: fencing token, which rises with each leader over all eras of
        the store; 0 while not leading
    """

    def __init__(
        self, state: state_module.State, store: store_module.Store
    ) -> None:
        self._state = state
        self._store = store
        self._claim: _Claim | None = None
        self._lease: storevalues.Lease | None = None
        self._attempted_at = float('-inf')
        self._changed = asyncio.Event()
        self._identity = f'{state.settings.name}/{random.getrandbits(48):x}'
        self.fence = 0

    @property
    def is_leading(self) -> bool:
        """Whether this entry may give orders now.

        A leadership survives an outage of the store: no other entry can claim
        it meanwhile, and lost layers would have to wait for the end of the
        outage. If only this entry is cut off, another one may lead as well.
        Then an engine accepts just one of two orders, since each names the
        number of orders that the engine must have accepted before.
        """
        if not self.fence:
            return False
        # No attempt to renew for so long means that this host was suspended.
        return _read_clock() - self._attempted_at < LEASE_SECONDS

    def handle_item(self, item: storevalues.Item) -> None:
        """Process a change of the leader's key."""
        if item.value is None:
            self._claim = None
        else:
            self._claim = _Claim.from_item(item)
            if self.fence and _make_fence(item.revision) > self.fence:
                self._end_leadership(f'{self._claim.holder} leads')
        self._changed.set()

    def begin_era(self) -> None:
        """Give up the leadership in a new era of the store.

        The key and its lease may be gone or belong to another entry. The key
        is read from the restored store before it is claimed again.
        """
        if self.fence:
            self._end_leadership(f'era {self._store.era} of the store')
        self._lease = None
        self._claim = None
        self._changed.set()

    async def run(self) -> None:
        """Claim and keep the leadership if no other entry has it.

        Runs until cancelled.
        """
        while True:
            if self.fence:
                await self._renew()
            elif self._state.has_listing and not self._state.stopping:
                await self._try_claim()
            else:
                await asyncio.sleep(CLAIM_POLL_SECONDS)

    async def _renew(self) -> None:
        kept = await self._store.renew_lease(self._lease)
        if not self.fence:
            return
        if kept.is_err() and kept.err_value.kind in _ENDED:
            self._end_leadership(str(kept.err_value.kind))
            return
        leads_on = self._state.has(mechanisms.Mechanism.LEADING_ON)
        if kept.is_ok() or leads_on:
            self._attempted_at = _read_clock()
        if kept.is_ok():
            await asyncio.sleep(RENEW_INTERVAL_SECONDS)
        else:
            await asyncio.sleep(random.uniform(*RENEW_RETRY_SECONDS))

    def _end_leadership(self, reason: str) -> None:
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
            await self._wait(CLAIM_POLL_SECONDS)
            return
        await asyncio.sleep(random.uniform(*CLAIM_DELAY_SECONDS))
        if self._is_taken():
            return
        began = _read_clock()
        lease = await self._store.grant_lease(LEASE_SECONDS)
        if lease.is_err():
            await asyncio.sleep(random.uniform(0.2, 0.6))
            return
        value = f'{self._identity}{_ERA_MARK}{lease.ok_value.era}'.encode()
        write = storevalues.Write(keys.LEADER_KEY, value, lease.ok_value)
        seen = self._claim.revision if self._claim else None
        condition = storevalues.Condition(keys.LEADER_KEY, seen)
        written = await self._store.write((condition,), (write,))
        if written.is_ok():
            self._begin(lease.ok_value, written.ok_value, began)
            return
        if written.err_value.kind is storevalues.FailureKind.UNKNOWN:
            await self._resolve_claim(lease.ok_value, value, began)
            return
        await self._store.revoke_lease(lease.ok_value)
        await self._wait(CLAIM_POLL_SECONDS)

    def _is_taken(self) -> bool:
        return self._claim is not None and not self._claim.is_void

    async def _resolve_claim(
        self, lease: storevalues.Lease, value: bytes, began: float
    ) -> None:
        """Find out whether a claim without an answer was carried out.

        :param value: value of the claim, unique within its era
        :param began: time before the lease was requested, in seconds
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
        # It may still be carried out; ending the lease removes the key.
        await self._store.revoke_lease(lease)
        await self._wait(CLAIM_POLL_SECONDS)

    def _begin(
        self,
        lease: storevalues.Lease,
        revision: storevalues.Revision,
        began: float,
    ) -> None:
        self._lease = lease
        self._attempted_at = began
        self.fence = _make_fence(revision)
        self._state.log.write_always(
            'leadership gained',
            fence=self.fence,
            era=revision.era,
            revision=revision.number,
        )

    async def resign(self) -> None:
        """Give up the leadership, so that another entry can take over."""
        lease, self.fence = self._lease, 0
        if lease is not None:
            self._lease = None
            await self._store.revoke_lease(lease)
