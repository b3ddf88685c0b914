"""Detection of engines that are dead but still listed, for the leader.

The listing drops a dead engine only when its lease expires, and later during
an outage of the store. Until then its failure domain may have no complete
chain. So an engine that has been suspected for a while is probed. One that
fails two probes counts as lost until a request makes progress through it.
"""

import asyncio

from dunlintide_core.pipeline import endpoints as endpoints_module
from dunlintide_core.pipeline import mechanisms
from dunlintide_daemon.gateway import endpointgate
from dunlintide_daemon.gateway import state as state_module
from dunlintide_platform import orders

__all__ = ['LossDetector']

# How long an engine is suspected before it is probed, in seconds: most
# suspicions end sooner because other requests make progress through it.
PROBE_AFTER_SECONDS = 0.8
# How long an engine that is far from full refuses all requests before it
# counts as lost, in seconds: it may be out of memory for a moment, and is
# tried again after 0.3 and 0.6 s.
REFUSAL_LOSS_SECONDS = 1.0
# Failed probes after which an engine counts as lost. Each waits for most of a
# second; a single one may fail by a lost packet.
MAX_PROBES = 2
# Shortest time before an engine that answered is probed again, in seconds:
# each request for its report counts as a probe of the endpoint.
PROBE_INTERVAL_SECONDS = 5.0
# Largest fraction of the engines that may count as lost. At most one failure
# domain of three fails at a time; if more seem lost, this entry is cut off.
MAX_LOST_FRACTION = 0.34


class LossDetector:
    """Detector of lost engines of one service."""

    def __init__(self, state: state_module.State) -> None:
        self._state = state
        self._lost_at: dict[str, float] = {}
        self._probed_at: dict[str, float] = {}
        self._tasks: set[asyncio.Task] = set()

    def find_lost(self, engines: list[endpoints_module.Endpoint]) -> set[str]:
        """Start probes of suspected engines, and return names of lost ones.

        :param engines: engines that are listed
        """
        if not self._state.has(mechanisms.Mechanism.LOSS_QUESTIONS):
            return set()
        now = self._state.now
        health = self._state.health
        self._forget({each.name for each in engines})
        for engine in engines:
            suspected_seconds = health.get_suspicion_seconds(engine.name, now)
            if (
                suspected_seconds >= PROBE_AFTER_SECONDS
                and engine.name not in self._lost_at
            ):
                self._start_probe(engine, now)
        lost = set(self._lost_at) | self._list_refusing(engines, now)
        if len(lost) > MAX_LOST_FRACTION * len(engines):
            return set()
        return lost

    def _list_refusing(
        self, engines: list[endpoints_module.Endpoint], now: float
    ) -> set[str]:
        """Return the names of engines that have refused requests for long.

        They are probably draining. During an outage of the store this is not
        listed, and their layers would be ordered elsewhere only after it.
        """
        measure = self._state.health.get_refusing_seconds
        return {
            each.name
            for each in engines
            if measure(each.name, now) >= REFUSAL_LOSS_SECONDS
        }

    def _forget(self, listed: set[str]) -> None:
        """Forget engines that are not listed or make progress again."""
        for known in (self._probed_at, self._lost_at):
            for name in [each for each in known if each not in listed]:
                del known[name]
        for name, at in list(self._lost_at.items()):
            if self._state.health.has_progressed_since(name, at):
                self._state.log.write_always('engine back', endpoint=name)
                del self._lost_at[name]

    def _start_probe(
        self, engine: endpoints_module.Endpoint, now: float
    ) -> None:
        probed_at = self._probed_at.get(engine.name)
        if probed_at is not None and now - probed_at < PROBE_INTERVAL_SECONDS:
            return
        self._probed_at[engine.name] = now
        work = self._probe(engine)
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _probe(self, engine: endpoints_module.Endpoint) -> None:
        began = self._state.now
        errors = []
        for _ in range(MAX_PROBES):
            if not await self._state.admit(engine.name):
                return
            exchange = endpointgate.bind_exchange(self._state, engine)
            read = await orders.read_report(exchange, engine)
            if read.is_ok():
                self._state.record_incarnation(engine, read.ok_value.born)
                return
            if read.err_value.withheld:
                return
            errors.append(read.err_value.text)
        if self._state.health.has_progressed_since(engine.name, began):
            return
        self._lost_at[engine.name] = self._state.now
        self._state.log.write_always(
            'engine lost', endpoint=engine.name, errors=errors
        )
