"""Loads on entries that compete for the capacity of engines.

Prints for each load and kind of caller how many requests were asked for, and
which shares were in time, complete and refused. In time means that the first
event came within the target, counted from the first attempt, and the stream
was complete. All rates relate to the capacity, which is measured first.
"""

import argparse
import collections
import contextlib
import json
import pathlib
import sys
import tempfile
import time
from typing import Any, Callable, Sequence

import attrs

from dunlintide_trials.edge import demandcallers
from dunlintide_trials.edge import demandscene
from dunlintide_trials.edge import scene as scenes
from dunlintide_trials import ports

__all__ = [
    'Capacity',
    'Figures',
    'LOADS',
    'Outcome',
    'main',
    'make_flow',
    'measure_capacity',
    'run_flows',
    'run_load',
    'start',
    'summarize',
]

# Time at the start whose arrivals are not counted, in seconds, as queues and
# reserves build up. The rates rise in it: at the full rate the streams in all
# slots would start together and end together.
WARM_UP_SECONDS = 1.5
# Time whose arrivals are counted, in seconds.
MEASURED_SECONDS = 6.0
# Maximum time for which the load goes on, in seconds; it ends when all counted
# requests have ended. One that is refused at the end of the measured time is
# sent again after at most a third of its deadline, and then completes.
MAX_TAIL_SECONDS = 5.0
# Pause after a load in seconds, in which entries see that engines are free.
SETTLE_SECONDS = 0.5
# Rate at which the capacity is measured, as a multiple of what the slots of
# the engines allow.
OVERLOAD = 2.0
# Factor on the time between two events of a slow engine.
SLOWNESS = 4.0

Entries = Sequence[scenes.Entry]
MakeFlows = Callable[[float, Entries], list[demandcallers.Flow]]


@attrs.frozen
class Figures:
    """What became of the requests of one kind of caller.

    :ivar in_time: share of those asked
    :ivar complete: share of those asked
    :ivar refused: share of those asked, after their second attempt
    :ivar in_time_of_capacity: requests per second in time, as a share of the
        capacity
    :ivar complete_of_capacity: requests per second that completed in the
        time that is counted, whenever they were sent, as a share of the
        capacity
    """

    asked: int
    in_time: float
    complete: float
    refused: float
    in_time_of_capacity: float
    complete_of_capacity: float


@attrs.frozen
class Outcome:
    """Figures of one load.

    :ivar kinds: figures by kind of caller
    :ivar all: figures of all callers together
    :ivar capacity: streams per second that the figures relate to
    :ivar lag: lag of callers and stand-ins
    """

    kinds: dict[str, Figures]
    all: Figures
    capacity: float
    lag: demandcallers.Lag


@attrs.frozen
class Capacity:
    """What the engines can serve.

    It does not depend on the entries, so that the same rates mean the same
    load with each version of them.

    :ivar rate: slots over the mean duration of a stream at the engines under
        overload, in streams per second
    :ivar reached: streams per second that completed, as a share of the rate
    :ivar lag: lag of callers and stand-ins
    """

    rate: float
    reached: float
    lag: demandcallers.Lag


@attrs.frozen
class Load:
    """A load, of which all rates relate to the capacity.

    :ivar slow_domain: failure domain with slow engines, None for none
    """

    make_flows: MakeFlows
    slow_domain: str | None = None


def make_flow(
    kind: str,
    priority: int,
    rate: float,
    entries: Entries,
    teams: Sequence[str] = demandscene.TEAMS,
) -> demandcallers.Flow:
    """Return requests of one kind of caller, spread evenly over teams."""
    return demandcallers.Flow(
        kind, priority, rate, tuple(entries), tuple(teams)
    )


def _make_equal(part: float, count: int | None = None) -> MakeFlows:
    """Return a load of one priority.

    :param part: its rate as a part of the capacity
    :param count: number of entries that it comes to, None for all
    """
    return lambda capacity, entries: [
        make_flow('all alike', 1, part * capacity, entries[:count])
    ]


