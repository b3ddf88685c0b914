"""Process of an entry: start, reload of settings and graceful shutdown."""

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
from dunlintide_adapters import stopsignal
from dunlintide_core.pipeline import deployments
from dunlintide_core.pipeline import settings as settings_module
from dunlintide_core.pipeline import shutdown
from dunlintide_daemon.gateway import admin as admin_module
from dunlintide_daemon.gateway import configurationfetcher
from dunlintide_daemon.gateway import configurationloader
from dunlintide_daemon.gateway import counters
from dunlintide_daemon.gateway import departurenotices
from dunlintide_daemon.gateway import endpointnotices
from dunlintide_daemon.gateway import exchange as exchange_module
from dunlintide_daemon.gateway import follower as follower_module
from dunlintide_daemon.gateway import gossip as gossip_module
from dunlintide_daemon.gateway import leadership as leadership_module
from dunlintide_daemon.gateway import paceprober as paceprober_module
from dunlintide_daemon.gateway import placer as placer_module
from dunlintide_daemon.gateway import ratelimiter as ratelimiter_module
from dunlintide_daemon.gateway import registrar as registrar_module
from dunlintide_daemon.gateway import requesthandler as requesthandler_module
from dunlintide_daemon.gateway import state as state_module
from dunlintide_platform import keys
from dunlintide_platform import requests
from dunlintide_platform import store as store_module
from dunlintide_platform import storevalues

__all__ = ['run']

Settings = settings_module.EdgeSettings

FLUSH_INTERVAL_SECONDS = 0.1
EXPIRY_INTERVAL_SECONDS = 0.5
# Lag of the event loop from which it is logged, in seconds: it delays streams.
STALL_THRESHOLD_SECONDS = 0.1
# Time between two checks of the settings file, in seconds: it may change
# without a SIGHUP.
RELOAD_SECONDS = 1.0
# Largest body of a request of an operator or another entry, in bytes.
MAX_ADMIN_BODY_BYTES = 64 << 10


def _split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(':')
    return host, int(port)


def _make_bounds(
    limits: deployments.CallerLimits,
) -> callermessages.RequestLimits:
    return callermessages.RequestLimits(
        limits.header_bytes,
        limits.body_bytes,
        limits.header_seconds,
        limits.idle_seconds,
    )


