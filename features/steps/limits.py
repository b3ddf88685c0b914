"""Steps for team limits shared by several entries."""

from concurrent import futures
import contextlib
import random
import threading
import time

import attrs
import behave
from dunlintide_adapters.wire import link_pb2
from dunlintide_core import configuration
from dunlintide_core import coordination
from dunlintide_core import limits as core
from dunlintide_core import outcomes
from dunlintide_daemon.entry import entrylinks
from dunlintide_daemon.entry import limits
from dunlintide_daemon.entry import shares
import hypothesis
from hypothesis import strategies

WAIT_SECONDS = 30.0
KEY = ('member', 'rule')
LIMIT = 7
RULE = configuration.Rule(
    'rule', configuration.When(), configuration.Then(concurrency=10)
)
RULES = {
    'limit in flight': RULE,
    'rate': configuration.Rule(
        'rule', configuration.When(), configuration.Then(rate=30.0)
    ),
    'limit below one each': configuration.Rule(
        'small', configuration.When(), configuration.Then(concurrency=2)
    ),
}


@attrs.define
class Actor:
    """An entry on a virtual clock that keeps every slot it is granted."""

    name: str
    lease: core.Lease = attrs.field(factory=core.Lease)
    coordinator: coordination.Coordinator = attrs.field(
        factory=coordination.Coordinator
    )
    need: core.Need = core.Need()


def simulate(seed, count, loss, slowest, limit):
    """Yield the total rate share and the total slots after each step."""
    rng = random.Random(seed)
    actors = {f'e{number}': Actor(f'e{number}') for number in range(count)}
    fraction = 1.0 / count
    messages, cut = [], {}
    for step in range(400):
        now = step * 0.25
        if step % 40 == 0:
            cut = {name: rng.random() < 0.3 for name in actors}
        for one in [one for one in messages if one[0] <= now]:
            messages.remove(one)
            _, source, target, sequence, acknowledged, needs, grants = one
            if cut[source] != cut[target] or rng.random() < loss:
                continue
            if grants is not None:
                actors[target].lease.accept(sequence, grants)
                continue
            granted = actors[target].coordinator.answer(
                source, fraction, sequence, acknowledged, needs, now
            )
            due = now + rng.uniform(0, slowest)
            messages.append((due, target, source, sequence, 0, None, granted))
        for actor in actors.values():
            if rng.random() > 0.4:
                continue
            wanted = rng.choice((0, 1, limit))
            actor.need = core.Need(rng.random(), wanted, 0, limit)
            # Entries may disagree about which entry is the coordinator.
            chosen = rng.choice(('e0', 'e1'))
            if actor.lease.choose(chosen, now):
                sequence = actor.lease.send(now)
                due = now + rng.uniform(0, slowest)
                message = (due, actor.name, actor.lease.coordinator, sequence)
                needs = {KEY: actor.need} if rng.random() < 0.7 else {}
                messages.append(
                    (*message, actor.lease.acknowledged, needs, None)
                )
        found = [
            actor.lease.find_grant(KEY, fraction, limit, now)
            for actor in actors.values()
        ]
        yield sum(one.rate for one in found), sum(one.slots for one in found)


@behave.then(
    'at any moment shares and slots of all entries stay within the limit'
)
def check_sums(context):
    @hypothesis.settings(
        derandomize=True, deadline=None, max_examples=60, database=None
    )
    @hypothesis.given(
        strategies.integers(0, 1 << 32),
        strategies.integers(2, 7),
        strategies.sampled_from((0.0, 0.1, 0.5)),
        strategies.sampled_from((0.1, 1.0, core.SLACK_SECONDS)),
        strategies.sampled_from((LIMIT, 8 * LIMIT)),
    )
    def check(seed, count, loss, slowest, limit):
        peak = 0.0
        for rate, slots in simulate(seed, count, loss, slowest, limit):
            assert rate <= 1 + 1e-6, rate
            assert slots <= limit, slots
            peak = max(peak, rate)
        assert peak > 0.5, 'nothing was shared'

    check()


class Node:
    """One entry's limiter, listening on a real port."""

    def __init__(self, stack, name, grant_wait=0.0):
        self.name = name
        self.admitted = []
        self.limits = limits.Limiter(self.connect, grant_wait=grant_wait)
        self.limits.entry_links.start()
        stack.callback(self.limits.entry_links.stop)
        self.role = 'entry'
        self.address = f'127.0.0.1:{self.limits.entry_links.port}'

    def connect(self, take):
        return entrylinks.EntryLinks(
            self.name, '127.0.0.1:0', self.hello, take
        )

    def hello(self):
        return link_pb2.Hello(name=self.name, role='entry', incarnation=1)

    def ask(self, rule=RULE):
        """Request admission once and return the refusal, or None."""
        request_id = f'{self.name}-{time.monotonic_ns()}'
        refusal = self.limits.admit(request_id, 'member', rule)
        if refusal is None:
            self.admitted.append(request_id)
        return refusal


def ask_until(context, node, count):
    deadline = time.monotonic() + WAIT_SECONDS
    while len(node.admitted) < count:
        assert time.monotonic() < deadline, len(node.admitted)
        node.ask()
        for one in context.nodes:
            one.limits.renew()
        time.sleep(0.01)


