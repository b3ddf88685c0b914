"""Behave hooks: clean-up, log level and time limits."""

import contextlib
import faulthandler
import pathlib
import sys
import tempfile

from absl import logging
from dunlintide_trials import ports
import hypothesis

SCENARIO_SECONDS = 300
# Time allowed for threads to end after the last scenario; the process is
# ended if they take longer.
EXIT_SECONDS = 20

hypothesis.settings.register_profile(
    'repeatable', derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile('repeatable')


def _stop_actors() -> None:
    """Stop the pykka actors that a scenario left running."""
    pykka = sys.modules.get('pykka')
    if pykka is not None:
        pykka.ActorRegistry.stop_all(timeout=EXIT_SECONDS)


def before_all(context):
    """Set the log level to errors and share the root folder and ports."""
    logging.set_verbosity(logging.ERROR)
    context.root = pathlib.Path(__file__).resolve().parent.parent
    context.pick_ports = ports.pick_ports


def before_feature(context, feature):
    """Set ``context.shared`` and ``context.feature_stack``.

    ``context.shared`` is a dict for objects that are costly to create, such
    as a deployment; ``context.feature_stack`` closes them after the feature.
    """
    context.shared = {}
    context.feature_stack = contextlib.ExitStack()


def after_feature(context, feature):
    """Close the objects that the feature's scenarios shared."""
    context.feature_stack.close()


def before_scenario(context, scenario):
    """Set ``context.stack`` and ``context.make_folder``.

    ``context.stack`` is an exit stack closed after the scenario;
    ``context.make_folder()`` creates a folder that is removed with it.
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
    """Close the scenario's exit stack, actors and time limit."""
    try:
        context.stack.close()
    finally:
        _stop_actors()
        faulthandler.cancel_dump_traceback_later()


def after_all(context):
    """Dump the threads and end the process if it does not exit in time."""
    faulthandler.dump_traceback_later(
        EXIT_SECONDS, exit=True, file=sys.__stderr__
    )
