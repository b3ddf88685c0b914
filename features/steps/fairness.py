"""Steps for fair sharing of threads, queues, slots and KV memory."""

import collections
from concurrent import futures
import random
import threading

import behave
from dunlintide_adapters import httpserver
from dunlintide_adapters import requestlimiter
from dunlintide_core import queueing
from dunlintide_core import slots
from dunlintide_standins.engine import messages
from dunlintide_standins.engine import sessions as standin
from dunlintide_trials import blueprints
from dunlintide_trials import launcher
import urllib3
import waiting

WAIT_SECONDS = 20.0
wait_until = waiting.make_wait(WAIT_SECONDS)


class BlockingApplication:
    """Hold admitted requests until release; refuse others with 429."""

    def __init__(self):
        self.release = threading.Event()
        self.running = threading.Semaphore(0)

    def __call__(self, environ, start_response):
        if not environ[requestlimiter.JOIN_GROUP](environ['PATH_INFO']):
            start_response('429 Too Many Requests', [])
            return [b'']
        start_response('200 OK', [])
        self.running.release()
        self.release.wait(WAIT_SECONDS)
        return [b'']


@behave.given(
    'an HTTP server of {threads:d} threads whose requests name their groups'
)
def serve_groups(context, threads):
    context.grouped = BlockingApplication()
    pool = context.stack.enter_context(futures.ThreadPoolExecutor(threads))
    server = httpserver.HttpServer.from_config(
        context.grouped, '127.0.0.1:0', threads
    )
    server.start()
    context.stack.callback(server.stop, 0)
    context.stack.callback(context.grouped.release.set)
    http = context.stack.enter_context(urllib3.PoolManager(maxsize=threads))
    url = f'http://127.0.0.1:{server.port}'
    context.send_grouped = lambda group: pool.submit(
        http.request, 'GET', f'{url}/{group}', retries=False
    )
    context.grouped_server = server
    context.held = []


def open_request(context, group):
    """Send a request and return whether it runs rather than is refused."""
    running = [one for one in context.held if not one.done()]
    wait_until(lambda: context.grouped_server.in_flight == len(running))
    sent = context.send_grouped(group)
    while not sent.done():
        if context.grouped.running.acquire(timeout=0.02):
            context.held.append(sent)
            return True
    assert sent.result().status == 429, sent.result().status
    return False


@behave.when('{count:d} requests of group "{group}" are open')
def open_requests(context, count, group):
    context.ran = [open_request(context, group) for _ in range(count)]


@behave.then(
    '{count:d} of them run and the others are refused by the ' 'application'
)
def check_ran(context, count):
    expected = [number < count for number in range(len(context.ran))]
    assert context.ran == expected, context.ran


@behave.when('a request of group "{group}" is sent')
def send_one(context, group):
    context.beside = open_request(context, group)


@behave.then('it runs beside them')
def check_beside(context):
    assert context.beside


@behave.when('all of them have ended')
def end_all(context):
    context.grouped.release.set()
    for sent in context.held:
        assert sent.result(WAIT_SECONDS).status == 200


@behave.then('no group holds a thread')
def check_free(context):
    context.grouped.release.clear()
    open_requests(context, 20, 'other')
    check_ran(context, 8)


def queue_one(context, team, cost):
    ticket = queueing.Ticket(team, 1.0, 1, cost, 0.0, None)
    assert context.fair.push(ticket, 1e9, 0.0) is None


def pick_one(context):
    ticket = context.fair.pick(0.0, lambda _: True)
    if ticket.team == 'flood':
        queue_one(context, 'flood', ticket.cost)
    return ticket


@behave.given(
    'a fair queue that team "flood" fills with requests of cost {cost:d}'
)
def fill_fair(context, cost):
    context.fair = queueing.Queue()
    for _ in range(200):
        queue_one(context, 'flood', cost)


@behave.when(
    '{count:d} requests are picked and team "{team}" queues one of cost '
    '{cost:d}'
)
def pick_and_queue(context, count, team, cost):
    for _ in range(count):
        pick_one(context)
    queue_one(context, team, cost)


@behave.then('the next pick is of team "{team}"')
def check_next(context, team):
    assert pick_one(context).team == team


# Number of waiting requests, their estimated and their actual cost.
REQUEST_KINDS = {
    'requests one at a time': (1, 500, 500),
    'requests of four times the cost that was estimated': (50, 125, 500),
    'many tiny requests': (200, 5, 5),
    'huge requests': (50, 60_000, 60_000),
}


@behave.when('team "{team}" sends {kind} while {count:d} requests are picked')
def pick_mixed(context, team, kind, count):
    waiting, estimate, real = REQUEST_KINDS[kind]
    for _ in range(waiting):
        queue_one(context, team, estimate)
    spent = collections.Counter()
    least = count * 500
    while sum(spent.values()) < least or max(spent.values()) < 20 * real:
        ticket = pick_one(context)
        cost = ticket.cost
        if ticket.team == team:
            cost = real
            queue_one(context, team, estimate)
        context.fair.adjust_cost(ticket, cost)
        spent[ticket.team] += cost
    context.spent = spent


@behave.then('the real cost of "{team}" is from {least:f} to {most:f} of all')
def check_spent(context, team, least, most):
    part = context.spent[team] / sum(context.spent.values())
    assert least <= part <= most, part


@behave.given(
    '{limit:d} slots of which team "{team}" of weight {weight:d} uses '
    '{most:d} at most'
)
def make_slots(context, limit, team, weight, most):
    context.slots = slots.Slots(0.0)
    context.limit = limit
    context.steady = (team, weight, most)


