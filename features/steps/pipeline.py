"""Steps for the choice, failover and admission of engine chains."""

import copy
import random

import behave
from dunlintide_core.pipeline import backlog
from dunlintide_core.pipeline import chains
from dunlintide_core.pipeline import endpointhealth
from dunlintide_core.pipeline import endpoints
from dunlintide_core.pipeline import occupancy
from dunlintide_core.pipeline import poisonrequests
from dunlintide_core.pipeline import retrybudget
from hypothesis import strategies
import pipeline_scene


@behave.then(
    'any chain that is found covers all layers in order with room for its'
    ' request'
)
def check_chains(context):
    def check(rows, tokens):
        engines, usages = pipeline_scene.make_fleet(rows)
        rooms = {engine.name: row[4] for engine, row in zip(engines, rows)}
        demand = pipeline_scene.make_demand(tokens=tokens)
        hops = pipeline_scene.choose(engines, usages, demand)
        if hops is None:
            return
        assert endpoints.covers_exactly(hops, pipeline_scene.LAYERS), hops
        for hop in hops:
            need = tokens * (hop.end - hop.start)
            # Room is a whole number, so allow for rounding.
            assert need <= rooms[hop.endpoint.name] + 0.5, hop

    pipeline_scene.repeat(
        check, pipeline_scene.ENGINES, strategies.integers(1, 2000)
    )


@behave.then('a chain is found whenever idle engines hold all layers')
def check_found(context):
    def check(rows):
        engines, _ = pipeline_scene.make_fleet(rows)
        hops = choose_idle(engines)
        held = set()
        for engine in engines:
            held.update(range(engine.start, engine.end))
        assert (hops is not None) == (len(held) == pipeline_scene.LAYERS), (
            hops,
            held,
        )

    pipeline_scene.repeat(check, pipeline_scene.ENGINES)


def choose_idle(engines, pipes=()):
    """Choose a chain through idle engines."""
    usages = {
        engine.name: pipeline_scene.make_use(engine, 0, float('inf'))
        for engine in engines
    }
    usages.update(pipes)
    return pipeline_scene.choose(engines, usages, pipeline_scene.make_demand())


@behave.then('no chain crosses a pipe that is full')
def check_pipes(context):
    def check(rows):
        engines, _ = pipeline_scene.make_fleet(rows)
        hops = choose_idle(engines, {'a|b': occupancy.Usage(1000)})
        if hops is not None:
            assert 'a|b' not in chains.list_pipes(hops), hops

    pipeline_scene.repeat(check, pipeline_scene.ENGINES)


@behave.given(
    'engines in "{one}" and "{other}" that each hold all 12 layers in 3 parts'
)
def make_copies(context, one, other):
    spans = ((0, 4), (4, 8), (8, 12))
    context.engines = [
        pipeline_scene.make_engine(f'{domain}{span[0]}', span, domain)
        for domain in (one, other)
        for span in spans
    ]
    context.usages = {
        engine.name: pipeline_scene.make_use(engine, 0, 100_000)
        for engine in context.engines
    }


def choose(context, domain):
    return pipeline_scene.choose(
        context.engines, context.usages, pipeline_scene.make_demand(domain)
    )


@behave.then('the chain of a caller in "{domain}" stays in "{same}"')
def check_domain(context, domain, same):
    hops = choose(context, domain)
    assert {hop.endpoint.domain for hop in hops} == {same}, hops


@behave.then(
    'with {count:d} more requests in "{domain}" it still keeps to one'
    ' failure domain'
)
def check_busy_domain(context, count, domain):
    for engine in context.engines:
        if engine.domain == domain:
            use = pipeline_scene.make_use(engine, count, 100_000)
            context.usages[engine.name] = use
    hops = choose(context, domain)
    assert len({hop.endpoint.domain for hop in hops}) == 1, hops


@behave.when('an engine of "{domain}" has no room')
def fill_engine(context, domain):
    full = next(each for each in context.engines if each.name == f'{domain}4')
    context.usages[full.name] = pipeline_scene.make_use(full, 16, 0)


@behave.then('the chain of a caller in "{domain}" still covers all layers')
def check_detour(context, domain):
    hops = choose(context, domain)
    assert endpoints.covers_exactly(hops, pipeline_scene.LAYERS)
    assert f'{domain}4' not in {hop.endpoint.name for hop in hops}