@behave.given('two linked entries that share limits')
@behave.given('two entries that cannot reach each other share limits')
def start_nodes(context):
    stack = context.stack.enter_context(contextlib.ExitStack())
    context.nodes = [Node(stack, f'entry-{n}') for n in range(2)]
    if 'cannot' in context.scenario.steps[0].name:
        for node in context.nodes:
            node.address = '127.0.0.1:1'
    for node in context.nodes:
        node.limits.entry_links.update(context.nodes)


@behave.given('three linked entries that share limits')
def start_followed_nodes(context):
    stack = context.stack.enter_context(contextlib.ExitStack())
    context.nodes = [
        Node(stack, f'entry-{n}', grant_wait=WAIT_SECONDS) for n in range(3)
    ]
    done = threading.Event()
    for node in context.nodes:
        node.limits.entry_links.update(context.nodes)
        follower = threading.Thread(
            target=node.limits.run_renewals, args=(done,)
        )
        follower.start()
        stack.callback(follower.join)
    stack.callback(done.set)


@behave.when('all entries have settled their shares')
def settle(context):
    def count_renewed(node):
        shard = shares.find_shard(('member', RULE.name))
        return node.limits._shares._leases[shard].acknowledged

    wanted = [count_renewed(node) + 3 for node in context.nodes]
    deadline = time.monotonic() + WAIT_SECONDS
    while any(
        count_renewed(node) < count
        for node, count in zip(context.nodes, wanted)
    ):
        assert time.monotonic() < deadline, 'no shares'
        time.sleep(0.05)


@behave.then(
    '2 requests under the {limit} are admitted at once by the next entry'
)
def check_fresh(context, limit):
    with futures.ThreadPoolExecutor(2) as pool:
        asked = [
            pool.submit(context.nodes[1].ask, RULES[limit]) for _ in range(2)
        ]
    refusals = [one.result() for one in asked]
    assert refusals == [None, None], refusals


@behave.when(
    'both are asked {count:d} times for a team with 10 requests in flight'
)
def ask_both(context, count):
    context.refusals = [
        node.ask() for _ in range(count) for node in context.nodes
    ]


@behave.when(
    'one is asked until a team has {count:d} requests in flight there'
)
def ask_one(context, count):
    ask_until(context, context.nodes[0], count)


@behave.when('these requests end')
def end_requests(context):
    first = context.nodes[0]
    for request_id in first.admitted:
        first.limits.release(request_id)


@behave.then('{count:d} of these are admitted and the rest refused as not run')
def check_admitted(context, count):
    refused = [one for one in context.refusals if one is not None]
    assert len(context.refusals) - len(refused) == count, len(refused)
    for one in refused:
        assert one.code is outcomes.FailCode.RATE_LIMITED
        assert one.outcome is outcomes.Outcome.NOT_RUN
        assert one.retry_after > 0


@behave.then('the other entry refuses the team as not run')
def check_other_refuses(context):
    for _ in range(20):
        refusal = context.nodes[1].ask()
        assert refusal is not None
        assert refusal.outcome is outcomes.Outcome.NOT_RUN
        for one in context.nodes:
            one.limits.renew()


@behave.then('the other entry comes to admit {count:d} requests')
def check_other_admits(context, count):
    ask_until(context, context.nodes[1], count)


@behave.then('{count:d} more are admitted there at once')
def check_burst(context, count):
    first = context.nodes[0].limits
    key = ('member', RULE.name)
    deadline = time.monotonic() + WAIT_SECONDS
    while first._find_grant(key, first._usages[key]).slots <= count:
        assert time.monotonic() < deadline, 'no room for a burst'
        for one in context.nodes:
            one.limits.renew()
        time.sleep(0.05)
    refusals = [context.nodes[0].ask() for _ in range(count)]
    assert not any(refusals), refusals


def _exchange(context, now, grants):
    assert context.lease.choose('e0', now)
    sequence = context.lease.send(now)
    assert context.lease.accept(sequence, grants)


@behave.given(
    'an entry that was granted nothing beyond what it owns at {now:f} s'
)
def make_lease(context, now):
    context.lease = core.Lease()
    _exchange(context, now, {})


@behave.then('it keeps quiet at {early:f} s but not at {late:f} s')
def check_quiet(context, early, late):
    assert context.lease.can_defer_demand(early)
    assert not context.lease.can_defer_demand(late)
    # The lease outlives this pause, so the share that the entry lends
    # stays valid.
    assert context.lease.is_live(late + core.SLACK_SECONDS)


@behave.when(
    'it is granted a share at {first:f} s and nothing more at {second:f} s'
)
def grant_and_withdraw(context, first, second):
    _exchange(context, first, {KEY: core.Grant(0.5, 1)})
    assert not context.lease.can_defer_demand(first)
    _exchange(context, second, {})


@behave.then('it asks once more at {now:f} s and then keeps quiet')
def check_told(context, now):
    assert not context.lease.can_defer_demand(now)
    _exchange(context, now, {})
    assert context.lease.can_defer_demand(now + 1.0)