@behave.given('team "{team}" of weight {weight:d} wants as many as it can get')
def queue_flood(context, team, weight):
    context.flood = team
    for _ in range(100):
        context.slots.add_request(team, weight)


def fill_slots(context, running):
    while sum(running.values()) < context.limit and context.slots.may_start(
        context.flood, sum(running.values()), context.limit
    ):
        context.slots.start(context.flood)
        running[context.flood] += 1


@behave.when('teams come and go for {count:d} moments')
def simulate_arrivals(context, count):
    rng = random.Random(0)
    team, weight, most = context.steady
    running = collections.Counter()
    context.missed = []
    for tick in range(count):
        now = tick * 0.01
        context.slots.tick(now)
        if running[team] < most and rng.random() < 0.7:
            context.slots.add_request(team, weight)
            total = sum(running.values())
            if total >= context.limit and now > 1.0:
                context.missed.append(now)
            if total < context.limit:
                context.slots.start(team)
                running[team] += 1
            else:
                context.slots.end(team, False)
        elif running[team]:
            context.slots.end(team, True)
            running[team] -= 1
        if running[context.flood] and rng.random() < 0.5:
            context.slots.end(context.flood, True)
            context.slots.add_request(context.flood, 3.0)
            running[context.flood] -= 1
        fill_slots(context, running)
    context.running = running


@behave.then('a slot was free each time that "{team}" came')
def check_missed(context, team):
    assert context.running[team] and not context.missed, context.missed


@behave.then(
    '"{flood}" had all {limit:d} slots once "{team}" had been away for '
    '{seconds:d} s'
)
def check_work_conserving(context, flood, limit, team, seconds):
    for _ in range(context.running.pop(team)):
        context.slots.end(team, True)
    end = 10.0 + seconds
    for now in (end - 5.0, end):
        fill_slots(context, context.running)
        context.slots.tick(now)
    fill_slots(context, context.running)
    assert context.running[flood] == limit, context.running


def run_positions(context, name, position, count):
    step = messages.Step(session=name, position=position)
    return context.kv.run(step, [1] * count)


@behave.given(
    'stand-in sessions in a KV memory of {size:d} positions that preempts'
)
def make_memory(context, size):
    holding = standin.Holding('m', '1', 0, 1)
    context.kv = standin.Sessions(holding, size, 0)


@behave.when(
    'sessions "{old}" and "{new}" of the stand-in fill {count:d} positions '
    'each'
)
def fill_memory(context, old, new, count):
    for name in (old, new):
        assert context.kv.preempt_for(name, count) == 0
        assert run_positions(context, name, 0, count).error is None


@behave.then(
    '"{old}" gets room for {count:d} more, and "{new}" has to wait for its '
    'next step'
)
def check_preempted(context, old, count, new):
    assert context.kv.preempt_for(new, count) is None
    assert context.kv.preempt_for(old, count) == 0
    assert run_positions(context, old, 9, count).error is None
    assert context.kv.preempted == 1
    assert context.kv.preempt_for(new, 1) is None


@behave.when('the stand-in\'s session "{name}" is freed')
def free_session(context, name):
    assert context.kv.free(name)


@behave.then('"{name}" goes on after {count:d} positions have been run again')
def check_recomputed(context, name, count):
    assert context.kv.preempt_for(name, 1) == count
    assert run_positions(context, name, count, 1).error is None
    assert context.kv.used == count + 1


@behave.given(
    'two heads and four later stages that take one request at a time'
)
def start_crossed(context):
    # Capacities are unequal so that the plan must cross the later stages.
    capacities = {0: (400.0, 400.0), 4: (600.0, 200.0), 8: (400.0, 400.0)}
    stages = tuple(
        blueprints.Stage(start, start + 4, 1, '', rate, max_in_flight=1)
        for start, rates in capacities.items()
        for rate in rates
    )
    blueprint = blueprints.Blueprint(
        name='crossed',
        region='here',
        failure_domains=('east', 'west'),
        entries=1,
        rules='',
        pipelines=(blueprints.Pipeline('m', 12, stages),),
        services=(),
    )
    rules = {
        'members': [{'name': 'a', 'key_hashes': []}],
        'models': [{'name': 'm', 'layers': 12}],
        'rules': [
            {'name': 'all', 'when': {}, 'then': {'deadline_seconds': 120}}
        ],
    }
    context.crossed = context.stack.enter_context(
        launcher.run(blueprint, rules, context.make_folder())
    )
    entry = context.crossed.plan.entries[0].name
    context.crossed.started[entry].wait_ready(
        lambda: has_planned(context.crossed, entry, len(stages))
    )


def has_planned(crossed, entry, count):
    # Until its plan covers all stages, an entry uses the first usable ones.
    plans = crossed.read_state(entry)['plans']
    return any(len(one['shares']) == count for one in plans)


@behave.when('{count:d} completions are asked for at once')
def ask_crossed(context, count):
    caller = context.crossed.make_caller(0, 'a')
    with futures.ThreadPoolExecutor(count) as pool:
        context.crossed_answers = list(
            pool.map(
                lambda number: caller.complete(
                    f'crossed {number}', model='m', max_tokens=8
                ),
                range(count),
            )
        )


@behave.then('all of them are answered whole')
def check_crossed(context):
    outcomes = [one.outcome for one in context.crossed_answers]
    assert set(outcomes) == {'complete'}, outcomes


@behave.then('chains over later stages in at least {count:d} combinations ran')
def check_combinations(context, count):
    chains = collections.defaultdict(set)
    for run in context.crossed.read_runs('engine'):
        if run['layer_start']:
            chains[run['request_id']].add(run['endpoint'])
    found = {frozenset(chain) for chain in chains.values()}
    assert len(found) >= count, found
