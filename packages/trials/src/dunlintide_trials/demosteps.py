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

__all__ = ['play', 'print_commands', 'print_end', 'print_start']

SPECIALS = 'Write the dinner specials of a diner on the interstate'
BLURB = 'Announce the harvest supper on Saturday'
STREAM_TOKENS = 24
LONG_TOKENS = 400
_PATIENCE_SECONDS = 20.0
_DRAIN_SECONDS = 5.0
_PROBES = 6
_REFUSED = 403

Wrong = list[str]


def _say(text: str) -> None:
    print(text, flush=True)


def _expect(condition: bool, problem: str) -> Wrong:
    return [] if condition else [problem]


def _check_text(running: deployment.Deployment, asked: records.Asked) -> Wrong:
    wrong = _expect(
        asked.answer.is_complete,
        f'outcome {asked.answer.outcome} {asked.answer.error or ""}',
    )
    return wrong + records.check_text(
        asked, model=running.model, layers=running.layers
    )


def _check_layers(
    running: deployment.Deployment, request_id: str, positions: int
) -> Wrong:
    """Check that each layer ran once for each position."""
    ran = {
        run['endpoint']: run['positions']
        for run in running.read_runs(deployment.ENGINE)
        if run['request_id'] == request_id
    }
    stages = running.plan.blueprint.pipelines[0].stages
    right = [positions] * len(stages)
    found = list(ran.values())
    return _expect(found == right, f'stages ran {ran}, not {right} positions')


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


def _stream(running: deployment.Deployment, team: str) -> Wrong:
    """Stream a completion and check its text and its layers."""
    caller = running.make_caller(0, team)
    answer = caller.complete(
        SPECIALS, model=running.model, max_tokens=STREAM_TOKENS, stream=True
    )
    _say(f'   {"|".join(answer.texts[:6])}| ...')
    if answer.times:
        first = (answer.times[0] - answer.started) * 1000
        _say(f'   {len(answer.texts)} tokens, the first after {first:.0f} ms')
    _say(f'   ran at {_name_domains(running, answer.request_id)}')
    asked = records.Asked(team, answer, SPECIALS, STREAM_TOKENS)
    wrong = _check_text(running, asked)
    # The last token is not run through the model.
    positions = len(reference.tokenize(SPECIALS)) + STREAM_TOKENS - 1
    return wrong + _check_layers(running, answer.request_id, positions)


def _complete(running: deployment.Deployment, team: str) -> Wrong:
    """Request a completion without streaming from another entry."""
    caller = running.make_caller(1, team)
    answer = caller.complete(
        BLURB, model=running.model, max_tokens=STREAM_TOKENS
    )
    seconds = answer.ended - answer.started
    _say(f'   {answer.text[:60].strip()} ...')
    _say(f'   whole after {seconds * 1000:.0f} ms')
    asked = records.Asked(team, answer, BLURB, STREAM_TOKENS)
    return _check_text(running, asked)


def _order(running: deployment.Deployment, team: str) -> Wrong:
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
    _say(f'   first: {first.status} {first.outcome}')
    _say(f'   repeat at another entry: {repeat.status} {repeat.outcome}')
    _say(f'   runs recorded by {service.name}: {len(runs)}')
    wrong = _expect(first.is_complete, f'first was {first.outcome}')
    wrong += _expect(repeat.is_complete, f'repeat was {repeat.outcome}')
    wrong += _expect(first.body == repeat.body, 'the repeat differs')
    return wrong + _expect(len(runs) == 1, f'{len(runs)} runs')


def _edit(running: deployment.Deployment, team: str) -> Wrong:
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
        return all(answer.status == _REFUSED for answer in answers)

    seen = processes.wait_for(is_in_force, _PATIENCE_SECONDS)
    seconds = time.monotonic() - begin
    _say(
        f'   refused at all {len(callers)} entries {seconds:.2f} s after '
        'the edit was accepted'
    )
    answer = callers[0].complete('And now?', model=running.model)
    _say(f'   told: {answer.status} {answer.outcome}, {answer.code}')
    wrong = _expect(seen, 'not in force at all entries')
    wrong += _expect(
        answer.outcome == outcomes.Outcome.NOT_RUN,
        f'the refusal says {answer.outcome}',
    )
    runs = [
        run
        for run in running.read_runs(deployment.ENGINE)
        if run['request_id'] == answer.request_id
    ]
    return wrong + _expect(not runs, 'the refused request ran')


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
        self._thread.join(_PATIENCE_SECONDS)
        return self.answer or client.Answer()


