"""How long a stream waits for a chain, by what is at stake for it.

A caller gets full value only from a first event within its target, so a
fresh stream that can't be on time makes room for the next one. A stream that
lost its chain midway has most of its work behind it, so it is tried as long
as its caller stays.
"""

import attrs

from dunlintide_core.pipeline import backlog

__all__ = [
    'QueueWait',
    'choose_wait',
]

# Part of the target within which a stream must have found its chain to be
# on time: reading its prompt takes the rest.
ON_TIME_FRACTION = 0.6
# How long a stream waits that was refused before, in seconds: it can't be
# on time any more, and its caller does not ask a third time. Callers leave
# after two seconds without an event, and the prompt is still to be read.
RETRIED_SECONDS = 1.2
# Callers of a stream leave after a silence of so many seconds, of so many
# times the target or of so many times the longest pause, whichever is the
# longest; the platform's pages state all three.
MIN_SILENCE_SECONDS = 2.0
TARGETS_OF_SILENCE = 4.0
PAUSES_OF_SILENCE = 8.0
# What a stream under way waits beyond that, in seconds, so that it is never
# cut while its caller still waits: news of the caller's leaving comes late.
MARGIN_SECONDS = 0.5


@attrs.frozen
class QueueWait:
    """Where in the queue a stream waits, and until when.

    :ivar expires: monotonic time, in seconds
    """

    queue_class: backlog.QueueClass
    expires: float


def choose_wait(
    arrived: float,
    now: float,
    target: float,
    pause: float,
    under_way: bool,
    returned: bool,
) -> QueueWait:
    """Tell what is at stake for a stream and until when it waits.

    :param arrived: monotonic time of the request, in seconds
    :param target: time for the first event, in seconds
    :param pause: longest pause between events, in seconds
    :param under_way: whether it ran already
    :param returned: whether it was refused before
    """
    if under_way:
        silence = max(
            MIN_SILENCE_SECONDS,
            TARGETS_OF_SILENCE * target,
            PAUSES_OF_SILENCE * pause,
        )
        expires = now + silence + MARGIN_SECONDS
        return QueueWait(backlog.QueueClass.UNDER_WAY, expires)
    if returned:
        return QueueWait(backlog.QueueClass.RETRIED, arrived + RETRIED_SECONDS)
    expires = arrived + target * ON_TIME_FRACTION
    return QueueWait(backlog.QueueClass.FRESH, expires)
