"""Steps for answers and the closing of the runs that produce them."""

import gc
from unittest import mock

import behave

from dunlintide_core import outcomes
from dunlintide_daemon.entry import answers
from dunlintide_daemon.entry import completions
from dunlintide_daemon.entry import openai
from dunlintide_daemon.entry import routes

_ENDINGS = {
    'all': completions.End('length', 3, 1),
    'a refusal': outcomes.refuse(outcomes.FailCode.DEADLINE, 'late', ran=True),
}


@behave.given('a run of a completion that ends with {ending}')
def make_run(context, ending):
    context.closed = []

    def run(*_arguments):
        try:
            yield completions.TokenBatch(['soup'])
            yield _ENDINGS[ending]
        finally:
            context.closed.append(True)

    patch = mock.patch.object(completions, 'run', run)
    context.stack.enter_context(patch)


@behave.when(
    'its {kind} answer is given and the garbage collector does not run'
)
def give_answer(context, kind):
    gc.disable()
    context.stack.callback(gc.enable)
    renderer = mock.Mock(spec=openai.CompletionRenderer)
    renderer.render_body.return_value = {}
    renderer.render_token.return_value = b'soup'
    renderer.render_end.return_value = b'end'
    answer = answers.CompletionAnswer(
        mock.Mock(),
        mock.Mock(),
        routes.Caller('request', 'diner', ''),
        mock.Mock(include_usage=False),
        mock.Mock(),
        renderer,
        5.0,
    )
    if kind == 'buffered':
        answer.gather()
    else:
        assert list(answer.stream().ok_value.body)


@behave.then('the run was closed before')
def check_closed(context):
    assert context.closed == [True], context.closed
