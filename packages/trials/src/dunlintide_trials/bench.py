"""Run benchmark cases and print one JSON object for each figure.

Usage: ``python -m dunlintide_trials.bench [GLOB]``. The exit code is 1
when a bound is broken or a case fails, 2 when no case has such a name.
"""

import fnmatch
import json
import sys
import traceback

import attrs

from dunlintide_trials import cases

__all__ = ['main', 'run_case']

EXIT_BROKEN = 1
EXIT_USAGE = 2


def run_case(name: str, case: cases.Case) -> bool:
    """Print the figures of a case; True when all bounds hold."""
    holds = True
    try:
        for figure in case():
            print(json.dumps(attrs.asdict(figure)), flush=True)
            holds = holds and figure.holds
    except Exception:
        # One broken case must not keep the others from being measured.
        traceback.print_exc()
        print(f'case {name} failed', file=sys.stderr, flush=True)
        return False
    return holds


def main(arguments: list[str]) -> int:
    """Run the cases that match the glob, all by default."""
    pattern = arguments[0] if arguments else '*'
    found = cases.find_cases()
    chosen = fnmatch.filter(found, pattern)
    if not chosen:
        known = ', '.join(found) or 'none'
        print(f'no case matches {pattern!r}; known: {known}', file=sys.stderr)
        return EXIT_USAGE
    results = [run_case(name, found[name]) for name in chosen]
    return 0 if all(results) else EXIT_BROKEN


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
