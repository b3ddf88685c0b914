"""Writer of claims with group commit.

Callers of ``bind`` queue a claim and wait. One thread takes all queued
claims, of any bucket, and commits them in a single transaction that
compares the head of each touched bucket. If a compare fails, the same call
returns the segments that the writer had not read yet.

When the answer to a transaction is lost, the next attempt compares the same
heads. So only one of the two takes effect, and a failed attempt reads what
the first one wrote.
"""

import collections
import threading
import time
from typing import Callable

from absl import logging
import attrs
import result

from dunlintide_adapters import gateway
from dunlintide_adapters import store as storage
from dunlintide_core import claims

__all__ = [
    'ClaimTiming',
    'ClaimWriter',
    'Outcome',
    'Pending',
    'Unbound',
]

PREFIX = '/dunlintide/claims/'
# Bound for all writers together; the store handles several hundred.
MAX_WRITES_PER_SECOND = 200.0
MAX_CLAIMS_PER_COMMIT = 2000
# A store transaction has at most 128 operations; each bucket needs two.
MAX_BUCKETS_PER_COMMIT = 48
RANGE_PAGE = 1000
_LEASE_SLACK_SECONDS = 600
_LEASE_REUSE_SECONDS = 300


@attrs.frozen
class ClaimTiming:
    """Time constants of the writer, in seconds.

    :ivar interval: minimum time between the starts of two commits; it
        bounds this writer's share of the store's write rate
    :ivar retry_delay: pause after a failure of the store
    """

    interval: float = 0.01
    retry_delay: float = 0.2


@attrs.frozen
class Unbound:
    """The claim was not confirmed as committed in time."""

    detail: str


# The claim that is in force, or the reason why there is none.
Outcome = result.Result[claims.Binding, claims.ReusedKey | Unbound]


@attrs.define(eq=False)
class Pending:
    """A claim that waits to be committed.

    :ivar deadline: monotonic time in seconds
    """

    wanted: claims.Binding
    deadline: float
    _done: threading.Event = attrs.field(factory=threading.Event, init=False)
    _outcome: Outcome | None = attrs.field(default=None, init=False)

    def settle(self, outcome: Outcome) -> None:
        """Set the outcome and wake the waiting thread."""
        self._outcome = outcome
        self._done.set()

    def wait(self) -> Outcome:
        """Wait for the outcome until the deadline."""
        self._done.wait(max(0.0, self.deadline - time.monotonic()))
        if self._outcome is None:
            return result.Err(
                Unbound(
                    'the commit of the claim was not confirmed before its'
                    ' deadline'
                )
            )
        return self._outcome


def _bucket_prefix(number: int) -> str:
    return f'{PREFIX}{number:02d}/'


def _head_key(number: int) -> str:
    return f'{_bucket_prefix(number)}head'


def _segment_key(number: int, sequence: int) -> str:
    return f'{_bucket_prefix(number)}s/{sequence:012d}'


def _segment_range(number: int, after: int) -> gateway.Range:
    return gateway.Range(
        _segment_key(number, after + 1),
        f'{_bucket_prefix(number)}s0',
        RANGE_PAGE,
    )


