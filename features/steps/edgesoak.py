"""Steps that run the soak of the edge role and check its report."""

import behave
from dunlintide_trials.edge import faults
from dunlintide_trials.edge import soak


def _run(context, seconds, seed, kinds):
    folder = context.make_folder()
    context.soaked = soak.run(seed, seconds, folder, kinds)


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
