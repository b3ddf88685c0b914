"""Steps about what silence and refusals of endpoints show."""

import behave
from dunlintide_core.pipeline import rescues
from dunlintide_core.pipeline import soundness


@behave.given('a run that may be silent for {target:f} s')
def allow_silence(context, target):
    context.limits = rescues.choose_limits(target, None)


@behave.then(
    'after {silence:f} s of silence it is judged again at {limit:f} s'
)
def check_judged_again(context, silence, limit):
    judgement = rescues.judge(silence, context.limits, False)
    assert not judgement.moves
    assert abs(judgement.limit - limit) < 1e-9, judgement


@behave.then(
    'after {silence:f} s of silence, once few engines are suspected, it is'
    ' moved'
)
def check_moved_early(context, silence):
    judgement = rescues.judge(silence, context.limits, True)
    assert judgement.moves
    assert judgement.limit > silence


@behave.then(
    'after {silence:f} s of silence it is moved, whatever is suspected'
)
def check_moved(context, silence):
    assert rescues.judge(silence, context.limits, False).moves


def believe(context):
    if not hasattr(context, 'belief'):
        context.belief = soundness.Soundness()
    return context.belief


@behave.when('engine "x" refuses a request at {at:f}')
def refuse(context, at):
    believe(context).refuse('x', at)


@behave.when('work moves through it at {at:f}')
def move(context, at):
    believe(context).report_progress('x', at)


@behave.when(
    'another entry tells of doubts about "x" at {first:f} and at {second:f}'
)
def tell(context, first, second):
    believe(context).hear('x', first)
    believe(context).hear('x', second)


@behave.then('it is expected to refuse at {at:f}')
def check_refusing(context, at):
    assert context.belief.is_full('x', at)


@behave.then('it is not expected to refuse at {at:f}')
def check_accepting(context, at):
    assert not context.belief.is_full('x', at)


@behave.then('it is left out at {at:f}')
def check_left_out(context, at):
    assert not context.belief.is_open('x', at)


@behave.then('it is in use at {at:f}')
def check_in_use(context, at):
    assert context.belief.is_open('x', at)


@behave.then('other entries are told of it at {first:f}, and not at {then:f}')
def check_told(context, first, then):
    assert context.belief.list_doubted(first) == ['x']
    assert context.belief.list_doubted(then) == []


@behave.then('other entries are not told of it at {at:f}')
def check_not_told(context, at):
    assert context.belief.list_doubted(at) == []