def _find_busy(running: deployment.Deployment, team: str) -> str | None:
    """Return the agent of an engine under load, None without one."""
    for agent in running.plan.agents:
        standin = agent.endpoint.standin
        if agent.endpoint.kind == deployment.ENGINE:
            load = running.get_json(f'{standin.url}/v1/load')
            if load['running'] + load['queued'] or load['kv_usage']:
                return agent.name
    return None


def _drain(running: deployment.Deployment, team: str) -> Wrong:
    """Drain an endpoint during a stream."""
    stream = _Background(running.make_caller(0, team), running.model)
    found: list[str] = []

    def look() -> bool:
        name = _find_busy(running, team)
        found.extend([name] if name else [])
        return bool(found)

    if not processes.wait_for(look, _DRAIN_SECONDS):
        return [f'no engine had load within {_DRAIN_SECONDS:.0f} s']
    plan = next(one for one in running.plan.agents if one.name == found[0])
    running.post_json(f'{plan.admin_url}/drain', {})
    _say(f'   draining {plan.name} ({plan.failure_domain})')
    answer = stream.wait()
    _say(f'   the stream: {answer.outcome}, {len(answer.texts)} tokens')
    asked = records.Asked(team, answer, SPECIALS, LONG_TOKENS)
    wrong = _check_text(running, asked)
    process = running.started[plan.name]
    process.wait()
    _say(f'   the agent ended with {process.exit_code}')
    wrong += _expect(process.exit_code == 0, f'exit {process.exit_code}')
    return wrong + _check_drained(running, team, plan.endpoint.standin.url)


def _check_drained(
    running: deployment.Deployment, team: str, url: str
) -> Wrong:
    before = {run['request_id'] for run in running.get_json(f'{url}/runs')}
    caller = running.make_caller(1, team)
    answers = [
        caller.complete(f'{BLURB} {number}', model=running.model, max_tokens=2)
        for number in range(_PROBES)
    ]
    after = {run['request_id'] for run in running.get_json(f'{url}/runs')}
    good = sum(answer.is_complete for answer in answers)
    _say(f'   {good} of {_PROBES} later requests complete elsewhere')
    wrong = _expect(good == _PROBES, f'{good} of {_PROBES} complete')
    return wrong + _expect(before == after, 'the endpoint got new work')


_SCENES: tuple[tuple[str, Callable[..., Wrong]], ...] = (
    ('A completion, streamed', _stream),
    ('A completion, whole, at another entry', _complete),
    ('A non-idempotent call and its repeat', _order),
    ('A drain with a stream in flight', _drain),
    ('A new rule, in force everywhere', _edit),
)


def play(running: deployment.Deployment) -> Wrong:
    """Run all steps and return the failed checks."""
    teams = list(running.keys)
    wrong: Wrong = []
    for number, (title, scene) in enumerate(_SCENES, 1):
        team = teams[number % len(teams)]
        _say(f'\n{number}. {title} (team {team})')
        found = scene(running, team)
        for problem in found:
            _say(f'   WRONG: {problem}')
        wrong += found
    return wrong


def print_start(running: deployment.Deployment, seconds: float) -> None:
    """Print which processes were started."""
    plan = running.plan
    roles = [process.role for process in running.started.values()]
    counts = ', '.join(
        f'{roles.count(role)} {role}' for role in dict.fromkeys(roles)
    )
    _say(f'{plan.blueprint.name}: {len(roles)} processes ({counts})')
    domains = ', '.join(plan.blueprint.failure_domains)
    _say(f'failure domains: {domains}; ready after {seconds:.1f} s')


def print_end(
    running: deployment.Deployment, wrong: Wrong, seconds: float
) -> None:
    """Print the result after the stop of all processes."""
    left = [p.name for p in running.started.values() if p.is_running]
    _say(f'\nstopped all {len(running.started)} processes, left: {left}')
    verdict = f'{len(wrong)} wrong' if wrong else 'every step as promised'
    _say(f'{verdict}, {seconds:.1f} s in all')


def print_commands(running: deployment.Deployment) -> None:
    """Print curl commands for the running deployment."""
    url = running.plan.entries[0].url
    key = next(iter(running.keys.values()))
    auth = f"-H 'Authorization: Bearer {key}'"
    prompt = f'"model": "{running.model}", "prompt": "{SPECIALS}"'
    _say(f"\ncurl -N {url}/v1/completions {auth} \\")
    _say(f"  -d '{{{prompt}, \"max_tokens\": 16, \"stream\": true}}'")
    _say(f'\ncurl {url}{running.non_idempotent_path} {auth} \\')
    _say("  -H 'Idempotency-Key: order-1' -d '{\"screens\": 12}'")
    admin = running.plan.entries[0].admin_url
    _say(f'\ncurl {admin}/debug/state')
