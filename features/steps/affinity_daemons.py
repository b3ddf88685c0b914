"""Steps for prefix caches in agents, in entries and in a deployment."""

import time

import behave
from dunlintide_adapters import cacheevents
from dunlintide_adapters import engine as engines
from dunlintide_adapters.wire import link_pb2
from dunlintide_core import affinity
from dunlintide_core import cacheupdates
from dunlintide_daemon.agent import caching
from dunlintide_daemon.agent import counts as counting
from dunlintide_daemon.entry import modelplanning
from dunlintide_standins import reference
from dunlintide_trials import deployment
from dunlintide_trials import launcher
import standin_engine
import urllib3

_TEXT = 'Write the dinner specials of a diner on the interstate. ' * 24
_WAIT_SECONDS = 60.0


def _wait_until(condition, show):
    deadline = time.monotonic() + _WAIT_SECONDS
    while not condition():
        assert time.monotonic() < deadline, show()
        time.sleep(0.1)


def _read_plans(context, entry):
    name = context.running.plan.entries[entry].name
    return context.running.read_state(name)['plans'][0]


def _read_published_counts(context):
    """Return how many prefixes each agent that ran the prompt published."""
    return [
        context.running.read_state(agent.name)['cache']['told']
        for agent in context.running.plan.agents
        if agent.endpoint.standin.name in context.ran
    ]


def _is_idle(context, entry):
    """Return whether an entry knows of no load, which outweighs affinity."""
    plans = _read_plans(context, entry)
    counts = [*plans['in_flight'].values(), *plans['reported'].values()]
    return counts and not any(counts)


def _ask(context, entry, team, prompt):
    """Run a prompt and return the names of the engines that ran it."""
    running = context.running
    caller = running.make_caller(entry, team)
    context.stack.callback(caller.close)
    answer = caller.complete(prompt, model=running.model, max_tokens=2)
    assert answer.is_complete, (answer.status, answer.outcome)
    return {
        run['endpoint']
        for run in running.read_runs(deployment.ENGINE)
        if run['request_id'] == answer.request_id
    }


def _count_hits(context):
    return sum(
        context.running.control(agent.endpoint.standin.name)['cache_hits']
        for agent in context.running.plan.agents
        if agent.endpoint.kind == deployment.ENGINE
    )


@behave.given('a small deployment with cached prompts')
def start_deployment(context):
    example = context.root / launcher.EXAMPLE
    context.running = context.stack.enter_context(launcher.run_small(example))
    context.team, context.other = list(context.running.keys)[:2]


@behave.when("a team's prompt ran through entry {entry:d}")
def run_first(context, entry):
    context.ran = _ask(context, entry, context.team, _TEXT)
    assert len(context.ran) > 1, context.ran


@behave.when('entry {entry:d} was told of it')
def wait_told(context, entry):
    def is_published():
        published = _read_published_counts(context)
        received = _read_plans(context, entry)['prefixes_told']
        return min(published) > 0 and received >= sum(published)

    _wait_until(is_published, lambda: _read_published_counts(context))


@behave.then(
    'longer prompts of the team through entry {entry:d} run on the same '
    'engines'
)
def check_back(context, entry):
    context.before = _count_hits(context)
    for index in range(6):
        _wait_until(
            lambda: _is_idle(context, entry),
            lambda: _read_plans(context, entry),
        )
        prompt = f'{_TEXT} And now number {index} of the longer ones.'
        ran = _ask(context, entry, context.team, prompt)
        assert ran == context.ran, (index, ran, context.ran)
    context.hits = _count_hits(context) - context.before


@behave.then(
    "another team's prompts through entry {entry:d} find nothing known"
)
def check_other(context, entry):
    before = _read_plans(context, entry)
    _ask(context, entry, context.other, _TEXT)
    after = _read_plans(context, entry)
    assert after['prompts'] == before['prompts'] + 1, (before, after)
    assert after['prompts_known'] == before['prompts_known'] > 0, after