def _make_priorities(urgent: float, other: float, apart: bool) -> MakeFlows:
    """Return a load of priorities 0 and 2.

    :param apart: whether priority 2 comes to one entry, and priority 0 to the
        others
    """

    def make(capacity: float, entries: Entries) -> list[demandcallers.Flow]:
        firsts, lasts = (entries, entries)
        if apart:
            firsts, lasts = entries[1:], entries[:1]
        return [
            make_flow('priority 0', 0, urgent * capacity, firsts),
            make_flow('priority 2', 2, other * capacity, lasts),
        ]

    return make


def _make_teams(large: float, others: float, apart: bool) -> MakeFlows:
    """Return a load of one large team and four others, of equal priority.

    :param apart: whether the large team comes to one entry, and the others to
        the other entries
    """

    def make(capacity: float, entries: Entries) -> list[demandcallers.Flow]:
        firsts, lasts = (entries, entries)
        if apart:
            firsts, lasts = entries[:1], entries[1:]
        names = demandscene.TEAMS
        return [
            make_flow('large', 1, large * capacity, firsts, names[:1]),
            make_flow('others', 1, others * capacity, lasts, names[1:5]),
        ]

    return make


# Loads by name, in the order of the table in docs/design/demand.md.
LOADS = {
    'light': Load(_make_equal(0.4)),
    'priorities': Load(_make_priorities(0.3, 2.0, False)),
    'priorities apart': Load(_make_priorities(0.3, 2.0, True)),
    'urgent overload': Load(_make_priorities(1.5, 0.5, False)),
    'large team': Load(_make_teams(2.0, 0.4, False)),
    'large team apart': Load(_make_teams(2.0, 0.4, True)),
    'high': Load(_make_equal(0.85)),
    'high in one domain': Load(
        _make_equal(0.85, demandscene.ENTRIES_PER_DOMAIN)
    ),
    'slow domain': Load(_make_equal(0.45), demandscene.DOMAINS[1]),
}


def _is_measured(at: float) -> bool:
    return WARM_UP_SECONDS <= at < WARM_UP_SECONDS + MEASURED_SECONDS


def _count_ended(asked: Sequence[demandcallers.RequestRecord]) -> int:
    """Count the requests that completed in the time that is counted."""
    return sum(each.is_complete and _is_measured(each.ended) for each in asked)


def _compute_figures(
    every: Sequence[demandcallers.RequestRecord], capacity: float
) -> Figures:
    """Compute the figures of requests of which some are counted."""
    asked = [each for each in every if _is_measured(each.due)]
    count = max(1, len(asked))
    in_time = sum(each.is_in_time for each in asked)
    complete = sum(each.is_complete for each in asked)
    refused = sum(each.status == demandcallers.REFUSED for each in asked)
    ended = _count_ended(every)
    available = MEASURED_SECONDS * capacity
    return Figures(
        len(asked),
        in_time / count,
        complete / count,
        refused / count,
        in_time / available,
        ended / available,
    )


def start(
    pick_ports: Callable[[int], list[int]],
    folder: pathlib.Path,
    stack: contextlib.ExitStack,
    **more: Any,
) -> scenes.Scene:
    """Start engines and entries.

    :param stack: closes the deployment
    :param more: further settings of the entries
    """
    scene = demandscene.make_scene(pick_ports, folder, stack)
    demandscene.add_entries(scene, **more)
    return scene


def run_flows(
    scene: scenes.Scene, flows: Sequence[demandcallers.Flow], seed: str
) -> tuple[list[demandcallers.RequestRecord], demandcallers.Lag]:
    """Send the requests of all flows, those that are not counted included."""
    seconds = WARM_UP_SECONDS + MEASURED_SECONDS
    found = demandcallers.run_flows(
        scene, flows, seconds, WARM_UP_SECONDS, MAX_TAIL_SECONDS, seed
    )
    time.sleep(SETTLE_SECONDS)
    return found


def measure_capacity(scene: scenes.Scene, seed: int = 1) -> Capacity:
    """Measure the capacity by an overload of one priority at all entries."""
    rate = OVERLOAD * demandscene.compute_slot_rate(
        scene, demandscene.STREAM_SECONDS
    )
    flow = make_flow('all alike', 1, rate, scene.entries)
    asked, lag = run_flows(scene, [flow], f'capacity-{seed}')
    durations = [
        run.finished - run.began
        for engine in scene.list_engines()
        for run in engine.runs
        if run.finished
    ]
    seconds = sum(durations) / len(durations)
    capacity = demandscene.compute_slot_rate(scene, seconds)
    reached = _count_ended(asked) / MEASURED_SECONDS / capacity
    return Capacity(capacity, reached, lag)


