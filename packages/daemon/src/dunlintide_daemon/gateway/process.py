"""The process of an entry: starts its parts, reloads and stops them."""

import asyncio
import contextlib
import gc
import pathlib
import signal
import socket
from typing import Callable, Coroutine

import attrs
from prometheus_client import registry as registries

from dunlintide_adapters import callerhttp
from dunlintide_adapters import callermessages
from dunlintide_adapters import decisionlog
from dunlintide_adapters import endpointhttp
from dunlintide_core.pipeline import deployments
from dunlintide_core.pipeline import settings as settings_module
from dunlintide_daemon.gateway import admin as admin_module
from dunlintide_daemon.gateway import counters
from dunlintide_daemon.gateway import follower as follower_module
from dunlintide_daemon.gateway import front as front_module
from dunlintide_daemon.gateway import gossip as gossip_module
from dunlintide_daemon.gateway import leadership as leadership_module
from dunlintide_daemon.gateway import pacer as pacer_module
from dunlintide_daemon.gateway import placer as placer_module
from dunlintide_daemon.gateway import ratelimiter as ratelimiter_module
from dunlintide_daemon.gateway import registrar as registrar_module
from dunlintide_daemon.gateway import state as state_module
from dunlintide_platform import configurations
from dunlintide_platform import keys
from dunlintide_platform import store as store_module
from dunlintide_platform import storevalues

__all__ = ['run']

Settings = settings_module.EdgeSettings

FLUSH_SECONDS = 0.1
SWEEP_SECONDS = 0.5
# Lateness of the event loop that is logged, in seconds: streams are late then.
STALL_SECONDS = 0.1
# How often the settings file is looked at, since it may change without a
# signal, in seconds.
RELOAD_SECONDS = 1.0
# Time after SIGTERM at which resting connections are closed, in seconds:
# by then the balancer has seen two answers that the entry isn't ready.
REUSE_SECONDS = 2.6
# Time left before SIGKILL when what still runs is cut, in seconds.
MARGIN_SECONDS = 0.35
# Time to fetch a configuration from another entry, in seconds.
FETCH_SECONDS = 1.0


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(':')
    return host, int(port)


def _make_bounds(limits: deployments.CallerLimits) -> callermessages.Bounds:
    return callermessages.Bounds(
        limits.header_bytes,
        limits.body_bytes,
        limits.header_seconds,
        limits.idle_seconds,
    )


