"""Probes of the pace of engines whose streams are slow or stalled.

An engine that does not answer is ejected like one that fails streams.
"""

import asyncio

from dunlintide_core.pipeline import endpoints as endpoints_module
from dunlintide_daemon.gateway import endpointgate
from dunlintide_daemon.gateway import state as state_module
from dunlintide_platform import orders

__all__ = ['PaceProber']

# Longest time between two checks of which slow engines to probe, in seconds.
POLL_SECONDS = 0.2
# Most probes under way at the same time.
MAX_PROBES = 16


class PaceProber:
    """Prober of engines in all failure domains."""

    def __init__(self, state: state_module.State) -> None:
        self._state = state
        self._tasks: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Probe engines that are slow or suspected of it, until cancelled."""
        suspected = self._state.slow_suspected
        while True:
            try:
                async with asyncio.timeout(POLL_SECONDS):
                    await suspected.wait()
            except TimeoutError:
                pass
            suspected.clear()
            self._start_probes()

    def _start_probes(self) -> None:
        state = self._state
        now = state.now
        paces = state.paces
        names = paces.list_slow_due(now)
        names += paces.list_due(state.slow_suspects, now)
        state.slow_suspects.clear()
        for name in names:
            endpoint = state.endpoints.get(name)
            if endpoint is None or len(self._tasks) >= MAX_PROBES:
                continue
            work = self._probe(endpoint)
            task = asyncio.get_running_loop().create_task(work)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _probe(self, endpoint: endpoints_module.Endpoint) -> None:
        state = self._state
        name = endpoint.name
        if not await state.admit(name):
            return
        exchange = endpointgate.bind_exchange(state, endpoint)
        read = await orders.read_report(exchange, endpoint)
        state.counters.pace_questions.inc()
        if read.is_err() and read.err_value.withheld:
            return
        if read.is_err():
            # If all streams through a dead engine use the same chain, only a
            # probe shows which engine of the chain it is.
            state.eject([name], f'no report: {read.err_value.text}')
            return
        slow = name in state.paces.list_slow(state.now)
        pace = read.ok_value.slowdown
        state.paces.record(name, pace, state.now)
        if slow != (name in state.paces.list_slow(state.now)):
            state.log.write(
                'engine is sound again' if slow else 'engine is slow',
                endpoint=name,
                pace=round(pace, 2),
            )
        if not slow:
            state.alert_pending.set()
