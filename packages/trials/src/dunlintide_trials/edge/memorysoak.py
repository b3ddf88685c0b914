"""Soak of memory: callers and endpoints make entries hold what they may.

Crowds of one team send the largest bodies in all ways at once, or leave large
answers unread, beside small calls of another team; endpoints cut answers in
their head; entries stop meanwhile. What the callers saw is checked against the
records of the endpoints: no process exceeds its memory, small calls pass, what
was read whole is answered, and what is refused has not run. The exit code is 1
when this was violated.
"""

import argparse
import asyncio
import collections
import contextlib
import pathlib
import random
import sys
import threading
import time
from typing import Iterator, Sequence

import attrs

from dunlintide_standins.fleet import operators
from dunlintide_trials.edge import memoryload
from dunlintide_trials.edge import scene as scenes
from dunlintide_trials.edge import seeds
from dunlintide_trials.edge import stopload
from dunlintide_trials import ports
from dunlintide_trials import processes

__all__ = ['main', 'run']

DOMAINS = ('a', 'b')
MB = 1 << 20
# Memory that the machine of an entry has, in MB.
MEMORY_MB = (160, 200, 300)
COUNTS = (4, 40, 200)
WORK_SECONDS = (0.02, 0.5, 2.0)
# Slots of each endpoint.
SLOTS = (4, 64)
GRACE_SECONDS = 3.0
HEADER_MS = 1500
IDLE_MS = 15000
# Pause before a stop within a round, and between two rounds, in seconds.
STOP_SECONDS = (0.0, 2.0)
SETTLE_SECONDS = 1.0
# Time until entries know the slots of endpoints, in seconds.
LISTING_SECONDS = 0.5
# Largest part of the small calls that may find no memory beside large ones.
MAX_REFUSED = 0.05
# Time after the last byte of a request within which a connection may end
# without an answer, if the request was not sent on, in seconds.
LOSS_SLACK_SECONDS = 0.2


@attrs.define
class _Round:
    """What one entry got at a time.

    :ivar ways: names of the ways in which callers came
    :ivar slots: slots of each endpoint
    :ivar stops: whether the entry stopped meanwhile
    """

    entry: str
    ways: list[str]
    count: int
    work: float
    slots: int
    stops: bool
    large: list[stopload.Sent] = attrs.field(factory=list)
    small: list[stopload.Sent] = attrs.field(factory=list)

    def describe(self) -> str:
        """Return one line for a report."""
        return (
            f'{"+".join(self.ways)}, {self.count} callers, work {self.work} s,'
            f' {self.slots} slots{", stopping" if self.stops else ""}'
        )


