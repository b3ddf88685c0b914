"""Waits for a condition with a time-out, instead of fixed sleeps."""

from dunlintide_trials import processes


def make_wait(default_seconds):
    """Build the wait function of a steps module.

    :param default_seconds: default seconds after which a wait fails
    """

    def wait_until(condition, what='a condition', seconds=default_seconds):
        # A callable builds the failure message once the wait has failed.
        if not processes.wait_for(condition, seconds):
            message = what() if callable(what) else what
            raise AssertionError(f'not within {seconds} s: {message}')

    return wait_until
