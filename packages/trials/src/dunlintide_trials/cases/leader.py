"""Additional cost of an entry that is the leader of a model.

The fleet is synthetic and evaluated by the product's code. The entry has
no links, so it takes the state of all engines from the membership.
"""

import time
from typing import Iterator

from dunlintide_adapters.wire import link_pb2
from dunlintide_core import fleet as core_fleet
from dunlintide_core import placement
from dunlintide_core import records
from dunlintide_core import subset
from dunlintide_daemon.entry import engineview
from dunlintide_daemon.entry import fleet
from dunlintide_daemon.entry import placement as keeper
from dunlintide_daemon.entry import roster
from dunlintide_trials import figures
from dunlintide_trials import network

__all__ = ['CASES']

AGENTS = (75, 150, 300, 600)
ENTRIES = 370
DOMAINS = 7
MODEL, LAYERS = 'model-0', 24
CPU_BOUND = 0.037
# Links of an entry that leads no model: two for each of 15 layer ranges.
LINKS_BOUND = 32
_ROUNDS = 200


def _ignore(*_: object) -> None:
    pass


def _make_hosts(agents: int) -> list[roster.Host]:
    peers = network.make_peers(ENTRIES, agents, DOMAINS)
    poll = roster.poll_membership(
        lambda known: (1, [records.Record(peer) for peer in peers])
    )
    return poll()


def _time_decision(hosts: list[roster.Host]) -> float:
    """Return the processor seconds of one placement decision."""
    fleet_state = fleet.Fleet(
        link_pb2.Hello, fleet.Listeners(_ignore, _ignore)
    )
    engine_view = engineview.EngineView(hosts[0].name, 'domain-0', fleet_state)
    engine_view.update_hosts(hosts)
    target = placement.Target(MODEL, '1', LAYERS)
    placer = placement.Placer(target, placement.PlacerSettings())
    start = time.thread_time()
    for tick in range(_ROUNDS):
        snapshot = engine_view.take_snapshot()
        if not snapshot.has_sufficient_view or placer.make_orders(
            tick, snapshot.engines
        ):
            raise AssertionError(
                f'a healthy fleet of {len(hosts)} hosts was seen as '
                'incomplete or got orders'
            )
    return (time.thread_time() - start) / _ROUNDS


def _count_links(hosts: list[roster.Host]) -> int:
    known = roster.Roster(hosts[0].name, lambda: hosts)
    known.refresh(0.0)
    if known.wanted is None:
        return sum(host.role == core_fleet.Role.AGENT for host in hosts)
    return len(known.wanted)


def measure_links() -> Iterator[figures.Figure]:
    """Count the links of an entry that leads a model."""
    for agents in AGENTS:
        yield figures.at_most(
            f'leader.links.{agents}',
            _count_links(_make_hosts(agents)),
            'links',
            LINKS_BOUND,
            agents,
            f'at most {subset.FULL_MESH_AGENTS} agents are all linked;'
            ' baseline: links to all agents',
        )


def measure_cpu() -> Iterator[figures.Figure]:
    """Measure the processor time of placement by a model's leader."""
    for agents in AGENTS:
        yield figures.at_most(
            f'leader.cpu.{agents}',
            round(
                _time_decision(_make_hosts(agents)) / keeper.TICK_SECONDS, 6
            ),
            'cores',
            CPU_BOUND,
            note='looks at the fleet and decisions, one model, quiet',
        )


CASES = [measure_links, measure_cpu]
