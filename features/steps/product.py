"""Steps for a small deployment of real processes."""

import json
import time

import behave
import openai

from dunlintide_core import outcomes
from dunlintide_standins import reference
from dunlintide_trials import deployment
from dunlintide_trials import launcher
from dunlintide_trials import processes
from dunlintide_trials import records

PROMPT = 'Write the dinner specials of a diner on the interstate'
PATH = '/v1/completions'
OVERSIZE = 3 << 20
PATIENCE_SECONDS = 30


@behave.given('the small deployment runs')
def start_small(context):
    if 'running' not in context.shared:
        example = context.root / launcher.EXAMPLE
        running = launcher.run_small(example)
        context.shared['running'] = context.feature_stack.enter_context(
            running
        )
    context.running = context.shared['running']
    context.team = next(iter(context.running.keys))


def _make_caller(context, entry):
    caller = context.running.make_caller(entry, context.team)
    context.stack.callback(caller.close)
    return caller


def _compute_text(context, prompt, max_tokens):
    running = context.running
    return records.compute_text(
        prompt, max_tokens, model=running.model, layers=running.layers
    )


@behave.when(
    'a team streams a completion of {count:d} tokens from entry {entry:d}'
)
def stream_completion(context, count, entry):
    context.count = count
    context.answer = _make_caller(context, entry).complete(
        PROMPT, model=context.running.model, max_tokens=count, stream=True
    )


@behave.then('the caller gets the reference tokens and the end mark')
def check_answer(context):
    answer = context.answer
    assert answer.is_complete, (answer.status, answer.outcome, answer.error)
    assert answer.text == _compute_text(context, PROMPT, context.count)
    assert len(answer.texts) == context.count


@behave.then('each stage ran each position of it once')
def check_stages(context):
    runs = [
        run
        for run in context.running.read_runs(deployment.ENGINE)
        if run['request_id'] == context.answer.request_id
    ]
    stages = context.running.plan.blueprint.pipelines[0].stages
    assert len(runs) == len(stages), runs
    # The last token ends the answer and is not fed back to the engines.
    positions = len(reference.tokenize(PROMPT)) + context.count - 1
    for run in runs:
        assert run['positions'] == positions, run


@behave.when(
    'the OpenAI client streams a chat of {count:d} tokens from entry {entry:d}'
)
def stream_chat(context, count, entry):
    running = context.running
    url = f'{running.plan.entries[entry].url}/v1'
    api = openai.OpenAI(
        base_url=url, api_key=running.keys[context.team], max_retries=0
    )
    context.stack.callback(api.close)
    chunks = api.chat.completions.create(
        model=running.model,
        messages=[{'role': 'user', 'content': PROMPT}],
        max_tokens=count,
        stream=True,
    )
    context.count = count
    context.choices = [c.choices[0] for c in chunks if c.choices]


@behave.then('the client gets the reference tokens of its chat')
def check_chat(context):
    prompt = f'user: {PROMPT}\nassistant:'
    text = ''.join(choice.delta.content or '' for choice in context.choices)
    assert text == _compute_text(context, prompt, context.count), text
    assert context.choices[-1].finish_reason == 'length'


@behave.when(
    'a team sends an order to entry {first:d} and again to entry {second:d}'
)
def send_orders(context, first, second):
    service = context.running.plan.blueprint.services[0]
    context.key = f'order-{time.time_ns()}'
    context.answers = [
        _make_caller(context, entry).call_service(
            service.name,
            service.path,
            method='POST',
            body=b'{"screens": 12}',
            idempotency_key=context.key,
        )
        for entry in (first, second)
    ]


@behave.then('both callers get the same answer and the order ran once')
def check_orders(context):
    first, second = context.answers
    assert first.is_complete and second.is_complete, (first, second)
    assert first.body == second.body, (first.body, second.body)
    runs = context.running.read_runs(deployment.SERVICE)
    keys = [run['idempotency_key'] for run in runs]
    assert keys.count(context.key) == 1, keys


def _encode(**fields):
    return json.dumps(fields).encode()


def _build_fault(context, fault):
    """Build the path, body and headers of a malformed request."""
    model = context.running.model
    good = _encode(model=model, prompt=PROMPT, max_tokens=2)
    return {
        'a body that is not JSON': (PATH, b'{"model": ', {}),
        'a field of the wrong type': (
            PATH,
            _encode(model=model, prompt=PROMPT, max_tokens='two'),
            {},
        ),
        'no prompt': (PATH, _encode(model=model), {}),
        'an unknown key': (PATH, good, {'Authorization': 'Bearer wrong'}),
        'no key': (PATH, good, {'Authorization': ''}),
        'an unknown model': (PATH, _encode(model='x', prompt=PROMPT), {}),
        'an unknown path': ('/v2/completions', good, {}),
        'a body over the limit': (
            PATH,
            _encode(model=model, prompt='a' * OVERSIZE),
            {},
        ),
        'a spaced idempotency key': (PATH, good, {'Idempotency-Key': 'a b'}),
        'a header over the limit': (PATH, good, {'X-Long': 'a' * OVERSIZE}),
    }[fault]


def _count_runs(context):
    kinds = (deployment.ENGINE, deployment.SERVICE)
    return sum(len(context.running.read_runs(kind)) for kind in kinds)


@behave.when('a caller sends a request with {fault}')
def send_malformed(context, fault):
    path, body, headers = _build_fault(context, fault)
    context.before = _count_runs(context)
    context.answer = _make_caller(context, 0).send('POST', path, body, headers)


@behave.then('it is refused with status {status:d} and outcome "{outcome}"')
def check_refusal(context, status, outcome):
    found = (context.answer.status, context.answer.outcome)
    assert found == (status, outcome), (found, context.answer.body)


@behave.then('it is refused with a 4xx status')
def check_client_error(context):
    status = context.answer.status
    assert 400 <= status < 500, (status, context.answer.body)


@behave.then('the endpoints recorded no new run')
def check_no_run(context):
    assert _count_runs(context) == context.before


def _is_away(context, entry, engine):
    state = context.running.read_state(f'entry-{entry}')
    agents = {one['name']: one for one in state['fleet']['agents']}
    # The entry does not list an agent while it replaces the link to it.
    found = agents.get(f'agent-{engine}')
    return found is not None and found['away']


@behave.when('engine "{engine}" is killed and entry {entry:d} knows')
def kill_engine(context, engine, entry):
    running = context.running
    running.started[engine].kill()
    # Other scenarios of the feature share this deployment.
    context.stack.callback(
        lambda: running.started[engine].is_running or running.restart(engine)
    )
    assert processes.wait_for(
        lambda: _is_away(context, entry, engine), PATIENCE_SECONDS
    )


@behave.then('{count:d} completions from entry {entry:d} are all whole')
def check_whole(context, count, entry):
    caller = _make_caller(context, entry)
    answers = [
        caller.complete(
            f'{PROMPT} {number}', model=context.running.model, max_tokens=2
        )
        for number in range(count)
    ]
    found = [(one.outcome, one.code) for one in answers]
    assert found == [(outcomes.Outcome.COMPLETE, '')] * count, found


@behave.then('engine "{engine}" serves again after a restart')
def restart_engine(context, engine):
    context.running.restart(engine)
    caller = _make_caller(context, 0)

    def serves():
        caller.complete(PROMPT, model=context.running.model, max_tokens=1)
        return bool(context.running.read_endpoint_runs(engine))

    assert processes.wait_for(serves, PATIENCE_SECONDS)
