"""Modules that read the clock of a loop in virtual time."""

import contextlib
import types
from unittest import mock

from dunlintide_trials import virtualloop

Loop = virtualloop.Loop


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
