"""Faults that a soak puts on a running deployment.

A fault is a function that takes a ``Field``, does its harm and returns
what heals it, or None when it found nothing to harm. Faults overlap; a
process that one of them has taken is left alone by the others. A new
fault is a function here and a line in ``FAULTS``.
"""

import random
import threading
from typing import Any, Callable

import attrs

from dunlintide_trials import deployment
from dunlintide_trials import processes
from dunlintide_trials import records

__all__ = ['FAULTS', 'Fault', 'Field', 'Heal']

Heal = Callable[[], None]

_SLOW_SECONDS = (0.05, 0.5)
_MAX_DROPPED = 5


@attrs.define(eq=False)
class Field:
    """What faults work on.

    :ivar runs: records that would be lost with a killed endpoint
    :ivar taken: names of processes under a fault
    :ivar rng: used by the thread that applies faults only
    """

    running: deployment.Deployment
    runs: records.Records
    rng: random.Random
    taken: set[str] = attrs.field(factory=set)
    lock: threading.Lock = attrs.field(factory=threading.Lock)

    def take(self, role: str, spare: int = 0) -> processes.Process | None:
        """Choose a process of a role that is under no fault.

        :param spare: number of processes of the role to leave alone
        """
        with self.lock:
            free = [
                one
                for one in self.running.list_processes(role)
                if one.name not in self.taken and one.is_running
            ]
            if len(free) <= spare:
                return None
            chosen = self.rng.choice(free)
            self.taken.add(chosen.name)
            return chosen

    def take_name(self, name: str) -> bool:
        """Take one process by name; False when a fault has it."""
        with self.lock:
            if name in self.taken:
                return False
            self.taken.add(name)
            return True

    def release(self, name: str) -> None:
        """Leave a process to other faults again."""
        with self.lock:
            self.taken.discard(name)


Fault = Callable[[Field], Heal | None]


def _restart(field: Field, process: processes.Process) -> Heal:
    def heal() -> None:
        field.running.restart(process.name)
        field.release(process.name)

    return heal


def _kill(field: Field, role: str, spare: int) -> Heal | None:
    process = field.take(role, spare)
    if process is None:
        return None
    process.kill()
    return _restart(field, process)


def kill_agent(field: Field) -> Heal | None:
    """Kill an agent and start it again."""
    return _kill(field, deployment.AGENT, spare=1)


def kill_entry(field: Field) -> Heal | None:
    """Kill an entry and start it again; one always stays."""
    return _kill(field, deployment.ENTRY, spare=1)


def kill_engine(field: Field) -> Heal | None:
    """Kill an engine, its KV cache with it, and start it again."""
    process = field.take(deployment.ENGINE, spare=1)
    if process is None:
        return None
    runs = field.running.read_endpoint_runs(process.name)
    field.runs.keep(process.name, runs)
    process.kill()
    field.runs.end_life(process.name)
    return _restart(field, process)


def stop_agent(field: Field) -> Heal | None:
    """Stop an agent gracefully, as in a replacement of its host."""
    process = field.take(deployment.AGENT, spare=1)
    if process is None:
        return None
    process.terminate()

    def heal() -> None:
        process.stop()
        field.running.restart(process.name)
        field.release(process.name)

    return heal


def _pause(field: Field, role: str) -> Heal | None:
    process = field.take(role, spare=1)
    if process is None:
        return None
    process.pause()

    def heal() -> None:
        process.resume()
        field.release(process.name)

    return heal


def pause_agent(field: Field) -> Heal | None:
    """Halt an agent and let it go on, unaware."""
    return _pause(field, deployment.AGENT)


def pause_entry(field: Field) -> Heal | None:
    """Halt an entry and let it go on, unaware."""
    return _pause(field, deployment.ENTRY)


def pause_engine(field: Field) -> Heal | None:
    """Halt an engine: it takes calls and answers none."""
    return _pause(field, deployment.ENGINE)


def _fault_store(
    field: Field, harm: dict[str, Any], cure: dict[str, Any]
) -> Heal | None:
    name = field.running.plan.store.name
    if not field.take_name(name):
        return None
    field.running.control(name, **harm)

    def heal() -> None:
        field.running.control(name, **cure)
        field.release(name)

    return heal


def fail_store(field: Field) -> Heal | None:
    """Make the store close connections without an answer."""
    return _fault_store(field, {'down': True}, {'down': False})


def hang_store(field: Field) -> Heal | None:
    """Make the store take calls and never answer them."""
    return _fault_store(field, {'hang': True}, {'hang': False})


def slow_store(field: Field) -> Heal | None:
    """Make the store answer late."""
    seconds = field.rng.uniform(*_SLOW_SECONDS)
    return _fault_store(
        field, {'slow_seconds': seconds}, {'slow_seconds': 0.0}
    )


def drop_store_answers(field: Field) -> Heal | None:
    """Let writes take effect and lose the answers."""
    count = field.rng.randint(1, _MAX_DROPPED)
    return _fault_store(field, {'drop_answers': count}, {'drop_answers': 0})


def drop_service_answers(field: Field) -> Heal | None:
    """Let a service run calls and lose the answers."""
    process = field.take(deployment.SERVICE)
    if process is None:
        return None
    count = field.rng.randint(1, _MAX_DROPPED)
    field.running.control(process.name, drop_answers=count)

    def heal() -> None:
        field.running.control(process.name, drop_answers=0)
        field.release(process.name)

    return heal


FAULTS: tuple[Fault, ...] = (
    kill_agent,
    kill_entry,
    kill_engine,
    stop_agent,
    pause_agent,
    pause_entry,
    pause_engine,
    fail_store,
    hang_store,
    slow_store,
    drop_store_answers,
    drop_service_answers,
)