class _Soak:
    """Entries, endpoints and crowds of callers.

    :ivar rounds: what was played
    :ivar peaks: most memory that a process took in a round, in bytes
    """

    def __init__(self, seed: int, memory: int, folder: pathlib.Path) -> None:
        self.memory = memory
        self.rounds: list[_Round] = []
        self.peaks: list[int] = []
        self.stops: list[stopload.Stop] = []
        self._rng = random.Random(f'{seed}/rounds')
        self.scene = scenes.Scene(ports.pick_ports, folder)

    def start(self) -> None:
        """Start the deployment."""
        scene = self.scene
        configuration = operators.make_configuration()
        operators.add_service(configuration, memoryload.SMALL_SERVICE)
        for service in configuration['services']:
            service['max_conns'] = 500
        scene.configure(
            operators.set_limits(
                configuration,
                max_body_bytes=memoryload.BODY_BYTES,
                max_header_bytes=memoryload.HEAD_BYTES,
                header_timeout_ms=HEADER_MS,
                idle_timeout_ms=IDLE_MS,
            )
        )
        scene.add_runners(DOMAINS)
        for domain in DOMAINS:
            scene.run(scene.fleet.add(memoryload.SMALL_SERVICE, domain))
        for number, domain in enumerate(DOMAINS):
            scene.add_entry(
                f'e{number}', domain, grace=GRACE_SECONDS, memory=self.memory
            )
        scene.wait_for_entries()

    def play(
        self, ways: Sequence[memoryload.Way], count: int, stops: bool
    ) -> None:
        """Let crowds come to one entry in some ways at once."""
        rng = self._rng
        entry = rng.choice(self.scene.entries)
        played = _Round(
            entry.name,
            [way.__name__ for way in ways],
            count,
            rng.choice(WORK_SECONDS),
            rng.choice(SLOTS),
            stops,
        )
        self.rounds.append(played)
        self._set_slots(played.slots)
        for runner in self.scene.list_services():
            if runner.service != memoryload.SMALL_SERVICE:
                runner.faults.draw_cut_heads(rng)
        stopping = threading.Thread(
            target=self._stop, args=(entry, rng.uniform(*STOP_SECONDS))
        )
        if stops:
            stopping.start()
        asyncio.run(self._come(entry, played, ways, rng.random()))
        if stops:
            stopping.join()
        else:
            self._record_peak(entry)
        time.sleep(SETTLE_SECONDS)

    def _set_slots(self, slots: int) -> None:
        self.scene.fleet.slots = slots
        for runner in self.scene.fleet.runners:
            self.scene.run(runner.write_entry())
        time.sleep(LISTING_SECONDS)

    async def _come(
        self,
        entry: scenes.Entry,
        played: _Round,
        ways: Sequence[memoryload.Way],
        luck: float,
    ) -> None:
        crowd = memoryload.Crowd(
            entry.name,
            entry.listen,
            operators.KEY,
            played.count,
            played.work,
            played.large,
        )
        others = attrs.evolve(crowd, sent=played.small)
        calling = asyncio.create_task(memoryload.call_small(others))
        comings = [
            way(crowd, random.Random(f'{luck}/{number}'))
            for number in range(played.count)
            for way in ways
        ]
        ends = await asyncio.gather(*comings, return_exceptions=True)
        calling.cancel()
        await asyncio.gather(calling, return_exceptions=True)
        for end in ends:
            if isinstance(end, Exception) and not isinstance(
                end, (OSError, EOFError, TimeoutError)
            ):
                raise end

    def _record_peak(self, entry: scenes.Entry) -> None:
        self.peaks.append(processes.read_peak_memory(entry.process.pid))

    @property
    def denied_for_memory(self) -> set[str]:
        """Names of the requests that entries refused for want of memory."""
        return {
            row['request']
            for entry in self.scene.entries
            for row in entry.list_events('request denied')
            if row['reason'] == 'memory'
        }

    def _stop(self, entry: scenes.Entry, after: float) -> None:
        """Stop an entry and start it again."""
        time.sleep(after)
        self._record_peak(entry)
        stopload.stop_entry(entry, GRACE_SECONDS, self.stops)
        entry.start()
        self.scene.wait_until(entry.is_ready, f'{entry.name} is ready')

    def run(self, seconds: float) -> None:
        """Play rounds for some seconds, each way alone at least once."""
        rng = self._rng
        first = rng.sample(memoryload.WAYS, len(memoryload.WAYS))
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            ways = [first.pop()] if first else rng.sample(memoryload.WAYS, 3)
            count = rng.choice(COUNTS)
            self.play(ways, count // len(ways) or 1, rng.random() < 0.3)


def _check_request(
    soak: _Soak, played: _Round, request: stopload.Sent
) -> Iterator[str]:
    """Check what became of a request that was sent whole."""
    runs = soak.scene.fleet.list_runs(request.name)
    where = f'{request.name} {request.path} ({played.describe()})'
    took = request.ended - request.sent
    if not request.status and (runs or took > LOSS_SLACK_SECONDS):
        yield f'{where}: {len(runs)} runs, no answer after {took:.3f} s'
    if request.status == 503 and runs:
        yield f'{where}: refused, but ran {len(runs)} times'
    if request.status == 503 and request.retry_after is None:
        yield f'{where}: refused without a time to return'
    if request.path.startswith('/orders/') and len(runs) > 1:
        yield f'{where}: may run once, ran {len(runs)} times'


def _check_round(
    soak: _Soak, played: _Round, denied: set[str]
) -> Iterator[str]:
    """Check what became of the requests of a round.

    :param denied: names of those that were refused for want of memory
    """
    for request in played.large + played.small:
        yield from _check_request(soak, played, request)
    # Others are refused for want of the endpoints' slots.
    refused = denied & {request.name for request in played.small}
    if len(refused) > MAX_REFUSED * len(played.small):
        yield (
            f'{len(refused)} of {len(played.small)} small calls refused for'
            f' want of memory beside {played.describe()}'
        )


def _check_cuts(soak: _Soak) -> Iterator[str]:
    """Check that only answers that callers did not read were cut off."""
    given_up = sum(
        len(entry.list_events('no memory for an unread answer'))
        for entry in soak.scene.entries
    )
    cut = [
        request
        for played in soak.rounds
        if not played.stops
        for request in played.large + played.small
        if request.status and not request.is_whole
    ]
    if len(cut) > given_up:
        yield f'{len(cut)} answers cut off, {given_up} given up: {cut[:3]}'


def _list_violations(soak: _Soak) -> Iterator[str]:
    denied = soak.denied_for_memory
    for played in soak.rounds:
        yield from _check_round(soak, played, denied)
    yield from _check_cuts(soak)
    if max(soak.peaks, default=0) > soak.memory * MB:
        yield f'a process took {max(soak.peaks)} of {soak.memory * MB} bytes'


def run(
    seed: int,
    seconds: float,
    folder: pathlib.Path,
    is_verbose: bool = False,
) -> dict:
    """Run one soak.

    :param is_verbose: whether to print what came of each round
    :returns: counts, with the violations under ``broken``
    """
    memory = random.Random(f'{seed}/memory').choice(MEMORY_MB)
    with contextlib.ExitStack() as stack:
        soak = _Soak(seed, memory, folder)
        stack.callback(soak.scene.close)
        soak.start()
        soak.run(seconds)
        if is_verbose:
            _print_rounds(soak)
        return {
            'seed': seed,
            'memory_mb': memory,
            'rounds': len(soak.rounds),
            'stops': len(soak.stops),
            'requests': sum(
                len(each.large) + len(each.small) for each in soak.rounds
            ),
            'largest_mb': round(max(soak.peaks, default=0) / MB, 1),
            'broken': list(_list_violations(soak)),
        }


def _print_rounds(soak: _Soak) -> None:
    for played in soak.rounds:
        large = collections.Counter(each.status for each in played.large)
        small = collections.Counter(each.status for each in played.small)
        print(played.describe(), dict(large), dict(small), file=sys.stderr)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a soak for each seed and print its counts as a JSON line."""
    parser = argparse.ArgumentParser(description=__doc__)
    seeds.add_arguments(parser, 40.0)
    parser.add_argument('--verbose', action='store_true')
    parsed = parser.parse_args(arguments)
    return seeds.play(
        parsed,
        lambda seed, folder: run(seed, parsed.seconds, folder, parsed.verbose),
    )


if __name__ == '__main__':
    sys.exit(main())
