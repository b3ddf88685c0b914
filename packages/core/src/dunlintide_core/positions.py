"""Ordering of the steps of a request at a pipeline stage.

Every layer must run exactly once for each position, in order. A stage
tracks the newest epoch it has seen and the next position. A step that
does not match is dropped with a reason, so that drops can be counted.
"""

import collections
import enum

import attrs

__all__ = [
    'Action',
    'Cursor',
    'Fences',
    'Verdict',
    'build_rewound',
]


class Action(enum.StrEnum):
    """Action to take on a step; the value is part of a counter name."""

    ACCEPT = 'accept'
    TRIM = 'trim'
    DUPLICATE = 'duplicate'
    GAP = 'gap'
    STALE = 'stale'


@attrs.frozen
class Verdict:
    """Decision about one step.

    :ivar trim: number of leading positions to skip, which have already run
    """

    action: Action
    trim: int = 0

    @property
    def runs(self) -> bool:
        """Whether the step runs, possibly without its first positions."""
        return self.action in (Action.ACCEPT, Action.TRIM)


_ACCEPT = Verdict(Action.ACCEPT)
_DUPLICATE = Verdict(Action.DUPLICATE)
_GAP = Verdict(Action.GAP)
_STALE = Verdict(Action.STALE)


@attrs.define
class Cursor:
    """Newest epoch of a request at a stage, and its next position.

    :ivar failed: whether a gap occurred in this epoch, after which no
        step of the epoch runs
    :ivar rewound: whether earlier positions have been requested again
        from the previous stage; steps that it sent before it received
        the request are stale and no gap
    """

    epoch: int
    next_position: int = 0
    failed: bool = False
    rewound: bool = False

    def accept(self, epoch: int, position: int, count: int) -> Verdict:
        """Decide about a step and advance if it runs.

        A newer epoch replaces the current one and starts at position 0.

        :param position: first position of the span
        :param count: number of positions in the span, above 0
        """
        if epoch < self.epoch:
            return _STALE
        if epoch > self.epoch:
            self.epoch = epoch
            self.next_position = 0
            self.failed = False
            self.rewound = False
        if self.failed:
            return _STALE
        if position > self.next_position:
            if self.rewound:
                return _STALE
            self.failed = True
            return _GAP
        self.rewound = False
        end = position + count
        if end <= self.next_position:
            return _DUPLICATE
        trim = self.next_position - position
        self.next_position = end
        return Verdict(Action.TRIM, trim) if trim else _ACCEPT

    def advance_epoch(self, epoch: int) -> None:
        """Continue in a newer epoch after the positions that have run."""
        self.epoch = epoch
        self.failed = False
        self.rewound = False


def build_rewound(epoch: int, position: int) -> Cursor:
    """Build the cursor of a stage that requests positions again.

    :param position: first position that it requests
    """
    return Cursor(epoch, position, rewound=True)


class Fences:
    """Newest ended epochs of recent requests, bounded in number.

    They fence off late frames: a frame that was in transit when its epoch
    ended must not start the epoch again.
    """

    def __init__(self, capacity: int = 16_384) -> None:
        self._capacity = capacity
        self._epochs: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._epochs)

    def end(self, request_id: str, epoch: int) -> None:
        """Mark an epoch of a request and all earlier ones as ended."""
        newest = max(epoch, self._epochs.pop(request_id, epoch))
        self._epochs[request_id] = newest
        if len(self._epochs) > self._capacity:
            self._epochs.popitem(last=False)

    def has_ended(self, request_id: str, epoch: int) -> bool:
        """Return whether an epoch is known to have ended."""
        newest = self._epochs.get(request_id)
        return newest is not None and epoch <= newest
