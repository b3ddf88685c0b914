"""Steps for the fair queue, the in-flight caps and the token budget."""

import behave
from dunlintide_core import caps
from dunlintide_core import queueing
import hypothesis
from hypothesis import strategies


def push(queue, team, weight, cost, priority=1, item=None):
    ticket = queueing.Ticket(team, weight, priority, cost, 0.0, item)
    return ticket, queue.push(ticket, 1e9, 0.0)


@behave.given('a fair queue')
def make_queue(context):
    context.queue = queueing.Queue()


@behave.given(
    'team "{team}" of weight {weight:d} queues {count:d} requests of '
    'cost {cost:d}'
)
def fill(context, team, weight, count, cost):
    for _ in range(count):
        assert push(context.queue, team, weight, cost)[1] is None


@behave.given(
    'at {now:d} s team "{team}" queues {count:d} requests at priority '
    '{priority:d}'
)
def fill_priority(context, now, team, count, priority):
    for _ in range(count):
        ticket = queueing.Ticket(team, 1.0, priority, 1000, now, None)
        assert context.queue.push(ticket, 1e9, 0.0) is None


def pick(queue, now=0.0):
    return queue.pick(now, lambda _: True)


@behave.when('{count:d} requests are picked')
def pick_many(context, count):
    context.picked = [pick(context.queue) for _ in range(count)]


@behave.when('requests of cost {cost:d} are picked')
def pick_cost(context, cost):
    context.picked = []
    while sum(ticket.cost for ticket in context.picked) < cost:
        context.picked.append(pick(context.queue))


@behave.when('{count:d} requests are picked at {now:d} s')
def pick_late(context, count, now):
    context.picked = [pick(context.queue, now) for _ in range(count)]


@behave.then('team "{team}" got from {least:d} to {most:d} of them')
def check_share(context, team, least, most):
    got = sum(ticket.team == team for ticket in context.picked)
    assert least <= got <= most, got


@behave.then(
    'each of teams "{a}" and "{b}" got from {least:d} to {most:d} of the '
    'cost'
)
def check_costs(context, a, b, least, most):
    for team in (a, b):
        got = sum(t.cost for t in context.picked if t.team == team)
        assert least <= got <= most, (team, got)


@behave.then('team "{b}" got picks {x:d} and {y:d}, and "{a}" all others')
def check_aged(context, b, x, y, a):
    got = [ticket.team for ticket in context.picked]
    assert got == [b if i in (x, y) else a for i in range(len(got))], got


@behave.when(
    'at {rate:d} a second "{team}" queues cost {cost:d} with {left:d} s '
    'left'
)
def push_late(context, rate, team, cost, left):
    ticket = queueing.Ticket(team, 1.0, 1, cost, 0.0, None)
    context.refusal = context.queue.push(ticket, left, rate)


@behave.then(
    'it is refused with "{code}" and told to wait from {least:d} to {most:d} '
    's'
)
def check_refusal(context, code, least, most):
    assert context.refusal.code == code, context.refusal
    assert context.refusal.outcome == 'not-run'
    assert least <= context.refusal.retry_after <= most, context.refusal


@behave.then('it is queued')
def check_queued(context):
    assert context.refusal is None, context.refusal


@behave.then(
    'any order of pushes, removals and picks serves each request once'
)
def check_orders(context):
    action = strategies.tuples(
        strategies.sampled_from(('push', 'push', 'remove', 'pick')),
        strategies.sampled_from('abc'),
        strategies.integers(0, 3),
        strategies.floats(0.0, 100_000.0),
    )

    @hypothesis.given(strategies.lists(action, max_size=40))
    def check(actions):
        queue = queueing.Queue()
        waiting = []
        for now, (kind, team, priority, cost) in enumerate(actions):
            if kind == 'push':
                ticket, _ = push(queue, team, 1 + priority, cost, priority)
                waiting.append(ticket)
            elif kind == 'remove' and waiting:
                assert queue.remove(waiting.pop(priority % len(waiting)))
            elif kind == 'pick':
                ticket = pick(queue, now)
                assert (ticket is None) == (not waiting)
                if ticket:
                    waiting.remove(ticket)
            assert len(queue) == len(waiting)
        while waiting:
            waiting.remove(pick(queue))
        context.emptied = queue
        assert pick(queue) is None

    check()


@behave.then('a queue that is empty again holds nothing of its teams')
def check_empty(context):
    queue = context.emptied
    assert not queue.count_teams() and not queue.cost
    assert not any(level.list_teams() for level in queue._levels)


@behave.given('an adaptive cap of {cap:d} with {count:d} requests in flight')
def make_cap(context, cap, count):
    context.cap = caps.build_adaptive(cap, 100)
    context.in_flight = caps.InFlight(requests=count)


def observe(context, usage):
    context.cap.observe(context.in_flight, caps.Usage(usage))


@behave.when('usage {usage:f} is reported twice')
def observe_twice(context, usage):
    observe(context, usage)
    observe(context, usage)


@behave.when(
    '{count:d} requests are in flight and usage {usage:f} is reported'
)
def observe_drained(context, count, usage):
    context.in_flight.requests = count
    observe(context, usage)


@behave.when(
    '{count:d} requests are in flight, {finished:d} have finished and usage '
    '{usage:f} is reported twice'
)
def observe_turned(context, count, finished, usage):
    context.in_flight.requests = count
    context.in_flight.finished = finished
    observe_twice(context, usage)


@behave.then('the adaptive cap is {cap:d}')
def check_cap(context, cap):
    limit = context.cap.limit(context.in_flight)
    assert limit == cap, limit


@behave.given(
    'a token budget of {requests:d} requests before a cache of {size:d} '
    'positions'
)
def make_budget(context, requests, size):
    context.cap = caps.build_budget(requests)
    context.cap.observe(caps.InFlight(), caps.Usage(0.0, size))


@behave.then(
    'with {tokens:d} tokens in flight a request of {size:d} may {answer}'
)
def check_budget(context, tokens, size, answer):
    in_flight = caps.InFlight(requests=bool(tokens), tokens=tokens)
    assert context.cap.admits(in_flight, size) == (answer == 'start')


@behave.given(
    'a token budget of {requests:d} requests before an engine of unknown size'
)
def make_unsized(context, requests):
    context.cap = caps.build_budget(requests)


@behave.when('the engine reports nothing of its size with {count:d} in flight')
def observe_unsized(context, count):
    context.cap.observe(caps.InFlight(requests=count), caps.Usage())


@behave.then('with {count:d} requests in flight another may {answer}')
def check_unsized(context, count, answer):
    in_flight = caps.InFlight(requests=count)
    assert context.cap.admits(in_flight, 1) == (answer == 'start')