@behave.then('what is reserved is released to the last token, in any order')
def check_reservations(context):
    def check(spans, seed):
        table = occupancy.Occupancy()
        held = []
        for index, span in enumerate(spans):
            engine = pipeline_scene.make_engine(f'e{index % 3}', span, 'a')
            hop = endpoints.Hop(engine, *span)
            held.append(table.reserve((hop,), 10 * (index + 1), ('a|b',)))
        total = sum(usage.cache for usage in table.list_own().values())
        expected = sum(
            10 * (index + 1) * (span[1] - span[0])
            for index, span in enumerate(spans)
        )
        assert total == expected
        random.Random(seed).shuffle(held)
        for reservation in held:
            table.release(reservation)
        assert not table.list_own()

    pipeline_scene.repeat(
        check,
        strategies.lists(pipeline_scene.SPANS, max_size=8),
        strategies.integers(),
    )


@behave.then(
    'what an entry tells each {pause:f} seconds counts until it is silent for'
    ' {most:f}'
)
def check_seldom(context, pause, most):
    table = occupancy.Occupancy()
    for count in range(4):
        now = 10.0 + count * pause
        table.expire(now)
        if count > 1:
            assert table.get('e0') == occupancy.Usage(3, 1, 50), now
        table.set_remote('far', {'e0': occupancy.Usage(3, 1, 50)}, now)
    table.expire(now + most - 0.1)
    assert table.get('e0') == occupancy.Usage(3, 1, 50)
    table.expire(now + most + 0.1)
    assert table.get('e0') == occupancy.Usage()
    table.set_remote('far', {'e0': occupancy.Usage(3, 1, 50)}, now)
    table.drop_remote('far')
    table.drop_remote('far')
    assert table.get('e0') == occupancy.Usage()


@behave.then('what a silent entry told is forgotten after 2 seconds')
def check_silence(context):
    table = occupancy.Occupancy()
    table.set_remote('two', {'e0': occupancy.Usage(2, 1, 30)}, 10.0)
    table.set_remote('two', {'e0': occupancy.Usage(3, 1, 50)}, 11.0)
    table.expire(12.9)
    assert table.get('e0') == occupancy.Usage(3, 1, 50)
    table.expire(13.1)
    assert table.get('e0') == occupancy.Usage()


@behave.given(
    'a chain through "x", "y" and "z" that stands still since {since:f}'
)
def make_still(context, since):
    context.health = endpointhealth.EndpointHealth()
    context.health.report_progress('xyz', since)
    context.since = since


@behave.when('another request moved through "x" and "z" at {now:f}')
def move(context, now):
    context.health.report_progress('xz', now)


@behave.then('only "y" is accused at {now:f}')
def check_accused(context, now):
    assert context.health.find_stalled('xyz', context.since) == ['y']
    assert context.health.eject('y', now)
    assert not context.health.eject('y', now)
    assert not context.health.is_usable('y', now)
    assert context.health.is_usable('x', now)
    context.accused = now


@behave.then(
    '"y" gets one trial after 1 second and is in use again once it moves'
)
def check_trial(context):
    health, now = context.health, context.accused
    assert not health.is_usable('y', now + 0.9)
    assert health.is_usable('y', now + 1.1)
    health.record_sent('y')
    assert not health.is_usable('y', now + 1.2)
    health.report_progress('y', now + 1.3)
    assert health.is_usable('y', now + 1.4)


@behave.then('a second failure leaves "y" out for 2 seconds')
def check_second(context):
    health, now = context.health, context.accused + 1.5
    health.eject('y', now)
    health.eject('y', now + 1.1)
    assert not health.is_usable('y', now + 1.1 + 1.9)
    assert health.is_usable('y', now + 1.1 + 2.1)


@behave.then(
    '29 entries that send all they may stay within the budget in any window'
)
def check_budget(context):
    spend_all(restarts_at=())


@behave.then(
    'they do so although all of them restart at the height of a storm'
)
def check_restarts(context):
    spend_all(restarts_at=(25.0,))


def spend_all(restarts_at):
    ratio, slack, window, entries = 0.2, 198, 10.0, 29
    draw = random.Random(7)

    def make_budgets():
        return [
            retrybudget.RetryBudget(ratio, slack, window, entries)
            for _ in range(entries)
        ]

    budgets = make_budgets()
    asked, sent = [], []
    now = 0.0
    while now < 60.0:
        now += 0.01
        if any(now - 0.01 < at <= now for at in restarts_at):
            budgets = make_budgets()
        budget = draw.choice(budgets)
        # Heavy load from 20 s to 30 s and a tenth of it otherwise.
        if 20 < now < 30 or draw.random() < 0.1:
            budget.record_request(now)
            asked.append(now)
        if budget.spend(now):
            sent.append(now)
    for end in range(10, 60):
        low = end - window
        requests = sum(1 for at in asked if low < at <= end)
        repeats = sum(1 for at in sent if low < at <= end)
        assert repeats <= ratio * requests + slack, (end, repeats)


@behave.when('runs of a request broke at 2 endpoints')
def break_two(context):
    context.crashers = poisonrequests.PoisonRequests()
    context.crashers.record_broken_run('r', 'one', 10.0)
    context.crashers.record_broken_run('r', 'two', 11.0)


