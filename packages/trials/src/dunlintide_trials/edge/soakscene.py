"""Deployment under a soak of the edge role, with its callers."""

import contextlib
import os
import pathlib
import random
import signal
import threading
import time
from typing import Callable

import attrs

from dunlintide_standins.fleet import callers
from dunlintide_standins.fleet import operators
from dunlintide_standins.fleet import runners as runners_module
from dunlintide_standins import relay as relay_module
from dunlintide_trials.edge import disruptions
from dunlintide_trials.edge import scene as scenes
from dunlintide_trials.edge import soakdemand
from dunlintide_trials.edge import versions as versions_module
from dunlintide_trials import processes

__all__ = ['LimitPeriod', 'SentRequest', 'SoakScene']

DOMAINS = ('a', 'b')
ENTRIES = ('one', 'two', 'three')
# Widths of the links between entries and the store, in Mbit/s.
WIDTHS = (10.0, 20.0, 50.0)
BYTES_PER_MBIT = 125_000
# Minimum and maximum seconds between two requests of a caller.
PAUSE_SECONDS = (0.0, 0.05)
# Shares of streams that have a part that crashes engines, while there is one,
# and of callers that go to an entry that gets most new connections.
BAD_SHARE = 0.15
CROWD_SHARE = 0.9
# Shared parts of sound streams, beside the first one.
FIRST_PART = '5c'
MIDDLE_PARTS = ('m0', 'm1', 'm2', 'm3')
STREAM = 'stream'
ONCE = 'once'
REPEATABLE = 'repeatable'


@attrs.define
class SentRequest:
    """A request and its response as its caller saw it.

    :ivar kind: ``STREAM``, ``ONCE`` or ``REPEATABLE``
    :ivar count: number of events that a stream was asked for
    :ivar parts: shared parts of its prompt
    :ivar sent: monotonic time at which it was sent, in seconds
    :ivar status: HTTP status, 0 without a response
    :ivar is_complete: whether the response was complete
    :ivar terms: its team and priority
    """

    name: str
    kind: str
    count: int
    sent: float
    parts: tuple[str, ...] = ()
    status: int = 0
    is_complete: bool = False
    body: bytes = b''
    terms: soakdemand.Terms = soakdemand.STEADY_TERMS

    @property
    def is_whole(self) -> bool:
        """Whether it got a complete answer, not an error."""
        return self.status == 200 and self.is_complete


@attrs.define
class LimitPeriod:
    """Period in which an endpoint announced one rate limit.

    :ivar limit: requests per second
    :ivar since: monotonic time of the start in seconds
    :ivar until: monotonic time of the end, None before the end
    """

    runner: runners_module.Runner
    limit: float
    since: float
    until: float | None = None


