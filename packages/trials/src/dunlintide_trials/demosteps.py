"""Steps of the demo, which print results and check them."""

import copy
import threading
import time
from typing import Any, Callable

from dunlintide_core import outcomes
from dunlintide_standins import reference
from dunlintide_trials import client
from dunlintide_trials import deployment
from dunlintide_trials import processes
from dunlintide_trials import records

__all__ = ['run_steps', 'print_commands', 'print_end', 'print_start']

SPECIALS = 'Write the dinner specials of a diner on the interstate'
BLURB = 'Announce the harvest supper on Saturday'
STREAM_TOKENS = 24
LONG_TOKENS = 400
_WAIT_SECONDS = 20.0
_DRAIN_SECONDS = 5.0
_PROBES = 6
_FORBIDDEN = 403

Problems = list[str]


def _print(text: str) -> None:
    print(text, flush=True)


def _check(condition: bool, problem: str) -> Problems:
    return [] if condition else [problem]


def _check_text(
    running: deployment.Deployment, request: records.SentRequest
) -> Problems:
    problems = _check(
        request.answer.is_complete,
        f'outcome {request.answer.outcome} {request.answer.error or ""}',
    )
    return problems + records.check_text(
        request, model=running.model, layers=running.layers
    )


def _check_layers(
    running: deployment.Deployment, request_id: str, positions: int
) -> Problems:
    """Check that each layer ran once for each position."""
    ran = {
        run['endpoint']: run['positions']
        for run in running.read_runs(deployment.ENGINE)
        if run['request_id'] == request_id
    }
    stages = running.plan.blueprint.pipelines[0].stages
    expected = [positions] * len(stages)
    found = list(ran.values())
    return _check(
        found == expected, f'stages ran {ran}, not {expected} positions'
    )


def _name_domains(running: deployment.Deployment, request_id: str) -> str:
    domains = {
        agent.endpoint.standin.name: agent.failure_domain
        for agent in running.plan.agents
    }
    names = [
        run['endpoint']
        for run in running.read_runs(deployment.ENGINE)
        if run['request_id'] == request_id
    ]
    return ', '.join(f'{name} ({domains[name]})' for name in names)


def _stream(running: deployment.Deployment, team: str) -> Problems:
    """Stream a completion and check its text and its layers."""
    caller = running.make_caller(0, team)
    answer = caller.complete(
        SPECIALS, model=running.model, max_tokens=STREAM_TOKENS, stream=True
    )
    _print(f'   {"|".join(answer.texts[:6])}| ...')
    if answer.times:
        first = (answer.times[0] - answer.started) * 1000
        _print(
            f'   {len(answer.texts)} tokens, the first after {first:.0f} ms'
        )
    _print(f'   ran at {_name_domains(running, answer.request_id)}')
    request = records.SentRequest(team, answer, SPECIALS, STREAM_TOKENS)
    problems = _check_text(running, request)
    # The last token is not run through the model.
    positions = len(reference.tokenize(SPECIALS)) + STREAM_TOKENS - 1
    return problems + _check_layers(running, answer.request_id, positions)


def _complete(running: deployment.Deployment, team: str) -> Problems:
    """Request a completion without streaming from another entry."""
    caller = running.make_caller(1, team)
    answer = caller.complete(
        BLURB, model=running.model, max_tokens=STREAM_TOKENS
    )
    seconds = answer.ended - answer.started
    _print(f'   {answer.text[:60].strip()} ...')
    _print(f'   whole after {seconds * 1000:.0f} ms')
    request = records.SentRequest(team, answer, BLURB, STREAM_TOKENS)
    return _check_text(running, request)


