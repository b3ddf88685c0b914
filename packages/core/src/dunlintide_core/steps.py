"""Long computations in short steps, so that other work can run in between.

Such a computation is a generator that yields after each step and returns its
result.
"""

from typing import Generator, TypeVar

__all__ = ['Steps', 'finish']

_Result = TypeVar('_Result')

Steps = Generator[None, None, _Result]


def finish(steps: Steps[_Result]) -> _Result:
    """Run all steps at once and return the result."""
    while True:
        try:
            next(steps)
        except StopIteration as ended:
            return ended.value
