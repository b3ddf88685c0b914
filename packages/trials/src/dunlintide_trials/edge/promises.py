"""Checks that entries kept their guarantees for callers and endpoints."""

from typing import Iterator

from dunlintide_standins.fleet import operators
from dunlintide_trials.edge import soakscene as fields
from dunlintide_trials.edge import windows

__all__ = ['list_broken']

NOT_RUN = (408, 421, 429, 503)
# Maximum seconds until all connected entries stop sending requests to a
# draining endpoint, and seconds for which a fault may disconnect an entry.
DRAIN_SECONDS = 2.0
TROUBLE_SECONDS = 10.0


def _build_events(name: str, first: int, last: int) -> bytes:
    return b''.join(
        b'id: %d\ndata: %s-%d\n\n' % (number, name.encode(), number)
        for number in range(first, last + 1)
    )


def _check_stream(asked: fields.Asked) -> Iterator[str]:
    if asked.status != 200:
        return
    expected = _build_events(asked.name, 1, asked.count)
    if asked.whole and asked.body != expected:
        yield (
            f'{asked.name}: complete, but not the expected {asked.count}'
            ' events'
        )
    if not expected.startswith(asked.body):
        yield (
            f'{asked.name}: events missing, repeated or from another request'
        )


def _check_call(asked: fields.Asked) -> Iterator[str]:
    if asked.status != 200 or not asked.whole:
        return
    if asked.body != b'answer to ' + asked.name.encode():
        yield f'{asked.name}: unexpected body {asked.body[:60]!r}'


def _check_runs(field: fields.Field, asked: fields.Asked) -> Iterator[str]:
    runs = field.scene.fleet.list_runs(asked.name)
    if asked.kind == fields.ONCE and len(runs) > 1:
        yield f'{asked.name}: may run once, ran {len(runs)} times'
    if asked.kind != fields.REPEATABLE and asked.status in NOT_RUN and runs:
        if asked.kind == fields.ONCE:
            yield f'{asked.name}: told {asked.status}, but ran'
    for run in runs:
        yield from _check_run(asked, run)


def _check_run(asked: fields.Asked, run) -> Iterator[str]:
    if run.headers.get('tenant') != 'diner':
        yield f'{asked.name}: ran for team {run.headers.get("tenant")}'
    if 'authorization' in run.headers:
        yield f'{asked.name}: the API key reached an endpoint'
    position = 0
    for _, first, last in run.hops:
        if first != position:
            yield f'{asked.name}: gap or overlap of layers in {run.hops}'
            return
        position = last
    if run.hops and position != operators.LAYERS:
        yield f'{asked.name}: not all {operators.LAYERS} layers in {run.hops}'


def _check_drains(field: fields.Field) -> Iterator[str]:
    troubles = field.store_troubles + field.entry_troubles
    for name, began in field.drains:
        if any(
            began - TROUBLE_SECONDS < at < began + TROUBLE_SECONDS
            for at in troubles
        ):
            continue
        for runner in field.scene.fleet.runners:
            for run in runner.runs:
                if run.runner == name and run.began > began + DRAIN_SECONDS:
                    late = run.began - began
                    yield (
                        f'{run.request}: began at {name} {late:.2f} s after'
                        f' the drain, more than {DRAIN_SECONDS} s'
                    )


def _check_limit(
    field: fields.Field, limited: fields.Limited
) -> Iterator[str]:
    """Check the request rate in windows without a fault of an entry."""
    first = limited.since + windows.STABLE_SECONDS
    inside = [
        at for at in limited.runner.arrivals if first <= at < limited.until
    ]
    for start in inside:
        end = start + windows.WINDOW_SECONDS
        if end > limited.until or any(
            start - TROUBLE_SECONDS < at < end for at in field.entry_troubles
        ):
            continue
        count = sum(start <= at < end for at in inside)
        allowed = windows.count_allowed(limited.limit)
        if count > allowed:
            yield (
                f'{limited.runner.name}: {count} requests in a window,'
                f' {allowed:.0f} allowed'
            )
            return


def list_broken(field: fields.Field) -> list[str]:
    """List the violations of guarantees, one line each."""
    broken = []
    for asked in field.asked:
        check = _check_stream if asked.kind == fields.STREAM else _check_call
        broken += check(asked)
        broken += _check_runs(field, asked)
    broken += _check_drains(field)
    for limited in field.limits:
        broken += _check_limit(field, limited)
    for runner in field.scene.fleet.runners:
        if runner.overloaded:
            broken.append(f'{runner.name}: ordered more layers than fit')
    return broken
