"""Steps of slots.feature: an event simulation of a queue with slots."""

import heapq
import itertools
import random
import statistics

import behave

from dunlintide_core import queueing
from dunlintide_core import slots

LIMIT = 16
SERVICE_SECONDS = 1.5
COST = 40.0
BACKLOG = 100
TICK_SECONDS = 0.25


class Endpoint:
    """Serve requests of several teams the way the agent's gate does."""

    def __init__(self):
        self.queue = queueing.Queue()
        self.slots = slots.Slots(0.0, self.queue.count_debt_rounds)
        self.rng = random.Random(0)
        self.now = 0.0
        self.running = 0
        self.waits = {}
        self.events = []
        self.order = itertools.count()
        self.at(0.0, self.tick)

    def at(self, when, call, *arguments):
        event = when, next(self.order), call, arguments
        heapq.heappush(self.events, event)

    def run(self, until):
        while self.events[0][0] <= until:
            self.now, _, call, arguments = heapq.heappop(self.events)
            call(*arguments)

    def tick(self):
        self.slots.tick(self.now)
        self.start_queued()
        self.at(self.now + TICK_SECONDS, self.tick)

    def send_request(self, team, weight, repeats):
        ticket = queueing.Ticket(team, weight, 1, COST, self.now, repeats)
        assert self.queue.push(ticket, 1e9, 0.0) is None
        self.slots.add_request(team, weight)
        self.start_queued()

    def send_steadily(self, team, weight, rate):
        self.send_request(team, weight, False)
        pause = self.rng.uniform(0.8, 1.2) / rate
        self.at(self.now + pause, self.send_steadily, team, weight, rate)

    def start_queued(self):
        while ticket := self.queue.pick(
            self.now, lambda ticket: self.running < LIMIT, self.may_start
        ):
            self.slots.start(ticket.team)
            self.running += 1
            waits = self.waits.setdefault(ticket.team, [])
            waits.append(self.now - ticket.queued_at)
            seconds = SERVICE_SECONDS * self.rng.uniform(0.9, 1.1)
            self.at(self.now + seconds, self.end, ticket)

    def may_start(self, team):
        return self.slots.may_start(team, self.running, LIMIT)

    def end(self, ticket):
        self.running -= 1
        self.slots.end(ticket.team, True)
        if ticket.item:
            self.send_request(ticket.team, ticket.weight, True)
        self.start_queued()


@behave.given('an endpoint whose queue team "{team}" fills')
def fill(context, team):
    context.endpoint = Endpoint()
    for _ in range(BACKLOG):
        context.endpoint.send_request(team, 1.0, True)


@behave.given(
    'team "{team}" of {weight:g} times its weight asks for {part:g} of '
    'its share'
)
def send_share(context, team, weight, part):
    rate = part * LIMIT / SERVICE_SECONDS * weight / (1.0 + weight)
    context.endpoint.send_steadily(team, weight, rate)


@behave.given('team "{team}" always wants {count:d} slots')
def want_always(context, team, count):
    for _ in range(count):
        context.endpoint.send_request(team, 1.0, True)


@behave.when('{seconds:d} s have passed')
def pass_time(context, seconds):
    context.endpoint.run(seconds)


@behave.then(
    '{percent:d} of 100 requests of "{team}" waited under {seconds:g} s'
)
def check_waits(context, percent, team, seconds):
    waits = context.endpoint.waits[team]
    quantile = statistics.quantiles(waits, n=100)[percent - 1]
    assert quantile < seconds, quantile


@behave.then('"{team}" got from {least:g} to {most:g} of the service')
def check_part(context, team, least, most):
    waits = context.endpoint.waits
    part = len(waits[team]) / sum(map(len, waits.values()))
    assert least <= part <= most, part


@behave.then('at least {part:g} of the slots were in use')
def check_used(context, part):
    endpoint = context.endpoint
    served = sum(map(len, endpoint.waits.values())) * SERVICE_SECONDS
    used = served / LIMIT / endpoint.now
    assert used >= part, used
