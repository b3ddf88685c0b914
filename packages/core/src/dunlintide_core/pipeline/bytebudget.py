"""Budget of the bytes that callers, endpoints and other entries occupy.

Every request, large answer and configuration has an account. Large requests
reserve their whole body before it is read: partial bodies that wait for each
other would hold all memory and none could be served. They may use only a part
of the budget and an owner only half of it, so that small requests and those of
other owners pass beside them. What must not fail is forced, which counts, so
that others get less. Answers that callers do not read share the bounds of
large requests; beyond them those that have waited longest are given up.
"""

import collections
import operator
from typing import Callable

import attrs

__all__ = [
    'Account',
    'Budget',
    'Limits',
    'SMALL_BYTES',
    'choose_limits',
]

# Largest request that may use all of the budget, in bytes.
SMALL_BYTES = 64 << 10
# Fraction of the memory of the process that the budget has, and its range in
# bytes.
MEMORY_FRACTION = 0.25
MIN_LIMIT_BYTES = 8 << 20
MAX_LIMIT_BYTES = 64 << 20
# Fraction of that which callers can't use: operators and other entries ask
# most when an entry is full.
RESERVED_FRACTION = 0.125
# Fraction of the budget that large requests may use together, and that those
# of one owner may.
LARGE_FRACTION = 0.75
OWNER_FRACTION = 0.5
# Fraction up to which an owner's small requests pass beside its large ones.
OWNER_SMALL_FRACTION = 0.75
# Range of the Retry-After of refused requests, in seconds.
MIN_RETRY_SECONDS = 0.3
MAX_RETRY_SECONDS = 5.0
# Weight of the last large request in the mean time for which they are held.
_HELD_WEIGHT = 0.2


@attrs.frozen
class Limits:
    """Sizes of the budgets of a process, in bytes.

    :ivar callers: for requests of callers, their answers and configurations
    :ivar reserved: for requests of operators and other entries
    """

    callers: int
    reserved: int


def choose_limits(memory_bytes: int) -> Limits:
    """Choose the sizes of the budgets of a process.

    :param memory_bytes: memory that the process may use
    """
    share = int(memory_bytes * MEMORY_FRACTION)
    both = max(MIN_LIMIT_BYTES, min(MAX_LIMIT_BYTES, share))
    reserved = int(both * RESERVED_FRACTION)
    return Limits(both - reserved, reserved)


@attrs.define(eq=False)
class Account:
    """Bytes that one request, answer or configuration occupies.

    :ivar owner: team or address that they are counted for, empty for none
    :ivar held: bytes in all
    :ivar is_large: whether they count as large
    :ivar began: monotonic time of the first grant as large, in seconds
    """

    owner: str = ''
    held: int = 0
    is_large: bool = False
    began: float = 0.0


@attrs.define(eq=False)
class _Waiter:
    """A large request that waits for its reservation."""

    account: Account
    size: int
    grant: Callable[[], None]


@attrs.frozen(eq=False)
class _Unread:
    """An answer that its caller does not read."""

    account: Account
    size: int
    give_up: Callable[[], None]


