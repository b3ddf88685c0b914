"""Token bucket that bounds retries to a share of the requests."""

import attrs

__all__ = [
    'DEFAULT_RATIO',
    'RetryBudget',
]

# Below the tenth that is promised: at any moment an entry has up to one
# retry saved from before, which comes on top of a window's own.
DEFAULT_RATIO = 0.095
DEFAULT_BURST = 10.0
# Absorbs rounding, so that ten tenths buy one retry.
_EPSILON = 1e-9


@attrs.define
class RetryBudget:
    """Let retries be at most a share of the requests plus a burst.

    Without such a bound a failure that hits all requests would double
    the load just when capacity is gone.
    :ivar ratio: retries earned by each first attempt
    :ivar burst: most retries that can be saved up
    :ivar spent: retries granted so far
    :ivar denied: retries refused so far
    """

    ratio: float = DEFAULT_RATIO
    burst: float = DEFAULT_BURST
    spent: int = 0
    denied: int = 0
    _tokens: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._tokens = self.burst

    @property
    def tokens(self) -> float:
        """Retries that can be granted now."""
        return self._tokens

    def earn(self) -> None:
        """Take note of one first attempt."""
        self._tokens = min(self.burst, self._tokens + self.ratio)

    def spend(self) -> bool:
        """Take one retry; False when the budget is used up."""
        if self._tokens < 1.0 - _EPSILON:
            self.denied += 1
            return False
        self._tokens = max(0.0, self._tokens - 1.0)
        self.spent += 1
        return True
