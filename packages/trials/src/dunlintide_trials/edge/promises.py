"""Checks that entries kept their guarantees for callers and endpoints."""

from typing import Iterator

from dunlintide_standins.fleet import operators
from dunlintide_trials.edge import backoffs
from dunlintide_trials.edge import disruptions
from dunlintide_trials.edge import loads
from dunlintide_trials.edge import partcrashes
from dunlintide_trials.edge import soakdemand
from dunlintide_trials.edge import soakscene
from dunlintide_trials.edge import windows

__all__ = ['MAX_ENTRY_BYTES', 'list_violations']

# Memory that an entry may take, in bytes.
MAX_ENTRY_BYTES = 200 << 20
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Maximum seconds until entries in touch stop sending requests to a draining
# endpoint.
DRAIN_SECONDS = 2.0
# Time before an endpoint's answer from which a fault of the entry that gets
# the answer counts, in seconds.
ANSWER_SECONDS = 0.5


def _build_events(name: str, first: int, last: int) -> bytes:
    return b''.join(
        b'id: %d\ndata: %s-%d\n\n' % (number, name.encode(), number)
        for number in range(first, last + 1)
    )


def _check_stream(request: soakscene.SentRequest) -> Iterator[str]:
    if request.status != 200:
        return
    expected = _build_events(request.name, 1, request.count)
    if request.is_complete and request.body != expected:
        yield (
            f'{request.name}: complete, but not the expected {request.count}'
            ' events'
        )
    if not expected.startswith(request.body):
        yield (
            f'{request.name}: events missing, repeated or from another request'
        )


def _check_call(request: soakscene.SentRequest) -> Iterator[str]:
    if request.status != 200 or not request.is_complete:
        return
    if request.body != b'answer to ' + request.name.encode():
        yield f'{request.name}: unexpected body {request.body[:60]!r}'


def _check_runs(
    soak: soakscene.SoakScene, request: soakscene.SentRequest
) -> Iterator[str]:
    runs = soak.scene.fleet.list_runs(request.name)
    if request.kind == soakscene.ONCE and len(runs) > 1:
        yield f'{request.name}: may run once, ran {len(runs)} times'
    if (
        request.kind != soakscene.REPEATABLE
        and request.status in NOT_RUN_STATUSES
        and runs
    ):
        if request.kind == soakscene.ONCE:
            yield f'{request.name}: refused with {request.status}, but ran'
    for run in runs:
        yield from _check_run(request, run)


def _check_run(request: soakscene.SentRequest, run) -> Iterator[str]:
    if run.headers.get('tenant') != request.terms.team:
        yield f'{request.name}: ran for team {run.headers.get("tenant")}'
    if 'authorization' in run.headers:
        yield f'{request.name}: the API key reached an endpoint'
    position = 0
    for _, first, last in run.hops:
        if first != position:
            yield f'{request.name}: gap or overlap of layers in {run.hops}'
            return
        position = last
    if run.hops and position != operators.LAYERS:
        yield (
            f'{request.name}: not all {operators.LAYERS} layers in {run.hops}'
        )


def _check_drains(soak: soakscene.SoakScene) -> Iterator[str]:
    """Check what reached endpoints that the store said to leave."""
    sent_times = {request.name: request.sent for request in soak.requests}
    for name, began in soak.drains:
        if not soak.disruptions.is_store_stable(began):
            continue
        for runner in soak.scene.fleet.runners:
            for run in runner.runs:
                late = run.began - began
                if run.runner != name or late <= DRAIN_SECONDS:
                    continue
                entry = loads.find_entry(run.request)
                sent = sent_times.get(run.request, run.began)
                if soak.disruptions.was_in_touch(entry, sent, run.began):
                    yield (
                        f'{run.request}: began at {name} {late:.2f} s after'
                        f' the drain, more than {DRAIN_SECONDS} s'
                    )


def _check_limit(
    soak: soakscene.SoakScene, period: soakscene.LimitPeriod
) -> Iterator[str]:
    """Check the request rate in windows without a fault of an entry."""
    first = period.since + windows.STABLE_SECONDS
    inside = [
        at for at in period.runner.arrivals if first <= at < period.until
    ]
    for start in inside:
        end = start + windows.WINDOW_SECONDS
        if end > period.until or any(
            start - disruptions.STABLE_SECONDS < at < end
            for at in soak.entry_fault_times
        ):
            continue
        count = sum(start <= at < end for at in inside)
        allowed = windows.compute_max_requests(period.limit)
        if count > allowed:
            yield (
                f'{period.runner.name}: {count} requests in a window,'
                f' {allowed:.0f} allowed'
            )
            return


def _check_notices(soak: soakscene.SoakScene) -> Iterator[str]:
    """Check what reached endpoints that asked for a pause or left."""

    def is_excused(entry: str, first: float, last: float) -> bool:
        return soak.had_event(entry, first - ANSWER_SECONDS, last)

    sent_times = {request.name: request.sent for request in soak.requests}
    for runner in soak.scene.fleet.runners:
        yield from backoffs.list_backoff_violations(
            runner, loads.find_entry, is_excused
        )
        yield from backoffs.list_leaving_violations(
            runner, loads.find_entry, sent_times, DRAIN_SECONDS, is_excused
        )


def _check_versions(soak: soakscene.SoakScene) -> Iterator[str]:
    """Check when configurations were in force."""

    return soak.versions.list_violations(soak.disruptions, soak.had_event)


def _check_parts(soak: soakscene.SoakScene) -> Iterator[str]:
    """Check what streams with parts that crash engines did."""
    fleet = soak.scene.fleet

    def is_excused(entry: str, first: float, last: float) -> bool:
        return not soak.disruptions.was_in_touch(entry, last, last)

    late = partcrashes.list_late_sends(fleet, loads.find_entry, is_excused)
    for part, names in late.items():
        if len(names) > partcrashes.MAX_LATE:
            yield f'{part}: reached engines {len(names)} times too late'
    for entry in soak.scene.entries:
        for row in entry.list_events('part suspected'):
            if fleet.crashing_parts.isdisjoint(row['parts']):
                yield f'{entry.name}: refused sound parts {row["parts"]}'


def _check_starving(soak: soakscene.SoakScene) -> Iterator[str]:
    """Check that no priority starved in periods without a fault."""
    streams = [
        (request.sent, request.terms.priority, request.is_whole)
        for request in soak.requests
        if request.kind == soakscene.STREAM
    ]
    return soakdemand.list_starved(streams, soak.list_calm_periods())


def list_violations(soak: soakscene.SoakScene) -> list[str]:
    """List the violations of guarantees, one line each."""
    violations = []
    for request in soak.requests:
        check = (
            _check_stream if request.kind == soakscene.STREAM else _check_call
        )
        violations += check(request)
        violations += _check_runs(soak, request)
    violations += _check_drains(soak)
    violations += _check_notices(soak)
    violations += _check_versions(soak)
    violations += _check_parts(soak)
    violations += _check_starving(soak)
    for period in soak.limits:
        violations += _check_limit(soak, period)
    for runner in soak.scene.fleet.runners:
        if runner.overloaded:
            violations.append(f'{runner.name}: ordered more layers than fit')
    if soak.largest_bytes > MAX_ENTRY_BYTES:
        violations.append(f'an entry took {soak.largest_bytes} bytes')
    return violations