class ClaimWriter:
    """Commits claims to the store in batches.

    :ivar commits: transactions that succeeded
    :ivar conflicts: transactions whose compare failed
    """

    def __init__(
        self,
        store: storage.Store,
        wall_clock: Callable[[], float] = time.time,
        timing: ClaimTiming = ClaimTiming(),
    ) -> None:
        """Create a writer; ``start`` starts its thread.

        :param wall_clock: returns seconds since the epoch; used for the
            retention of claims only
        """
        self._store = store
        self._wall_clock = wall_clock
        self._timing = timing
        self._interval = timing.interval
        self._queue: collections.deque[Pending] = collections.deque()
        self._ready = threading.Condition()
        self._stopped = False
        self._buckets: dict[int, claims.Bucket] = {}
        self._lease = 0
        self._lease_until = 0.0
        self._lease_retention = 0
        self.commits = 0
        self.conflicts = 0
        self._thread = threading.Thread(
            target=self._run, name='claims', daemon=True
        )

    def start(self) -> None:
        """Start the thread that commits claims."""
        self._thread.start()

    def stop(self) -> None:
        """Stop after the running commit; queued claims are not committed."""
        with self._ready:
            self._stopped = True
            self._ready.notify_all()
        self._thread.join()

    def set_writer_count(self, writers: int) -> None:
        """Limit this writer to its share of the store's write rate.

        :param writers: number of processes that commit claims
        """
        self._interval = max(
            self._timing.interval, writers / MAX_WRITES_PER_SECOND
        )

    def bind(self, wanted: claims.Binding, timeout: float) -> Outcome:
        """Commit a claim, or return the existing one.

        The caller distinguishes the two by comparing the attempt in the
        answer with its own.

        :param wanted: the claim
        :param timeout: longest wait in seconds
        """
        return self.submit(wanted, timeout).wait()

    def submit(self, wanted: claims.Binding, timeout: float) -> Pending:
        """Queue a claim without waiting for it.

        :param wanted: the claim
        :param timeout: seconds after which it is no longer tried; it may
            still have been committed
        """
        pending = Pending(wanted, time.monotonic() + timeout)
        self.put(pending)
        return pending

    def put(self, pending: Pending) -> None:
        """Queue an existing pending claim."""
        with self._ready:
            if not self._stopped:
                self._queue.append(pending)
                self._ready.notify()
                return
        pending.settle(result.Err(Unbound('claim writer has stopped')))

    def release(self, binding: claims.Binding, timeout: float) -> Outcome:
        """Free the key of a claim that its executor sealed without running.

        :param binding: the claim, as returned by ``bind``
        :param timeout: longest wait in seconds
        """
        return self.bind(claims.build_release(binding), timeout)

    def dump(self) -> dict:
        """Return the state for diagnostics, without keys."""
        return {
            'commits': self.commits,
            'conflicts': self.conflicts,
            'interval': self._interval,
            'waiting': len(self._queue),
            'buckets': {
                number: {'claims': len(bucket), 'commits': bucket.sequence}
                for number, bucket in sorted(self._buckets.items())
            },
        }

    def _take_batch(self) -> list[Pending]:
        with self._ready:
            while not self._queue and not self._stopped:
                self._ready.wait()
            if self._stopped:
                return []
            now = time.monotonic()
            batch: list[Pending] = []
            touched: set[int] = set()
            while self._queue and len(batch) < MAX_CLAIMS_PER_COMMIT:
                number = claims.choose_bucket(self._queue[0].wanted.key_digest)
                if len(touched | {number}) > MAX_BUCKETS_PER_COMMIT:
                    break
                pending = self._queue.popleft()
                if pending.deadline <= now:
                    continue
                touched.add(number)
                batch.append(pending)
            return batch

    def _run(self) -> None:
        while not self._stopped:
            started = time.monotonic()
            batch = self._take_batch()
            if batch:
                self._settle_batch(batch)
            elapsed = time.monotonic() - started
            time.sleep(max(0.0, self._interval - elapsed))

    def _settle_batch(self, batch: list[Pending]) -> None:
        while not self._stopped:
            batch = self._settle_from_buckets(batch)
            now = time.monotonic()
            batch = [pending for pending in batch if pending.deadline > now]
            if not batch or self._commit(batch):
                return

    def _settle_from_buckets(self, batch: list[Pending]) -> list[Pending]:
        """Settle claims whose key a bucket holds.

        :returns: one unsettled claim of each other key
        """
        unsettled: dict[bytes, Pending] = {}
        for pending in batch:
            digest = pending.wanted.key_digest
            found = self._get_bucket(
                claims.choose_bucket(digest)
            ).find_conflict(pending.wanted)
            if isinstance(found, claims.Conflict):
                pending.settle(result.Ok(found.binding))
            elif isinstance(found, claims.ReusedKey):
                pending.settle(result.Err(found))
            elif digest in unsettled:
                # The first claim of this key is committed first; the
                # queued one then finds it.
                self.put(pending)
            else:
                unsettled[digest] = pending
        return list(unsettled.values())

    def _get_bucket(self, number: int) -> claims.Bucket:
        bucket = self._buckets.get(number)
        if bucket is None:
            bucket = self._buckets[number] = claims.Bucket()
        return bucket

    def _commit(self, batch: list[Pending]) -> bool:
        """Try one transaction; return True if it settled the batch."""
        groups: dict[int, list[Pending]] = {}
        for pending in batch:
            number = claims.choose_bucket(pending.wanted.key_digest)
            groups.setdefault(number, []).append(pending)
        lease = self._ensure_lease(batch)
        if lease is None:
            time.sleep(self._timing.retry_delay)
            return False
        outcome = self._store.transact(
            self._build_expects(groups),
            self._build_puts(groups, lease),
            failure_reads=self._build_reads(groups),
        )
        if isinstance(outcome, result.Ok):
            self._apply_commit(groups, outcome.ok_value)
            return True
        if isinstance(outcome.err_value, storage.CasConflict):
            self.conflicts += 1
            self._apply_reads(groups, outcome.err_value.ranges)
        else:
            time.sleep(self._timing.retry_delay)
        return False

    def _build_expects(self, groups) -> list[gateway.Expect]:
        return [
            gateway.Expect(
                _head_key(number), self._get_bucket(number).head_revision
            )
            for number in groups
        ]

    def _build_puts(self, groups, lease: int) -> list[gateway.Put]:
        puts = []
        for number, pendings in groups.items():
            sequence = self._get_bucket(number).sequence + 1
            segment = claims.Segment(
                tuple(pending.wanted for pending in pendings)
            )
            puts.append(
                gateway.Put(_head_key(number), claims.encode_head(sequence))
            )
            puts.append(
                gateway.Put(
                    _segment_key(number, sequence),
                    claims.encode_segment(segment),
                    lease,
                )
            )
        return puts

    def _build_reads(self, groups) -> list[gateway.Range]:
        reads = []
        for number in groups:
            reads.append(gateway.Range(_head_key(number)))
            reads.append(
                _segment_range(number, self._get_bucket(number).sequence)
            )
        return reads

    def _apply_commit(self, groups, revision: int) -> None:
        self.commits += 1
        for number, pendings in groups.items():
            bucket = self._get_bucket(number)
            bucket.sequence += 1
            bucket.head_revision = revision
            wanted = tuple(pending.wanted for pending in pendings)
            bucket.apply_segments([claims.Segment(wanted)])
            bucket.expire(self._wall_clock())
            for pending in pendings:
                pending.settle(result.Ok(pending.wanted))

    def _apply_reads(
        self, groups, ranges: tuple[tuple[storage.Value, ...], ...]
    ) -> None:
        """Apply the reads of a transaction whose compare failed."""
        for index, number in enumerate(groups):
            heads, segments = ranges[2 * index], ranges[2 * index + 1]
            if len(segments) >= RANGE_PAGE:
                more = self._read_more_pages(number, segments[-1])
                if more is None:
                    # Applying the head without all of its segments would
                    # hide claims.
                    continue
                segments = segments + more
            bucket = self._get_bucket(number)
            bucket.apply_segments(
                claims.decode_segment(value.value) for value in segments
            )
            if heads:
                bucket.sequence = claims.decode_head(heads[0].value)
                bucket.head_revision = heads[0].mod_revision
            bucket.expire(self._wall_clock())

    def _read_more_pages(
        self, number: int, last: storage.Value
    ) -> tuple[storage.Value, ...] | None:
        """Read further pages of segments.

        A page may be newer than the head read with the first page. The
        next transaction then fails its compare and reads again; applying
        a segment twice has no effect.

        :returns: the segments, None if a page could not be read
        """
        more: list[storage.Value] = []
        while True:
            after = int(last.key.rsplit('/', 1)[1])
            page = self._store.get_page(_segment_range(number, after))
            if isinstance(page, result.Err):
                logging.warning(
                    'claims bucket %d: reading a page of segments failed',
                    number,
                )
                return None
            more.extend(page.ok_value)
            if len(page.ok_value) < RANGE_PAGE:
                return tuple(more)
            last = page.ok_value[-1]

    def _ensure_lease(self, batch: list[Pending]) -> int | None:
        """Return a lease that outlives every claim of the batch.

        :returns: its id, None if the store granted none
        """
        now = time.monotonic()
        retention = max(pending.wanted.retention for pending in batch)
        if now < self._lease_until and retention <= self._lease_retention:
            return self._lease
        ttl = retention + _LEASE_REUSE_SECONDS + _LEASE_SLACK_SECONDS
        granted = self._store.grant_lease(ttl)
        if isinstance(granted, result.Err):
            return None
        self._lease = granted.ok_value
        self._lease_until = now + _LEASE_REUSE_SECONDS
        self._lease_retention = retention
        return self._lease
