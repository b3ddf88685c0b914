"""Steps for the quarantine of requests that crash endpoints."""

import pathlib
import random
import tempfile
import threading

import behave
from dunlintide_core import poison
import hypothesis
from hypothesis import strategies

from dunlintide_trials import blueprints
from dunlintide_trials import deployment
from dunlintide_trials import launcher
from dunlintide_trials import operators
from dunlintide_trials import plans
from dunlintide_trials import processes
from dunlintide_trials import records

PLACE = poison.LayerRange('copy-7b', 0, 8)
LIMITS = poison.Limits()
REPEATS = 10
MAX_CRASHES = 3
WAIT_SECONDS = 60.0
QUARANTINE_SECONDS = 15.0
STREAM_TOKENS = 300
STREAMS = 6


def make_crash(number, endpoint, *suspects):
    accused = tuple(poison.Suspect(*one) for one in suspects)
    return poison.Crash(
        f'crash-{number}', endpoint, PLACE, accused, LIMITS.seconds
    )


class Model:
    """Endpoints that exchange crash evidence after each batch."""

    def __init__(self, rng, endpoints):
        self.rng = rng
        self.nodes = [poison.Evidence() for _ in range(endpoints)]
        self.crashes = 0

    def share(self):
        known = [list(node.list_crashes()) for node in self.nodes]
        for node in self.nodes:
            for crash in self.rng.sample(known, len(known)):
                for one in crash:
                    node.add(one, 0.0)

    def pick(self, node, pending):
        batch = self.rng.sample(pending, self.rng.randint(1, len(pending)))
        for one in batch:
            if node.must_run_alone(*one, PLACE):
                return [one]
        return batch

    def run(self, pending, culprits):
        """Run until all requests end and return the refused ones."""
        refused = set()
        while pending:
            index = self.rng.randrange(len(self.nodes))
            node = self.nodes[index]
            batch = self.pick(node, pending)
            held = [one for one in batch if node.is_quarantined(one[0])]
            if held:
                refused.update(held)
                pending = [one for one in pending if one not in held]
            elif culprits.intersection(batch):
                self.crashes += 1
                crash = make_crash(self.crashes, f'agent-{index}', *batch)
                node.add(crash, 0.0)
                # Evidence spreads before callers can retry.
                self.share()
            else:
                for one in batch:
                    node.record_step(one[0], PLACE, 10)
                pending = [one for one in pending if one not in batch]
                self.share()
        return refused


@behave.given('requests of three teams, a few of which crash what runs them')
def draw_requests(context):
    context.requests = [
        (bytes([number]), f'team-{number % 3}') for number in range(24)
    ]


@behave.then(
    'each costs at most {bound:d} crashes and all others run to the end'
)
def check_narrowing(context, bound):
    @hypothesis.settings(deadline=None, derandomize=True, max_examples=300)
    @hypothesis.given(
        strategies.integers(0, 2**32),
        strategies.integers(1, 5),
        strategies.integers(1, 3),
    )
    def check(seed, endpoints, count):
        rng = random.Random(seed)
        culprits = set(rng.sample(context.requests, count))
        model = Model(rng, endpoints)
        refused = model.run(context.requests, culprits)
        assert refused == culprits, (refused, culprits)
        assert count <= model.crashes <= bound * count, model.crashes
        for node in model.nodes:
            accused = set()
            for crash in node.list_crashes():
                accused.update(one.fingerprint for one in crash.suspects)
            assert accused <= {one[0] for one in culprits}, accused

    check()


@behave.given(
    'a team that has crashed {count:d} endpoints with different ' 'requests'
)
def crash_many(context, count):
    context.evidence = poison.Evidence()
    for number in range(count):
        crash = make_crash(number, f'agent-{number}', (b'%d' % number, 'bad'))
        assert not context.evidence.must_run_alone(b'new', 'bad', PLACE)
        context.evidence.add(crash, 0.0)


@behave.then('its new requests run alone until one has run')
def check_watched(context):
    evidence = context.evidence
    assert evidence.must_run_alone(b'new', 'bad', PLACE)
    assert not evidence.is_quarantined(b'new')
    evidence.record_step(b'new', PLACE, 10)
    assert not evidence.must_run_alone(b'new', 'bad', PLACE)
    evidence.add(make_crash(9, 'agent-9', (b'newer', 'bad')), 0.0)
    assert evidence.is_quarantined(b'newer')


@behave.then('those of another team run in batches')
def check_unwatched(context):
    assert not context.evidence.must_run_alone(b'new', 'good', PLACE)


@behave.given('a request that crashed two endpoints alone')
def crash_twice(context):
    context.evidence = poison.Evidence()
    for number in range(2):
        crash = make_crash(number, f'agent-{number}', (b'x', 'diner'))
        context.evidence.add(crash, 0.0)


@behave.then('it is quarantined until the crashes are forgotten')
def check_expiry(context):
    evidence = context.evidence
    evidence.expire(LIMITS.seconds - 1)
    [held] = evidence.list_quarantines(LIMITS.seconds - 1)
    assert (held.team, held.crashes, held.seconds) == ('diner', 2, 1.0)
    evidence.expire(LIMITS.seconds)
    assert not evidence.is_quarantined(b'x')
    assert not evidence.must_run_alone(b'x', 'diner', PLACE)