def run_load(
    scene: scenes.Scene,
    name: str,
    capacity: float,
    seed: int = 1,
    spread: float = 0.0,
) -> Outcome:
    """Run a load.

    :param name: key of ``LOADS``
    :param capacity: streams per second, with all engines healthy
    :param spread: largest deviation of the length of a stream, as a part of it
    """
    load = LOADS[name]
    flows = [
        attrs.evolve(flow, spread=spread)
        for flow in load.make_flows(capacity, scene.entries)
    ]
    with contextlib.ExitStack() as stack:
        for engine in scene.list_engines():
            if engine.domain == load.slow_domain:
                engine.slowness = SLOWNESS
                stack.callback(setattr, engine, 'slowness', 1.0)
        asked, lag = run_flows(
            scene, flows, f'{name}-{seed}'.replace(' ', '-')
        )
    return summarize(asked, capacity, lag)


def summarize(
    asked: Sequence[demandcallers.RequestRecord],
    capacity: float,
    lag: demandcallers.Lag,
) -> Outcome:
    """Compute the figures of each kind of caller, and of all together."""
    kinds = collections.defaultdict(list)
    for each in asked:
        kinds[each.kind].append(each)
    return Outcome(
        {kind: _compute_figures(kinds[kind], capacity) for kind in kinds},
        _compute_figures(asked, capacity),
        capacity,
        lag,
    )


def _format_figures(load: str, kind: str, figures: Figures) -> str:
    shares = attrs.astuple(figures)[1:]
    cells = ' '.join(f'{each:9.2f}' for each in shares)
    return f'{load:20}{kind:12}{figures.asked:6} {cells}'


def _print_outcome(name: str, outcome: Outcome) -> None:
    for kind, figures in sorted(outcome.kinds.items()):
        print(_format_figures(name, kind, figures))
    if len(outcome.kinds) > 1:
        print(_format_figures(name, 'together', outcome.all))
    if not outcome.lag.is_acceptable:
        print(f'{name}: callers and stand-ins were late: {outcome.lag}')
    sys.stdout.flush()


def main(arguments: Sequence[str] | None = None) -> int:
    """Measure the capacity, run the loads and print their figures."""
    parser = argparse.ArgumentParser(
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument('--seed', type=int, default=1, help='of the arrivals')
    parser.add_argument(
        '--load',
        action='append',
        choices=list(LOADS),
        help='a load to run, all by default; can be repeated',
    )
    parser.add_argument(
        '--spread',
        type=float,
        default=0.0,
        help='largest deviation of the length of a stream, as a part of it;'
        ' streams of one length that begin together end together',
    )
    parser.add_argument('--keep', type=pathlib.Path, help='folder for logs')
    parser.add_argument(
        '--demand',
        type=json.loads,
        default={},
        help='settings "demand" of the entries, in JSON',
    )
    parser.add_argument(
        '--off',
        action='append',
        default=[],
        help='a mechanism to switch off; can be repeated',
    )
    parsed = parser.parse_args(arguments)
    more = {}
    if parsed.demand:
        more['demand'] = parsed.demand
    if parsed.off:
        more['experiments'] = {'off': parsed.off}
    with contextlib.ExitStack() as stack:
        folder = parsed.keep
        if folder is None:
            made = tempfile.TemporaryDirectory(prefix='dunlintide-')
            folder = pathlib.Path(stack.enter_context(made))
        folder.mkdir(parents=True, exist_ok=True)
        scene = start(ports.pick_ports, folder, stack, **more)
        capacity = measure_capacity(scene, parsed.seed)
        print(
            f'capacity: {capacity.rate:.1f} streams a second, of which'
            f' {capacity.reached:.2f} were reached; {capacity.lag}'
        )
        print(
            f'{"load":20}{"callers":12}{"asked":>6}   in time  complete'
            '   refused  time/cap  compl/cap'
        )
        for name in parsed.load or LOADS:
            outcome = run_load(
                scene, name, capacity.rate, parsed.seed, parsed.spread
            )
            _print_outcome(name, outcome)
    return 0


if __name__ == '__main__':
    sys.exit(main())
