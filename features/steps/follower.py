"""Steps for the entry's watch on the platform's store."""

import asyncio
import time

import behave
from dunlintide_daemon.gateway import follower
from dunlintide_platform import storevalues
import edge_settings
import result


class FakeStore:
    """Answer each watch at once with one change."""

    def __init__(self):
        self.waits = []
        self.times = []

    async def list_items(self, prefix):
        return result.Ok(storevalues.ItemBatch((), storevalues.Revision(0, 1)))

    async def watch(self, prefix, after, seconds):
        self.waits.append(seconds)
        self.times.append(time.monotonic())
        await asyncio.sleep(0)
        revision = storevalues.Revision(0, after.number + 1)
        item = storevalues.Item('other', b'', revision)
        return result.Ok(storevalues.ItemBatch((item,), revision))


@behave.given(
    'a follower whose endpoints may be used for {drain:f} s while they leave'
)
def make_follower(context, drain):
    context.store = FakeStore()
    context.follower = follower.Follower(
        edge_settings.make_state(drain=drain),
        context.store,
        lambda item: None,
    )


@behave.when('it watches the store for a while')
def watch_store(context):
    async def run():
        try:
            async with asyncio.timeout(1.0):
                await context.follower.run()
        except TimeoutError:
            pass

    asyncio.run(run())


@behave.then(
    'its watches wait {watch:f} s and begin {pause:f} s after news at the'
    ' earliest'
)
def check_watches(context, watch, pause):
    times = context.store.times
    assert len(times) >= 3, times
    assert all(abs(each - watch) < 1e-6 for each in context.store.waits)
    gaps = [later - sooner for sooner, later in zip(times, times[1:])]
    assert min(gaps) >= pause * 0.99, gaps