def _call_twice(running: deployment.Deployment, team: str) -> Problems:
    """Send a non-idempotent call and repeat it at another entry."""
    service = running.plan.blueprint.services[0]
    key = f'demo-{time.time_ns()}'
    answers = [
        running.make_caller(entry, team).call_service(
            service.name,
            service.path,
            method='POST',
            body=b'{"what": "friday lunch specials", "screens": 12}',
            idempotency_key=key,
        )
        for entry in (0, len(running.plan.entries) - 1)
    ]
    first, repeat = answers
    runs = [
        run
        for run in running.read_runs(deployment.SERVICE)
        if run['idempotency_key'] == key
    ]
    _print(f'   first: {first.status} {first.outcome}')
    _print(f'   repeat at another entry: {repeat.status} {repeat.outcome}')
    _print(f'   runs recorded by {service.name}: {len(runs)}')
    problems = _check(first.is_complete, f'first was {first.outcome}')
    problems += _check(repeat.is_complete, f'repeat was {repeat.outcome}')
    problems += _check(first.body == repeat.body, 'the repeat differs')
    return problems + _check(len(runs) == 1, f'{len(runs)} runs')


def _apply_refusal(running: deployment.Deployment, team: str) -> Problems:
    """Apply a rule that refuses a model to a team and check its effect."""
    edited: dict[str, Any] = copy.deepcopy(running.rules)
    rule = {
        'name': 'demo-pause',
        'when': {'member': team, 'model': running.model},
        'then': {'action': 'refuse', 'reason': 'paused by the operators'},
    }
    edited['rules'].insert(0, rule)
    callers = [
        running.make_caller(entry, team)
        for entry in range(len(running.plan.entries))
    ]
    running.apply_rules(edited).check()
    begin = time.monotonic()

    def is_in_force() -> bool:
        answers = [
            caller.complete('Is it paused?', model=running.model, max_tokens=1)
            for caller in callers
        ]
        return all(answer.status == _FORBIDDEN for answer in answers)

    in_force = processes.wait_for(is_in_force, _WAIT_SECONDS)
    seconds = time.monotonic() - begin
    _print(
        f'   refused at all {len(callers)} entries {seconds:.2f} s after '
        'the edit was accepted'
    )
    answer = callers[0].complete('And now?', model=running.model)
    _print(f'   told: {answer.status} {answer.outcome}, {answer.code}')
    problems = _check(in_force, 'not in force at all entries')
    problems += _check(
        answer.outcome == outcomes.Outcome.NOT_RUN,
        f'the refusal says {answer.outcome}',
    )
    runs = [
        run
        for run in running.read_runs(deployment.ENGINE)
        if run['request_id'] == answer.request_id
    ]
    return problems + _check(not runs, 'the refused request ran')


class _Background:
    """A completion that is streamed on a background thread."""

    def __init__(self, caller: client.Caller, model: str) -> None:
        self.answer: client.Answer | None = None
        self._caller = caller
        self._model = model
        self._thread = threading.Thread(target=self._read, daemon=True)
        self._thread.start()

    def _read(self) -> None:
        self.answer = self._caller.complete(
            SPECIALS, model=self._model, max_tokens=LONG_TOKENS, stream=True
        )

    def wait(self) -> client.Answer:
        """Wait for the response; return an empty one on a timeout."""
        self._thread.join(_WAIT_SECONDS)
        return self.answer or client.Answer()


def _find_busy_agent(running: deployment.Deployment, team: str) -> str | None:
    """Return the agent of an engine under load, None without one."""
    for agent in running.plan.agents:
        standin = agent.endpoint.standin
        if agent.endpoint.kind == deployment.ENGINE:
            load = running.get_json(f'{standin.url}/v1/load')
            if load['running'] + load['queued'] or load['kv_usage']:
                return agent.name
    return None


