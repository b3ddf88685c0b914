"""Queue class and maximum wait of a stream.

A caller gets full value only from a first event within its target, so a fresh
stream that can't be on time makes way for the next one. An interrupted stream
has most of its work behind it, so it waits as long as its caller stays.
"""

import attrs

from dunlintide_core.pipeline import backlog

__all__ = [
    'QueueWait',
    'choose_wait',
]

# Fraction of the target within which a stream must have found its chain to be
# on time: reading its prompt takes the rest.
ON_TIME_FRACTION = 0.6
# How long a stream that was refused before waits, in seconds: it can't be on
# time, and its caller does not retry a second time. Callers leave after two
# seconds without an event, and the prompt must still be read.
RETRIED_SECONDS = 1.2
# Callers of a stream leave after the longest of this silence in seconds, this
# multiple of the target and this multiple of the longest pause, as the
# platform's documentation states.
MIN_SILENCE_SECONDS = 2.0
TARGETS_OF_SILENCE = 4.0
PAUSES_OF_SILENCE = 8.0
# Additional wait of a stream under way, in seconds, so that it is never ended
# while its caller still waits: the entry notices late that a caller left.
MARGIN_SECONDS = 0.5


@attrs.frozen
class QueueWait:
    """Queue class of a stream, and how long it waits.

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
    """Return the queue class of a stream and how long it waits.

    :param arrived: monotonic time of the request, in seconds
    :param now: monotonic time in seconds
    :param target: time for the first event, in seconds
    :param pause: longest pause between events, in seconds
    :param under_way: whether it has run already
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
