"""Waits of the steps: for a condition, and never for a fixed time."""

from dunlintide_trials import processes


def make_wait(patience):
    """Build the wait of a module of steps.

    :param patience: seconds after which a wait fails, unless it says more
    """

    def wait_until(condition, what='a condition', seconds=patience):
        if not processes.wait_for(condition, seconds):
            raise AssertionError(f'not within {seconds} s: {what}')

    return wait_until
