"""Waits for a condition with a time-out, instead of fixed sleeps."""

from dunlintide_trials import processes


def make_wait(patience):
    """Build the wait function of a steps module.

    :param patience: default seconds after which a wait fails
    """

    def wait_until(condition, what='a condition', seconds=patience):
        # A callable builds the failure message once the wait has failed.
        if not processes.wait_for(condition, seconds):
            said = what() if callable(what) else what
            raise AssertionError(f'not within {seconds} s: {said}')

    return wait_until
