"""Measured figures and the bounds that they must keep."""

import attrs

__all__ = [
    'Figure',
    'at_least',
    'at_most',
    'plain',
]


@attrs.frozen
class Figure:
    """One measured value.

    :ivar case: dotted name, first the module of the case
    :ivar unit: unit of value, baseline and bound
    :ivar baseline: the same measured for what it is compared with, in
        the same run; None without one
    :ivar bound: regression bound, None without one
    :ivar holds: whether the value keeps the bound
    :ivar note: how it was measured, in a few words
    """

    case: str
    value: float
    unit: str
    baseline: float | None = None
    bound: float | None = None
    holds: bool = True
    note: str = ''


def plain(
    case: str,
    value: float,
    unit: str,
    baseline: float | None = None,
    note: str = '',
) -> Figure:
    """Report a value that has no bound."""
    return Figure(case, value, unit, baseline, None, True, note)


def at_most(
    case: str,
    value: float,
    unit: str,
    bound: float,
    baseline: float | None = None,
    note: str = '',
) -> Figure:
    """Report a value that must not pass ``bound``."""
    return Figure(case, value, unit, baseline, bound, value <= bound, note)


def at_least(
    case: str,
    value: float,
    unit: str,
    bound: float,
    baseline: float | None = None,
    note: str = '',
) -> Figure:
    """Report a value that must reach ``bound``."""
    return Figure(case, value, unit, baseline, bound, value >= bound, note)
