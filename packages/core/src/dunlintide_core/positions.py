"""Order of the steps that one pipeline stage takes for one request.

Every layer must run exactly once for each position, in order. A stage
keeps the newest epoch that it has seen and the next position; whatever
does not fit is dropped by name, so that each drop can be counted.
"""

import collections
import enum

import attrs

__all__ = [
    'Cursor',
    'Fences',
    'Action',
    'Verdict',
    'build_rewound',
]


class Action(enum.StrEnum):
    """What to do with a step."""

    ACCEPT = 'accept'
    TRIM = 'trim'
    DUPLICATE = 'duplicate'
    GAP = 'gap'
    STALE = 'stale'


@attrs.frozen
class Verdict:
    """Decision about one step.

    :ivar trim: leading positions to leave out, since they have run
    """

    action: Action
    trim: int = 0

    @property
    def runs(self) -> bool:
        """Whether the step, or what is left of it, is to run."""
        return self.action in (Action.ACCEPT, Action.TRIM)


_ACCEPT = Verdict(Action.ACCEPT)
_DUPLICATE = Verdict(Action.DUPLICATE)
_GAP = Verdict(Action.GAP)
_STALE = Verdict(Action.STALE)


@attrs.define
class Cursor:
    """Newest epoch of a request at a stage, and its next position.

    :ivar failed: whether this epoch saw a gap; nothing more of it runs
    :ivar rewound: whether the stage before was asked anew for positions
        and may not have heard; what it sent until then is no gap
    """

    epoch: int
    next_position: int = 0
    failed: bool = False
    rewound: bool = False

    def accept(self, epoch: int, position: int, count: int) -> Verdict:
        """Decide about a step and move on when it runs.

        A newer epoch replaces the one before and starts at position 0.

        :param position: first position of the span
        :param count: positions in the span, above 0
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
        """Go on in a newer epoch with the positions that have run."""
        self.epoch = epoch
        self.failed = False
        self.rewound = False


def build_rewound(epoch: int, position: int) -> Cursor:
    """Make the cursor of a stage that asks anew for positions.

    :param position: the first one that it asks for
    """
    return Cursor(epoch, position, rewound=True)


class Fences:
    """Newest ended epochs of recent requests, bounded in number.

    A frame that was under way while its epoch ended must not begin it
    again.
    """

    def __init__(self, capacity: int = 16_384) -> None:
        self._capacity = capacity
        self._epochs: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._epochs)

    def end(self, request_id: str, epoch: int) -> None:
        """Fence an epoch and all that came before it."""
        newest = max(epoch, self._epochs.pop(request_id, epoch))
        self._epochs[request_id] = newest
        if len(self._epochs) > self._capacity:
            self._epochs.popitem(last=False)

    def has_ended(self, request_id: str, epoch: int) -> bool:
        """Return whether an epoch is known to have ended."""
        newest = self._epochs.get(request_id)
        return newest is not None and epoch <= newest
