"""Run a small deployment and check it step by step.

Each step is checked against the runs that the stand-ins record and
against the expected tokens; the exit code is 1 when a check fails.
"""

import argparse
import contextlib
import json
import pathlib
import shutil
import sys
import tempfile
import time

from dunlintide_trials import blueprints
from dunlintide_trials import demosteps
from dunlintide_trials import deployment
from dunlintide_trials import launcher
from dunlintide_trials import operators
from dunlintide_trials import processes
from dunlintide_trials import signals
from dunlintide_trials import topology

__all__ = ['main']

FOLDER = pathlib.Path('.demo')
TOPOLOGY = 'topology.json'
EXIT_WRONG = 1
EXIT_USAGE = 2


def _parse(arguments: list[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog='demo', description=__doc__)
    parser.add_argument('blueprint', type=pathlib.Path)
    parser.add_argument('--scale', choices=('small', 'full'), default='small')
    parser.add_argument('--keep', action='store_true')
    return parser.parse_args(arguments)


def _make_folder(stack: contextlib.ExitStack, keep: bool) -> pathlib.Path:
    if not keep:
        folder = tempfile.TemporaryDirectory(prefix='dunlintide-demo-')
        return pathlib.Path(stack.enter_context(folder))
    shutil.rmtree(FOLDER, ignore_errors=True)
    FOLDER.mkdir()
    return FOLDER


def _keep_running(running: deployment.Deployment) -> None:
    path = running.folder / TOPOLOGY
    # Other programs wait for the file, so it is renamed into place complete.
    draft = path.with_suffix('.part')
    draft.write_text(json.dumps(topology.describe(running), indent=2))
    draft.rename(path)
    demosteps.print_commands(running)
    print(f'\nRunning until Ctrl-C; addresses and keys are in {path}.')
    sys.stdout.flush()
    signals.wait_for_signal()
    path.unlink()
    print('Stopping.', flush=True)


def _run(options: argparse.Namespace) -> int:
    blueprint = blueprints.load_blueprint(options.blueprint)
    rules_path = options.blueprint.parent / blueprint.rules
    rules = operators.load_rules(rules_path)
    if options.scale == 'small':
        blueprint = blueprints.shrink(blueprint)
    with contextlib.ExitStack() as stack:
        stack.enter_context(signals.exit_on_signals())
        folder = _make_folder(stack, options.keep)
        begin = time.monotonic()
        running = stack.enter_context(launcher.run(blueprint, rules, folder))
        demosteps.print_start(running, time.monotonic() - begin)
        if options.keep:
            _keep_running(running)
            return 0
        problems = demosteps.run_steps(running)
    demosteps.print_end(running, problems, time.monotonic() - begin)
    return EXIT_WRONG if problems else 0


def main(arguments: list[str]) -> int:
    """Run the demo and return its exit code."""
    options = _parse(arguments)
    try:
        return _run(options)
    except (blueprints.BlueprintError, OSError, ValueError) as error:
        print(error, file=sys.stderr)
        return EXIT_USAGE
    except (processes.StartError, operators.CommandError) as error:
        print(error, file=sys.stderr)
        return EXIT_WRONG


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
