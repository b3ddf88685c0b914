"""Steps for the estimate of the rate at which an endpoint works."""

import behave

from dunlintide_core import rates


class Endpoint:
    """Run one batch of answers at a time, sampled once a second.

    The answers of a batch end one by one, the short ones first; a batch
    takes as long as its longest.
    """

    def __init__(self, costs, seconds):
        self.rate = rates.Rate(0.0)
        self.costs = sorted(costs)
        self.seconds = seconds
        self.now = 0
        self.left = []
        self.seen = []

    def begin(self):
        longest = self.costs[-1]
        self.left = [
            (self.now + self.seconds * cost / longest, cost)
            for cost in self.costs
        ]

    def run(self, seconds, is_busy):
        if not self.left:
            self.begin()
        for _ in range(seconds):
            self.now += 1
            ended = [one for one in self.left if one[0] <= self.now]
            for _, cost in ended if is_busy else ():
                self.rate.add(cost)
            self.left = self.left[len(ended) :]
            if not self.left:
                self.begin()
            self.rate.sample(float(self.now), is_busy, len(self.costs))
            self.seen.append(self.rate.value)


@behave.given(
    'an endpoint whose batches of {answers:d} answers of {cost:d} each take '
    '{seconds:d} s'
)
def make_endpoint(context, answers, cost, seconds):
    context.worker = Endpoint([cost] * answers, seconds)


@behave.given('an endpoint whose batches of answers from 16 to 96 take 24 s')
def make_mixed_endpoint(context):
    context.worker = Endpoint(range(16, 97, 5), 24)


@behave.when('its batches take {seconds:d} s from now on')
def slow_down(context, seconds):
    context.worker.seconds = seconds
    context.worker.begin()


@behave.when('it has been {state} for {seconds:d} s')
def run_on(context, state, seconds):
    context.worker.run(seconds, state == 'busy')


@behave.then(
    'from the first end on its rate was always between {least:d} and {most:d}'
)
def check_always(context, least, most):
    known = [rate for rate in context.worker.seen if rate]
    assert len(known) > len(context.worker.seen) / 2
    assert all(least <= rate <= most for rate in known), known


@behave.then('its rate is between {least:d} and {most:d}')
def check_rate(context, least, most):
    rate = context.worker.rate.value
    assert least <= rate <= most, rate
