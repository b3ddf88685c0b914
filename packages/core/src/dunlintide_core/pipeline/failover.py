"""When a run that stands still is left for another chain."""

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

# Part of the target for the first event, or of the longest allowed pause,
# after which a still run may be moved.
STALL_FRACTION = 0.6
# A run whose silence is unusual is looked at sooner: after so many times the
# usual longest pause, and so much of its target at least. Its prompt has to be
# read again within what is left.
UNUSUAL_FACTOR = 1.5
MIN_STALL_FRACTION = 0.3
# A run that stays still for so much longer is moved though nothing shows
# which of its endpoints is at fault.
MAX_STALL_FACTOR = 2.0
# The same against the usual longest pause. When an engine on the only chain
# of a failure domain dies, the whole chain is still and nobody is named; its
# streams must be moved in time for their prompts to be read again.
UNCLEAR_FACTOR = 2.2
# Part of a run's silence in which its endpoints must have moved nothing to
# be suspected. Runs through a dead endpoint stop one by one, within the time
# of an event, so all but the last see it move after their own last event, and
# would not name it if their whole silence counted.
RECENT_FRACTION = 0.5
# Pause between two looks at a still run, in seconds: other runs move
# through sound endpoints every few hundredths of a second, and until some
# did nobody is suspected.
RECHECK_SECONDS = 0.05
# Pause before a still run looks for another chain again, in seconds: room
# comes free as streams end.
SEARCH_RETRY_SECONDS = 0.2


class Evidence(enum.StrEnum):
    """What is known of the endpoints of a still run.

    :cvar SUSPECTS: a few of them stand still for all who use them
    :cvar UNCLEAR: some have not moved, but nobody else uses them
    :cvar SOUND: work moves through each of them
    """

    SUSPECTS = 'suspects'
    UNCLEAR = 'unclear'
    SOUND = 'sound'


@attrs.frozen
class Decision:
    """What to do with a still run.

    :ivar moves: whether to look for another chain now
    :ivar limit: silence at which to judge again, in seconds
    """

    should_move: bool
    limit: float


def choose_stall_start(last_event: float, now: float) -> float:
    """Tell since when an endpoint must have been still to be suspected.

    :param moved: monotonic time of the run's last event, in seconds
    """
    return now - (now - last_event) * RECENT_FRACTION


@attrs.frozen
class StallLimits:
    """How long a run may stand still, in seconds.

    :ivar named: if few of its endpoints are suspected
    :ivar unnamed: if nothing shows which is at fault, if any
    :ivar sound: if all of them work. Such a run is late because they are
        busy, and moving it makes them read its prompt once more.
    """

    suspected: float
    unclear: float
    sound: float


def choose_limits(target: float, typical: float | None) -> StallLimits:
    """Tell how long a run may stand still.

    :param target: first event or longest pause allowed, in seconds
    :param usual: longest pause of a usual run, in seconds, None if unknown
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
    """Tell what is known of the endpoints of a still run.

    :param suspects: those that stand still for all who use them
    :param still: those through which nothing moved
    """
    if suspects:
        return Evidence.SUSPECTS
    return Evidence.UNCLEAR if stalled else Evidence.SOUND


def decide(
    silence: float, limits: StallLimits, evidence: Evidence
) -> Decision:
    """Decide whether a still run is to be moved.

    :param silence: how long it has stood still, in seconds
    """
    allowed = {
        Evidence.SUSPECTS: limits.suspected,
        Evidence.UNCLEAR: limits.unclear,
        Evidence.SOUND: limits.sound,
    }[evidence]
    if silence >= allowed:
        return Decision(True, silence + SEARCH_RETRY_SECONDS)
    return Decision(False, min(silence + RECHECK_SECONDS, allowed))
