"""An event loop whose clock jumps ahead to the next timer."""

import asyncio
import contextlib
import selectors
import types
from unittest import mock


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


@contextlib.contextmanager
def replace_clocks(loop, modules):
    """Make modules that import time read the clock of a loop."""
    clock = types.SimpleNamespace(
        time=loop.time,
        monotonic=loop.time,
        clock_gettime=lambda _: loop.time(),
        CLOCK_BOOTTIME=0,
    )
    with contextlib.ExitStack() as stack:
        for module in modules:
            stack.enter_context(mock.patch.object(module, 'time', clock))
        yield