class _Process:
    """The parts of an entry and their lives."""

    def __init__(
        self,
        settings: Settings,
        path: pathlib.Path,
        text: str,
        listener: socket.socket | None,
    ) -> None:
        self._listener = listener
        self._path = path
        self._text = text
        log = decisionlog.DecisionLog(settings.name, rate=settings.log_rate)
        metrics = counters.Counters.from_registry(
            registries.CollectorRegistry()
        )
        self._state = state_module.State(settings, log, metrics)
        self._state.entries.add(settings.name)
        self._store = store_module.Store(settings.store)
        self._gossip = gossip_module.Gossip(self._state)
        limiter = ratelimiter_module.RateLimiter(
            self._state, self._gossip.send
        )
        self._gossip.receive_permit = limiter.receive
        self._state.admit = limiter.admit
        self._leadership = leadership_module.Leadership(
            self._state, self._store
        )
        entry = keys.Entry(
            settings.name,
            settings.failure_domain,
            settings.gossip_listen,
            settings.admin_listen,
        )
        self._registrar = registrar_module.Registrar(
            self._state, self._store, entry
        )
        self._follower = follower_module.Follower(
            self._state, self._store, self._take_own
        )
        # The reading comes last, with what the others gave up in mind.
        self._store.era_listeners += (
            self._registrar.begin_era,
            self._leadership.begin_era,
            self._follower.begin_era,
        )
        self._placer = placer_module.Placer(self._state, self._leadership)
        self._pacer = pacer_module.Pacer(self._state)
        front = front_module.Front(self._state)
        admin = admin_module.Admin(self._state)
        bounds = _make_bounds(deployments.CallerLimits())
        self._callers = callerhttp.CallerServer(
            front.handle, bounds, self._report
        )
        self._servers = [
            (settings.ready_listen, admin.handle_ready),
            (settings.admin_listen, admin.handle),
            (settings.metrics_listen, admin.handle_metrics),
        ]
        self._bounds = bounds
        self._stop = asyncio.Event()

    def _report(self, what: str, error: BaseException | None) -> None:
        self._state.log.write(what, error=repr(error))

    def _take_own(self, item: storevalues.Item) -> None:
        """Take in a key that an entry wrote."""
        if item.key == keys.LEADER_KEY:
            self._leadership.handle_item(item)
        elif item.key.startswith(keys.ENTRY_PREFIX):
            name = item.key.removeprefix(keys.ENTRY_PREFIX)
            if name == self._state.settings.name:
                self._registrar.handle_item(item)
                return
            if item.value is None:
                self._gossip.drop_entry(name)
                return
            decoded = keys.decode_entry(item.value)
            if decoded.is_ok():
                self._gossip.set_entry(decoded.ok_value)
            else:
                self._state.counters.refused_items.labels('entry').inc()
                self._report('entry refused', ValueError(decoded.err_value))

    async def run(self) -> None:
        """Serve until SIGTERM and what it leaves time for."""
        state = self._state
        settings = state.settings
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop.set)
        loop.add_signal_handler(signal.SIGINT, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        state.listeners.append(self._update_bounds)
        async with contextlib.AsyncExitStack() as stack:
            stack.callback(state.log.flush)
            stack.callback(self._store.close)
            stack.callback(state.pool.close)
            await self._listen(stack)
            state.log.write_always('started', store=settings.store)
            for work in (
                self._follower.run,
                self._registrar.run,
                self._leadership.run,
                self._placer.run,
                self._pacer.run,
                self._gossip.run,
                self._fetch_newer,
                self._keep_house,
                self._watch_settings,
            ):
                self._spawn(stack, work)
            await self._stop.wait()
            await self._end()

    async def _listen(self, stack: contextlib.AsyncExitStack) -> None:
        settings = self._state.settings
        loop = asyncio.get_running_loop()
        for address, handle in self._servers:
            server = callerhttp.CallerServer(
                handle, self._bounds, self._report
            )
            await server.listen(*_split(address))
            stack.callback(server.close)
        await self._listen_to_callers(settings.listen)
        stack.callback(self._callers.close)
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self._gossip, _split(settings.gossip_listen)
        )
        stack.callback(transport.close)

    async def _listen_to_callers(self, address: str) -> None:
        """Take the socket that is open already if it is the right one."""
        listener, self._listener = self._listener, None
        if listener is not None and listener.getsockname() == _split(address):
            await self._callers.listen_on(listener)
            return
        if listener is not None:
            listener.close()
        await self._callers.listen(*_split(address))

    def _spawn(
        self,
        stack: contextlib.AsyncExitStack,
        work: Callable[[], Coroutine],
    ) -> None:
        """Keep a loop running; what ends it is logged, then it goes on."""

        async def keep() -> None:
            while True:
                try:
                    await work()
                except Exception as error:
                    name = work.__qualname__
                    self._state.log.write_always(
                        'task failed', task=name, error=repr(error)
                    )
                    await asyncio.sleep(RELOAD_SECONDS)

        task = asyncio.get_running_loop().create_task(keep())
        stack.callback(task.cancel)

    def _update_bounds(self) -> None:
        deployment = self._state.deployment
        if deployment is not None:
            self._callers.bounds = _make_bounds(deployment.limits)

    async def _keep_house(self) -> None:
        state = self._state
        swept = 0.0
        while True:
            slept = state.now
            await asyncio.sleep(FLUSH_SECONDS)
            self._note_lag(state.now - slept - FLUSH_SECONDS)
            state.log.flush()
            # Engines that were left out for a time come back unannounced.
            state.wake_all()
            if state.now - swept >= SWEEP_SECONDS:
                swept = state.now
                state.pool.sweep()
                state.rate_limits.expire(state.now, state.endpoints)
                state.permits.expire(state.now, state.endpoints)

    def _note_lag(self, seconds: float) -> None:
        """Take note of how late the event loop was."""
        self._state.counters.loop_lag_seconds.observe(max(0.0, seconds))
        if seconds >= STALL_SECONDS:
            self._state.log.write('loop stalled', seconds=round(seconds, 3))

    async def _fetch_newer(self) -> None:
        """Take a configuration that another entry has first."""
        while True:
            await self._gossip.newer_found.wait()
            self._gossip.newer_found.clear()
            entry = self._gossip.entries.get(self._gossip.newer or '')
            if entry is None:
                continue
            await self._fetch(entry)
            await asyncio.sleep(FLUSH_SECONDS)

    async def _fetch(self, entry: keys.Entry) -> None:
        state = self._state
        loop = asyncio.get_running_loop()
        path = admin_module.CONFIGURATION_PATH
        text = f'GET {path} HTTP/1.1\r\nHost: {entry.admin}\r\n\r\n'
        try:
            connection = await state.pool.acquire(entry.admin, FETCH_SECONDS)
        except endpointhttp.Broken as broken:
            self._report('configuration not fetched', broken)
            return
        try:
            deadline = loop.time() + FETCH_SECONDS
            connection.send(text.encode('latin-1'))
            await connection.read_head(deadline)
            value = await connection.read_all(deadline)
        except endpointhttp.Broken as broken:
            self._report('configuration not fetched', broken)
            return
        finally:
            state.pool.release(entry.admin, connection)
        decoded = configurations.decode_deployment(value)
        if decoded.is_err():
            self._report(
                'configuration refused', ValueError(decoded.err_value)
            )
        elif state.adopt(decoded.ok_value, value):
            state.log.write('configuration fetched', source=entry.name)

    async def _watch_settings(self) -> None:
        while True:
            await asyncio.sleep(RELOAD_SECONDS)
            self._reload()

    def _reload(self) -> None:
        """Apply the settings file if it has changed and is right."""
        state = self._state
        try:
            text = self._path.read_text(encoding='utf-8')
        except (OSError, UnicodeDecodeError) as error:
            self._report('settings not read', error)
            return
        if text == self._text:
            return
        self._text = text
        loaded = settings_module.load_settings(text, str(self._path))
        if loaded.is_err():
            state.log.write_always(
                'settings refused', problems=list(map(str, loaded.err_value))
            )
            return
        self._apply_settings(loaded.ok_value)

    def _apply_settings(self, settings: Settings) -> None:
        """Put in force what may change while the process runs."""
        state = self._state
        kept = attrs.evolve(
            state.settings,
            store=settings.store,
            drain=settings.drain,
            grace=settings.grace,
            retries=settings.retries,
            log_rate=settings.log_rate,
        )
        ignored = [
            field.name
            for field in attrs.fields(Settings)
            if getattr(kept, field.name) != getattr(settings, field.name)
        ]
        state.settings = kept
        state.budgets.clear()
        if self._store.address != settings.store:
            self._store.change_address(settings.store)
        state.log.write_always('settings reloaded', ignored=ignored)

    async def _end(self) -> None:
        """Finish what is under way, as long as the time allows."""
        state = self._state
        state.stopping = True
        began = state.stopping_at = state.now
        state.log.write_always('stopping', busy=self._callers.count_busy())
        last = began + state.settings.grace - MARGIN_SECONDS
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(REUSE_SECONDS):
                await self._leadership.leave()
                await self._registrar.leave()
        await asyncio.sleep(max(0.0, began + REUSE_SECONDS - state.now))
        self._callers.end_reuse()
        while state.now < last and self._callers.connections:
            await asyncio.sleep(FLUSH_SECONDS)
        state.log.write_always(
            'stopped',
            cut=self._callers.count_busy(),
            seconds=round(state.now - began, 3),
        )


def run(
    settings: Settings,
    path: pathlib.Path,
    text: str,
    listener: socket.socket | None = None,
) -> int:
    """Run an entry until it is told to stop.

    :param path: settings file, read again when it changes
    :param text: what it held when the settings were read
    :param listener: where callers connect already, None to open it
    :returns: exit status
    """

    async def serve() -> None:
        await _Process(settings, path, text, listener).run()

    # What start-up made lives on; leaving it out shortens collections.
    gc.collect()
    gc.freeze()
    asyncio.run(serve())
    return 0
