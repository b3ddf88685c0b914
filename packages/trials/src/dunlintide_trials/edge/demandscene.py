"""Entries in two failure domains before engines that refuse when full."""

import contextlib
import pathlib
from typing import Any, Callable, Mapping

from dunlintide_standins.fleet import operators
from dunlintide_trials.edge import scene as scenes

__all__ = [
    'DOMAINS',
    'EVENTS',
    'SERVICE',
    'STREAM_SECONDS',
    'TARGET_SECONDS',
    'TEAMS',
    'add_entries',
    'compute_slot_rate',
    'make_configuration',
    'make_scene',
]

SERVICE = 'llm'
ENTRIES_PER_DOMAIN = 2
# Number of engines by failure domain. The second one has more, so that loads
# with slow engines there, or with all callers in the first one, have a larger
# effect.
ENGINES = {'a': 2, 'b': 3}
DOMAINS = tuple(ENGINES)
# Slots of each engine.
SLOTS = 4
# Events of a stream, and its duration at a healthy engine in seconds.
EVENTS = 30
STREAM_SECONDS = 1.0
# Target of the time to the first event, in seconds.
TARGET_SECONDS = 0.5
# Priorities of the rules; the path of each begins with /pN/.
PRIORITIES = (0, 1, 2)
TEAMS = tuple(f'team-{number}' for number in range(6))
# Memory of an accelerator in MB: room for the whole model, so that each slot
# of an engine serves a stream, whatever the layout.
ACCELERATOR_MB = {'large': 24_000.0}


def make_configuration(slots: int = SLOTS) -> operators.Configuration:
    """Build a configuration with rules of three priorities and six teams.

    The key of a team is its name.

    :param slots: slots of each engine
    """
    found = operators.make_configuration()
    operators.add_priorities(
        found, PRIORITIES, target_latency_ms=TARGET_SECONDS * 1000
    )
    operators.add_teams(found, TEAMS)
    for service in found['services']:
        if service['name'] == SERVICE:
            engine = service['engine']
            engine['slots'] = slots
            engine['kinds'] = [
                {'name': name, 'size_mb': size, 'pace': 2.0, 'read_factor': 3}
                for name, size in ACCELERATOR_MB.items()
            ]
    return found


def make_scene(
    pick_ports: Callable[[int], list[int]],
    folder: pathlib.Path,
    stack: contextlib.ExitStack,
) -> scenes.Scene:
    """Start the engines.

    :param folder: folder for the settings and logs of entries
    :param stack: closes the deployment
    """
    scene = scenes.Scene(pick_ports, folder)
    stack.callback(scene.close)
    fleet = scene.fleet
    fleet.accelerator_mb = dict(ACCELERATOR_MB)
    fleet.slots = SLOTS
    fleet.enforces_slots = True
    fleet.event_seconds = STREAM_SECONDS / EVENTS
    scene.configure(make_configuration())
    for domain, count in ENGINES.items():
        for _ in range(count):
            scene.run(fleet.add(SERVICE, domain, 'large'))
    return scene


def add_entries(
    scene: scenes.Scene,
    stores: Mapping[str, str] | None = None,
    **more: Any,
) -> None:
    """Start the entries and wait until all know the engines and each other.

    :param stores: address of the store by failure domain of the entry, None
        for the store itself
    :param more: further settings of the entries
    """
    for number in range(ENTRIES_PER_DOMAIN * len(DOMAINS)):
        domain = DOMAINS[number // ENTRIES_PER_DOMAIN]
        store = stores[domain] if stores else None
        scene.add_entry(f'e{number}', domain, store, **more)
    scene.wait_for_entries()


def compute_slot_rate(scene: scenes.Scene, seconds: float) -> float:
    """Return the streams per second for which the engines have slots.

    :param seconds: duration of a stream
    """
    return len(scene.list_engines()) * SLOTS / seconds