class Budget:
    """Grants bytes up to a limit and takes them back.

    :ivar limit: bytes in all
    :ivar held: bytes that are granted or forced
    :ivar large_held: those of large requests
    :ivar refusals: refused requests since the start
    :ivar unread_held: bytes of answers that callers do not read
    :ivar given_up: such answers that were given up since the start
    """

    def __init__(self, limit: int, clock: Callable[[], float]) -> None:
        """Create a budget.

        :param limit: bytes in all
        :param clock: returns monotonic time in seconds
        """
        self.limit = limit
        self.held = 0
        self.large_held = 0
        self.refusals = 0
        self.unread_held = 0
        self.given_up = 0
        self._clock = clock
        self._by_owner: collections.Counter[str] = collections.Counter()
        self._waiters: dict[int, _Waiter] = {}
        # In the order in which their callers ceased to read.
        self._unread: dict[int, _Unread] = {}
        self._unread_by_owner: collections.Counter[str] = collections.Counter()
        self._mean_held_seconds = 0.0

    @property
    def large_limit(self) -> int:
        """Bytes that large requests may use together."""
        return int(self.limit * LARGE_FRACTION)

    @property
    def _large_and_unread(self) -> int:
        """Bytes that leave the rest of the budget to small requests."""
        return self.large_held + self.unread_held

    @property
    def waiting_bytes(self) -> int:
        """Bytes that large requests wait for."""
        return sum(each.size for each in self._waiters.values())

    def get_owner_bytes(self, owner: str) -> int:
        """Return the bytes that an owner occupies."""
        return self._by_owner[owner]

    def hold(self, account: Account, size: int) -> bool:
        """Occupy bytes with a small request.

        :param size: bytes in all, as many as before or more
        :returns: whether they are granted
        """
        more = size - account.held
        if more > 0 and not self._fits(account, more):
            return False
        self._count(account, more)
        account.held = size
        return True

    def reserve(self, account: Account, size: int) -> bool:
        """Reserve the bytes of a large request before they are read.

        Those that wait go first, unless they wait for their own owner's.

        :param size: bytes in all
        :returns: whether they are granted
        """
        more = size - account.held
        if not self._fits_large(account, more):
            return False
        if any(
            self._fits_owner(each.account, each.size - each.account.held)
            for each in self._waiters.values()
        ):
            return False
        self._grant(account, size)
        return True

    def can_wait(self, account: Account, size: int) -> bool:
        """Return whether a large request may get its bytes soon.

        No more wait than can be served in one turn.
        """
        if size > self.large_limit:
            return False
        owned = sum(
            each.size
            for each in self._waiters.values()
            if each.account.owner == account.owner
        )
        return (
            self.waiting_bytes + size <= self.large_limit
            and owned + size <= self.limit * OWNER_FRACTION
        )

    def wait(
        self, account: Account, size: int, grant: Callable[[], None]
    ) -> None:
        """Let a large request wait until its bytes are granted.

        :param grant: called once they are
        """
        self._waiters[id(account)] = _Waiter(account, size, grant)

    def force(self, account: Account, size: int) -> None:
        """Occupy bytes that can't be refused any more.

        :param size: bytes in all
        """
        self._waiters.pop(id(account), None)
        self._count(account, size - account.held)
        account.held = size
        self._wake()

    def hold_unread(
        self, account: Account, size: int, give_up: Callable[[], None]
    ) -> None:
        """Occupy bytes with an answer that its caller does not read.

        Callers that never read would leave no room for others. Beyond the
        bounds of large requests, the answer that has waited longest is given
        up, of the owner with most of such bytes.

        :param size: bytes in all
        :param give_up: called when the answer is given up
        """
        self._count_unread(account, size, give_up)
        self.force(account, size)
        while self._unread:
            owner, held = max(
                self._unread_by_owner.items(), key=operator.itemgetter(1)
            )
            if (
                held <= self.limit * OWNER_FRACTION
                and self._large_and_unread <= self.large_limit
            ):
                return
            longest = next(
                each
                for each in self._unread.values()
                if each.account.owner == owner
            )
            self.given_up += 1
            self.release(longest.account)
            longest.give_up()

    def _count_unread(
        self,
        account: Account,
        size: int,
        give_up: Callable[[], None] | None = None,
    ) -> None:
        """Count an answer as unread; one that is counted keeps its place."""
        known = self._unread.get(id(account))
        more = size - (known.size if known else 0)
        self.unread_held += more
        self._unread_by_owner[account.owner] += more
        if give_up is not None:
            self._unread[id(account)] = _Unread(account, size, give_up)
        else:
            self._unread.pop(id(account), None)
            if not self._unread_by_owner[account.owner]:
                del self._unread_by_owner[account.owner]

    def release(self, account: Account) -> None:
        """Give back all bytes of an account; it may wait no longer."""
        self._waiters.pop(id(account), None)
        if id(account) in self._unread:
            self._count_unread(account, 0)
        if account.is_large:
            seconds = self._clock() - account.began
            self._mean_held_seconds += _HELD_WEIGHT * (
                seconds - self._mean_held_seconds
            )
        self._count(account, -account.held)
        account.held, account.is_large = 0, False
        self._wake()

    def refuse(self) -> float:
        """Record a refused request.

        :returns: time after which it may find room, in seconds
        """
        self.refusals += 1
        turns = 1.0 + self.waiting_bytes / max(1, self.large_limit)
        seconds = self._mean_held_seconds * turns
        return max(MIN_RETRY_SECONDS, min(MAX_RETRY_SECONDS, seconds))

    def _fits_owner(
        self, account: Account, more: int, fraction: float = OWNER_FRACTION
    ) -> bool:
        """Return whether an owner may occupy more bytes.

        A single request is not refused for its owner's sake.
        """
        owned = self._by_owner[account.owner]
        if not account.owner or owned == account.held:
            return True
        return owned + more <= self.limit * fraction

    def _fits(self, account: Account, more: int) -> bool:
        if self.held + more > self.limit:
            return False
        return self._fits_owner(account, more, OWNER_SMALL_FRACTION)

    def _fits_large(self, account: Account, more: int) -> bool:
        moved = 0 if account.is_large else account.held
        if self._large_and_unread + moved + more > self.large_limit:
            return False
        return self._fits(account, more) and self._fits_owner(account, more)

    def _grant(self, account: Account, size: int) -> None:
        if not account.is_large:
            account.is_large = True
            account.began = self._clock()
            self.large_held += account.held
        self._count(account, size - account.held)
        account.held = size

    def _count(self, account: Account, more: int) -> None:
        self.held += more
        if account.is_large:
            self.large_held += more
        if account.owner:
            self._by_owner[account.owner] += more
            if self._by_owner[account.owner] <= 0:
                del self._by_owner[account.owner]

    def _wake(self) -> None:
        """Grant what those that wait have room for, in their order."""
        for key, waiter in list(self._waiters.items()):
            account = waiter.account
            more = waiter.size - account.held
            if not self._fits_owner(account, more):
                continue
            if not self._fits_large(account, more):
                return
            del self._waiters[key]
            self._grant(account, waiter.size)
            waiter.grant()
