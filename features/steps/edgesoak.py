"""Steps that run the soak of the edge role and check its report."""

import behave
from dunlintide_trials.edge import faults
from dunlintide_trials.edge import memorysoak
from dunlintide_trials.edge import soak
from dunlintide_trials.edge import soakdemand
from dunlintide_trials.edge import stopsoak

STREAMS_PER_SECOND = 20


def _run(context, seconds, seed, kinds, has_demand=False):
    folder = context.make_folder()
    context.soaked = soak.run(seed, seconds, folder, kinds, has_demand)


@behave.when(
    'the edge role is soaked for {seconds:d} seconds with seed {seed:d}'
)
def run_soak(context, seconds, seed):
    _run(context, seconds, seed, faults.FAULTS)


@behave.when(
    'endpoints leave for {seconds:d} seconds with seed {seed:d} and answers'
    ' are lost'
)
def run_leaving(context, seconds, seed):
    _run(context, seconds, seed, faults.LEAVING_FAULTS)


@behave.when(
    'large configurations come for {seconds:d} seconds with seed {seed:d} and'
    ' answers are lost'
)
def run_configurations(context, seconds, seed):
    _run(context, seconds, seed, faults.CONFIGURATION_FAULTS)


@behave.when(
    'parts crash engines for {seconds:d} seconds with seed {seed:d} beside'
    ' other faults'
)
def run_parts(context, seconds, seed):
    _run(context, seconds, seed, faults.PART_FAULTS)


@behave.when(
    'endpoints send what belongs to no request for {seconds:d} seconds with'
    ' seed {seed:d}'
)
def run_answers(context, seconds, seed):
    _run(context, seconds, seed, faults.ANSWER_FAULTS)


@behave.when(
    'priorities and teams compete for {seconds:d} seconds with seed {seed:d}'
    ' beside faults'
)
def run_demand(context, seconds, seed):
    _run(context, seconds, seed, faults.FAULTS, True)


@behave.when(
    'entries stop in turn for {seconds:d} seconds with seed {seed:d} under'
    ' work of all lengths'
)
def run_stops(context, seconds, seed):
    context.soaked = stopsoak.run(seed, seconds, context.make_folder())


@behave.when(
    'callers and endpoints make entries hold what they may for {seconds:d}'
    ' seconds with seed {seed:d}'
)
def run_memory(context, seconds, seed):
    context.soaked = memorysoak.run(seed, seconds, context.make_folder())


@behave.then('entries stopped at least {stops:d} times')
def check_stops(context, stops):
    assert context.soaked['stops'] >= stops, context.soaked


@behave.then('at least {windows:d} windows without a fault were checked')
def check_windows(context, windows):
    assert context.soaked['windows'] >= windows, context.soaked


@behave.given(
    'streams of three priorities in {seconds:d} s, of which 0 and 1 complete'
    ' half'
)
def make_streams(context, seconds):
    context.period = 0.0, soakdemand.SETTLE_SECONDS + seconds
    context.streams = [
        (number / STREAMS_PER_SECOND, priority, number % 2 == 0)
        for number in range(int(context.period[1] * STREAMS_PER_SECOND))
        for priority in (0, 1)
    ]


@behave.when('{part:f} of the streams of priority 2 complete')
def complete_streams(context, part):
    context.streams += [
        (at, 2, part > 0 and number % round(1 / part) == 0)
        for number, (at, priority, _) in enumerate(context.streams[::2])
    ]


@behave.then(
    '{count} of the windows without a fault tell that priority 2 starves'
)
def check_starved(context, count):
    found = list(soakdemand.list_starved(context.streams, [context.period]))
    windows = soakdemand.count_windows([context.period])
    assert windows > 0
    assert len(found) == (windows if count == 'all' else 0), found
    assert all('priority 2' in line for line in found), found


@behave.then('engines crashed {crashes:d} times or more by such parts')
def check_crashes(context, crashes):
    crashed = sum(context.soaked['part_crashes'].values())
    assert crashed >= crashes, context.soaked


@behave.then(
    'at least {versions:d} versions were checked by {probes:d} probes'
)
def check_versions(context, versions, probes):
    assert context.soaked['versions'] >= versions, context.soaked
    assert context.soaked['probes'] >= probes, context.soaked


@behave.then('the leaving of at least {drains:d} endpoints was checked')
def check_drains(context, drains):
    assert context.soaked['checked_drains'] >= drains, context.soaked


@behave.then(
    'no promise was broken in the soak of at least {least:d} requests'
)
def check_soak(context, least):
    assert not context.soaked['broken'], context.soaked
    assert context.soaked['requests'] >= least, context.soaked