@behave.then("entry {entry:d}'s metrics count the prompts with a known holder")
def check_metrics(context, entry):
    plan = context.running.plan.entries[entry]
    known = _read_plans(context, entry)['prompts_known']
    text = urllib3.request('GET', f'{plan.admin_url}/metrics').data.decode()
    assert f'dunlintide_prompts_total{{holder="known"}} {known}.0' in text


@behave.then("most of the longer prompts' start is found in the caches")
def check_hits(context):
    asked = 6 * len(context.ran) * len(reference.tokenize(_TEXT))
    assert context.hits > 0.8 * asked, (context.hits, asked)


class _Session:
    """The attributes of an agent's session that the cache monitor reads."""

    def __init__(self, name, text, tokens):
        blocks = affinity.hash_blocks('salt-diner', text)
        self.request_id = name
        self.prompt_tokens = tokens
        self.prefixes = link_pb2.Prefixes(blocks=blocks, characters=len(text))


def _start_source(context):
    engine = standin_engine.start_engine(
        context, cache_event_lag_seconds=0.0, cache_event_loss=0.0
    )
    client = engines.Engine(f'http://127.0.0.1:{engine.port}')
    context.stack.callback(client.close)
    return engine, cacheevents.EventReader(client)


@behave.given("an agent's reader of a stand-in engine's cache events")
def give_reader(context):
    context.standin, source = _start_source(context)
    context.reader = caching.CacheMonitor(source, counting.Counts(), 8)


@behave.when('a prompt runs on that engine and the reader polls twice')
def run_and_poll(context):
    tokens = len(reference.tokenize(_TEXT))
    context.session = _Session('one', _TEXT, tokens)
    standin_engine.run_step(
        context.standin, session='one', cache_salt='salt', prompt=_TEXT
    )
    context.reader.poll(0.0)
    # The length of a prompt is known only after its first step.
    context.reader.record_prompt(context.session)
    context.reader.poll(1.0)


@behave.then(
    'the reader publishes the end of the prompt, and a snapshot to a new link'
)
def check_reader(context):
    load = context.reader.add_update(link_pb2.Load(running=1))
    context.published = list(load.cache.held)
    blocks = list(context.session.prefixes.blocks)
    assert load.running == 1 and len(context.published) == 1
    # The engine's last block ends a little before the prompt does.
    assert context.published[0] in blocks[-2:], (context.published, blocks)
    again = context.reader.add_snapshot(link_pb2.Load()).cache
    assert again.all and list(again.held) == context.published


@behave.when('that engine is started anew and the reader polls')
def restart_and_poll(context):
    _, source = _start_source(context)
    context.reader._source = source
    context.reader.poll(2.0)


@behave.then('the reader withdraws what it published')
def check_taken_back(context):
    update = context.reader.add_update(link_pb2.Load()).cache
    assert list(update.lost) == context.published and not update.held
    assert context.reader.describe()['sequence'] == 0


@behave.then('events that cannot be read change nothing')
def check_unread(context):
    client = engines.Engine('http://127.0.0.1:1')
    context.stack.callback(client.close)
    before = context.reader.describe()
    context.reader._source = cacheevents.EventReader(client)
    context.reader.poll(3.0)
    assert context.reader.describe() == before


def _apply_update(model_planner, *held, is_snapshot=False, moment=1.0):
    update = cacheupdates.Update(held, all=is_snapshot)
    model_planner.enqueue(
        modelplanning.TimedCacheUpdate('agent', update, moment)
    )
    model_planner.refresh((), moment)


@behave.given("an entry's plan with prefixes that an agent published")
def give_told(context):
    context.model_planner = modelplanning.ModelPlanner(1, False)
    _apply_update(context.model_planner, 11, 12, moment=time.monotonic())


@behave.when('the agent sends a snapshot without one of them')
def tell_anew(context):
    later = time.monotonic() + 0.001
    _apply_update(context.model_planner, 12, is_snapshot=True, moment=later)


@behave.then('the entry finds the others and not that one')
def check_dropped(context):
    held = context.model_planner._affinity
    now = time.monotonic() + 1.0
    assert held.find([12], now) == {'agent': 1.0}
    assert not held.find([11], now)