def _drain(running: deployment.Deployment, team: str) -> Problems:
    """Drain an endpoint during a stream."""
    stream = _Background(running.make_caller(0, team), running.model)
    found: list[str] = []

    def has_load() -> bool:
        name = _find_busy_agent(running, team)
        found.extend([name] if name else [])
        return bool(found)

    if not processes.wait_for(has_load, _DRAIN_SECONDS):
        return [f'no engine had load within {_DRAIN_SECONDS:.0f} s']
    plan = next(one for one in running.plan.agents if one.name == found[0])
    running.post_json(f'{plan.admin_url}/drain', {})
    _print(f'   draining {plan.name} ({plan.failure_domain})')
    answer = stream.wait()
    _print(f'   the stream: {answer.outcome}, {len(answer.texts)} tokens')
    request = records.SentRequest(team, answer, SPECIALS, LONG_TOKENS)
    problems = _check_text(running, request)
    process = running.started[plan.name]
    process.wait()
    _print(f'   the agent ended with {process.exit_code}')
    problems += _check(process.exit_code == 0, f'exit {process.exit_code}')
    return problems + _check_drained(running, team, plan.endpoint.standin.url)


def _check_drained(
    running: deployment.Deployment, team: str, url: str
) -> Problems:
    before = {run['request_id'] for run in running.get_json(f'{url}/runs')}
    caller = running.make_caller(1, team)
    answers = [
        caller.complete(f'{BLURB} {number}', model=running.model, max_tokens=2)
        for number in range(_PROBES)
    ]
    after = {run['request_id'] for run in running.get_json(f'{url}/runs')}
    good = sum(answer.is_complete for answer in answers)
    _print(f'   {good} of {_PROBES} later requests complete elsewhere')
    problems = _check(good == _PROBES, f'{good} of {_PROBES} complete')
    return problems + _check(before == after, 'the endpoint got new work')


_STEPS: tuple[tuple[str, Callable[..., Problems]], ...] = (
    ('A completion, streamed', _stream),
    ('A completion, whole, at another entry', _complete),
    ('A non-idempotent call and its repeat', _call_twice),
    ('A drain with a stream in flight', _drain),
    ('A new rule, in force everywhere', _apply_refusal),
)


def run_steps(running: deployment.Deployment) -> Problems:
    """Run all steps and return the failed checks."""
    teams = list(running.keys)
    problems: Problems = []
    for number, (title, step) in enumerate(_STEPS, 1):
        team = teams[number % len(teams)]
        _print(f'\n{number}. {title} (team {team})')
        found = step(running, team)
        for problem in found:
            _print(f'   WRONG: {problem}')
        problems += found
    return problems


def print_start(running: deployment.Deployment, seconds: float) -> None:
    """Print which processes were started."""
    plan = running.plan
    roles = [process.role for process in running.started.values()]
    counts = ', '.join(
        f'{roles.count(role)} {role}' for role in dict.fromkeys(roles)
    )
    _print(f'{plan.blueprint.name}: {len(roles)} processes ({counts})')
    domains = ', '.join(plan.blueprint.failure_domains)
    _print(f'failure domains: {domains}; ready after {seconds:.1f} s')


def print_end(
    running: deployment.Deployment, problems: Problems, seconds: float
) -> None:
    """Print the result after the stop of all processes."""
    left = [p.name for p in running.started.values() if p.is_running]
    _print(f'\nstopped all {len(running.started)} processes, left: {left}')
    verdict = (
        f'{len(problems)} wrong' if problems else 'every step as promised'
    )
    _print(f'{verdict}, {seconds:.1f} s in all')


def print_commands(running: deployment.Deployment) -> None:
    """Print curl commands for the running deployment."""
    url = running.plan.entries[0].url
    key = next(iter(running.keys.values()))
    auth = f"-H 'Authorization: Bearer {key}'"
    prompt = f'"model": "{running.model}", "prompt": "{SPECIALS}"'
    _print(f"\ncurl -N {url}/v1/completions {auth} \\")
    _print(f"  -d '{{{prompt}, \"max_tokens\": 16, \"stream\": true}}'")
    _print(f'\ncurl {url}{running.non_idempotent_path} {auth} \\')
    _print("  -H 'Idempotency-Key: order-1' -d '{\"screens\": 12}'")
    admin = running.plan.entries[0].admin_url
    _print(f'\ncurl {admin}/debug/state')
