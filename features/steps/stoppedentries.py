"""Callers of an entry that stops, for the steps of several features."""

import signal
import time

from dunlintide_standins.fleet import callers

__all__ = ['stop_and_connect']


def stop_and_connect(context, seconds):
    """Stop the entry while a stream is under way, and connect to it later.

    :param seconds: time from the signal until the connection
    :returns: the caller, closed when the scenario ends
    """
    entry = context.entry
    context.scene.wait_until(
        lambda: context.scene.fleet.list_runs('s-1'), 'a stream under way'
    )
    entry.process.send_signal(signal.SIGTERM)
    time.sleep(seconds)
    caller = callers.Caller(entry.listen)
    context.stack.callback(caller.close)
    return caller
