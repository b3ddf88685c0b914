"""Suspicion of parts of prompts that crash the endpoints that write on them.

A run that breaks before it has written accuses its parts of the crash of its
endpoint, beside the parts of all other such runs there. What tells them apart
is that some of them are written on elsewhere afterwards, and one is not.

Load pattern: many requests, no two alike, share one part that crashes each
endpoint that begins to write on it. Sound ones share all their other parts.
"""

import collections
import itertools
from typing import Iterable, Iterator, NamedTuple, Sequence

import attrs

__all__ = [
    'CrashReport',
    'PartSuspicions',
    'Refusal',
]

Parts = frozenset[str]

# Crashes, and different moments of them, with no run written between or
# after them, from which on parts are refused that were never written on: two
# crashes occur by chance while endpoints fail, and any number at one moment.
MIN_CRASHES = 3
MIN_MOMENTS = 2
# The same while nothing is known of most parts, and how long that is, in
# seconds.
MIN_CRASHES_AT_FIRST = 5
FIRST_SECONDS = 2.0
# Other runs of this entry that must have written meanwhile, so that the
# service is known to work, and crashes from which on that does not matter.
MIN_WRITTEN = 3
MIN_CRASHES_ALONE = 5
# The same for parts that were written on before the first crash. So many
# runs are expected to have written on it, by its share of earlier runs; if
# it has none, that is unlikely to be chance. Such crashes count by moments.
MIN_CRASHES_OF_KNOWN = 5
MIN_EXPECTED_OF_KNOWN = 7.0
MIN_WRITTEN_OF_KNOWN = 8
MIN_CRASHES_OF_RARE = 8
# Crashes from which on all parts are refused that are equally accused.
MIN_CRASHES_OF_EQUALS = 5
# Least share of the unexplained crashes since the first that a part has: a
# part that seldom comes is in few of those that happen by chance.
MIN_SHARE = 0.5
# Crashes that are less apart count as one, in seconds: a rack that fails, or
# connections that are reset, break runs on many endpoints at once.
MOMENT_SECONDS = 0.03
# How long a crash, a written part and a refusal that nobody asks for are
# kept, in seconds.
MEMORY_SECONDS = 600.0
# Largest number of crashes, of runs of a crash, of written parts and of
# refusals that are kept.
MAX_CRASHES = 128
MAX_RUNS = 32
MAX_WRITTEN = 4096
MAX_REFUSALS = 64
# Number of own runs whose time of writing is kept.
MAX_WRITTEN_RUNS = 512
# Shortest time between two judgements of the same crashes, in seconds.
JUDGE_SECONDS = 0.1
# How long other entries are told of a crash, and whether its parts have been
# written on, in seconds.
REPORT_SECONDS = 3.0
# Largest number of crashes and of written parts in one report.
MAX_REPORTED = 16


class CrashReport(NamedTuple):
    """Runs that broke on an endpoint before they had written.

    :ivar endpoint: name of the incarnation of the endpoint
    :ivar at: monotonic time in seconds
    :ivar runs: parts of each run
    """

    endpoint: str
    at: float
    runs: Sequence[Iterable[str]]


@attrs.define
class _Crash:
    """Break of runs on one incarnation of an endpoint.

    :ivar at: monotonic time of the first break, in seconds
    :ivar runs: parts of each run that had not written
    :ivar own_runs: those of this entry
    :ivar reported_at: monotonic time of the last own break
    """

    at: float
    runs: set[Parts] = attrs.field(factory=set)
    own_runs: set[Parts] = attrs.field(factory=set)
    reported_at: float = 0.0


@attrs.define
class Refusal:
    """Parts that together keep a request from endpoints.

    :ivar parts: a request that has all of them is refused
    :ivar since: monotonic time of the decision, in seconds
    :ivar asked_at: monotonic time of the last such request
    :ivar crashes: crashes behind the decision, 0 if another entry decided
    """

    parts: Parts
    since: float
    asked_at: float
    crashes: int = 0


def _count_moments(times: Iterable[float]) -> int:
    """Count times that are apart."""
    count, last = 0, float('-inf')
    for at in sorted(times):
        if at - last >= MOMENT_SECONDS:
            count, last = count + 1, at
    return count


