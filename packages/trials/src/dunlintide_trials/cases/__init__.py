"""Benchmark cases, found by name.

Each module here has a list ``CASES`` of functions without arguments that
yield ``figures.Figure``. The case of ``measure_first_token`` in
``overhead.py`` is called ``overhead.first_token``; the figures of a case
carry its name, or its name and a dotted suffix. A module's ``GROUP``
stands in place of its name, where several modules share a subject.
"""

import importlib
import pkgutil
from typing import Callable, Iterable

from dunlintide_trials import figures

__all__ = ['Case', 'find_cases']

Case = Callable[[], Iterable[figures.Figure]]

_PREFIX = 'measure_'


def find_cases() -> dict[str, Case]:
    """Import every module here and name its cases."""
    found = {}
    for info in pkgutil.iter_modules(__path__):
        module = importlib.import_module(f'{__name__}.{info.name}')
        for case in module.CASES:
            name = case.__name__.removeprefix(_PREFIX)
            group = getattr(module, 'GROUP', info.name)
            found[f'{group}.{name}'] = case
    return dict(sorted(found.items()))
