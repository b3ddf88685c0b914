"""Summary that a soak prints at its end."""

import collections
import json
import pathlib
from typing import Mapping

from dunlintide_trials import faultcontext
from dunlintide_trials import load

__all__ = ['count_exceptions', 'print_counts', 'print_findings', 'print_load']

_EXCEPTION = '"exc_info"'


def print_counts(title: str, counts: Mapping[str, int]) -> None:
    """Print a total and its parts by name."""
    print(f'{title}: {sum(counts.values())}')
    for name, count in sorted(counts.items()):
        print(f'  {count:6d} {name}')


def print_load(requests: load.Load) -> None:
    """Print the requests by kind and outcome."""
    print_counts('requests', requests.count_outcomes())
    quiet, span = requests.count_failing_seconds()
    print(f'seconds without a whole completion: {quiet} of {span}')


def count_exceptions(folder: pathlib.Path) -> collections.Counter[str]:
    """Count the exceptions that daemons logged, by their last line."""
    counts: collections.Counter[str] = collections.Counter()
    for log in folder.glob('*.log'):
        for line in log.read_text(errors='replace').splitlines():
            if _EXCEPTION in line and line.endswith('}'):
                text = json.loads(line).get('exc_info', '')
                counts[text.strip().splitlines()[-1]] += 1
    return counts


def print_findings(
    context: faultcontext.FaultContext, requests: load.Load
) -> None:
    """Print the findings of the faults and totals of the records."""
    print_counts('races of operators', collections.Counter(context.notes))
    crashes = collections.Counter(
        collections.Counter(context.crashes).values()
    )
    by_engines = {
        f'with {crashed}': count for crashed, count in crashes.items()
    }
    print_counts('prompts by the engines that they crashed', by_engines)
    answers = collections.Counter(
        f'{one.outcome} ({one.code})' for one in context.poison_answers
    )
    print_counts('requests that crash engines', answers)
    keys, repeats = requests.count_keyed()
    ran = len(context.runs.count_by_key())
    print(f'non-idempotent: {keys} asked, {ran} ran, {repeats} repeats')
    print(f'states of daemons read: {context.monitor.reads}')
    print(f'records lost with an endpoint: {context.unread_endpoints}')
    print_counts('exceptions logged', count_exceptions(context.folder))