class _EntryProcess:
    """Components of an entry, and their start and shutdown."""

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
        self._state.known_entries.add(settings.name)
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
        self._loader = configurationloader.ConfigurationLoader(self._state)
        self._follower = follower_module.Follower(
            self._state,
            self._store,
            self._handle_entry_item,
            self._loader,
            lambda: self._leadership.is_leading,
        )
        self._fetcher = configurationfetcher.ConfigurationFetcher(
            self._state,
            self._gossip,
            self._loader,
            self._follower.skip_configuration,
        )
        # The follower is last: the others must have given up their leases
        # before it reads the store again.
        self._store.era_listeners += (
            self._registrar.begin_era,
            self._leadership.begin_era,
            self._follower.begin_era,
        )
        self._placer = placer_module.Placer(self._state, self._leadership)
        self._pace_prober = paceprober_module.PaceProber(self._state)
        handler = requesthandler_module.RequestHandler(self._state)
        self._open_requests = handler.open_requests
        admin = admin_module.Admin(self._state)
        bounds = _make_bounds(deployments.CallerLimits())
        self._callers = callerhttp.CallerServer(
            handler.handle,
            bounds,
            self._log_error,
            self._state.budget,
            self._identify,
            self._log_refusal,
        )
        self._servers = [
            (settings.ready_listen, admin.handle_ready),
            (settings.admin_listen, admin.handle),
            (settings.metrics_listen, admin.handle_metrics),
        ]
        self._bounds = bounds

    def _identify(self, request: callermessages.Request, address: str) -> str:
        """Return for whom the bytes of a request count."""
        deployment = self._state.deployment
        digest = requests.read_key_digest(request)
        owner = deployment.find_owner(digest) if deployment else None
        return address if owner is None else owner.name

    def _log_refusal(
        self, request: callermessages.Request, size: int, pause: float
    ) -> None:
        """Log a request for whose bytes there is no room."""
        budget = self._state.budget
        owner = request.account.owner
        outcome = exchange_module.Outcome.DENIED
        self._state.counters.requests.labels('any', outcome).inc()
        self._state.log.write(
            'request denied',
            request=requests.decode(request).name,
            status=503,
            reason='memory',
            size=size,
            retry_after=round(pause, 3),
            held=budget.held,
            large=budget.large_held,
            owned=budget.get_owner_bytes(owner),
            waiting=budget.waiting_bytes,
        )

    def _log_error(self, what: str, error: BaseException | None) -> None:
        self._state.log.write(what, error=repr(error))

    def _handle_entry_item(self, item: storevalues.Item) -> None:
        """Dispatch a change of a key that entries write."""
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
                self._log_error('entry refused', ValueError(decoded.err_value))

    async def run(self) -> None:
        """Serve until SIGTERM, then shut down gracefully."""
        state = self._state
        settings = state.settings
        loop = asyncio.get_running_loop()
        stop = stopsignal.StopSignal()
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        state.change_listeners.append(self._update_bounds)
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
                self._pace_prober.run,
                self._gossip.run,
                self._gossip.demand.run,
                self._fetcher.run,
                self._run_maintenance,
                self._watch_settings,
            ):
                self._keep_running(stack, work)
            await self._shut_down(await stop.wait())

    async def _listen(self, stack: contextlib.AsyncExitStack) -> None:
        settings = self._state.settings
        loop = asyncio.get_running_loop()
        bounds = attrs.evolve(self._bounds, body_bytes=MAX_ADMIN_BODY_BYTES)
        for address, handle in self._servers:
            server = callerhttp.CallerServer(
                handle, bounds, self._log_error, self._state.operator_budget
            )
            await server.listen(*_split_address(address))
            stack.callback(server.close)
        await self._listen_to_callers(settings.listen)
        stack.callback(self._callers.close)
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self._gossip, _split_address(settings.gossip_listen)
        )
        stack.callback(transport.close)

    async def _listen_to_callers(self, address: str) -> None:
        """Listen for callers, on the open socket if its address fits."""
        listener, self._listener = self._listener, None
        if listener is not None and listener.getsockname() == _split_address(
            address
        ):
            await self._callers.listen_on_socket(listener)
            return
        if listener is not None:
            listener.close()
        await self._callers.listen(*_split_address(address))

    def _keep_running(
        self,
        stack: contextlib.AsyncExitStack,
        work: Callable[[], Coroutine],
    ) -> None:
        """Run a loop as a task; log an exception and restart the loop."""

        async def rerun() -> None:
            while True:
                try:
                    await work()
                except Exception as error:
                    name = work.__qualname__
                    self._state.log.write_always(
                        'task failed', task=name, error=repr(error)
                    )
                    await asyncio.sleep(RELOAD_SECONDS)

        task = asyncio.get_running_loop().create_task(rerun())
        stack.callback(task.cancel)

    def _update_bounds(self) -> None:
        deployment = self._state.deployment
        if deployment is not None:
            self._callers.limits = _make_bounds(deployment.limits)

    async def _run_maintenance(self) -> None:
        state = self._state
        expired_at = 0.0
        while True:
            slept = state.now
            await asyncio.sleep(FLUSH_INTERVAL_SECONDS)
            self._record_lag(state.now - slept - FLUSH_INTERVAL_SECONDS)
            state.report_budget()
            state.log.flush()
            # Nothing else wakes waiters when the ejection of an engine ends.
            state.wake_all()
            if state.now - expired_at >= EXPIRY_INTERVAL_SECONDS:
                expired_at = state.now
                state.pool.sweep()
                endpointnotices.expire_backoffs(state)
                departurenotices.expire_departures(state)
                state.rate_limits.expire(state.now, state.endpoints)
                state.permits.expire(state.now, state.endpoints)

    def _record_lag(self, seconds: float) -> None:
        """Record the lag of the event loop.

        :param seconds: measured lag
        """
        self._state.counters.loop_lag_seconds.observe(max(0.0, seconds))
        if seconds >= STALL_THRESHOLD_SECONDS:
            self._state.log.write('loop stalled', seconds=round(seconds, 3))

    async def _watch_settings(self) -> None:
        while True:
            await asyncio.sleep(RELOAD_SECONDS)
            self._reload()

    def _reload(self) -> None:
        """Apply the settings file if it has changed and is valid."""
        state = self._state
        try:
            text = self._path.read_text(encoding='utf-8')
        except (OSError, UnicodeDecodeError) as error:
            self._log_error('settings not read', error)
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
        """Apply the settings that may change while the process runs."""
        state = self._state
        kept = attrs.evolve(
            state.settings,
            store=settings.store,
            drain=settings.drain,
            apply=settings.apply,
            grace=settings.grace,
            retries=settings.retries,
            demand=settings.demand,
            log_rate=settings.log_rate,
        )
        ignored = [
            field.name
            for field in attrs.fields(Settings)
            if getattr(kept, field.name) != getattr(settings, field.name)
        ]
        state.settings = kept
        if state.shutdown is not None:
            state.shutdown = state.shutdown.shorten(kept.grace)
            self._open_requests.begin_shutdown()
        state.retry_budgets.clear()
        if self._store.address != settings.store:
            self._store.change_address(settings.store)
        state.log.write_always('settings reloaded', ignored=ignored)

    async def _shut_down(self, began: float) -> None:
        """Finish requests under way, as long as the grace period allows.

        :param began: monotonic time of the signal to stop, in seconds
        """
        state = self._state
        state.shutdown = shutdown.Shutdown.from_grace(
            began, state.settings.grace
        )
        self._open_requests.begin_shutdown()
        state.log.write_always(
            'stopping',
            busy=self._callers.count_busy(),
            grace=state.settings.grace,
            others=len(state.listed_entries),
            signal_age=round(state.now - began, 3),
        )
        leaving = asyncio.create_task(self._leave())
        try:
            while state.now < state.shutdown.closes_idle:
                await self._sleep_until(state.shutdown.closes_idle)
            self._callers.stop_keepalive()
            while (
                state.now < state.shutdown.exits and self._callers.connections
            ):
                await self._sleep_until(state.shutdown.exits)
        finally:
            leaving.cancel()
        state.log.write_always(
            'stopped',
            cut=self._callers.count_busy(),
            seconds=round(state.now - began, 3),
        )

    async def _leave(self) -> None:
        """Give up the leadership and the registration."""
        try:
            await self._leadership.resign()
            await self._registrar.unregister()
        except Exception as error:
            self._log_error('not unregistered', error)

    async def _sleep_until(self, due: float) -> None:
        """Sleep for a step, as a reload may change when things are due.

        :param due: monotonic time until which it sleeps at most, in seconds
        """
        left = due - self._state.now
        await asyncio.sleep(max(0.0, min(FLUSH_INTERVAL_SECONDS, left)))


def run(
    settings: Settings,
    path: pathlib.Path,
    text: str,
    listener: socket.socket | None = None,
) -> int:
    """Run an entry until SIGTERM or SIGINT.

    :param path: settings file, read again when it changes
    :param text: content of the file from which ``settings`` were read
    :param listener: open listening socket, None to open it by the settings
    :returns: exit status
    """

    async def serve() -> None:
        await _EntryProcess(settings, path, text, listener).run()

    # Objects from start-up stay alive; freezing them shortens collections.
    gc.collect()
    gc.freeze()
    asyncio.run(serve())
    return 0
