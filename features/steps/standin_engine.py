"""Steps for the stand-in of the engine."""

import time

import behave
from dunlintide_standins.engine import server as engine_server
from dunlintide_standins import reference
import standin_calls

LAYERS = 8
MODEL = 'copy-7b'


def start_engine(context, **settings):
    config = engine_server.Config(base_seconds=0.0, **settings)
    return standin_calls.start(
        context, engine_server.Engine.from_config(config)
    )


def run_step(engine, **step):
    steps = standin_calls.post(engine, '/v1/steps', {'steps': [step]})
    return steps['results'][0]


def generate(engines, session, count, max_tokens, **first):
    """Run steps of a session through a chain until it has its tokens."""
    tokens = []
    step = dict(session=session, max_tokens=max_tokens, **first)
    while len(tokens) < count:
        for engine in engines:
            last = engine is engines[-1]
            result = run_step(engine, **step, last_stage=last)
            assert 'error' not in result, result
            step.setdefault('prompt_tokens', result['count'])
            step.pop('prompt', None)
            step.pop('tokens', None)
            step['activations'] = result.get('activations')
        token = result['token']
        tokens.append(token)
        step['position'] += result['count']
        step['tokens'] = [token['id']]
        step['activations'] = None
    return tokens, step


@behave.given('stand-in engines that split the layers at "{splits}"')
def given_chain(context, splits):
    ends = [int(end) for end in splits.split(',')]
    context.engines = [
        start_engine(context, layer_start=low, layer_end=high)
        for low, high in zip([0, *ends], ends)
    ]


@behave.step(
    'stand-in session "{name}" generates {count:d} tokens for "{prompt}"'
)
def generate_all(context, name, count, prompt):
    context.prompt, context.max_tokens = prompt, count
    context.tokens, _ = generate(
        context.engines, name, count, count, prompt=prompt, position=0
    )


@behave.given(
    'stand-in session "{name}" generates {count:d} of {total:d} '
    'tokens for "{prompt}"'
)
def generate_some(context, name, count, total, prompt):
    context.prompt, context.max_tokens = prompt, total
    context.tokens, context.step = generate(
        context.engines, name, count, total, prompt=prompt, position=0
    )


@behave.when('stand-in session "{name}" moves to a new stand-in engine')
def move_session(context, name):
    state = standin_calls.post(
        context.engines[0], f'/v1/sessions/{name}/export', {}
    )
    context.engines = [start_engine(context)]
    standin_calls.post(
        context.engines[0], f'/v1/sessions/{name}/import', state
    )


def generate_remaining(context, name, step):
    """Generate the remaining tokens of a session."""
    left = context.max_tokens - len(context.tokens)
    tokens, _ = generate(
        context.engines, name, left, context.max_tokens, **step
    )
    context.tokens += tokens


@behave.when('stand-in session "{name}" goes on there to its end')
def finish_moved(context, name):
    keys = ('prompt_tokens', 'position', 'tokens')
    generate_remaining(context, name, {key: context.step[key] for key in keys})


@behave.when(
    'stand-in session "{name}" goes on in epoch 2 '
    'with the state that was kept'
)
def resume_kept(context, name):
    keys = ('prompt_tokens', 'position', 'tokens')
    step = {key: context.step[key] for key in keys}
    generate_remaining(context, name, dict(step, epoch=2))


@behave.when(
    'stand-in session "{name}" goes on in epoch 2 '
    'with a wrong position truncated'
)
def resume_truncated(context, name):
    keys = ('prompt_tokens', 'position', 'tokens')
    step = {key: context.step[key] for key in keys}
    wrong = dict(step, tokens=[1], epoch=1, max_tokens=99)
    for engine in context.engines:
        result = run_step(engine, session=name, **wrong)
        assert result['count'] == 1, result
        wrong.pop('tokens', None)
        wrong['activations'] = result.get('activations')
    generate_remaining(context, name, dict(step, epoch=2, truncate=True))


@behave.when(
    'stand-in session "{name}" goes on in epoch 2 '
    'from the prompt and 4 tokens'
)
def resume_anew(context, name):
    step = {
        'epoch': 2,
        'position': 0,
        'prompt': context.prompt,
        'tokens': [token['id'] for token in context.tokens],
        'prompt_tokens': context.step['prompt_tokens'],
    }
    generate_remaining(context, name, step)


@behave.then('stand-in session "{name}" has the tokens of the reference')
def check_tokens(context, name):
    expected = reference.expected_tokens(
        context.prompt, context.max_tokens, LAYERS, MODEL
    )
    got = [
        reference.Token(token['id'], token['text'], token['finish_reason'])
        for token in context.tokens
    ]
    assert got == expected, got


