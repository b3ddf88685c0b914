"""Steps about what silence and refusals of endpoints show."""

import behave
from dunlintide_core.pipeline import rescues


@behave.given('a run that may be silent for {target:f} s')
def allow_silence(context, target):
    context.target = target


@behave.then(
    'after {silence:f} s of silence it is judged again at {limit:f} s'
)
def check_judged_again(context, silence, limit):
    judgement = rescues.judge(silence, context.target, False)
    assert not judgement.moves
    assert abs(judgement.limit - limit) < 1e-9, judgement


@behave.then(
    'after {silence:f} s of silence, once few engines are suspected, it is'
    ' moved'
)
def check_moved_early(context, silence):
    judgement = rescues.judge(silence, context.target, True)
    assert judgement.moves
    assert judgement.limit > silence


@behave.then(
    'after {silence:f} s of silence it is moved, whatever is suspected'
)
def check_moved(context, silence):
    assert rescues.judge(silence, context.target, False).moves
