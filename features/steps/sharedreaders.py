"""Neighbours that read what an entry has read, until something changes."""

import asyncio

from dunlintide_core.pipeline import settings

SETTINGS = settings.Demand(shared_reading=True)
REPORT_SECONDS = 0.02


async def report_same(state, is_current):
    """Report the readings of two such entries until cancelled.

    They lose the store at each change that the entry does not know yet, and
    go on reporting their last reading before it: the longest that an entry
    may rely on readers.

    :param is_current: tells whether the entry knows all changes
    """
    read_at = state.now
    while True:
        now = state.now
        if is_current():
            read_at = now
        for name in ('a', 'b'):
            digest = state.reading_digest
            state.shared_reading.receive(name, digest, read_at, now)
        await asyncio.sleep(REPORT_SECONDS)
