"""Bound on what one of many may hold of a shared supply.

Dynamic thresholds, known from switches with shared memory (Choudhury and
Hahne, 1998): each may hold a multiple of what is free now. One alone gets
most of the supply; whoever comes next always finds something free, and
nothing is set aside for those who do not come.
"""

__all__ = ['FACTOR', 'admits']

# One alone may hold 4/5 of the supply, two 4/9 each.
FACTOR = 4.0


def admits(held: int, free: int, factor: float = FACTOR) -> bool:
    """Return whether one that holds so many may take another.

    :param held: what it holds already
    :param free: what nobody holds
    :param factor: multiple of the free ones that it may hold
    """
    return held < factor * free
