"""Run the features side by side, each in a process of its own.

Reports go to one JSON file a feature. Half of the cores run at a time,
since the features start many processes themselves and check times.
"""

from concurrent import futures
import os
import pathlib
import subprocess
import sys
import time

__all__ = ['main']

FEATURES = pathlib.Path('features')
# A feature that takes longer is ended and fails, in seconds.
FEATURE_SECONDS = 1200
# Features that take longest begin first, so that none runs on alone.
SLOWEST = (
    'endlessanswers',
    'endlessstreams',
    'partcrashes',
    'backoffs',
    'drains',
    'outcomes',
    'placement',
    'agent',
    'recovery',
    'tls',
    'entry',
    'poison',
    'fairness',
    'limits',
    'fleet',
    'promises',
    'product',
)


def _list_features() -> list[pathlib.Path]:
    rank = {name: place for place, name in enumerate(SLOWEST)}
    return sorted(
        FEATURES.glob('*.feature'),
        key=lambda path: (rank.get(path.stem, len(rank)), path.stem),
    )


def _run(feature: pathlib.Path, folder: pathlib.Path) -> tuple[str, int, str]:
    """Run one feature.

    :returns: its name, the exit code and what it printed
    """
    report = folder / f'{feature.stem}.json'
    command = [
        'behave',
        '--format',
        'json',
        '--outfile',
        str(report),
        '--format',
        'progress',
        str(feature),
    ]
    began = time.monotonic()
    try:
        done = subprocess.run(
            command,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            timeout=FEATURE_SECONDS,
        )
        code, text = done.returncode, done.stdout
    except subprocess.TimeoutExpired as error:
        code, text = 1, f'{error}\n'
    if not report.exists():
        report.write_text('')
    seconds = time.monotonic() - began
    return f'{feature.stem} ({seconds:.0f} s)', code, text


def main(folder: str, jobs: str = '') -> int:
    """Run all features and print what the failed ones printed.

    :param folder: where the reports go
    :param jobs: features at a time; half of the cores if empty
    """
    reports = pathlib.Path(folder)
    reports.mkdir(parents=True, exist_ok=True)
    workers = int(jobs) if jobs else max(1, (os.cpu_count() or 2) // 2)
    failed = 0
    with futures.ThreadPoolExecutor(workers) as pool:
        runs = [pool.submit(_run, each, reports) for each in _list_features()]
        for run in futures.as_completed(runs):
            name, code, text = run.result()
            print(f'{"failed" if code else "passed"}: {name}', flush=True)
            if code:
                failed = 1
                print(text, flush=True)
    return failed


if __name__ == '__main__':
    sys.exit(main(*sys.argv[1:]))
