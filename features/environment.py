"""Hooks of the test run: clean-up, quiet logs and bounded time."""

import contextlib
import faulthandler
import pathlib
import sys
import tempfile

from absl import logging
from dunlintide_trials import ports
import hypothesis

SCENARIO_SECONDS = 300
# Threads still running this long after the last scenario end the run.
EXIT_SECONDS = 20

hypothesis.settings.register_profile(
    'repeatable', derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile('repeatable')


def _stop_actors() -> None:
    """Stop actors that a scenario left, when it used any."""
    pykka = sys.modules.get('pykka')
    if pykka is not None:
        pykka.ActorRegistry.stop_all(timeout=EXIT_SECONDS)


def before_all(context):
    """Keep the logs of the code under test out of the report."""
    logging.set_verbosity(logging.ERROR)
    context.root = pathlib.Path(__file__).resolve().parent.parent
    context.pick_ports = ports.pick_ports


def before_feature(context, feature):
    """Give the feature's scenarios ``shared`` and ``feature_stack``.

    ``context.shared`` is a dict for what is costly to make, such as a
    deployment; ``context.feature_stack`` closes it after the feature.
    """
    context.shared = {}
    context.feature_stack = contextlib.ExitStack()


def after_feature(context, feature):
    """Close what the feature's scenarios shared."""
    context.feature_stack.close()


def before_scenario(context, scenario):
    """Give the scenario ``stack`` and ``make_folder``.

    ``context.stack`` is an exit stack closed after the scenario;
    ``context.make_folder()`` makes a folder that goes with it.
    """
    faulthandler.dump_traceback_later(
        SCENARIO_SECONDS, exit=True, file=sys.__stderr__
    )
    context.stack = contextlib.ExitStack()

    def make_folder() -> pathlib.Path:
        folder = tempfile.TemporaryDirectory(prefix='dunlintide-')
        return pathlib.Path(context.stack.enter_context(folder))

    context.make_folder = make_folder


def after_scenario(context, scenario):
    """Close what the scenario opened."""
    try:
        context.stack.close()
    finally:
        _stop_actors()
        faulthandler.cancel_dump_traceback_later()


def after_all(context):
    """Show the threads that keep the process from ending, and end it."""
    faulthandler.dump_traceback_later(
        EXIT_SECONDS, exit=True, file=sys.__stderr__
    )
