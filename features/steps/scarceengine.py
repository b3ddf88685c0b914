"""Steps for an engine that entries share without knowing its load."""

import random

import behave
from dunlintide_core.pipeline import endpointhealth
from dunlintide_daemon.gateway import gossip

# How long a stream holds its slot and a message travels, in seconds.
STREAM_SECONDS = 1.5
NEWS_SECONDS = 0.03
TICK = 0.005


@behave.given(
    '{count:d} entries that all need one engine with room for {room:d} streams'
)
def make_entries(context, count, room):
    context.beliefs = [endpointhealth.EndpointHealth() for _ in range(count)]
    context.room = room


@behave.when('{rate:d} streams a second come for it over {seconds:d} s')
def play_both(context, rate, seconds):
    context.could = context.room * seconds / STREAM_SECONDS
    play(context, rate, seconds, tells=False)
    context.untold = context.refused
    context.beliefs = [
        endpointhealth.EndpointHealth() for _ in context.beliefs
    ]
    play(context, rate, seconds, tells=True)


def play(context, rate, seconds, tells):
    draw = random.Random(3)
    ends, news = [], []
    context.sends = context.refused = context.served = 0
    now = 0.0
    while now < seconds:
        ends = [end for end in ends if end > now]
        due = [told for told in news if told <= now]
        news = [told for told in news if told > now]
        for belief in context.beliefs if due and tells else ():
            part = draw.uniform(*gossip.FULL_PAUSE_JITTER)
            belief.receive_full('x', now, part)
        if draw.random() < rate * TICK:
            send(context, draw.choice(context.beliefs), ends, news, now)
        now += TICK


def send(context, belief, ends, news, now):
    """Send a stream unless the entry counts the engine as full."""
    if 'x' in belief.list_unusable(now):
        return
    context.sends += 1
    if len(ends) < context.room:
        context.served += 1
        ends.append(now + STREAM_SECONDS)
        return
    context.refused += 1
    belief.record_refusal('x', now)
    news.append(now + NEWS_SECONDS)


@behave.then(
    'it refuses a third at most of what it does if entries tell nothing'
)
def check_refused(context):
    assert context.refused * 3 <= context.untold, (
        context.refused,
        context.untold,
    )


@behave.then('it serves at least {part:f} of what it could')
def check_served(context, part):
    assert context.served >= part * context.could, (
        context.served,
        context.could,
    )
