"""Records of the non-idempotent attempts at an executor.

Each key runs at most once. When the answer of an attempt is dropped, its
record stays as a tombstone. A tombstone must outlive every claim that
could still start the attempt. For this, claims contain the generation of
the executor, and a claim older than the retention window is refused.
"""

import collections
import enum
from typing import Any

import attrs

__all__ = [
    'Claim',
    'Ledger',
    'Limits',
    'Record',
    'State',
    'Verdict',
]

# Time between calls of ``Ledger.tick``.
GENERATION_SECONDS = 60.0


class State(enum.StrEnum):
    """State of an attempt."""

    QUEUED = 'queued'
    RUNNING = 'running'
    FINISHED = 'finished'
    DROPPED = 'dropped'  # it may have run; there is no answer
    SEALED = 'sealed'  # it never ran and never will run


class Verdict(enum.StrEnum):
    """Decision about an attempt that has arrived."""

    START = 'start'
    ATTACH = 'attach'
    REPLAY = 'replay'
    DROPPED = 'dropped'
    SEALED = 'sealed'
    KEY_REUSED = 'key-reused'
    EXECUTOR_GONE = 'executor-gone'
    EXPIRED = 'expired'
    FULL = 'full'


@attrs.frozen
class Claim:
    """Binding of a request to this executor, as read from the store.

    ``claims.Binding`` describes the fields.
    """

    key_digest: bytes
    fingerprint: bytes
    incarnation: int
    attempt: str
    generation: int


@attrs.define(eq=False)
class Record:
    """One attempt.

    :ivar generation: generation of the executor when the attempt arrived
    :ivar work: the running request, while it is queued or running
    :ivar answer: the complete answer, once the attempt has finished
    :ivar size: size of the answer in bytes
    """

    key_digest: bytes
    fingerprint: bytes
    attempt: str
    generation: int
    state: State = State.QUEUED
    work: Any = None
    answer: Any = None
    size: int = 0


@attrs.frozen
class Limits:
    """Limits of a ledger.

    :ivar records: maximum number of records, including tombstones
    :ivar answer_bytes: maximum size of all stored answers
    :ivar window: number of generations for which a claim may start an
        attempt
    """

    records: int = 200_000
    answer_bytes: int = 32 << 20
    window: int = 65


_VERDICTS = {
    State.QUEUED: Verdict.ATTACH,
    State.RUNNING: Verdict.ATTACH,
    State.FINISHED: Verdict.REPLAY,
    State.DROPPED: Verdict.DROPPED,
    State.SEALED: Verdict.SEALED,
}


class Ledger:
    """Attempts of this incarnation of the executor.

    :ivar generation: number of calls of ``tick``, which the owner calls
        every ``GENERATION_SECONDS`` of its monotonic clock
    :ivar answer_bytes: size of all stored answers
    """

    def __init__(self, incarnation: int, limits: Limits = Limits()) -> None:
        self.generation = 0
        self.answer_bytes = 0
        self._incarnation = incarnation
        self._limits = limits
        self._records: dict[bytes, Record] = {}
        # Oldest generation first, so that expiry visits only expired records.
        self._by_age: collections.deque[Record] = collections.deque()
        self._answers: collections.OrderedDict[bytes, Record] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._records)

    def tick(self) -> None:
        """Start the next generation and drop expired records."""
        self.generation += 1
        oldest = self.generation - self._limits.window
        unfinished = []
        while self._by_age and self._by_age[0].generation < oldest:
            record = self._by_age.popleft()
            if record.state in (State.QUEUED, State.RUNNING):
                unfinished.append(record)
                continue
            self._drop_answer(record)
            if self._records.get(record.key_digest) is record:
                del self._records[record.key_digest]
        # Queued and running attempts do not expire.
        self._by_age.extendleft(reversed(unfinished))

    def _drop_answer(self, record: Record) -> None:
        if self._answers.get(record.key_digest) is record:
            del self._answers[record.key_digest]
            self.answer_bytes -= record.size
        record.answer = None
        record.size = 0

    def _add(self, claim: Claim, state: State) -> Record:
        record = Record(
            claim.key_digest,
            claim.fingerprint,
            claim.attempt,
            self.generation,
            state,
        )
        self._records[claim.key_digest] = record
        self._by_age.append(record)
        return record

    def _decide(self, claim: Claim) -> tuple[Verdict, Record | None]:
        if claim.incarnation != self._incarnation:
            return Verdict.EXECUTOR_GONE, None
        record = self._records.get(claim.key_digest)
        if record is not None:
            if record.fingerprint != claim.fingerprint:
                return Verdict.KEY_REUSED, None
            is_new_attempt = (
                record.state is State.SEALED
                and record.attempt != claim.attempt
            )
            if not is_new_attempt:
                return _VERDICTS[record.state], record
        if claim.generation > self.generation:
            return Verdict.EXECUTOR_GONE, None
        if claim.generation < self.generation - self._limits.window:
            return Verdict.EXPIRED, None
        if len(self._by_age) >= self._limits.records:
            return Verdict.FULL, None
        return Verdict.START, None

    def open(self, claim: Claim) -> tuple[Verdict, Record | None]:
        """Decide about an attempt that is to run.

        START returns a new record, ATTACH and REPLAY the existing one.
        """
        verdict, record = self._decide(claim)
        if verdict is Verdict.START:
            record = self._add(claim, State.QUEUED)
        return verdict, record

    def attach(self, claim: Claim) -> tuple[Verdict, Record | None]:
        """Decide about a request for the answer of an earlier attempt.

        An attempt that has not arrived is sealed, so that it cannot run
        after the caller has been informed that it did not run.
        """
        verdict, record = self._decide(claim)
        if verdict is Verdict.START:
            return Verdict.SEALED, self._add(claim, State.SEALED)
        return verdict, record

    def seal(self, record: Record) -> None:
        """Mark an attempt that has not run, so that it never will."""
        record.state = State.SEALED
        record.work = None

    def finish(self, record: Record, answer: Any, size: int) -> None:
        """Store the answer of an attempt.

        The oldest answers are dropped to stay within the size limit.

        :param answer: the answer for repeated requests; None if the
            attempt may have run but has no complete answer
        :param size: size of the answer in bytes
        """
        record.work = None
        if answer is None or size > self._limits.answer_bytes:
            record.state = State.DROPPED
            return
        while self.answer_bytes + size > self._limits.answer_bytes:
            oldest = next(iter(self._answers.values()))
            self._drop_answer(oldest)
            oldest.state = State.DROPPED
        record.state = State.FINISHED
        record.answer = answer
        record.size = size
        self._answers[record.key_digest] = record
        self.answer_bytes += size
