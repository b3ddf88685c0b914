"""Steps for placement orders with a store, an agent and an engine."""

from concurrent import futures
import threading
import time

import attrs
import behave
from dunlintide_adapters import leaders
from dunlintide_adapters import links
from dunlintide_adapters import store as stores
from dunlintide_adapters.wire import link_pb2
from dunlintide_core import fleet
from dunlintide_core import placement
from dunlintide_core import settings
from dunlintide_daemon.agent import role
from dunlintide_daemon.entry import engineview
from dunlintide_daemon.entry import leader as leading
from dunlintide_standins.engine import server as engines
from dunlintide_standins import faults
from dunlintide_standins import reference
from dunlintide_standins.store import server as standin_stores
from dunlintide_trials.cases import placement as trial
import urllib3
import waiting

WAIT_SECONDS = 60.0
wait_until = waiting.make_wait(WAIT_SECONDS)
MODEL = 'copy-7b'
LEASE_SECONDS = 60


def dial(context, address, name, take):
    hello = link_pb2.Hello(name=name, role='entry')
    handlers = links.Handlers(lambda _: None, take, lambda *_: None)
    dialer = links.Dialer(address, lambda: hello, handlers)
    dialer.start()
    context.stack.callback(dialer.stop)
    wait_until(lambda: dialer.link is not None)
    return dialer


class Leader:
    """A leader's link to the agent, with the term it last acquired."""

    def __init__(self, context, name):
        self.name, self.answers = name, []
        self.dialer = dial(context, context.agent.address, name, self.take)
        acquired = context.keys.acquire(MODEL, name, LEASE_SECONDS)
        self.term = acquired.unwrap()
        assert self.term is not None

    def take(self, link, frames):
        self.answers += [
            frame.order_reply
            for frame in frames
            if frame.WhichOneof('body') == 'order_reply'
        ]

    def order(self, held, start, end):
        """Send an order and return the agent's first answer to it."""
        order = link_pb2.Order(
            order_id=f'{self.name}-{time.monotonic_ns()}',
            fence=self.term.fence,
            leader=self.name,
            model=MODEL,
            version='1',
            layer_start=start,
            layer_end=end,
            layer_count=24,
            held=link_pb2.Holding(**held),
        )
        self.dialer.link.send(link_pb2.Frame(order=order))

        def find():
            return [a for a in self.answers if a.order_id == order.order_id]

        wait_until(find)
        return find()[0]


def start_store(context):
    store = standin_stores.Store.from_config(
        standin_stores.Config('127.0.0.1:0')
    )
    store.start()
    context.stack.callback(store.stop)
    context.store = store
    context.store_url = f'http://127.0.0.1:{store.port}'


def make_keys(context, clock=time.monotonic):
    client = stores.Store.from_url(context.store_url)
    context.stack.callback(client.close)
    return leaders.Leaders(client, clock)


def start_agent(context):
    endpoint = settings.EndpointSettings(
        kind=fleet.EndpointKind.ENGINE,
        url=f'http://127.0.0.1:{context.engine.port}',
    )
    context.agent = role.Agent(
        settings.Settings(
            role=fleet.Role.AGENT,
            name='spare',
            failure_domain='austin-a',
            admin_listen='127.0.0.1:0',
            link_listen='127.0.0.1:0',
            store_url=context.store_url,
            host_list_url='http://127.0.0.1:1',
            endpoint=endpoint,
        )
    )
    context.agent.__enter__()


def read_engine(context, path):
    url = f'http://127.0.0.1:{context.engine.port}{path}'
    return urllib3.request('GET', url, retries=False).json()


@behave.given('a spare endpoint whose engine {checks} the numbers of orders')
def start_spare(context, checks):
    start_store(context)
    context.keys = make_keys(context)
    config = engines.Config(
        model='',
        version='',
        layer_end=0,
        checks_fence=checks == 'checks',
    )
    context.engine = engines.Engine.from_config(config)
    context.engine.start()
    context.stack.callback(context.engine.stop)
    start_agent(context)
    context.stack.callback(lambda: context.agent.__exit__(None, None, None))


@behave.given('a leader that was deposed by another without knowing it')
def depose(context):
    context.old = Leader(context, 'entry-old')
    context.keys.resign(context.old.term)
    context.new = Leader(context, 'entry-new')
    assert context.new.term.fence > context.old.term.fence


