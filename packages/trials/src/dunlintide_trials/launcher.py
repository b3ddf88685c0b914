"""Starts the processes of a deployment and stops them at its end."""

import contextlib
import pathlib
import sys
import tempfile
from typing import Any, Iterable, Iterator, Mapping

import attrs

from dunlintide_standins import relay
from dunlintide_trials import authority
from dunlintide_trials import blueprints
from dunlintide_trials import deployment
from dunlintide_trials import layout
from dunlintide_trials import operators
from dunlintide_trials import plans
from dunlintide_trials import ports
from dunlintide_trials import processes

__all__ = ['run', 'run_small']

EXAMPLE = pathlib.Path('examples/cooperative.jsonc')

# Number of processes that start at a time; more compete for the processors
# without starting sooner.
_BATCH_SIZE = 8
_STOP_SECONDS = 20.0


class _Launcher:
    """Starts the processes of a deployment in order."""

    def __init__(
        self,
        running: deployment.Deployment,
        reserved: ports.Reservations,
        stack: contextlib.ExitStack,
    ) -> None:
        self._running = running
        self._reserved = reserved
        self._stack = stack

    def _add(
        self,
        name: str,
        role: str,
        failure_domain: str,
        command: tuple[str, ...],
        taken: tuple[int, ...],
    ) -> processes.Process:
        def release() -> None:
            for port in taken:
                self._reserved.release(port)

        log = self._running.folder / f'{name}.log'
        process = processes.Process(
            name, role, failure_domain, command, log, release
        )
        self._running.started[name] = process
        return process

    def _start(self, group: list[processes.Process]) -> None:
        self._stack.callback(_stop, group)
        for start in range(0, len(group), _BATCH_SIZE):
            batch = group[start : start + _BATCH_SIZE]
            for process in batch:
                process.start()
            for process in batch:
                if process.role not in (deployment.AGENT, deployment.ENTRY):
                    process.wait_ready(
                        lambda one=process: one.find_ready_line() is not None
                    )

    def start_platform(self) -> None:
        plan = self._running.plan
        standins = (plan.store, plan.host_list, plan.weight_store)
        self._start(
            [
                self._add(
                    one.name, deployment.PLATFORM, '', one.command, (one.port,)
                )
                for one in standins
            ]
        )

    def start_endpoints(self) -> None:
        endpoints = [one.endpoint for one in self._running.plan.agents]
        self._start(
            [
                self._add(
                    one.standin.name,
                    one.kind,
                    one.failure_domain,
                    one.standin.command,
                    (one.standin.port,),
                )
                for one in endpoints
            ]
        )

    def start_daemons(self, role: str) -> None:
        plan = self._running.plan
        daemons = plan.agents if role == deployment.AGENT else plan.entries
        self._start(
            [
                self._add(
                    one.name,
                    role,
                    one.failure_domain,
                    self._build_command(one.name),
                    one.ports,
                )
                for one in daemons
            ]
        )

    def _build_command(self, name: str) -> tuple[str, ...]:
        settings = str(self._running.folder / f'{name}.jsonc')
        return (sys.executable, '-m', plans.DAEMON_MODULE, settings)


def _stop(group: list[processes.Process]) -> None:
    """Terminate processes together and kill those that take too long."""
    for process in group:
        process.terminate()
    for process in group:
        if not process.wait(_STOP_SECONDS):
            process.kill()


def _start_relays(
    plan: plans.Plan,
    hops: Iterable[plans.Hop],
    stack: contextlib.ExitStack,
) -> dict[tuple[plans.Hop, str], relay.Relay]:
    relays = {}
    for hop in hops:
        for daemon, target in layout.list_hops(plan, hop):
            one = relay.Relay(f'{ports.HOST}:0', target)
            stack.callback(one.stop)
            relays[hop, daemon] = one
    return relays


@contextlib.contextmanager
def run(
    blueprint: blueprints.Blueprint,
    rules: dict[str, Any],
    folder: pathlib.Path,
    *,
    hops: Iterable[plans.Hop] = (),
    timing: Mapping[str, float] | None = None,
    routings: Iterable[str] = (),
    extras: Mapping[str, Mapping[str, Any]] | None = None,
    issuer: authority.Authority | None = None,
) -> Iterator[deployment.Deployment]:
    """Start a deployment and stop it on leaving the context.

    Each team gets a new key, whose hash is added to the rules.

    :param rules: operators' configuration
    :param folder: empty work folder
    :param hops: hops at which relays are placed, see
        ``Deployment.relays``
    :param timing: the ``timing`` part of the daemons' settings
    :param routings: the ``routing`` setting of each entry, by number
    :param extras: additional settings of the daemons, by role
    :param issuer: issues the daemons' certificates; None for no TLS
    :raises processes.StartError: when a process doesn't become ready
    """
    with contextlib.ExitStack() as stack:
        reserved = stack.enter_context(
            contextlib.closing(ports.Reservations())
        )
        plan = layout.make_plan(blueprint, folder, reserved)
        relays = _start_relays(plan, hops, stack)
        plan = attrs.evolve(
            plan,
            relayed={place: one.port for place, one in relays.items()},
            timing=dict(timing or {}),
            routings=tuple(routings),
            extras=extras or {},
            issuer=issuer,
        )
        layout.write_files(plan, folder)
        keys = layout.make_keys([one['name'] for one in rules['members']])
        filled = operators.fill_keys(rules, keys)
        running = deployment.Deployment(plan, folder, keys, filled, relays)
        launcher = _Launcher(running, reserved, stack)
        launcher.start_platform()
        running.apply_rules(filled).check()
        launcher.start_endpoints()
        launcher.start_daemons(deployment.AGENT)
        launcher.start_daemons(deployment.ENTRY)
        running.wait_all_ready()
        yield running


@contextlib.contextmanager
def run_small(
    example: pathlib.Path = EXAMPLE,
    *,
    hops: Iterable[plans.Hop] = (),
    timing: Mapping[str, float] | None = None,
    **options: Any,
) -> Iterator[deployment.Deployment]:
    """Start a reduced deployment of an example in a temporary folder.

    :param example: deployment file
    :param hops: hops at which relays are placed
    :param timing: the ``timing`` part of the daemons' settings
    :param options: other arguments of ``run``
    """
    blueprint = blueprints.load_blueprint(example)
    rules = operators.load_rules(example.parent / blueprint.rules)
    small = blueprints.shrink(blueprint)
    with contextlib.ExitStack() as stack:
        temporary = tempfile.TemporaryDirectory(prefix='dunlintide-')
        folder = pathlib.Path(stack.enter_context(temporary))
        yield stack.enter_context(
            run(small, rules, folder, hops=hops, timing=timing, **options)
        )
