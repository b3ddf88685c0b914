"""Steps for an engine that entries share without knowing its load."""

import random

import behave
from dunlintide_core.pipeline import endpointhealth
from dunlintide_daemon.gateway import gossip

# How long a stream holds its slot and a message travels, in seconds.
STREAM_SECONDS = 1.5
NOTICE_SECONDS = 0.03
TICK = 0.005


@behave.given(
    '{count:d} entries that all need one engine with room for {room:d} streams'
)
def make_entries(context, count, room):
    context.healths = [endpointhealth.EndpointHealth() for _ in range(count)]
    context.room = room


@behave.when('{rate:d} streams a second come for it over {seconds:d} s')
def simulate_both(context, rate, seconds):
    context.capacity = context.room * seconds / STREAM_SECONDS
    simulate(context, rate, seconds, shares_refusals=False)
    context.refused_unshared = context.refused
    context.healths = [
        endpointhealth.EndpointHealth() for _ in context.healths
    ]
    simulate(context, rate, seconds, shares_refusals=True)


def simulate(context, rate, seconds, shares_refusals):
    draw = random.Random(3)
    ends, notices = [], []
    context.sends = context.refused = context.served = 0
    now = 0.0
    while now < seconds:
        ends = [end for end in ends if end > now]
        due = [notice for notice in notices if notice <= now]
        notices = [notice for notice in notices if notice > now]
        for health in context.healths if due and shares_refusals else ():
            jitter = draw.uniform(*gossip.FULL_PAUSE_JITTER)
            health.receive_full('x', now, jitter)
        if draw.random() < rate * TICK:
            send(context, draw.choice(context.healths), ends, notices, now)
        now += TICK


def send(context, health, ends, notices, now):
    """Send a stream unless the entry counts the engine as full."""
    if 'x' in health.list_unusable(now):
        return
    context.sends += 1
    if len(ends) < context.room:
        context.served += 1
        ends.append(now + STREAM_SECONDS)
        return
    context.refused += 1
    health.record_refusal('x', now)
    notices.append(now + NOTICE_SECONDS)


@behave.then(
    'it refuses a third at most of what it does if entries tell nothing'
)
def check_refused(context):
    assert context.refused * 3 <= context.refused_unshared, (
        context.refused,
        context.refused_unshared,
    )


@behave.then('it serves at least {part:f} of what it could')
def check_served(context, part):
    assert context.served >= part * context.capacity, (
        context.served,
        context.capacity,
    )
