"""Suspicion of parts of prompts that crash the endpoints that write on them.

A run that breaks before it has written makes its parts suspect of the crash
of its endpoint, beside the parts of all other such runs there. A run that
writes on a part clears it. Entries exchange both, and what they refuse.

Load pattern: many requests, no two alike, share one part that crashes each
endpoint that begins to write on it. Sound ones share all their other parts.
"""

import collections
from typing import Iterable, NamedTuple, Sequence

import attrs

from dunlintide_core.pipeline import partevaluation
from dunlintide_core.pipeline import writtenparts

__all__ = [
    'CrashReport',
    'PartSuspicions',
    'Refusal',
]

Crash = partevaluation.Crash
Parts = partevaluation.Parts

# How long crashes, and refusals that nobody asks for, are kept, in seconds.
MEMORY_SECONDS = 600.0
# Largest number of crashes, of runs of a crash, and of refusals that are kept.
MAX_CRASHES = 128
MAX_RUNS = 32
MAX_REFUSALS = 64
# Shortest time between two evaluations of the same crashes, in seconds.
EVALUATION_SECONDS = 0.1
# How long other entries are told of a crash, and that suspect parts have been
# written on, in seconds.
REPORT_SECONDS = 3.0
# Largest number of crashes and of written parts in one report.
MAX_REPORTED_CRASHES = 16
MAX_REPORTED_PARTS = 64


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


