"""Measured figures and their regression bounds."""

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

    :ivar case: dotted name that starts with the module of the case
    :ivar unit: unit of value, baseline and bound
    :ivar baseline: value of the reference that was measured in the same
        run, None without one
    :ivar bound: regression bound, None without one
    :ivar holds: whether the value is within the bound
    :ivar note: short description of the measurement
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
    """Build a figure without a bound."""
    return Figure(case, value, unit, baseline, None, True, note)


def at_most(
    case: str,
    value: float,
    unit: str,
    bound: float,
    baseline: float | None = None,
    note: str = '',
) -> Figure:
    """Build a figure whose value must not exceed ``bound``."""
    return Figure(case, value, unit, baseline, bound, value <= bound, note)


def at_least(
    case: str,
    value: float,
    unit: str,
    bound: float,
    baseline: float | None = None,
    note: str = '',
) -> Figure:
    """Build a figure whose value must not fall below ``bound``."""
    return Figure(case, value, unit, baseline, bound, value >= bound, note)
