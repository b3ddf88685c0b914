"""Retry budget: a token bucket that limits retries to a share of requests."""

import attrs

__all__ = [
    'DEFAULT_RATIO',
    'RetryBudget',
]

# Retries per first attempt. Below the documented limit of 0.1, because up to
# one retry saved before a time window may be spent within it.
DEFAULT_RATIO = 0.095
# Maximum number of saved retries.
DEFAULT_BURST = 10.0
# Tolerates rounding errors, so that ten deposits of 0.1 allow one retry.
_EPSILON = 1e-9


@attrs.define
class RetryBudget:
    """Limit retries to a share of the first attempts, plus a burst.

    Without the limit, a failure that affects all requests would double
    the load while capacity is reduced.

    :ivar ratio: retries earned by each first attempt
    :ivar burst: maximum number of saved retries
    :ivar spent: number of retries granted so far
    :ivar denied: number of retries refused so far
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
        """Saved retries, including fractions."""
        return self._tokens

    def earn(self) -> None:
        """Add the share of a retry that a first attempt earns."""
        self._tokens = min(self.burst, self._tokens + self.ratio)

    def spend(self) -> bool:
        """Spend one retry.

        :returns: False when the budget is exhausted
        """
        if self._tokens < 1.0 - _EPSILON:
            self.denied += 1
            return False
        self._tokens = max(0.0, self._tokens - 1.0)
        self.spent += 1
        return True
