"""The deployment under a soak, and its callers."""

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
from dunlintide_trials.edge import scene as scenes

__all__ = ['Asked', 'Field', 'Limited']

DOMAINS = ('a', 'b')
ENTRIES = ('one', 'two', 'three')
# Pause of a caller between two requests, in seconds.
PAUSE_SECONDS = (0.0, 0.05)
STREAM = 'stream'
ONCE = 'once'
REPEATABLE = 'repeatable'


@attrs.define
class Asked:
    """A request and what its caller saw.

    :ivar count: events that were asked for
    :ivar status: 0 when no answer came
    :ivar whole: whether the answer looked complete
    """

    name: str
    kind: str
    count: int
    status: int = 0
    whole: bool = False
    body: bytes = b''


@attrs.define
class Limited:
    """A time in which an endpoint named one rate limit.

    :ivar limit: requests a second
    :ivar since: monotonic time in seconds
    :ivar until: its end, None while it lasts
    """

    runner: runners_module.Runner
    limit: float
    since: float
    until: float | None = None


class Field:
    """Entries behind relays to the store, endpoints, and callers.

    :ivar asked: all requests so far
    """

    def __init__(
        self,
        pick_ports: Callable[[int], list[int]],
        folder: pathlib.Path,
        stack: contextlib.ExitStack,
    ) -> None:
        self.scene = scenes.Scene(pick_ports, folder)
        stack.callback(self.scene.close)
        self.version = 7
        self.asked: list[Asked] = []
        self.relays: dict[str, relay_module.Relay] = {}
        self.store_troubles: list[float] = []
        self.entry_troubles: list[float] = []
        self.drains: list[tuple[str, float]] = []
        self.limits: list[Limited] = []
        self._taken: set[runners_module.Runner] = set()
        self._lock = threading.Lock()
        self._numbers = 0
        self._stopped = threading.Event()
        self._callers: list[threading.Thread] = []
        self._start(stack)

    def _start(self, stack: contextlib.ExitStack) -> None:
        scene = self.scene
        scene.configure(operators.make_configuration(self.version))
        scene.add_runners(DOMAINS)
        scene.add_runners(DOMAINS)
        for index, name in enumerate(ENTRIES):
            relay = relay_module.Relay('127.0.0.1:0', scene.store_address)
            relay.start()
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

    # What faults do.

    def signal(self, entry: scenes.Entry, number: signal.Signals) -> None:
        """Send a signal to an entry that runs."""
        if entry.process.poll() is None:
            os.kill(entry.process.pid, number)

    def restart(self, entry: scenes.Entry) -> None:
        """Start an entry again, ending it if it still runs."""
        entry.stop()
        entry.start()

    def note_store(self) -> None:
        """Remember that the store was in trouble now."""
        self.store_troubles.append(time.monotonic())

    def note_entry(self, entry: scenes.Entry) -> None:
        """Remember that an entry was in trouble now."""
        self.entry_troubles.append(time.monotonic())

    def note_drain(self, runner: runners_module.Runner) -> None:
        """Remember that an endpoint began to leave now."""
        self.drains.append((runner.name, time.monotonic()))

    def set_limit(
        self, runner: runners_module.Runner, limit: float | None
    ) -> None:
        """Let an endpoint name a rate limit from now on, None for none."""
        now = time.monotonic()
        for limited in self.limits:
            if limited.runner is runner and limited.until is None:
                limited.until = now
        runner.faults.rate_limit = limit
        if limit is not None:
            self.limits.append(Limited(runner, limit, now))

    def end_limits(self) -> None:
        """Let no endpoint name a rate limit any more."""
        for runner in self.scene.fleet.runners:
            self.set_limit(runner, None)

    def take(self, runner: runners_module.Runner) -> bool:
        """Keep other faults from an endpoint; half of each kind stays."""
        alike = [
            each
            for each in self.scene.fleet.runners
            if each.kind == runner.kind and each.service == runner.service
        ]
        taken = [each for each in alike if each in self._taken]
        if runner in self._taken or 2 * len(taken) + 2 > len(alike):
            return False
        self._taken.add(runner)
        return True

    def give_back(self, runner: runners_module.Runner) -> None:
        """Let faults have an endpoint again."""
        self._taken.discard(runner)

    # Callers.

    def start_callers(self, count: int, seed: int) -> None:
        """Begin to ask from many threads."""
        for index in range(count):
            draw = random.Random(f'{seed}/{index}')
            thread = threading.Thread(target=self._ask_on, args=(draw,))
            thread.start()
            self._callers.append(thread)

    def stop_callers(self) -> None:
        """Ask no more, and wait for what is under way."""
        self._stopped.set()
        for thread in self._callers:
            thread.join()

    def _ask_on(self, draw: random.Random) -> None:
        while not self._stopped.is_set():
            entry = draw.choice(self.scene.entries)
            kept = draw.randint(1, 6)
            try:
                caller = callers.Caller(entry.listen)
            except OSError:
                time.sleep(PAUSE_SECONDS[1])
                continue
            # A connection is used until its entry closes it.
            with contextlib.closing(caller):
                while kept and self.ask(caller, draw):
                    kept -= 1
                    time.sleep(draw.uniform(*PAUSE_SECONDS))

    def _make(self, draw: random.Random) -> Asked:
        with self._lock:
            self._numbers += 1
            name = f'r{self._numbers}'
        kind = draw.choice((STREAM, STREAM, ONCE, REPEATABLE))
        asked = Asked(name, kind, draw.randint(5, 60))
        with self._lock:
            self.asked.append(asked)
        return asked

    def ask(self, caller: callers.Caller, draw: random.Random) -> bool:
        """Ask once; False when the connection can't be used again."""
        asked = self._make(draw)
        try:
            if asked.kind == STREAM:
                data = callers.build_stream(asked.name, asked.count)
            else:
                path = '/orders/x' if asked.kind == ONCE else '/lists/x'
                data = callers.build_request(asked.name, path)
            caller.send(data)
            answer = caller.read_answer()
        except (OSError, ValueError, IndexError):
            return False
        asked.status = answer.status
        asked.whole = answer.is_complete
        asked.body = answer.body
        closes = answer.headers.get('connection') == 'close'
        return answer.is_complete and not closes
