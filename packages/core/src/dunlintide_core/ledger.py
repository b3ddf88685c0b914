"""Executor's ledger of non-idempotent attempts.

Each key runs at most once. An entry stays as a tombstone after its
answer had to go, and a tombstone must outlive every claim that could
still ask for the run: claims carry the executor's generation, and one
older than the retention window is refused instead of run.
"""

import collections
import enum
from typing import Any

import attrs

__all__ = [
    'Claim',
    'Record',
    'Ledger',
    'Limits',
    'Verdict',
    'State',
]

GENERATION_SECONDS = 60.0


class State(enum.StrEnum):
    """Where an attempt stands."""

    QUEUED = 'queued'
    RUNNING = 'running'
    FINISHED = 'finished'
    DROPPED = 'dropped'  # it ran; the answer is no longer kept
    SEALED = 'sealed'  # it never ran and never will


class Verdict(enum.StrEnum):
    """What to do with an attempt that has come in."""

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
    """Binding of a request to this executor, as the store has it."""

    key_digest: bytes
    fingerprint: bytes
    incarnation: int
    attempt: str
    generation: int


@attrs.define(eq=False)
class Record:
    """One attempt.

    :ivar generation: executor's generation when the attempt came in
    :ivar work: what runs it, while it is queued or running
    :ivar answer: the whole answer, once it has finished
    :ivar size: bytes of the answer
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
    """Bounds of a ledger.

    :ivar entries: attempts, with tombstones
    :ivar answer_bytes: bytes of all kept answers
    :ivar window: generations for which a claim may ask for a run
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
    """Attempts of this life of the executor.

    :ivar generation: rises every ``GENERATION_SECONDS``; the caller
        calls ``tick`` by its own monotonic clock
    """

    def __init__(self, incarnation: int, limits: Limits = Limits()) -> None:
        self.generation = 0
        self.answer_bytes = 0
        self._incarnation = incarnation
        self._limits = limits
        self._records: dict[bytes, Record] = {}
        # By generation, so that expiry costs only what expires.
        self._by_age: collections.deque[Record] = collections.deque()
        self._answers: collections.OrderedDict[bytes, Record] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._records)

    def tick(self) -> None:
        """Begin the next generation and drop expired tombstones."""
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
        # What still runs is younger than its age says.
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
        """Decide about an attempt that asks to run.

        START comes with a new entry, ATTACH and REPLAY with the old one.
        """
        verdict, record = self._decide(claim)
        if verdict is Verdict.START:
            record = self._add(claim, State.QUEUED)
        return verdict, record

    def attach(self, claim: Claim) -> tuple[Verdict, Record | None]:
        """Decide about a caller that asks for an earlier answer.

        An attempt that never came in is sealed, so that it cannot run
        after its caller was told that it did not.
        """
        verdict, record = self._decide(claim)
        if verdict is Verdict.START:
            return Verdict.SEALED, self._add(claim, State.SEALED)
        return verdict, record

    def seal(self, record: Record) -> None:
        """Note that an attempt never ran; it never will."""
        record.state = State.SEALED
        record.work = None

    def finish(self, record: Record, answer: Any, size: int) -> None:
        """Keep an answer while the budget lasts.

        :param answer: what a repeat gets; None when it may have run but
            there is no whole answer
        :param size: bytes that the answer takes
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
