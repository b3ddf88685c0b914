"""Decision when a stalled run moves to another chain."""

import enum
from typing import Sequence

import attrs

__all__ = [
    'Decision',
    'Evidence',
    'StallLimits',
    'choose_limits',
    'choose_stall_start',
    'classify_evidence',
    'decide',
]

# Fraction of the target for the first event, or of the longest allowed pause,
# after which a stalled run with suspects may be moved.
STALL_FRACTION = 0.6
# A run whose silence is unusual may be moved sooner if it has suspects: after
# this multiple of the typical longest pause, but not before MIN_STALL_FRACTION
# of its target. The new chain has to read its prompt again within the
# remaining time.
UNUSUAL_FACTOR = 1.5
MIN_STALL_FRACTION = 0.3
# Multiple of the target after which a stalled run is moved even if nothing
# shows which of its endpoints failed.
MAX_STALL_FACTOR = 2.0
# Without suspects, a run is moved after this multiple of the typical longest
# pause, within the limits above. When an engine on the only chain of a failure
# domain dies, the whole chain stalls and there is no suspect; its streams must
# be moved in time for their prompts to be read again.
UNCLEAR_FACTOR = 2.2
# An endpoint is suspected if it made no progress in this last fraction of the
# run's silence. Runs through a dead endpoint stop one by one,
# within the time of an event, so all but the last see progress on it after
# their own last event, and would not suspect it if their entire silence
# counted.
RECENT_FRACTION = 0.5
# Interval between two examinations of a stalled run, in seconds: other runs
# make progress on working endpoints every few hundredths of a second, and
# until some did nothing can be suspected.
RECHECK_SECONDS = 0.05
# Interval after which a stalled run searches for another chain again, in
# seconds: capacity becomes free as streams end.
SEARCH_RETRY_SECONDS = 0.2


class Evidence(enum.StrEnum):
    """State of the endpoints of a stalled run.

    :cvar SUSPECTS: a few of them are stalled for all streams on them
    :cvar UNCLEAR: some made no progress, but it cannot be told which failed
    :cvar SOUND: all of them make progress
    """

    SUSPECTS = 'suspects'
    UNCLEAR = 'unclear'
    SOUND = 'sound'


@attrs.frozen
class Decision:
    """What to do with a stalled run.

    :ivar should_move: whether to search for another chain now
    :ivar limit: silence at which to decide again, in seconds
    """

    should_move: bool
    limit: float


def choose_stall_start(last_event: float, now: float) -> float:
    """Return since when an endpoint must have been stalled to be suspected.

    :param last_event: monotonic time of the run's last event, in seconds
    :returns: monotonic time in seconds
    """
    return now - (now - last_event) * RECENT_FRACTION


@attrs.frozen
class StallLimits:
    """Maximum silence of a run by the evidence, in seconds.

    :ivar suspected: if few of its endpoints are suspected
    :ivar unclear: if nothing shows which endpoint failed, if any
    :ivar sound: if all of them work. Such a run is late because they are busy,
        and moving it makes them read its prompt once more.
    """

    suspected: float
    unclear: float
    sound: float


def choose_limits(target: float, typical: float | None) -> StallLimits:
    """Return how long a run may be silent.

    :param target: time allowed for the first event, or longest pause allowed,
        in seconds
    :param typical: longest pause of a typical run, in seconds, None if unknown
    """
    suspected = target * STALL_FRACTION
    longest = target * MAX_STALL_FACTOR
    if typical is None:
        return StallLimits(suspected, longest, longest)
    unusual = typical * UNCLEAR_FACTOR
    unclear = min(longest, max(suspected, unusual))
    early = max(target * MIN_STALL_FRACTION, typical * UNUSUAL_FACTOR)
    return StallLimits(min(suspected, early), unclear, longest)


def classify_evidence(
    suspects: Sequence[str], stalled: Sequence[str]
) -> Evidence:
    """Return the state of the endpoints of a stalled run.

    :param suspects: endpoints that are stalled for all streams on them
    :param stalled: endpoints without progress
    """
    if suspects:
        return Evidence.SUSPECTS
    return Evidence.UNCLEAR if stalled else Evidence.SOUND


def decide(
    silence: float, limits: StallLimits, evidence: Evidence
) -> Decision:
    """Decide whether a stalled run is moved to another chain.

    :param silence: time since its last event, in seconds
    :param limits: maximum silence by the evidence
    """
    allowed = {
        Evidence.SUSPECTS: limits.suspected,
        Evidence.UNCLEAR: limits.unclear,
        Evidence.SOUND: limits.sound,
    }[evidence]
    if silence >= allowed:
        return Decision(True, silence + SEARCH_RETRY_SECONDS)
    return Decision(False, min(silence + RECHECK_SECONDS, allowed))
