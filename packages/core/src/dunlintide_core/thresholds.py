"""Dynamic threshold for users of a shared pool.

Dynamic thresholds come from shared-memory switches (Choudhury and Hahne,
1998): each user may hold up to a multiple of the units that are free now.
A single user gets most of the pool, a new user always finds free units,
and nothing is reserved for idle users.
"""

__all__ = ['FACTOR', 'admits']

# Limits a single user to 4/5 of the pool, and each of two to 4/9.
FACTOR = 4.0


def admits(held: int, free: int, factor: float = FACTOR) -> bool:
    """Return whether a user of the pool may take another unit.

    :param held: units that the user holds
    :param free: units that are free
    :param factor: multiple of the free units that a user may hold
    """
    return held < factor * free
