"""When a run that stands still is left for another chain."""

import attrs

__all__ = [
    'Judgement',
    'judge',
]

# Part of the target for the first event, or of the longest allowed pause,
# after which a still run may be moved.
STILL_PART = 0.6
# A run that stays still for so much longer is moved though nothing shows
# which of its endpoints is at fault.
PATIENCE_FACTOR = 2.0
# Pause between two looks at a still run, in seconds: other runs move
# through sound endpoints every few hundredths of a second, and until some
# did nobody is suspected.
LOOK_SECONDS = 0.05
# Pause before a still run looks for another chain again, in seconds: room
# comes free as streams end, and a search takes a millisecond.
SEARCH_SECONDS = 0.2


@attrs.frozen
class Judgement:
    """What to do with a still run.

    :ivar moves: whether to look for another chain now
    :ivar limit: silence at which to judge again, in seconds
    """

    moves: bool
    limit: float


def judge(silence: float, target: float, has_suspects: bool) -> Judgement:
    """Decide whether a still run is to be moved.

    :param silence: how long it has stood still, in seconds
    :param target: first event or longest pause allowed, in seconds
    :param has_suspects: whether some of its endpoints alone stand still
    """
    patience = target * PATIENCE_FACTOR
    if has_suspects or silence >= patience:
        return Judgement(True, silence + SEARCH_SECONDS)
    return Judgement(False, min(silence + LOOK_SECONDS, patience))