@behave.then('each stand-in engine ran each of its layers once a position')
def check_runs(context):
    prompt = len(context.prompt.split())
    positions = prompt + context.max_tokens - 1
    for engine in context.engines:
        (run,) = standin_calls.call(engine, 'GET', '/runs').json()
        layers = run['layer_end'] - run['layer_start']
        assert run['positions'] == positions, run
        assert run['layer_steps'] == positions * layers, run


@behave.then('the stand-in engine refuses these steps of session "{name}"')
def check_refusals(context, name):
    for row in context.table:
        result = run_step(
            context.engines[0],
            session=name,
            epoch=int(row['epoch']),
            position=int(row['position']),
            tokens=[1],
        )
        assert result['error'] == row['error'], result


@behave.given('a stand-in engine with {count:d} tokens of KV memory')
def given_small_engine(context, count):
    context.engine = start_engine(context, kv_tokens=count)


def run_prompt(context, name, count):
    prompt = ' '.join(['word'] * count)
    return run_step(context.engine, session=name, prompt=prompt)


@behave.then(
    'the stand-in engine takes a prompt of {count:d} words as session "{name}"'
)
def check_taken(context, count, name):
    assert run_prompt(context, name, count)['count'] == count


@behave.then(
    'the stand-in engine refuses a prompt of {count:d} words '
    'as session "{name}"'
)
def check_full(context, count, name):
    assert run_prompt(context, name, count)['error'] == 'kv-full'


@behave.when('stand-in session "{name}" is deleted from the stand-in engine')
def delete_session(context, name):
    answer = standin_calls.call(
        context.engine, 'DELETE', f'/v1/sessions/{name}'
    )
    assert answer.status == 200


@behave.given('a stand-in engine that {checks} fencing numbers')
def given_fencing(context, checks):
    context.engine = start_engine(context, checks_fence=checks == 'checks')


@behave.when(
    'the stand-in engine gets orders with the fencing numbers '
    '{first:d} and {then:d}'
)
def give_orders(context, first, then):
    order = dict(model='m', version='2', layer_start=0, layer_end=4)
    standin_calls.post(context.engine, '/v1/orders', dict(order, fence=first))
    order = dict(order, fence=then, layer_end=2)
    answer = standin_calls.call(context.engine, 'POST', '/v1/orders', order)
    context.status = answer.status


@behave.then('the stand-in engine answers the second order with {status:d}')
def check_order(context, status):
    assert context.status == status, context.status


@behave.when(
    'stand-in sessions with the salts "{a}", "{b}" and "{c}" ask for the same '
    '{count:d} words'
)
def ask_with_salts(context, a, b, c, count):
    prompt = ' '.join(['word'] * count)
    for index, salt in enumerate((a, b, c)):
        session = f's{index}'
        run_step(
            context.engines[0],
            session=session,
            prompt=prompt,
            cache_salt=salt,
        )


@behave.then("{count:d} tokens were found in the stand-in engine's cache")
def check_hits(context, count):
    state = standin_calls.call(context.engines[0], 'GET', '/control').json()
    assert state['cache_hits'] == count, state


@behave.given(
    'a stand-in engine whose load lags by 1 second and that loses '
    'half of its cache events'
)
def given_lagging_engine(context):
    context.engine = start_engine(
        context,
        load_lag_seconds=1.0,
        cache_event_lag_seconds=1.0,
        cache_event_loss=0.5,
    )


@behave.then(
    "the stand-in engine's load and cache events show late, with gaps"
)
def check_lags(context):
    started = time.monotonic()
    run_prompt(context, 'a', 16 * 40)

    def read(path):
        return standin_calls.call(context.engine, 'GET', path).json()

    assert 'running' in read('/v1/load')
    standin_calls.wait_until(lambda: read('/v1/load')['running'] == 1)
    assert time.monotonic() - started >= 1.0
    started = time.monotonic()
    prompt = ' '.join(['word'] * 16 * 40)
    run_step(context.engine, session='b', cache_salt='b', prompt=prompt)
    path = '/v1/cache_events?since=40'
    standin_calls.wait_until(lambda: read(path)['events'])
    assert time.monotonic() - started >= 1.0
    events = read(path)['events']
    sequences = [event['sequence'] for event in events]
    assert sequences == sorted(set(sequences)), sequences
    assert 40 < sequences[0] <= sequences[-1] <= 80, sequences
    assert 5 <= len(sequences) <= 35, sequences