class SoakScene:
    """Entries with relays to the store, endpoints and callers.

    :ivar scene: the deployment
    :ivar version: version of the newest configuration
    :ivar versions: when versions were written, and which one entries have
    :ivar widths: widths of the entries' links to the store, in Mbit/s
    :ivar requests: all requests in the order of their starts
    :ivar relays: relay to the store by name of the entry
    :ivar disruptions: disruptions of the store, of entries and of their way
        to the store
    :ivar entry_fault_times: monotonic times of faults of entries
    :ivar entry_events: name of each entry that was killed, started, suspended,
        resumed or stopped, and the monotonic time
    :ivar drains: name of each drained endpoint and monotonic time
    :ivar limits: rate limits that endpoints announced
    :ivar crowded: entry that gets most new connections, None for none
    :ivar has_demand: whether requests of several priorities and teams compete
    """

    def __init__(
        self,
        pick_ports: Callable[[int], list[int]],
        folder: pathlib.Path,
        stack: contextlib.ExitStack,
        seed: int = 0,
        has_demand: bool = False,
    ) -> None:
        """Start the deployment.

        :param stack: what must be closed at the end
        :param seed: seed of the widths of links
        :param has_demand: whether requests of several priorities and teams
            compete
        """
        self.has_demand = has_demand
        self._calm_periods: list[tuple[float, float]] = []
        self.scene = scenes.Scene(pick_ports, folder)
        stack.callback(self.scene.close)
        self.version = 7
        self.versions = versions_module.Versions(self.version)
        rng = random.Random(f'{seed}/widths')
        # Where all links are alike, nobody has a version long before others.
        width = rng.choice(WIDTHS)
        alike = rng.random() < 0.5
        self.widths = {
            name: width if alike else rng.choice(WIDTHS) for name in ENTRIES
        }
        self.requests: list[SentRequest] = []
        self.relays: dict[str, relay_module.Relay] = {}
        self.disruptions = disruptions.Disruptions()
        self.entry_fault_times: list[float] = []
        self.largest_bytes = 0
        self.entry_events: list[tuple[str, float]] = []
        self.drains: list[tuple[str, float]] = []
        self.limits: list[LimitPeriod] = []
        self.crowded: scenes.Entry | None = None
        self._reserved: set[runners_module.Runner] = set()
        self._lock = threading.Lock()
        self._request_count = 0
        self._began = 0.0
        self._stopped = threading.Event()
        self._threads: list[threading.Thread] = []
        self._start(stack)

    def _start(self, stack: contextlib.ExitStack) -> None:
        scene = self.scene
        first = self._make_configuration()
        scene.configure(operators.add_version_routes(first, [self.version]))
        scene.add_runners(DOMAINS)
        scene.add_runners(DOMAINS)
        if self.has_demand:
            soakdemand.limit_engines(scene.fleet)
        for index, name in enumerate(ENTRIES):
            relay = relay_module.Relay('127.0.0.1:0', scene.store_address)
            relay.start()
            relay.narrow(self.widths[name] * BYTES_PER_MBIT)
            stack.callback(relay.stop)
            self.relays[name] = relay
            address = f'127.0.0.1:{relay.port}'
            domain = DOMAINS[index % len(DOMAINS)]
            scene.add_entry(name, domain, address)
        for entry in scene.entries:
            scene.wait_until(entry.is_ready, f'{entry.name} is ready')
        scene.wait_for_layers()
        for entry in scene.entries:
            scene.wait_for_listing(entry)

    def _make_configuration(self) -> operators.Configuration:
        found = operators.make_configuration(self.version)
        return soakdemand.add_terms(found) if self.has_demand else found

    # Methods for faults.

    def write_version(self, rng: random.Random, routes: int = 0) -> None:
        """Write a newer configuration.

        :param routes: number of further routes that it has
        """
        self.version += rng.randint(1, 5)
        kept = self.versions.list_kept(self.version)
        found = self._make_configuration()
        found = operators.add_version_routes(found, kept)
        found = operators.shuffle_routes(found, rng)
        found = operators.add_routes(found, routes)
        self.versions.record(self.version, lambda: self.scene.configure(found))

    def signal(self, entry: scenes.Entry, number: signal.Signals) -> None:
        """Send a signal to an entry if it runs."""
        if entry.process.poll() is None:
            os.kill(entry.process.pid, number)
            if number != signal.SIGHUP:
                self._record_event(entry)

    def restart(self, entry: scenes.Entry) -> None:
        """Restart an entry, killing it if it still runs."""
        entry.stop()
        entry.start()
        self._record_event(entry)

    def _record_event(self, entry: scenes.Entry) -> None:
        self.entry_events.append((entry.name, time.monotonic()))
        self.disruptions.record(entry.name)

    def had_event(self, entry: str, first: float, last: float) -> bool:
        """Return whether an entry had an event from one time to another."""
        return any(
            name == entry and first <= at <= last
            for name, at in self.entry_events
        )

    def record_entry_fault(self, entry: scenes.Entry) -> None:
        """Record the time of a fault of an entry."""
        self.record_memory(entry)
        self.entry_fault_times.append(time.monotonic())
        self._record_event(entry)

    def record_memory(self, entry: scenes.Entry) -> None:
        """Record the memory that an entry has taken, if it runs."""
        if entry.process.poll() is None:
            taken = processes.read_peak_memory(entry.process.pid)
            self.largest_bytes = max(self.largest_bytes, taken)

    def record_drain(self, runner: runners_module.Runner) -> None:
        """Record the time at which an endpoint starts to drain."""
        self.drains.append((runner.name, time.monotonic()))

    def set_limit(
        self, runner: runners_module.Runner, limit: float | None
    ) -> None:
        """Set the rate limit that an endpoint announces, None for none."""
        now = time.monotonic()
        for period in self.limits:
            if period.runner is runner and period.until is None:
                period.until = now
        runner.faults.rate_limit = limit
        if limit is not None:
            self.limits.append(LimitPeriod(runner, limit, now))

    def end_limits(self) -> None:
        """Remove the rate limits of all endpoints."""
        for runner in self.scene.fleet.runners:
            self.set_limit(runner, None)

    def reserve(self, runner: runners_module.Runner) -> bool:
        """Reserve an endpoint for a fault.

        At most half of the endpoints of the same kind and service can be
        reserved at a time.

        :returns: whether the endpoint was reserved
        """
        same_kind = [
            each
            for each in self.scene.fleet.runners
            if each.kind == runner.kind and each.service == runner.service
        ]
        reserved = [each for each in same_kind if each in self._reserved]
        if runner in self._reserved or 2 * len(reserved) + 2 > len(same_kind):
            return False
        self._reserved.add(runner)
        return True

    def release(self, runner: runners_module.Runner) -> None:
        """Make an endpoint available to other faults again."""
        self._reserved.discard(runner)

    def stay_calm(self, seconds: float) -> None:
        """Let some seconds pass without a fault, and record them."""
        start = time.monotonic()
        time.sleep(seconds)
        self._calm_periods.append((start, time.monotonic()))

    def list_calm_periods(self) -> list[tuple[float, float]]:
        """List monotonic times of periods without a fault, in seconds.

        Parts of prompts still crash engines after the faults; a period begins
        after the last of these crashes.
        """
        crashes = [crash.at for crash in self.scene.fleet.part_crashes]
        return [
            (max([start, *(at for at in crashes if start < at < end)]), end)
            for start, end in self._calm_periods
        ]

    # Methods for callers.

    def start_callers(self, count: int, seed: int) -> None:
        """Start threads that send requests.

        :param count: number of threads
        :param seed: seed of their random generators
        """
        self._began = time.monotonic()
        floods = soakdemand.WAVE_CALLERS if self.has_demand else 0
        for index in range(count + floods):
            rng = random.Random(f'{seed}/{index}')
            thread = threading.Thread(
                target=self._run_caller, args=(rng, index >= count)
            )
            thread.start()
            self._threads.append(thread)
        self.versions.start(self.scene.entries, seed)

    def stop_callers(self) -> None:
        """Stop sending and wait for outstanding responses."""
        self._stopped.set()
        self.versions.stop()
        for thread in self._threads:
            thread.join()

    def _run_caller(self, rng: random.Random, floods: bool) -> None:
        """Send requests until the soak stops.

        :param floods: whether it is a caller of the flooding team
        """
        while not self._stopped.is_set():
            passed = time.monotonic() - self._began
            if floods and not soakdemand.is_wave(passed):
                time.sleep(PAUSE_SECONDS[1])
                continue
            entry = rng.choice(self.scene.entries)
            remaining = rng.randint(1, 6)
            crowded = self.crowded
            if crowded is not None and rng.random() < CROWD_SHARE:
                # Callers open new connections more often meanwhile.
                entry, remaining = crowded, 1
            try:
                caller = callers.Caller(entry.listen)
            except OSError:
                time.sleep(PAUSE_SECONDS[1])
                continue
            # A connection is reused for several requests unless the entry
            # closes it.
            with contextlib.closing(caller):
                while remaining and self.send_request(
                    caller, entry, rng, floods
                ):
                    remaining -= 1
                    time.sleep(rng.uniform(*PAUSE_SECONDS))

    def _make_request(
        self, entry: scenes.Entry, rng: random.Random, floods: bool
    ) -> SentRequest:
        with self._lock:
            self._request_count += 1
            name = f'{entry.name}.r{self._request_count}'
        kind = rng.choice((STREAM, STREAM, ONCE, REPEATABLE))
        parts = (FIRST_PART, rng.choice(MIDDLE_PARTS))
        bad = sorted(self.scene.fleet.crashing_parts)
        if kind == STREAM and bad and rng.random() < BAD_SHARE:
            parts = (FIRST_PART, rng.choice(bad), parts[1])
        request = SentRequest(
            name, kind, rng.randint(5, 60), time.monotonic(), parts
        )
        if self.has_demand and kind == STREAM:
            request.terms = soakdemand.choose_terms(rng, floods)
        with self._lock:
            self.requests.append(request)
        return request

    def send_request(
        self,
        caller: callers.Caller,
        entry: scenes.Entry,
        rng: random.Random,
        floods: bool = False,
    ) -> bool:
        """Send one request to an entry and record its response.

        :param floods: whether it is one of the flooding team
        :returns: whether the connection can be reused
        """
        request = self._make_request(entry, rng, floods)
        try:
            if request.kind == STREAM:
                parts = (*request.parts, f'own-{request.name}')
                # Bad ones differ in all else, sound ones are much alike.
                body = b'a prompt'
                if len(request.parts) > 2:
                    body = request.name.encode()
                data = callers.build_stream(
                    request.name,
                    request.count,
                    parts,
                    body,
                    request.terms.key,
                    request.terms.path,
                )
            else:
                path = '/orders/x' if request.kind == ONCE else '/lists/x'
                data = callers.build_request(request.name, path)
            caller.send(data)
            answer = caller.read_answer()
        except (OSError, ValueError, IndexError):
            return False
        request.status = answer.status
        request.is_complete = answer.is_complete
        request.body = answer.body
        closes = answer.headers.get('connection') == 'close'
        return answer.is_complete and not closes
