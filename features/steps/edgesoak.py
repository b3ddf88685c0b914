"""Steps that run the soak of the edge role and check its report."""

import behave
from dunlintide_trials.edge import soak


@behave.when(
    'the edge role is soaked for {seconds:d} seconds with seed {seed:d}'
)
def run_soak(context, seconds, seed):
    context.soaked = soak.run(seed, seconds, context.make_folder())


@behave.then(
    'no promise was broken in the soak of at least {least:d} requests'
)
def check_soak(context, least):
    assert not context.soaked['broken'], context.soaked
    assert context.soaked['requests'] >= least, context.soaked
