"""Steps for the budget of bytes alone."""

import functools
import itertools

import behave
from dunlintide_core.pipeline import bytebudget
import hypothesis
from hypothesis import strategies

MB = 1 << 20
LARGE_BYTES = 4 * MB
LIMIT_BYTES = 64 * MB


@behave.when('a team has reserved all large bodies that it may')
def fill_share(context):
    context.budget = bytebudget.Budget(LIMIT_BYTES, lambda: 0.0)
    size = bytebudget.SMALL_BYTES + 1
    while context.budget.reserve(bytebudget.Account('one'), size):
        pass


@behave.when('more answers of a team are unread than it may hold')
def fill_unread(context):
    context.budget = bytebudget.Budget(LIMIT_BYTES, lambda: 0.0)
    context.given_up = []
    for number in range(LIMIT_BYTES // MB):
        context.budget.hold_unread(
            bytebudget.Account('one'),
            MB,
            functools.partial(context.given_up.append, number),
        )


@behave.when(
    'two teams hold all large requests and unread answers that they may'
)
def fill_both(context):
    budget = context.budget = bytebudget.Budget(LIMIT_BYTES, lambda: 0.0)
    for team in ('one', 'two'):
        for _ in range(LIMIT_BYTES // MB):
            budget.reserve(bytebudget.Account(team), MB)
            budget.hold_unread(bytebudget.Account(team), MB, lambda: None)
    assert budget.large_held and budget.unread_held


@behave.then('small requests of a third team are granted')
def check_small_room(context):
    for _ in range(LIMIT_BYTES // 4 // bytebudget.SMALL_BYTES):
        account = bytebudget.Account('three')
        assert context.budget.hold(account, bytebudget.SMALL_BYTES)


@behave.then('those that have waited longest are given up')
def check_given_up(context):
    assert context.given_up == list(range(len(context.given_up)))
    left = LIMIT_BYTES // MB - len(context.given_up)
    assert context.budget.held == context.budget.unread_held == left * MB
    assert left * MB == LIMIT_BYTES * bytebudget.OWNER_FRACTION


@behave.then(
    'small requests of that team and large ones of another are granted'
)
def check_share(context):
    budget = context.budget
    for _ in range(100):
        assert budget.hold(bytebudget.Account('one'), 8 << 10)
    for _ in range(3):
        assert budget.reserve(bytebudget.Account('two'), LARGE_BYTES)
        assert budget.hold(bytebudget.Account('two'), 8 << 10)


_STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ('hold', 'reserve', 'force', 'unread', 'release')
        ),
        strategies.integers(0, 7),
        strategies.integers(1, 500),
    ),
    max_size=60,
)


def _play(steps):
    """Yield the budget and all accounts after each step."""
    clock = itertools.count()
    budget = bytebudget.Budget(1000, lambda: float(next(clock)))
    accounts = [
        bytebudget.Account('' if index < 2 else f'o{index % 3}')
        for index in range(8)
    ]
    waiting, forced, unread = {}, set(), {}
    for kind, index, size in steps:
        account = accounts[index]
        if kind == 'release':
            waiting.pop(index, None)
            forced.discard(index)
            unread.pop(index, None)
            budget.release(account)
        elif index in waiting:
            continue
        elif kind == 'unread':
            unread[index] = size
            budget.hold_unread(account, size, lambda i=index: unread.pop(i))
        elif index in unread:
            continue
        elif kind == 'force':
            forced.add(index)
            budget.force(account, size)
        elif size < account.held:
            continue
        elif kind == 'hold':
            budget.hold(account, size)
        elif not budget.reserve(account, size):
            if budget.can_wait(account, size):
                waiting[index] = size
                budget.wait(account, size, lambda i=index: waiting.pop(i))
        yield budget, accounts, waiting, forced | unread.keys(), unread


@behave.then(
    'whatever is held, forced and released, sums agree and limits hold'
)
def check_sums(context):
    @hypothesis.settings(max_examples=300, deadline=None)
    @hypothesis.given(_STEPS)
    def check(steps):
        for budget, accounts, _, forced, unread in _play(steps):
            assert budget.held == sum(each.held for each in accounts)
            large = [each.held for each in accounts if each.is_large]
            assert budget.large_held == sum(large)
            assert budget.unread_held == sum(unread.values())
            assert budget.unread_held <= budget.large_limit
            if not forced - unread.keys():
                both = budget.large_held + budget.unread_held
                assert both <= budget.large_limit
            if not forced:
                assert budget.held <= budget.limit
                assert budget.large_held <= budget.large_limit

    check()


@behave.then('nothing waits while there is room for it')
def check_waits(context):
    @hypothesis.settings(max_examples=300, deadline=None)
    @hypothesis.given(_STEPS)
    def check(steps):
        for budget, _, waiting, _, _ in _play(steps):
            if waiting and not budget.held:
                raise AssertionError((waiting, budget.held))
        assert budget.waiting_bytes == sum(waiting.values()) if steps else True

    check()
