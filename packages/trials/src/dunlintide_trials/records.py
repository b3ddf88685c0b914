"""Checks of responses against the runs that the stand-ins recorded."""

import collections
from typing import Any, Iterable

import attrs

from dunlintide_core import outcomes
from dunlintide_standins import reference
from dunlintide_trials import client

__all__ = [
    'SentRequest',
    'RunRecords',
    'check_text',
    'compute_text',
]


@attrs.frozen
class SentRequest:
    """One request of a trial with its response.

    :ivar team: team that sent the request
    :ivar prompt: prompt of a completion, empty for a service call
    :ivar max_tokens: token limit of a completion
    :ivar key: idempotency key, empty without one
    """

    team: str
    answer: client.Answer
    prompt: str = ''
    max_tokens: int = 0
    key: str = ''


def compute_text(
    prompt: str, max_tokens: int, *, model: str, layers: int
) -> str:
    """Compute the expected text of a completion by all layers."""
    tokens = reference.expected_tokens(prompt, max_tokens, layers, model)
    return ''.join(token.text for token in tokens)


def check_text(asked: SentRequest, *, model: str, layers: int) -> list[str]:
    """List the errors in a completion's text.

    The text of an incomplete response must be a prefix of the expected
    text: no token is missing, repeated or from another request.
    """
    expected = compute_text(
        asked.prompt, asked.max_tokens, model=model, layers=layers
    )
    answer = asked.answer
    if answer.is_complete and answer.text != expected:
        return [f'{answer.request_id}: complete, but not the right text']
    if not expected.startswith(answer.text):
        return [f'{answer.request_id}: not a beginning of the right text']
    return []


class RunRecords:
    """Runs that the endpoints recorded, kept across their restarts."""

    def __init__(self) -> None:
        self._runs: dict[tuple[str, int], list[dict[str, Any]]] = {}
        self._restarts: collections.Counter[str] = collections.Counter()

    def replace_runs(self, endpoint: str, runs: list[dict[str, Any]]) -> None:
        """Replace the runs that are known since an endpoint's last start."""
        self._runs[endpoint, self._restarts[endpoint]] = runs

    def note_restart(self, endpoint: str) -> None:
        """Note that an endpoint ended and starts with an empty record."""
        self._restarts[endpoint] += 1

    def _iterate_runs(self) -> Iterable[dict[str, Any]]:
        for runs in self._runs.values():
            yield from runs

    def find(self, request_id: str) -> list[dict[str, Any]]:
        """List the runs of a request."""
        return [
            run
            for run in self._iterate_runs()
            if run['request_id'] == request_id
        ]

    def count_by_key(self) -> dict[tuple[str, str], int]:
        """Count the runs of each team and idempotency key."""
        return collections.Counter(
            (run['member'], run['idempotency_key'])
            for run in self._iterate_runs()
            if run['idempotency_key']
        )

    def check_refusals(self, asked: Iterable[SentRequest]) -> list[str]:
        """List the requests that were reported as not run, but ran."""
        ran = {run['request_id'] for run in self._iterate_runs()}
        return [
            f'{one.answer.request_id}: told not-run ({one.answer.code}), '
            'but it ran'
            for one in asked
            if one.answer.outcome == outcomes.Outcome.NOT_RUN
            and one.answer.request_id in ran
        ]

    def check_keyed(self, keys: Iterable[tuple[str, str]]) -> list[str]:
        """List the keys of non-idempotent calls that ran more than once.

        :param keys: team and idempotency key of each service call
        """
        counts = self.count_by_key()
        return [
            f'{team}, key {key}: ran {counts[team, key]} times'
            for team, key in sorted(set(keys))
            if counts.get((team, key), 0) > 1
        ]

    def check_unkeyed(self, request_ids: Iterable[str]) -> list[str]:
        """List the calls without a key that ran more than once.

        :param request_ids: ids of non-idempotent calls without a key
        """
        counts = collections.Counter(
            run['request_id'] for run in self._iterate_runs()
        )
        return [
            f'{one}: ran {counts[one]} times, without a key'
            for one in sorted(set(request_ids))
            if one and counts[one] > 1
        ]

    def check_first_layers(self, keys: Iterable[tuple[str, str]]) -> list[str]:
        """List the keyed completions whose first layers ran too often.

        The first layers of a completion may run for one request only, in
        one incarnation of one endpoint, and once in each epoch.

        :param keys: team and idempotency key of each completion
        """
        started = collections.defaultdict(list)
        for incarnation, runs in self._runs.items():
            for run in runs:
                if run.get('layer_start') == 0 and run['idempotency_key']:
                    key = (run['member'], run['idempotency_key'])
                    started[key].append(
                        (incarnation, run['request_id'], run['epoch'])
                    )
        violations = []
        for team, key in sorted(set(keys)):
            found = started.get((team, key), [])
            lineages = {
                (incarnation, request) for incarnation, request, _ in found
            }
            if len(lineages) > 1 or len(set(found)) < len(found):
                violations.append(f'{team}, key {key}: began as {found}')
        return violations

    def check_teams(self, asked: Iterable[SentRequest]) -> list[str]:
        """List the requests that ran on behalf of another team."""
        teams = {one.answer.request_id: one.team for one in asked}
        return [
            f'{run["request_id"]}: ran as {run["member"]}, was sent by '
            f'{teams[run["request_id"]]}'
            for run in self._iterate_runs()
            if teams.get(run['request_id'], run['member']) != run['member']
        ]