@behave.then('the agent refuses an order of the {which} leader: {detail}')
def check_refused(context, which, detail):
    held = attrs.asdict(context.agent.endpoint)
    held = {name: held[name] for name in attrs.asdict(placement.Holding())}
    before = read_engine(context, '/v1/holding')
    taken = read_engine(context, '/v1/orders')
    answer = getattr(context, which).order(held, 0, 8)
    assert (answer.accepted, answer.detail) == (False, detail), answer
    assert read_engine(context, '/v1/holding') == before
    assert read_engine(context, '/v1/orders') == taken


@behave.then('an order made from an old view is refused: {detail}')
def check_old_view(context, detail):
    answer = context.new.order({}, 0, 8)
    assert (answer.accepted, answer.detail) == (False, detail), answer


@behave.when('the new leader orders layers {start:d} to {end:d}')
def give_order(context, start, end):
    answer = context.new.order({}, start, end)
    assert answer.accepted, answer

    def is_told():
        # The agent announces its new layers over the open link.
        told = context.new.dialer.link.peer.endpoint
        return (told.layer_start, told.layer_end) == (start, end)

    wait_until(is_told)
    assert context.new.dialer.link.peer.endpoint.layer_count == 24


@behave.when('the agent of the spare endpoint is started anew')
def restart_agent(context):
    context.agent.__exit__(None, None, None)
    start_agent(context)
    for name in ('old', 'new'):
        one = getattr(context, name)
        one.dialer.stop()
        address = context.agent.address
        one.dialer = dial(context, address, name, one.take)


@behave.then('the agent tells that it holds layers {start:d} to {end:d}')
def check_told(context, start, end):
    endpoint = context.agent.endpoint
    assert (endpoint.layer_start, endpoint.layer_end) == (start, end)


@behave.when('the store of the leaders is away')
def lose_store(context):
    context.store.fault_injector.change(faults.Fault(down=True))


class Candidate:
    """A leader actor with its own clock and a constructed fleet view."""

    def __init__(self, context, name):
        self.now, self.sent, self.status = 1000.0, [], None
        view = leading.FleetAccess(
            lambda: engineview.EngineSnapshot(
                (placement.Engine('spare', placement.Holding()),), True
            ),
            lambda agent, order: self.sent.append(order) or True,
        )
        self.actor = leading.Leader.start(
            MODEL,
            name,
            make_keys(context, lambda: self.now),
            view,
            settings.Placement(lease=6, patience=5.0),
            self.publish,
            lambda: self.now,
        )

    def publish(self, status):
        self.status = status

    def tick(self, seconds=0.0):
        self.now += seconds
        target = placement.Target(MODEL, '1', 24)
        self.actor.ask(leading.Tick((target,), True))
        return self.status.phase


@behave.given('two candidates that see a lost range, the first one leading')
def start_candidates(context):
    start_store(context)
    context.first = Candidate(context, 'entry-1')
    context.second = Candidate(context, 'entry-2')
    assert context.first.tick() == 'leader'
    assert context.second.tick() == 'candidate'


@behave.when('the first is paused for {seconds:f} s and its lease ends')
def pause_first(context, seconds):
    client = stores.Store.from_url(context.store_url)
    context.stack.callback(client.close)
    (value,) = client.get_range(leaders.PREFIX).unwrap()
    client.revoke(value.lease).unwrap()
    assert context.second.tick(10.0) == 'leader'
    for _ in range(6):
        context.second.tick(1.0)
    context.first.now += seconds


@behave.then('the second has ordered once, and the first orders nothing')
def check_orders(context):
    first, second = context.first, context.second
    assert len(second.sent) == 1
    # The first candidate reads from the store that its lease expired.
    assert first.tick() == 'candidate'
    assert first.tick(30.0) == 'candidate'
    assert not first.sent
    assert first.status.leader == 'entry-2'
    assert first.status.fence == second.sent[0].fence


@behave.then('while the store is away the second lapses and orders nothing')
def check_lapse(context):
    lose_store(context)
    assert context.second.tick(5.5) == 'lapsed'
    # A leader would time out its order by now and repeat it.
    assert context.second.tick(600.0) == 'lapsed'
    for _ in range(30):
        assert context.second.tick(1.0) == 'lapsed'
    assert len(context.second.sent) == 1


@behave.given('a deployment of real processes with a spare endpoint')
def start_deployment(context):
    context.running = context.stack.enter_context(trial.run_with_spare())
    wait_until(lambda: trial.find_leader(context.running) is not None)
    context.leader = trial.find_leader(context.running)


