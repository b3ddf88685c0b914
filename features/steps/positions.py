"""Steps for the order in which a stage runs positions."""

import behave
from dunlintide_core import positions
import hypothesis
from hypothesis import strategies


@behave.when(
    'a step of epoch {epoch:d} with positions {start:d} to {end:d} comes to '
    'the stage'
)
def bring_step(context, epoch, start, end):
    context.cursor = positions.Cursor(2, 4)
    context.verdict = context.cursor.accept(epoch, start, end - start)


@behave.then(
    'the stage\'s verdict is "{kind}" with {trim:d} trimmed and next '
    'position {following:d}'
)
def check_verdict(context, kind, trim, following):
    assert (context.verdict.action, context.verdict.trim) == (kind, trim)
    assert context.cursor.next_position == following
    if kind == 'gap':
        epoch = context.cursor.epoch
        again = context.cursor.accept(epoch, following, 1)
        assert again.action is positions.Action.STALE


@behave.given('a stage that asked anew for positions from 0 on in epoch 2')
def make_rewound(context):
    context.cursor = positions.build_rewound(2, 0)


@behave.then(
    'positions {start:d} to {end:d} of epoch {epoch:d} are "{kind}" to it'
)
def check_kind(context, start, end, epoch, kind):
    verdict = context.cursor.accept(epoch, start, end - start)
    assert verdict.action == kind, verdict


@behave.then(
    'for steps of {epochs:d} epochs in any order each epoch runs a prefix once'
)
def check_any_order(context, epochs):
    step = strategies.tuples(
        strategies.integers(1, epochs),
        strategies.integers(0, 6),
        strategies.integers(1, 3),
    )

    @hypothesis.given(strategies.lists(step, max_size=30))
    def check(steps):
        cursor = positions.Cursor(1)
        ran = {}
        newest = 1
        for epoch, position, count in steps:
            verdict = cursor.accept(epoch, position, count)
            newest = max(newest, epoch)
            if verdict.runs:
                assert epoch == newest
                span = range(position + verdict.trim, position + count)
                ran.setdefault(epoch, []).extend(span)
        for spans in ran.values():
            assert spans == list(range(len(spans)))

    check()


@behave.given('fences that hold {capacity:d} requests')
def make_fences(context, capacity):
    context.fences = positions.Fences(capacity)


@behave.when('epoch 3 of request "a" ends, and then epoch 1')
def end_epochs(context):
    context.fences.end('a', 3)
    context.fences.end('a', 1)


@behave.then('epoch 3 of "a" has ended and epoch 4 has not')
def check_ended(context):
    assert context.fences.has_ended('a', 3)
    assert not context.fences.has_ended('a', 4)


@behave.when('epochs of {count:d} other requests end')
def end_others(context, count):
    for index in range(count):
        context.fences.end(f'other-{index}', 1)


@behave.then('the fences hold {count:d} requests, and not "a"')
def check_bound(context, count):
    assert len(context.fences) == count
    assert not context.fences.has_ended('a', 1)
