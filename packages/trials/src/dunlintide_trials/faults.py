"""Faults that a soak injects into single processes of a deployment.

A fault is a function that takes a ``Field``, injects the fault and returns
a function that reverts it, or None when no target was available. Faults
overlap, but a process is the target of one fault at a time. To add a
fault, write a function here and list it in ``FAULTS``.
"""

from dunlintide_trials import deployment
from dunlintide_trials import faultcontext
from dunlintide_trials import processes

__all__ = ['FAULTS', 'SECONDS']

FaultContext = faultcontext.FaultContext
Heal = faultcontext.Heal

_SLOW_SECONDS = (0.05, 0.5)
_MAX_DROPPED_ANSWERS = 5
# A graceful stop waits for requests: the longest deadline in the rules of
# the examples plus a margin.
_STOP_TIMEOUT_SECONDS = 75.0
# Longer than any lease or failure detection timeout of the default timing.
_LONG_PAUSE_SECONDS = (8.0, 15.0)


def _make_restart(context: FaultContext, process: processes.Process) -> Heal:
    return lambda: context.restart(process)


def _kill(context: FaultContext, role: str, min_free: int) -> Heal | None:
    process = context.reserve(role, min_free)
    if process is None:
        return None
    process.kill()
    return _make_restart(context, process)


def _kill_endpoint(
    context: FaultContext, role: str, min_free: int
) -> Heal | None:
    process = context.reserve(role, min_free)
    if process is None:
        return None
    context.kill_endpoint(process)
    return _make_restart(context, process)


def kill_agent(context: FaultContext) -> Heal | None:
    """Kill an agent and restart it."""
    return _kill(context, deployment.AGENT, min_free=1)


def kill_entry(context: FaultContext) -> Heal | None:
    """Kill an entry and restart it; at least one entry keeps running."""
    return _kill(context, deployment.ENTRY, min_free=1)


def kill_engine(context: FaultContext) -> Heal | None:
    """Kill an engine, which loses its KV cache, and restart it."""
    return _kill_endpoint(context, deployment.ENGINE, min_free=1)


def kill_service(context: FaultContext) -> Heal | None:
    """Kill a plain service and restart it."""
    return _kill_endpoint(context, deployment.SERVICE, min_free=0)


def stop_agent(context: FaultContext) -> Heal | None:
    """Stop an agent gracefully, as when its host is replaced."""
    return _stop(context, deployment.AGENT)


def stop_entry(context: FaultContext) -> Heal | None:
    """Stop an entry gracefully."""
    return _stop(context, deployment.ENTRY)


def _stop(context: FaultContext, role: str) -> Heal | None:
    process = context.reserve(role, min_free=1)
    if process is None:
        return None
    process.terminate()

    def end() -> None:
        if not process.wait(_STOP_TIMEOUT_SECONDS):
            context.violations.append(f'{process.name} did not stop in time')
            process.kill()
        elif process.exit_code:
            code = process.exit_code
            context.violations.append(f'{process.name} stopped with {code}')
        context.restart(process)

    return lambda: context.run_in_background(end)


def _pause(context: FaultContext, role: str, min_free: int = 1) -> Heal | None:
    process = context.reserve(role, min_free)
    if process is None:
        return None
    process.pause()

    def heal() -> None:
        process.resume()
        context.release(process.name)

    return heal


def pause_agent(context: FaultContext) -> Heal | None:
    """Suspend an agent for the default duration and resume it."""
    return _pause(context, deployment.AGENT)


def pause_entry(context: FaultContext) -> Heal | None:
    """Suspend an entry for the default duration and resume it."""
    return _pause(context, deployment.ENTRY)


def pause_engine(context: FaultContext) -> Heal | None:
    """Suspend an engine, which accepts connections but does not respond."""
    return _pause(context, deployment.ENGINE)


def pause_agent_long(context: FaultContext) -> Heal | None:
    """Suspend an agent for longer than every lease."""
    return _pause(context, deployment.AGENT)


def pause_entry_long(context: FaultContext) -> Heal | None:
    """Suspend an entry for longer than every lease."""
    return _pause(context, deployment.ENTRY)


def pause_engine_long(context: FaultContext) -> Heal | None:
    """Suspend an engine for longer than its response timeout."""
    return _pause(context, deployment.ENGINE)


def pause_service(context: FaultContext) -> Heal | None:
    """Suspend a plain service."""
    return _pause(context, deployment.SERVICE, min_free=0)


def fail_store(context: FaultContext) -> Heal | None:
    """Make the store close connections without a response."""
    return context.control(
        context.running.plan.store.name, {'down': True}, {'down': False}
    )


def hang_store(context: FaultContext) -> Heal | None:
    """Make the store accept requests and never respond."""
    return context.control(
        context.running.plan.store.name, {'hang': True}, {'hang': False}
    )


def slow_store(context: FaultContext) -> Heal | None:
    """Delay the responses of the store."""
    seconds = context.rng.uniform(*_SLOW_SECONDS)
    return context.control(
        context.running.plan.store.name,
        {'slow_seconds': seconds},
        {'slow_seconds': 0.0},
    )


def drop_store_answers(context: FaultContext) -> Heal | None:
    """Drop responses of the store after the writes took effect."""
    count = context.rng.randint(1, _MAX_DROPPED_ANSWERS)
    return context.control(
        context.running.plan.store.name,
        {'drop_answers': count},
        {'drop_answers': 0},
    )


def drop_service_answers(context: FaultContext) -> Heal | None:
    """Drop responses of a service after it ran the calls."""
    process = context.reserve(deployment.SERVICE)
    if process is None:
        return None
    count = context.rng.randint(1, _MAX_DROPPED_ANSWERS)
    context.running.control(process.name, drop_answers=count)

    def heal() -> None:
        context.running.control(process.name, drop_answers=0)
        context.release(process.name)

    return heal


FAULTS: tuple[faultcontext.Fault, ...] = (
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
SECONDS: dict[faultcontext.Fault, tuple[float, float]] = {
    pause_agent_long: _LONG_PAUSE_SECONDS,
    pause_entry_long: _LONG_PAUSE_SECONDS,
    pause_engine_long: _LONG_PAUSE_SECONDS,
}