@behave.when('the leading entry is stopped in its tracks and a range is lost')
def stop_leader(context):
    context.running.started[context.leader].pause()
    context.stack.callback(context.running.started[context.leader].resume)
    trial.kill_range(context.running)


def read_orders(context):
    return [
        order
        for agent in context.running.plan.agents
        if context.running.started[agent.endpoint.standin.name].is_running
        for order in context.running.get_json(
            f'{agent.endpoint.standin.url}/v1/orders'
        )
    ]


@behave.then('another entry leads and restores the range by one order')
def check_restored(context):
    running, old = context.running, context.leader
    wait_until(lambda: trial.find_leader(running, skipped=old) is not None)
    wait_until(lambda: read_orders(context))
    (order,) = read_orders(context)
    assert (order['layer_start'], order['layer_end']) == (8, 16)
    context.fence = order['fence']


@behave.then('the first entry follows once it runs again, and one order stays')
def check_follower(context):
    running, old = context.running, context.leader
    running.started[old].resume()

    seen = []

    def follows():
        status = running.read_state(old)['placement'][MODEL]
        seen.append((status['phase'], status['fence']))
        return seen[-1] == ('candidate', context.fence)

    def describe():
        leader = trial.find_leader(running)
        return f'{seen[-1:]}, wanted fence {context.fence}, leader {leader}'

    wait_until(follows, describe)
    assert len(read_orders(context)) == 1
    number = [entry.name for entry in running.plan.entries].index(old)
    caller = running.make_caller(number, 'diner')
    context.stack.callback(caller.close)
    answers = []

    def is_served():
        answer = caller.complete('specials', model=MODEL, max_tokens=4)
        answers.append(answer)
        return answer.is_complete

    wait_until(is_served, lambda: f'{len(answers)}: {answers[-1:]}')


@behave.given('a deployment with two holders of each range, under load')
def start_load(context):
    running = context.stack.enter_context(trial.run_with_spare(2))
    wait_until(lambda: trial.find_leader(running) is not None)
    context.running, stop = running, threading.Event()
    context.answers = []

    def ask(worker):
        caller = running.make_caller(worker % 3, 'diner')
        number = 0
        while not stop.is_set():
            number += 1
            prompt = f'blurb {worker} {number}'
            answer = caller.complete(prompt, model=MODEL, max_tokens=64)
            context.answers.append((prompt, answer))
        caller.close()

    pool = futures.ThreadPoolExecutor(6)
    context.workers = [pool.submit(ask, worker) for worker in range(6)]
    context.stop_load = stop
    context.stack.callback(pool.shutdown)
    context.stack.callback(stop.set)
    wait_until(lambda: len(context.answers) > 20)


@behave.when('a holder of layers 0 to 8 is ordered to hold 8 to 16')
def move_holder(context):
    running = context.running
    client = stores.Store.from_url(running.plan.store.url)
    context.stack.callback(client.close)
    fence = leaders.Leaders(client).read(MODEL).unwrap().fence
    agent = next(
        one for one in running.plan.agents if f'{MODEL}-0-1' in one.name
    )
    held = link_pb2.Holding(model=MODEL, version='1', layer_end=8)
    order = link_pb2.Order(
        order_id='move',
        fence=fence,
        leader='test',
        model=MODEL,
        version='1',
        layer_start=8,
        layer_end=16,
        layer_count=24,
        held=held,
    )
    dialer = dial(context, agent.address, 'test', lambda *_: None)
    dialer.link.send(link_pb2.Frame(order=order))

    def is_moved():
        holding = running.read_state(agent.name)['holding']
        return (holding['layer_start'], holding['layer_end']) == (8, 16)

    wait_until(is_moved)
    context.moved = agent


@behave.then('the new holder runs steps and no answer is wrong')
def check_answers(context):
    running = context.running
    engine = context.moved.endpoint.standin.name

    def works():
        runs = running.read_endpoint_runs(engine)
        return any(run['layer_start'] == 8 for run in runs)

    wait_until(works)
    context.stop_load.set()
    for worker in context.workers:
        worker.result()
    complete = [(p, a) for p, a in context.answers if a.is_complete]
    for prompt, answer in complete:
        tokens = reference.expected_tokens(prompt, 64, 24, MODEL)
        assert answer.text == ''.join(token.text for token in tokens), prompt
    # Requests on the endpoint that changes its layers are rerouted; a few
    # may fail.
    rest = [answer for _, answer in context.answers if not answer.is_complete]
    assert len(complete) >= 0.9 * len(context.answers), rest
