"""An event loop whose clock jumps ahead to the next timer."""

import asyncio
import selectors

__all__ = ['Loop']


class _Selector(selectors.SelectSelector):
    """A selector that advances virtual time instead of waiting."""

    elapsed = 1000.0

    def select(self, timeout=None):
        if timeout:
            self.elapsed += timeout
        return super().select(0)


class Loop(asyncio.SelectorEventLoop):
    """An event loop in virtual time, without blocking I/O."""

    def __init__(self):
        self._virtual = _Selector()
        super().__init__(self._virtual)

    def time(self):
        return self._virtual.elapsed
