"""Evaluation of crashes: which parts of prompts explain them.

A crash leaves several runs that broke before they had written, each with
several parts. The part that causes crashes is in all of those that nothing
else explains, and no run writes on it in between; other parts are in some of
them, or are written on meanwhile.
"""

import itertools
from typing import Iterable, Iterator, Sequence

import attrs

from dunlintide_core.pipeline import writtenparts

__all__ = [
    'Crash',
    'Parts',
    'MIN_CRASHES',
    'choose_refused',
]

Parts = frozenset[str]

# Crashes, and different moments of them, from which on parts are refused on
# which no run ever wrote: two crashes occur by chance while endpoints fail,
# and more at one moment.
MIN_CRASHES = 3
MIN_MOMENTS = 2
# Other runs of this entry that must have written meanwhile, so that the
# service is known to work.
MIN_WRITTEN = 3
# Crashes from which on neither matters: so many runs with a part that came
# up just before a rack fails are unlikely. But all parts are new to an entry
# that has just started, for some seconds.
MIN_CRASHES_ALONE = 5
FIRST_SECONDS = 2.0
# Moments from which on parts are refused on which runs wrote before the first
# crash. So many runs are expected to have written on it meanwhile, by its
# share of earlier ones; that there are none is unlikely to be chance.
MIN_MOMENTS_OF_KNOWN = 5
MIN_EXPECTED_OF_KNOWN = 7.0
# The same for parts that come too seldom for that.
MIN_MOMENTS_OF_RARE = 8
MIN_WRITTEN_OF_RARE = 8
# Crashes from which on all parts are refused that are equally suspected.
MIN_CRASHES_OF_EQUALS = 5
# Least share of the unexplained crashes since the first that a part has: a
# part that comes seldom is in few of those that happen by chance.
MIN_SHARE = 0.5
# Crashes that are less apart count as one moment, in seconds: a rack that
# fails, or connections that are reset, break runs on many endpoints at once.
MOMENT_SECONDS = 0.03


@attrs.define
class Crash:
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


@attrs.frozen
class _Suspicion:
    """What crashes say of one part.

    :ivar count: crashes since a run last wrote on it
    :ivar moments: different moments of them
    :ivar share: their share of all crashes since the first of them
    :ivar first: time of the first of them
    :ivar is_known: whether a run wrote on it before
    :ivar crashes: these crashes
    """

    part: str
    count: int
    moments: int
    share: float
    first: float
    is_known: bool
    crashes: Sequence[Crash]


def _count_moments(times: Iterable[float]) -> int:
    """Count times that are apart."""
    count, last = 0, float('-inf')
    for at in sorted(times):
        if at - last >= MOMENT_SECONDS:
            count, last = count + 1, at
    return count


def _find_companions(
    suspicion: _Suspicion, written: writtenparts.WrittenParts
) -> Parts:
    """Find the parts that were never apart from a part, itself included."""
    part = suspicion.part
    beside = [
        frozenset().union(*(run for run in crash.runs if part in run))
        for crash in suspicion.crashes
    ]
    return frozenset(
        each
        for each in frozenset.intersection(*beside)
        if written.is_known(each) == suspicion.is_known
        and written.get_time(each) < suspicion.first
    )


def _list_suspicions(
    crashes: Sequence[Crash], written: writtenparts.WrittenParts
) -> Iterator[_Suspicion]:
    """Yield what crashes say of each part that they leave suspect."""
    by_part: dict[str, list[Crash]] = {}
    for crash in crashes:
        for part in set(itertools.chain.from_iterable(crash.runs)):
            if crash.at > written.get_time(part):
                by_part.setdefault(part, []).append(crash)
    for part, found in by_part.items():
        first = min(crash.at for crash in found)
        every = sum(crash.at >= first for crash in crashes)
        yield _Suspicion(
            part=part,
            count=len(found),
            moments=_count_moments(crash.at for crash in found),
            share=len(found) / every,
            first=first,
            is_known=written.is_known(part),
            crashes=found,
        )


def _is_conclusive(
    suspicion: _Suspicion, written: writtenparts.WrittenParts
) -> bool:
    """Return whether a part on which no run ever wrote is refused."""
    is_early = suspicion.first - written.began_at < FIRST_SECONDS
    is_spread = suspicion.moments >= MIN_MOMENTS
    if suspicion.count >= MIN_CRASHES_ALONE:
        return is_spread or not is_early
    return (
        suspicion.count >= MIN_CRASHES
        and is_spread
        and not is_early
        and suspicion.share >= MIN_SHARE
        and written.count_runs(suspicion.first) >= MIN_WRITTEN
    )


def _is_conclusive_for_known(
    suspicion: _Suspicion, written: writtenparts.WrittenParts
) -> bool:
    """Return whether a part on which runs wrote before is refused."""
    if suspicion.share < MIN_SHARE:
        return False
    if suspicion.moments >= MIN_MOMENTS_OF_RARE:
        return written.count_runs(suspicion.first) >= MIN_WRITTEN_OF_RARE
    expected = written.estimate_runs(suspicion.part, suspicion.first)
    return (
        suspicion.moments >= MIN_MOMENTS_OF_KNOWN
        and expected >= MIN_EXPECTED_OF_KNOWN
    )


def _choose_leaders(
    suspicions: Sequence[_Suspicion], written: writtenparts.WrittenParts
) -> dict[Parts, int]:
    """Choose the most suspected parts, none while several are equal."""
    most = max((each.count for each in suspicions), default=0)
    found = {
        _find_companions(each, written): each.count
        for each in suspicions
        if each.count == most
    }
    if len(found) > 1 and most < MIN_CRASHES_OF_EQUALS:
        return {}
    return found


def choose_refused(
    crashes: Sequence[Crash], written: writtenparts.WrittenParts
) -> dict[Parts, int]:
    """Choose the parts to refuse, each set with the number of its crashes.

    Parts on which no run ever wrote are examined first, as those that all
    requests share are in each crash too.

    :param crashes: crashes that no refused part explains
    """
    unknown = [
        each
        for each in _list_suspicions(crashes, written)
        if not each.is_known
    ]
    found = _choose_leaders(
        [each for each in unknown if _is_conclusive(each, written)], written
    )
    if found:
        return found
    pending = {each.part for each in unknown if each.count >= MIN_CRASHES - 1}
    others = [
        crash
        for crash in crashes
        if all(pending.isdisjoint(run) for run in crash.runs)
    ]
    return _choose_leaders(
        [
            each
            for each in _list_suspicions(others, written)
            if each.is_known and _is_conclusive_for_known(each, written)
        ],
        written,
    )
