"""Command line of the soaks: one run for each seed, one JSON line for each."""

import argparse
import contextlib
import json
import pathlib
import tempfile
from typing import Callable

__all__ = ['EXIT_BROKEN', 'add_arguments', 'play']

EXIT_BROKEN = 1


def add_arguments(parser: argparse.ArgumentParser, seconds: float) -> None:
    """Add the arguments that all soaks have.

    :param seconds: default duration of a soak
    """
    parser.add_argument('--seed', type=int, default=1, help='first seed')
    parser.add_argument('--seeds', type=int, default=1, help='how many')
    parser.add_argument('--seconds', type=float, default=seconds)


def play(
    parsed: argparse.Namespace,
    run: Callable[[int, pathlib.Path], dict],
    keep: pathlib.Path | None = None,
) -> int:
    """Run a soak for each seed and print its counts.

    :param run: runs one soak by its seed and a folder for settings and logs;
        returns counts, with the violations under ``broken``
    :param keep: folder that keeps those of each seed, None to remove them
    :returns: the exit code
    """
    status = 0
    for seed in range(parsed.seed, parsed.seed + parsed.seeds):
        with contextlib.ExitStack() as stack:
            if keep:
                folder = keep / str(seed)
                folder.mkdir(parents=True, exist_ok=True)
            else:
                made = tempfile.TemporaryDirectory(prefix='dunlintide-')
                folder = pathlib.Path(stack.enter_context(made))
            figures = run(seed, folder)
        print(json.dumps(figures), flush=True)
        if figures['broken']:
            status = EXIT_BROKEN
    return status