@behave.when('one more run of it broke at the first endpoint')
def break_again(context):
    context.crashers.record_broken_run('r', 'one', 12.0)


@behave.when('a run of it broke at a third endpoint')
def break_third(context):
    context.crashers.record_broken_run('r', 'three', 13.0)


@behave.then('it is not refused yet')
def check_not_refused(context):
    assert not context.crashers.is_poison('r', 12.5)


@behave.then('it is refused, until 60 seconds have passed')
def check_refused(context):
    assert context.crashers.is_poison('r', 13.5)
    assert not context.crashers.is_poison('other', 13.5)
    assert not context.crashers.is_poison('r', 73.5)
    answered = copy.deepcopy(context.crashers)
    assert answered.clear('r')
    assert not answered.is_poison('r', 13.5)
    answered.receive_broken_run('r', 'one', 13.6)
    assert not answered.is_poison('r', 13.7)


@behave.when('runs of a request broke at 3 endpoints of one entry')
def break_at_one(context):
    context.entries = [
        poisonrequests.PoisonRequests(),
        poisonrequests.PoisonRequests(),
    ]
    for name in ('one', 'two', 'three'):
        context.entries[0].record_broken_run('r', name, 0.0)


@behave.when('two entries tell each other every 0.15 s for 64 s')
def exchange_broken_runs(context):
    one, other = context.entries
    for turn in range(int(64 / 0.15)):
        now = turn * 0.15
        for teller, hearer in ((one, other), (other, one)):
            for pair in teller.list_recent(now - 3.0):
                hearer.receive_broken_run(*pair, now)
        if turn == 1:
            assert one.is_poison('r', now)
            assert other.is_poison('r', now)


@behave.then('neither of them refuses the request')
def check_none_refuse(context):
    assert not any(each.is_poison('r', 64.0) for each in context.entries)


@behave.then('neither has anything left to tell')
def check_none_tell(context):
    assert not any(each.list_recent(61.0) for each in context.entries)


@behave.when('the first endpoint answers a request sent {when} its break')
def answer_one(context, when):
    sent = {'before': 9.5, 'after': 13.0}[when]
    context.crashers.clear_endpoint_runs('one', sent)


@behave.when('the break at the first endpoint is told again')
def tell_again(context):
    context.crashers.receive_broken_run('r', 'one', 13.4)


@behave.then('it is not refused any more')
def check_refused_no_more(context):
    assert not context.crashers.is_poison('r', 13.5)


@behave.then('any order of arrivals leaves by priority, standing and arrival')
def check_backlog(context):
    def check(ranks):
        queue = backlog.Backlog()
        waiters = []
        for priority, queue_class in ranks:
            ahead = queue.count_ahead(priority, queue_class)
            waiter = queue.add(priority, queue_class, 1.0, lambda: None)
            assert list(queue)[ahead] is waiter
            waiters.append(waiter)
        expected = sorted(
            waiters, key=lambda w: (w.priority, w.queue_class, w.arrival)
        )
        assert list(queue) == expected
        for waiter in waiters:
            queue.remove(waiter)
        assert not len(queue)

    ranks = strategies.tuples(
        strategies.integers(0, 3), strategies.sampled_from(backlog.QueueClass)
    )
    pipeline_scene.repeat(check, strategies.lists(ranks, max_size=10))


@behave.given('a queue from which {count:d} requests a second find a place')
def make_queue(context, count):
    context.queue = backlog.Backlog()
    for number in range(2 * count):
        context.queue.record_served(8.0 + number / count)


def exceeds_wait(
    context, ahead, wait, now=9.95, queue_class=backlog.QueueClass.FRESH
):
    waiters = [
        context.queue.add(1, queue_class, 20.0, lambda: None)
        for _ in range(ahead)
    ]
    found = context.queue.exceeds_wait(1, queue_class, now, now + wait)
    for waiter in waiters:
        context.queue.remove(waiter)
    return found


@behave.then('a request with {ahead:d} ahead waits for {wait:f} seconds')
def check_waits(context, ahead, wait):
    assert not exceeds_wait(context, ahead, wait)


@behave.then('a request with {ahead:d} ahead is refused at once')
def check_refused_at_once(context, ahead):
    assert exceeds_wait(context, ahead, 0.3)


@behave.then(
    'a request with {ahead:d} ahead waits though nothing was served for a'
    ' while'
)
def check_first_waits(context, ahead):
    assert not exceeds_wait(context, ahead, 0.3, 30.0)


@behave.then('a stream under way with {ahead:d} of its kind ahead waits')
def check_under_way_waits(context, ahead):
    queue_class = backlog.QueueClass.UNDER_WAY
    assert not exceeds_wait(context, ahead, 0.3, queue_class=queue_class)
