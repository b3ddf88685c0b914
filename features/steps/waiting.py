"""Waits of the steps: for a condition, and never for a fixed time."""

from dunlintide_trials import processes


def make_wait(patience):
    """Build the wait of a module of steps.

    :param patience: seconds after which a wait fails, unless it says more
    """

    def wait_until(condition, what='a condition', seconds=patience):
        # What was seen is told by a function, asked once the wait failed.
        if not processes.wait_for(condition, seconds):
            said = what() if callable(what) else what
            raise AssertionError(f'not within {seconds} s: {said}')

    return wait_until