@attrs.frozen
class _Accusation:
    """What the crashes say of one part.

    :ivar count: crashes since it was last written on
    :ivar moments: different moments of them
    :ivar share: their share of all crashes since the first of them
    :ivar first: time of the first of them
    :ivar is_known: whether it was written on before
    :ivar companions: parts that were with it in each of them, itself included
    """

    part: str
    count: int
    moments: int
    share: float
    first: float
    is_known: bool
    companions: Parts


class PartSuspicions:
    """Crashes by parts of prompts, as all entries together saw them."""

    def __init__(self) -> None:
        self._crashes: collections.OrderedDict[str, _Crash] = (
            collections.OrderedDict()
        )
        # Monotonic time at which a run last wrote on a part, by part, the
        # latest last, in seconds.
        self._written: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._own_written: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        # Runs of this entry that wrote on a part, by part, and in all.
        self._own_counts: dict[str, int] = {}
        self._own_total = 0
        self._own_runs: collections.deque[float] = collections.deque(
            maxlen=MAX_WRITTEN_RUNS
        )
        # When this entry first heard of a run, in seconds.
        self._began_at = float('inf')
        self._refusals: dict[Parts, Refusal] = {}
        # Parts that another entry accuses or refuses, and until when it is
        # told that they were written on.
        self._doubted: dict[str, float] = {}
        # Monotonic time of the last judgement that left crashes without an
        # explanation, infinity if none did, in seconds.
        self._undecided_at = float('inf')

    @property
    def is_refusing(self) -> bool:
        """Whether any parts are refused."""
        return bool(self._refusals)

    # What entries see themselves.

    def record_break(
        self, endpoint: str, parts: Iterable[str], now: float
    ) -> list[Refusal]:
        """Record a run that broke before it had written.

        :param endpoint: name of the incarnation of the endpoint
        :param now: monotonic time in seconds
        :returns: refusals that follow
        """
        run = frozenset(parts)
        if not run:
            return []
        crash = self._find_crash(endpoint, now)
        crash.own_runs.add(run)
        crash.reported_at = now
        return self._add_runs(crash, (run,), now)

    def record_written(
        self, parts: Sequence[str], now: float
    ) -> list[Refusal]:
        """Record that a run wrote on its parts.

        :returns: refusals that end with it
        """
        self._began_at = min(self._began_at, now)
        self._own_total += 1
        self._own_runs.append(now)
        for part in parts:
            self._own_counts[part] = self._own_counts.get(part, 0) + 1
            self._own_written[part] = now
            self._own_written.move_to_end(part)
        while len(self._own_written) > MAX_WRITTEN:
            oldest, _ = self._own_written.popitem(last=False)
            del self._own_counts[oldest]
        return self._clear(parts, now)

    def find_refusal(self, parts: Iterable[str], now: float) -> Refusal | None:
        """Find the refusal of a request, and renew it.

        :param parts: shared parts of its prompt
        """
        if not self._refusals:
            return None
        self._expire(now)
        asked = frozenset(parts)
        for refusal in self._refusals.values():
            if refusal.parts <= asked:
                refusal.asked_at = now
                return refusal
        return None

    def judge_again(self, now: float) -> list[Refusal]:
        """Judge crashes again that could not be explained before.

        :returns: refusals that follow
        """
        if now - self._undecided_at < JUDGE_SECONDS:
            return []
        return self._judge(now)

    def acquit(self, parts: Iterable[str], now: float) -> list[Refusal]:
        """Take parts for sound, here and at all other entries.

        :returns: refusals that end with it
        """
        parts = list(parts)
        self._doubt(parts, now)
        return self.record_written(parts, now)

    # What entries tell each other.

    def list_refusals(self, now: float) -> list[Refusal]:
        """List the refusals in force."""
        self._expire(now)
        return list(self._refusals.values())

    def list_own_crashes(self, now: float) -> list[CrashReport]:
        """List recent crashes of which this entry saw runs."""
        reports = []
        for name, crash in reversed(self._crashes.items()):
            if now - crash.reported_at > REPORT_SECONDS:
                continue
            runs = [
                [part for part in run if self._get_written(part) <= crash.at]
                for run in crash.own_runs
            ]
            runs = [run for run in runs if run]
            if runs and len(reports) < MAX_REPORTED:
                reports.append(CrashReport(name, crash.at, runs))
        return reports

    def list_own_written(self, now: float) -> list[tuple[str, float]]:
        """List accused parts on which runs of this entry wrote.

        :returns: each with the monotonic time of the last run, in seconds
        """
        accused = {
            part
            for crash in self._crashes.values()
            if now - crash.at <= REPORT_SECONDS
            for run in crash.runs
            for part in run
        }
        accused.update(p for p, until in self._doubted.items() if until >= now)
        found = [
            (part, at)
            for part in accused
            if (at := self._own_written.get(part)) is not None
            and now - at <= MEMORY_SECONDS
        ]
        found.sort(key=lambda each: -each[1])
        return found[:MAX_REPORTED]

    def receive_crash(self, report: CrashReport, now: float) -> list[Refusal]:
        """Record a crash of which another entry saw runs.

        :returns: refusals that follow
        """
        if now - report.at > MEMORY_SECONDS:
            return []
        crash = self._find_crash(report.endpoint, report.at)
        crash.at = min(crash.at, report.at)
        runs = [frozenset(run) for run in report.runs if run]
        if crash.runs.issuperset(runs):
            return []
        return self._add_runs(crash, runs, now)

    def receive_written(self, part: str, at: float) -> list[Refusal]:
        """Record that a run of another entry wrote on a part.

        :param at: monotonic time in seconds
        :returns: refusals that end with it
        """
        return self._clear((part,), at)

    def receive_refusal(
        self, parts: Iterable[str], since: float, asked_at: float, now: float
    ) -> Refusal | None:
        """Hold a refusal that another entry holds.

        :param since: monotonic time of the decision, in seconds
        :param asked_at: monotonic time of the last request
        :returns: the refusal if it is new
        """
        told = frozenset(parts)
        cleared = {part for part in told if self._get_written(part) > since}
        self._doubt(cleared, now)
        left = told - cleared
        if not left or now - asked_at > MEMORY_SECONDS:
            return None
        known = self._refusals.get(left)
        if known is not None:
            known.since = min(known.since, since)
            known.asked_at = max(known.asked_at, asked_at)
            return None
        return self._hold(Refusal(left, since, asked_at))

    # Conclusions.

    def _find_crash(self, endpoint: str, at: float) -> _Crash:
        self._began_at = min(self._began_at, at)
        crash = self._crashes.get(endpoint)
        if crash is None:
            crash = self._crashes[endpoint] = _Crash(at)
            if len(self._crashes) > MAX_CRASHES:
                self._crashes.popitem(last=False)
        return crash

    def _add_runs(
        self, crash: _Crash, runs: Iterable[Parts], now: float
    ) -> list[Refusal]:
        for run in runs:
            if len(crash.runs) < MAX_RUNS:
                crash.runs.add(run)
        return self._judge(now)

    def _get_written(self, part: str) -> float:
        """Return when a part was last written on, minus infinity if never."""
        return self._written.get(part, float('-inf'))

    def _clear(self, parts: Iterable[str], at: float) -> list[Refusal]:
        """Record that parts were written on at a time."""
        parts = set(parts)
        for part in parts:
            if at > self._get_written(part):
                self._written[part] = at
                self._written.move_to_end(part)
        while len(self._written) > MAX_WRITTEN:
            self._written.popitem(last=False)
        ended = []
        for refusal in list(self._refusals.values()):
            if refusal.since >= at or parts.isdisjoint(refusal.parts):
                continue
            del self._refusals[refusal.parts]
            left = refusal.parts - parts
            if left:
                self._hold(attrs.evolve(refusal, parts=left))
            else:
                ended.append(refusal)
        return ended

    def _doubt(self, parts: Iterable[str], now: float) -> None:
        for part in parts:
            self._doubted[part] = now + REPORT_SECONDS
        if len(self._doubted) > MAX_WRITTEN:
            self._doubted = {
                part: until
                for part, until in self._doubted.items()
                if until >= now
            }

    def _hold(self, refusal: Refusal) -> Refusal | None:
        """Hold a refusal, unless a wider one includes it."""
        if any(held <= refusal.parts for held in self._refusals):
            return None
        for held in [each for each in self._refusals if refusal.parts < each]:
            del self._refusals[held]
        self._refusals[refusal.parts] = refusal
        if len(self._refusals) > MAX_REFUSALS:
            oldest = min(
                self._refusals.values(), key=lambda each: each.asked_at
            )
            del self._refusals[oldest.parts]
        return refusal

    def _expire(self, now: float) -> None:
        for refusal in list(self._refusals.values()):
            if now - refusal.asked_at > MEMORY_SECONDS:
                del self._refusals[refusal.parts]

    def _list_unexplained(self, now: float) -> list[_Crash]:
        """List the crashes that no refused part explains."""
        return [
            crash
            for crash in self._crashes.values()
            if now - crash.at <= MEMORY_SECONDS
            and not any(
                held <= run for held in self._refusals for run in crash.runs
            )
        ]

    def _accuse(self, crashes: Sequence[_Crash]) -> Iterator[_Accusation]:
        """Yield what the crashes say of each part."""
        by_part: dict[str, list[_Crash]] = {}
        for crash in crashes:
            for part in set(itertools.chain.from_iterable(crash.runs)):
                if crash.at > self._get_written(part):
                    by_part.setdefault(part, []).append(crash)
        for part, found in by_part.items():
            first = min(crash.at for crash in found)
            is_known = part in self._written
            companions = frozenset.intersection(
                *(
                    frozenset().union(*(r for r in crash.runs if part in r))
                    for crash in found
                )
            )
            companions = frozenset(
                each
                for each in companions
                if (each in self._written) == is_known
                and self._get_written(each) < first
            )
            every = sum(crash.at >= first for crash in crashes)
            yield _Accusation(
                part,
                len(found),
                _count_moments(crash.at for crash in found),
                len(found) / every,
                first,
                is_known,
                companions,
            )

    def _is_proven(self, accusation: _Accusation) -> bool:
        if accusation.is_known:
            return self._is_proven_of_known(accusation)
        count, first = accusation.count, accusation.first
        if accusation.moments < MIN_MOMENTS:
            return False
        if count >= MIN_CRASHES_ALONE:
            return True
        is_early = first - self._began_at < FIRST_SECONDS
        least = MIN_CRASHES_AT_FIRST if is_early else MIN_CRASHES
        return (
            count >= least
            and accusation.share >= MIN_SHARE
            and self._count_written(first) >= MIN_WRITTEN
        )

    def _is_proven_of_known(self, accusation: _Accusation) -> bool:
        if accusation.share < MIN_SHARE:
            return False
        written = self._count_written(accusation.first)
        count = self._own_counts.get(accusation.part, 0)
        expected = written * count / max(1, self._own_total)
        if accusation.moments >= MIN_CRASHES_OF_RARE:
            return written >= MIN_WRITTEN_OF_KNOWN
        return (
            accusation.moments >= MIN_CRASHES_OF_KNOWN
            and expected >= MIN_EXPECTED_OF_KNOWN
        )

    def _count_written(self, since: float) -> int:
        """Count the runs of this entry that wrote since a time."""
        return sum(at > since for at in self._own_runs)

    def _judge(self, now: float) -> list[Refusal]:
        """Refuse the parts that the crashes prove to cause them."""
        decided: list[Refusal] = []
        self._undecided_at = float('inf')
        while True:
            crashes = self._list_unexplained(now)
            if len(crashes) < MIN_CRASHES:
                return decided
            held = [
                self._hold(Refusal(parts, now, now, count))
                for parts, count in self._choose(crashes).items()
            ]
            if not any(held):
                self._undecided_at = now
                return decided
            decided += [refusal for refusal in held if refusal is not None]

    def _choose(self, crashes: Sequence[_Crash]) -> dict[Parts, int]:
        """Choose the parts to refuse, each with the number of its crashes.

        Parts that were never written on are examined first, as those that
        all requests share are in each crash too.
        """
        unknown = [a for a in self._accuse(crashes) if not a.is_known]
        found = self._choose_leaders(unknown)
        if found:
            return found
        pending = {a.part for a in unknown if a.count >= MIN_CRASHES - 1}
        others = [
            crash
            for crash in crashes
            if all(pending.isdisjoint(run) for run in crash.runs)
        ]
        known = [a for a in self._accuse(others) if a.is_known]
        return self._choose_leaders(known)

    def _choose_leaders(
        self, accusations: Sequence[_Accusation]
    ) -> dict[Parts, int]:
        most = max((each.count for each in accusations), default=0)
        leaders = [each for each in accusations if each.count == most]
        found = {
            each.companions: each.count
            for each in leaders
            if self._is_proven(each)
        }
        if len(found) > 1 and most < MIN_CRASHES_OF_EQUALS:
            return {}
        return found