class PartSuspicions:
    """Crashes by parts of prompts, as all entries together saw them.

    Times are monotonic, in seconds.
    """

    def __init__(self) -> None:
        self._crashes: collections.OrderedDict[str, Crash] = (
            collections.OrderedDict()
        )
        self._written = writtenparts.WrittenParts()
        self._refusals: dict[Parts, Refusal] = {}
        # Parts that another entry refuses although they are sound, and until
        # when it is told so.
        self._disputed: dict[str, float] = {}
        # Time of the last evaluation that left crashes unexplained, infinite
        # if none did.
        self._undecided_at = float('inf')

    @property
    def is_refusing(self) -> bool:
        """Whether any parts are refused."""
        return bool(self._refusals)

    # What this entry observes.

    def record_break(
        self, endpoint: str, parts: Iterable[str], now: float
    ) -> list[Refusal]:
        """Record a run that broke before it had written.

        :param endpoint: name of the incarnation of the endpoint
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
        self._written.record_own(parts, now)
        return self._end_refusals(parts, now)

    def allow(self, parts: Iterable[str], now: float) -> list[Refusal]:
        """Take parts for sound, here and at all other entries.

        :returns: refusals that end with it
        """
        parts = list(parts)
        self._dispute(parts, now)
        return self.record_written(parts, now)

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

    # What entries tell each other.

    def list_refusals(self, now: float) -> list[Refusal]:
        """List the refusals in force."""
        self._expire(now)
        return list(self._refusals.values())

    def list_own_crashes(self, now: float) -> list[CrashReport]:
        """List recent crashes of which this entry saw runs.

        Parts on which runs wrote since are left out.
        """
        get_time = self._written.get_time
        reports = []
        for name, crash in reversed(self._crashes.items()):
            if now - crash.reported_at > REPORT_SECONDS:
                continue
            runs = [
                [part for part in run if get_time(part) <= crash.at]
                for run in crash.own_runs
            ]
            runs = [run for run in runs if run]
            if runs and len(reports) < MAX_REPORTED_CRASHES:
                reports.append(CrashReport(name, crash.at, runs))
        return reports

    def list_own_written(self, now: float) -> list[tuple[str, float]]:
        """List suspect parts on which runs of this entry wrote.

        :returns: each with the time of the last run
        """
        suspect = {
            part
            for crash in self._crashes.values()
            if now - crash.at <= REPORT_SECONDS
            for run in crash.runs
            for part in run
        }
        suspect.update(
            part for part, until in self._disputed.items() if until >= now
        )
        found = [
            (part, at)
            for part in suspect
            if (at := self._written.get_own_time(part)) is not None
            and now - at <= MEMORY_SECONDS
        ]
        found.sort(key=lambda each: -each[1])
        return found[:MAX_REPORTED_PARTS]

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

        :returns: refusals that end with it
        """
        self._written.record((part,), at)
        return self._end_refusals((part,), at)

    def receive_refusal(
        self, parts: Iterable[str], since: float, asked_at: float, now: float
    ) -> Refusal | None:
        """Hold a refusal that another entry holds.

        :param since: time of the decision
        :param asked_at: time of the last request
        :returns: the refusal if it is new
        """
        told = frozenset(parts)
        sound = {part for part in told if self._written.get_time(part) > since}
        self._dispute(sound, now)
        left = told - sound
        if not left or now - asked_at > MEMORY_SECONDS:
            return None
        known = self._refusals.get(left)
        if known is not None:
            known.since = min(known.since, since)
            known.asked_at = max(known.asked_at, asked_at)
            return None
        return self._hold(Refusal(left, since, asked_at))

    # Conclusions.

    def reevaluate(self, now: float) -> list[Refusal]:
        """Evaluate crashes again that could not be explained before.

        :returns: refusals that follow
        """
        if now - self._undecided_at < EVALUATION_SECONDS:
            return []
        return self._evaluate(now)

    def _find_crash(self, endpoint: str, at: float) -> Crash:
        """Return the crash of an endpoint, created if there is none."""
        self._written.began_at = min(self._written.began_at, at)
        crash = self._crashes.get(endpoint)
        if crash is None:
            crash = self._crashes[endpoint] = Crash(at)
            if len(self._crashes) > MAX_CRASHES:
                self._crashes.popitem(last=False)
        return crash

    def _add_runs(
        self, crash: Crash, runs: Iterable[Parts], now: float
    ) -> list[Refusal]:
        for run in runs:
            if len(crash.runs) < MAX_RUNS:
                crash.runs.add(run)
        return self._evaluate(now)

    def _evaluate(self, now: float) -> list[Refusal]:
        """Refuse the parts that explain the crashes."""
        decided: list[Refusal] = []
        self._undecided_at = float('inf')
        while True:
            crashes = self._list_unexplained(now)
            if len(crashes) < partevaluation.MIN_CRASHES:
                return decided
            chosen = partevaluation.choose_refused(crashes, self._written)
            held = [
                self._hold(Refusal(parts, now, now, count))
                for parts, count in chosen.items()
            ]
            if not any(held):
                self._undecided_at = now
                return decided
            decided += [refusal for refusal in held if refusal is not None]

    def _list_unexplained(self, now: float) -> list[Crash]:
        """List the crashes that no refused part explains."""
        return [
            crash
            for crash in self._crashes.values()
            if now - crash.at <= MEMORY_SECONDS
            and not any(
                held <= run for held in self._refusals for run in crash.runs
            )
        ]

    # Refusals.

    def _hold(self, refusal: Refusal) -> Refusal | None:
        """Hold a refusal, unless a wider one includes it.

        :returns: the refusal if it is held
        """
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

    def _end_refusals(self, sound: Iterable[str], at: float) -> list[Refusal]:
        """End or narrow refusals as runs wrote on parts at a time.

        :returns: refusals that end
        """
        sound = frozenset(sound)
        ended = []
        for refusal in list(self._refusals.values()):
            if refusal.since >= at or sound.isdisjoint(refusal.parts):
                continue
            del self._refusals[refusal.parts]
            left = refusal.parts - sound
            if left:
                self._hold(attrs.evolve(refusal, parts=left))
            else:
                ended.append(refusal)
        return ended

    def _expire(self, now: float) -> None:
        for refusal in list(self._refusals.values()):
            if now - refusal.asked_at > MEMORY_SECONDS:
                del self._refusals[refusal.parts]

    def _dispute(self, parts: Iterable[str], now: float) -> None:
        """Tell other entries for a while that parts are sound."""
        self._disputed = {
            part: until
            for part, until in self._disputed.items()
            if until >= now
        }
        self._disputed.update((part, now + REPORT_SECONDS) for part in parts)
