"""Checks after a soak that the deployment kept its guarantees."""

import collections
from typing import Iterable

from dunlintide_trials import deployment
from dunlintide_trials import load
from dunlintide_trials import processes
from dunlintide_trials import records

__all__ = ['check', 'check_crashes', 'check_recovered', 'check_revisions']

_RECOVERY_SECONDS = 30.0
_PROMPT = 'Is all well again?'
_MAX_TOKENS = 4


def _list_service_requests(requests: load.Load) -> list[records.SentRequest]:
    return [
        records.SentRequest(call.team, answer, key=call.key)
        for call in requests.calls
        for answer in call.answers
    ]


def check(
    running: deployment.Deployment,
    requests: load.Load,
    runs: records.RunRecords,
) -> list[str]:
    """List the violations of guarantees for requests.

    A complete response has the expected content; a request that was refused
    as not run did not run; a non-idempotent request ran at most once, and
    exactly once when it completed; no response belongs to another request.
    """
    violations: list[str] = []
    for asked in requests.completions:
        violations += records.check_text(
            asked, model=running.model, layers=running.layers
        )
    calls = _list_service_requests(requests)
    violations += runs.check_refusals([*requests.completions, *calls])
    violations += runs.check_teams([*requests.completions, *calls])
    keyed = [call for call in requests.calls if call.key]
    violations += runs.check_keyed((call.team, call.key) for call in keyed)
    violations += runs.check_unkeyed(
        answer.request_id
        for call in requests.calls
        if call.body and not call.key
        for answer in call.answers
    )
    keyed = [one for one in requests.completions if one.key]
    violations += runs.check_first_layers((one.team, one.key) for one in keyed)
    counts = runs.count_by_key()
    for call in requests.calls:
        violations += call.check()
        is_completed = any(answer.is_complete for answer in call.answers)
        if call.key and is_completed and not counts.get((call.team, call.key)):
            violations.append(f'key {call.key}: complete, but never ran')
    return violations


def check_crashes(crashes: Iterable[str], limit: int) -> list[str]:
    """List the prompts that crashed more engines than allowed.

    :param crashes: prompt of each crash
    :param limit: maximum crashes by one prompt
    """
    counts = collections.Counter(crashes)
    return [
        f'{prompt}: crashed {count} engines, more than {limit}'
        for prompt, count in sorted(counts.items())
        if count > limit
    ]


def check_revisions(shown: dict[str, int], accepted: list[int]) -> list[str]:
    """List the daemons that are behind the newest accepted revision.

    :param shown: revision that each daemon reports
    :param accepted: revisions that were accepted from operators
    """
    newest = max(accepted, default=0)
    violations = [
        f'{name} shows revision {revision}, {newest} was accepted'
        for name, revision in shown.items()
        if revision < newest
    ]
    if len(set(shown.values())) > 1:
        violations.append(f'daemons show different revisions: {shown}')
    return violations


def check_recovered(running: deployment.Deployment) -> list[str]:
    """List the entries that don't complete a request in time."""
    team = next(iter(running.keys))
    violations = []
    for number, entry in enumerate(running.plan.entries):
        caller = running.make_caller(number, team)

        def completes() -> bool:
            answer = caller.complete(
                _PROMPT, model=running.model, max_tokens=_MAX_TOKENS
            )
            return answer.is_complete

        if not processes.wait_for(completes, _RECOVERY_SECONDS, pause=0.2):
            violations.append(
                f'{entry.name} completed no request within '
                f'{_RECOVERY_SECONDS:.0f} s'
            )
    return violations
