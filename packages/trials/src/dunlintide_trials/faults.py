"""Faults that a soak injects into single processes of a deployment.

A fault is a function that takes a ``Field``, injects the fault and returns
a function that reverts it, or None when no target was available. Faults
overlap, but a process is the target of one fault at a time. To add a
fault, write a function here and list it in ``FAULTS``.
"""

from dunlintide_trials import deployment
from dunlintide_trials import field as fields
from dunlintide_trials import processes

__all__ = ['FAULTS', 'SECONDS']

Field = fields.Field
Heal = fields.Heal

_SLOW_SECONDS = (0.05, 0.5)
_MAX_DROPPED = 5
# A graceful stop waits for requests: the longest deadline in the rules of
# the examples plus a margin.
_STOP_SECONDS = 75.0
# Longer than any lease or failure detection timeout of the default timing.
_LONG_SECONDS = (8.0, 15.0)


def _restart(field: Field, process: processes.Process) -> Heal:
    return lambda: field.restart(process)


def _kill(field: Field, role: str, spare: int) -> Heal | None:
    process = field.take(role, spare)
    if process is None:
        return None
    process.kill()
    return _restart(field, process)


def _kill_endpoint(field: Field, role: str, spare: int) -> Heal | None:
    process = field.take(role, spare)
    if process is None:
        return None
    field.kill_endpoint(process)
    return _restart(field, process)


def kill_agent(field: Field) -> Heal | None:
    """Kill an agent and restart it."""
    return _kill(field, deployment.AGENT, spare=1)


def kill_entry(field: Field) -> Heal | None:
    """Kill an entry and restart it; at least one entry keeps running."""
    return _kill(field, deployment.ENTRY, spare=1)


def kill_engine(field: Field) -> Heal | None:
    """Kill an engine, which loses its KV cache, and restart it."""
    return _kill_endpoint(field, deployment.ENGINE, spare=1)


def kill_service(field: Field) -> Heal | None:
    """Kill a plain service and restart it."""
    return _kill_endpoint(field, deployment.SERVICE, spare=0)


def stop_agent(field: Field) -> Heal | None:
    """Stop an agent gracefully, as when its host is replaced."""
    return _stop(field, deployment.AGENT)


def stop_entry(field: Field) -> Heal | None:
    """Stop an entry gracefully."""
    return _stop(field, deployment.ENTRY)


def _stop(field: Field, role: str) -> Heal | None:
    process = field.take(role, spare=1)
    if process is None:
        return None
    process.terminate()

    def end() -> None:
        if not process.wait(_STOP_SECONDS):
            field.wrong.append(f'{process.name} did not stop in time')
            process.kill()
        elif process.exit_code:
            code = process.exit_code
            field.wrong.append(f'{process.name} stopped with {code}')
        field.restart(process)

    return lambda: field.work(end)


def _pause(field: Field, role: str, spare: int = 1) -> Heal | None:
    process = field.take(role, spare)
    if process is None:
        return None
    process.pause()

    def heal() -> None:
        process.resume()
        field.release(process.name)

    return heal


def pause_agent(field: Field) -> Heal | None:
    """Suspend an agent for the default duration and resume it."""
    return _pause(field, deployment.AGENT)


def pause_entry(field: Field) -> Heal | None:
    """Suspend an entry for the default duration and resume it."""
    return _pause(field, deployment.ENTRY)


def pause_engine(field: Field) -> Heal | None:
    """Suspend an engine, which accepts connections but does not respond."""
    return _pause(field, deployment.ENGINE)


def pause_agent_long(field: Field) -> Heal | None:
    """Suspend an agent for longer than every lease."""
    return _pause(field, deployment.AGENT)


def pause_entry_long(field: Field) -> Heal | None:
    """Suspend an entry for longer than every lease."""
    return _pause(field, deployment.ENTRY)


def pause_engine_long(field: Field) -> Heal | None:
    """Suspend an engine for longer than its response timeout."""
    return _pause(field, deployment.ENGINE)


def pause_service(field: Field) -> Heal | None:
    """Suspend a plain service."""
    return _pause(field, deployment.SERVICE, spare=0)


def fail_store(field: Field) -> Heal | None:
    """Make the store close connections without a response."""
    return field.control(
        field.running.plan.store.name, {'down': True}, {'down': False}
    )


def hang_store(field: Field) -> Heal | None:
    """Make the store accept requests and never respond."""
    return field.control(
        field.running.plan.store.name, {'hang': True}, {'hang': False}
    )


def slow_store(field: Field) -> Heal | None:
    """Delay the responses of the store."""
    seconds = field.rng.uniform(*_SLOW_SECONDS)
    return field.control(
        field.running.plan.store.name,
        {'slow_seconds': seconds},
        {'slow_seconds': 0.0},
    )


def drop_store_answers(field: Field) -> Heal | None:
    """Drop responses of the store after the writes took effect."""
    count = field.rng.randint(1, _MAX_DROPPED)
    return field.control(
        field.running.plan.store.name,
        {'drop_answers': count},
        {'drop_answers': 0},
    )


def drop_service_answers(field: Field) -> Heal | None:
    """Drop responses of a service after it ran the calls."""
    process = field.take(deployment.SERVICE)
    if process is None:
        return None
    count = field.rng.randint(1, _MAX_DROPPED)
    field.running.control(process.name, drop_answers=count)

    def heal() -> None:
        field.running.control(process.name, drop_answers=0)
        field.release(process.name)

    return heal


FAULTS: tuple[fields.Fault, ...] = (
    kill_agent,
    kill_entry,
    kill_engine,
    kill_service,
    stop_agent,
    stop_entry,
    pause_agent,
    pause_entry,
    pause_engine,
    pause_service,
    pause_agent_long,
    pause_entry_long,
    pause_engine_long,
    fail_store,
    hang_store,
    slow_store,
    drop_store_answers,
    drop_service_answers,
)
# Minimum and maximum duration in seconds of faults that don't use the
# default one.
SECONDS: dict[fields.Fault, tuple[float, float]] = {
    pause_agent_long: _LONG_SECONDS,
    pause_entry_long: _LONG_SECONDS,
    pause_engine_long: _LONG_SECONDS,
}
