"""Steps for rate limits that entries share, with real entries."""

import time

import behave
from dunlintide_trials.edge import loads
from dunlintide_trials.edge import windows

WORK = {'service': '/lists/x', 'engine': None}


def _list_runners(context, kind):
    scene = context.scene
    engines = scene.list_engines()
    return engines if kind == 'engine' else scene.list_services()


@behave.when('every {kind} names a limit of {limit:f} requests a second')
def name_limit(context, kind, limit):
    context.limit = limit
    context.named_at = time.monotonic()
    for runner in _list_runners(context, kind):
        runner.faults.rate_limit = limit


@behave.when('callers ask all entries for {kind} work for {seconds:d} seconds')
def call_entries(context, kind, seconds):
    calls = loads.run_callers(context.scene.entries, WORK[kind], seconds)
    context.answers = [call.answer for call in calls]


@behave.then('no {kind} got more than its limit allows')
def check_limit(context, kind):
    assert context.answers
    since = context.named_at + windows.STABLE_SECONDS
    allowed = windows.compute_max_requests(context.limit)
    counts = [
        windows.count_max_requests(at for at in runner.arrivals if at >= since)
        for runner in _list_runners(context, kind)
    ]
    assert max(counts) <= allowed, f'{counts} in a window, {allowed} allowed'


@behave.then('callers were answered, or told when to return')
def check_answers(context):
    for answer in context.answers:
        if answer.status == 503:
            assert float(answer.headers['retry-after']) > 0
        else:
            assert answer.status == 200 and answer.is_complete, answer


@behave.when('no {kind} names a limit any more')
def end_limit(context, kind):
    for runner in _list_runners(context, kind):
        runner.faults.rate_limit = None


@behave.then('{count:d} calls or more were served in the end')
def check_served(context, count):
    served = sum(answer.status == 200 for answer in context.answers)
    assert served >= count, f'{served} of {len(context.answers)}'