def restart_engines(running, stopped):
    engines = running.list_processes(deployment.ENGINE)
    while not stopped.wait(0.1):
        for engine in engines:
            if not engine.is_running:
                running.restart(engine.name)


@behave.given(
    'a deployment whose crashed engines, reached {way}, are started again'
)
def start_deployment(context, way):
    # A forwarder accepts connections even while the engine is down.
    hops = () if way == 'directly' else (plans.Hop.AGENT_ENGINE,)
    example = context.root / launcher.EXAMPLE
    blueprint = blueprints.load_blueprint(example)
    rules = operators.load_rules(example.parent / blueprint.rules)
    for rule in rules['rules']:
        # Limits would refuse the repeats before the quarantine does.
        rule['then'].pop('rate', None)
        rule['then'].pop('concurrency', None)
    folder = pathlib.Path(
        context.stack.enter_context(tempfile.TemporaryDirectory())
    )
    small = blueprints.shrink(blueprint)
    context.running = context.stack.enter_context(
        launcher.run(
            small,
            rules,
            folder,
            hops=hops,
            timing={'quarantine': QUARANTINE_SECONDS},
        )
    )
    stopped = threading.Event()
    thread = threading.Thread(
        target=restart_engines, args=(context.running, stopped), daemon=True
    )
    thread.start()
    context.stack.callback(thread.join)
    context.stack.callback(stopped.set)


def ask(context, entry, team, prompt, max_tokens):
    caller = context.running.make_caller(entry, team)
    context.stack.callback(caller.close)
    return caller.complete(
        prompt, model=context.running.model, max_tokens=max_tokens, stream=True
    )


def describe_streams(context):
    """Return outcomes and engine runs for the assertion message."""
    runs = context.running.read_runs(deployment.ENGINE)
    found = [
        (one.answer.outcome, one.answer.code, one.answer.error)
        for one in context.asked
    ]
    begun = [(run['endpoint'], run['member'], run['epoch']) for run in runs]
    return found, begun


@behave.when(
    "a team sends a crashing prompt {count:d} times among others' streams"
)
def send_poison(context, count):
    send_among(context, f'Tonight {blueprints.CRASH_MARKER} only', count)


@behave.when(
    'a team sends a prompt that crashes the {stage} stage {count:d} times '
    "among others' streams"
)
def send_later_poison(context, stage, count):
    [pipeline] = context.running.plan.blueprint.pipelines
    crashing = pipeline.stages[('first', 'middle', 'last').index(stage)]
    word = blueprints.make_crash_word(crashing.layer_start)
    send_among(context, f'{word} tonight only', count)


def count_quarantines(running):
    return [
        len(running.read_state(entry.name)['poison']['quarantined'])
        for entry in running.plan.entries
    ]


def send_among(context, prompt, count):
    running = context.running
    team, *others = running.keys
    entries = len(running.plan.entries)
    context.asked = []

    def stream(number):
        name = others[number % len(others)]
        prompt = f'Friday specials of screen {number}'
        answer = ask(context, number % entries, name, prompt, STREAM_TOKENS)
        asked = records.SentRequest(name, answer, prompt, STREAM_TOKENS)
        context.asked.append(asked)

    threads = [
        threading.Thread(target=stream, args=(number,), daemon=True)
        for number in range(STREAMS)
    ]
    for thread in threads:
        thread.start()
    assert processes.wait_for(
        lambda: len(running.read_runs(deployment.ENGINE)) >= 3 * STREAMS,
        WAIT_SECONDS,
    ), describe_streams(context)
    context.answers = [
        ask(context, number % entries, team, prompt, 4)
        for number in range(count)
    ]
    # Counted before the streams end, as the quarantine may expire first.
    context.quarantines = count_quarantines(running)
    for thread in threads:
        thread.join(WAIT_SECONDS)


@behave.then(
    'at most {bound:d} engines crashed, and the last sends were ' 'refused'
)
def check_crashes(context, bound):
    engines = context.running.list_processes(deployment.ENGINE)
    crashes = sum(engine.starts - int(engine.is_running) for engine in engines)
    found = [(one.status, one.code, one.outcome) for one in context.answers]
    assert 1 <= crashes <= bound, (crashes, found)
    assert set(found[bound:]) == {(422, 'quarantined', 'not-run')}, found
    assert found[0][2] == 'unknown', found


@behave.then("the others' streams are the reference answers")
def check_streams(context):
    running = context.running
    assert len(context.asked) == STREAMS
    for asked in context.asked:
        answer = asked.answer
        assert answer.is_complete, (answer.outcome, answer.error)
        assert not records.check_text(
            asked, model=running.model, layers=running.layers
        )


@behave.then('every entry shows the quarantine until it ends')
def check_dumps(context):
    running = context.running
    found = context.quarantines
    assert found == [1] * len(running.plan.entries), found
    assert processes.wait_for(
        lambda: not any(count_quarantines(running)), WAIT_SECONDS
    )
