"""Faults among entries that compete for the capacity of engines."""

import contextlib
import json
import pathlib
import socket
import threading
import time
from typing import Callable, Mapping

from dunlintide_standins.fleet import store as stores
from dunlintide_trials.edge import demandcallers
from dunlintide_trials.edge import demandload
from dunlintide_trials.edge import demandscene
from dunlintide_trials.edge import loads
from dunlintide_trials.edge import scene as scenes

__all__ = [
    'measure_pause_after_kill',
    'run_partitioned',
    'start_partitioned',
]

# Time from the start of a load until an entry is killed, in seconds.
KILL_SECONDS = 3.0
# Time after it in which the starts of other entries are observed, in seconds.
WATCHED_SECONDS = 2.0
# Prefix of the keys of entries in the store.
ENTRY_PREFIX = 'dunlintide/entries/'


def _list_starts(scene: scenes.Scene, without: scenes.Entry) -> list[float]:
    """List monotonic times of starts for all entries but one, in order."""
    return sorted(
        run.began
        for engine in scene.list_engines()
        for run in engine.runs
        if loads.find_entry(run.request) != without.name
    )


def measure_pause_after_kill(
    scene: scenes.Scene, capacity: float
) -> tuple[float, demandcallers.Lag]:
    """Kill an entry where urgent requests wait while others wait elsewhere.

    The entry is started again afterwards.

    :param capacity: streams per second
    :returns: longest time without a start at the others after the kill, in
        seconds, and the lag of callers and stand-ins
    """
    first, others = scene.entries[0], scene.entries[1:]
    flows = [
        demandload.make_flow('urgent', 0, 1.5 * capacity, [first]),
        demandload.make_flow('other', 2, capacity, others),
    ]
    killed = []

    def kill() -> None:
        killed.append(time.monotonic())
        first.stop()

    timer = threading.Timer(KILL_SECONDS, kill)
    timer.start()
    try:
        _, lag = demandload.run_flows(scene, flows, 'killed')
    finally:
        timer.join()
        first.start()
    scene.wait_for_entries()
    end = killed[0] + WATCHED_SECONDS
    starts = [at for at in _list_starts(scene, first) if killed[0] < at < end]
    times = [killed[0], *starts, end]
    pauses = (later - at for at, later in zip(times, times[1:]))
    return max(pauses), lag


def _make_view(domain: str, sink: str) -> stores.Rewrite:
    """Return a rewrite of the store for entries of a partitioned domain.

    :param sink: address that takes the datagrams to other failure domains
    """

    def rewrite(key: str, value: bytes) -> bytes:
        if not key.startswith(ENTRY_PREFIX):
            return value
        row = json.loads(value)
        if row['domain'] != domain:
            row['gossip'] = sink
        return json.dumps(row).encode()

    return rewrite


def _open_sink(stack: contextlib.ExitStack) -> str:
    """Bind a socket that nobody reads, and return its address."""
    sink = stack.enter_context(
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    )
    sink.bind(('127.0.0.1', 0))
    return '127.0.0.1:{}'.format(sink.getsockname()[1])


def start_partitioned(
    pick_ports: Callable[[int], list[int]],
    folder: pathlib.Path,
    stack: contextlib.ExitStack,
) -> scenes.Scene:
    """Start entries that get no datagrams from the other failure domain.

    :param stack: closes the deployment
    """
    scene = demandscene.make_scene(pick_ports, folder, stack)
    sink = _open_sink(stack)
    views = {}
    for domain in demandscene.DOMAINS:
        port = scene.run(scene.store.start_view(_make_view(domain, sink)))
        views[domain] = f'127.0.0.1:{port}'
    demandscene.add_entries(scene, views)
    return scene


def run_partitioned(
    scene: scenes.Scene, capacity: float
) -> tuple[demandload.Outcome, Mapping[str, float]]:
    """Overload entries that are partitioned by failure domain.

    :param capacity: streams per second
    :returns: the figures, and the share of all starts by failure domain of the
        entries
    """
    flows = [
        demandload.make_flow('urgent', 0, 0.6 * capacity, scene.entries),
        demandload.make_flow('other', 2, capacity, scene.entries),
    ]
    asked, lag = demandload.run_flows(scene, flows, 'parted')
    domains = {
        entry.name: entry.settings['failure_domain'] for entry in scene.entries
    }
    starts = [
        domains[loads.find_entry(run.request)]
        for engine in scene.list_engines()
        for run in engine.runs
    ]
    shares = {
        domain: starts.count(domain) / len(starts)
        for domain in demandscene.DOMAINS
    }
    return demandload.summarize(asked, capacity, lag), shares
