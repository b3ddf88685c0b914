"""Delays that callers see after the loss of processes."""

import collections
import itertools
import statistics
import threading
import time
from typing import Callable, Iterator

from dunlintide_core import outcomes
from dunlintide_trials import client
from dunlintide_trials import deployment
from dunlintide_trials import figures
from dunlintide_trials import launcher
from dunlintide_trials import processes
from dunlintide_trials import records
from dunlintide_trials import stagelosses
from dunlintide_trials import steady

__all__ = ['CASES']

ROUNDS = 5
TOKENS = 60
PROMPT = 'Write the dinner specials of a diner on the interstate'
ENTRY_BOUND_SECONDS = 5.0

THREADS = 6
SHORT_TOKENS = 8
WARM_SECONDS = 4.0
AFTER_SECONDS = 12.0
# A request is disturbed when it takes this multiple of the usual duration.
SLOW_FACTOR = 4.0
# Delay of the host list in seconds; that of a real platform may lag a minute.
LIST_LAG_SECONDS = 10.0
DOMAIN_BOUND_SECONDS = 8.0
STAGE_PROMPTS = (32, 512)
KINDS = (stagelosses.AGENT, stagelosses.ENGINE)
STAGE_ROUNDS = 2
STAGE_BOUND_SECONDS = 2.0
_WAIT_SECONDS = 30.0
_REPEAT_SECONDS = 0.1
# The links of killed processes close at once; the loss of paused processes
# is only detected by timeouts.
_FAULTS: dict[str, Callable[[processes.Process], None]] = {
    'killed': processes.Process.kill,
    'vanished': processes.Process.pause,
}


def _wait_tokens(running: deployment.Deployment, key: str) -> None:
    """Wait until a keyed request has some tokens."""

    def has_tokens() -> bool:
        return any(
            run['idempotency_key'] == key and run['positions'] > TOKENS // 2
            for run in running.read_runs(deployment.ENGINE)
        )

    if not processes.wait_for(has_tokens, _WAIT_SECONDS, pause=0.005):
        raise RuntimeError(
            f'request {key} had too few tokens after {_WAIT_SECONDS:.0f} s'
        )


def _kill_entry(
    running: deployment.Deployment, key: str, repeat_key: str
) -> float:
    """Kill an entry during a stream and repeat the request elsewhere.

    :param key: idempotency key of the request
    :param repeat_key: idempotency key of the repeat
    :returns: seconds from the kill to the end of the response
    """
    team = next(iter(running.keys))
    callers = [running.make_caller(entry, team) for entry in (0, 1)]

    def ask(caller: client.Caller, key: str) -> client.Answer:
        return caller.complete(
            PROMPT,
            model=running.model,
            max_tokens=TOKENS,
            stream=True,
            idempotency_key=key,
        )

    first = threading.Thread(target=ask, args=(callers[0], key))
    first.start()
    _wait_tokens(running, key)
    killed = time.monotonic()
    running.started['entry-0'].kill()
    answer = ask(callers[1], repeat_key)
    while answer.outcome == outcomes.Outcome.NOT_RUN:
        # A request that was reported as not run may be sent again.
        time.sleep(_REPEAT_SECONDS)
        answer = ask(callers[1], repeat_key)
    first.join()
    request = records.SentRequest(team, answer, PROMPT, TOKENS)
    wrong = records.check_text(
        request, model=running.model, layers=running.layers
    )
    if wrong or not answer.is_complete:
        raise RuntimeError(f'{answer.outcome}: {answer.error} {wrong}')
    running.restart('entry-0')
    return answer.ended - killed


def measure_entry() -> Iterator[figures.Figure]:
    """Measure the time from an entry's kill to a response by another."""
    found, fresh = [], []
    with launcher.run_small() as running:
        for agent in running.plan.agents:
            if agent.endpoint.kind == deployment.ENGINE:
                name = agent.endpoint.standin.name
                running.control(name, slow_factor=3.0)
        for number in range(ROUNDS):
            key = f'recovery-{number}'
            found.append(_kill_entry(running, key, key))
            other = f'recovery-other-{number}'
            fresh.append(_kill_entry(running, other, f'{other}-anew'))
    yield figures.at_most(
        'recovery.entry',
        round(statistics.median(found), 3),
        's',
        ENTRY_BOUND_SECONDS,
        round(statistics.median(fresh), 3),
        f'median of {ROUNDS}, kill -9 in the midst of {TOKENS} tokens to the '
        'whole answer under the same key; baseline: asked anew',
    )


def _remove_domain(
    running: deployment.Deployment, gone: str, since: float
) -> float:
    """Remove a failure domain from the host list with its lag.

    :param since: monotonic time of the loss in seconds
    :returns: seconds from the loss until the host list shows it
    """
    name = running.plan.host_list.name
    url = f'{running.plan.host_list.url}/hosts'
    hosts = running.get_json(url)['hosts']
    kept = [one for one in hosts if one['failure_domain'] != gone]
    running.control(name, hosts=kept, lag_seconds=LIST_LAG_SECONDS)
    running.control(name, hosts=kept)

    def is_removed() -> bool:
        return len(running.get_json(url)['hosts']) == len(kept)

    if not processes.wait_for(is_removed, 2 * LIST_LAG_SECONDS):
        raise RuntimeError(
            'the host list did not change within '
            f'{2 * LIST_LAG_SECONDS:.0f} s'
        )
    return time.monotonic() - since


def _lose_domain(
    fault: str, domain: str
) -> tuple[steady.SteadyLoad, float, float]:
    """Lose a failure domain under load.

    :param fault: key of ``_FAULTS``
    :param domain: failure domain to lose
    :returns: the load, the monotonic time of the loss in seconds, and the
        seconds until the host list showed it
    """
    with launcher.run_small() as running:
        entries = [
            number
            for number, entry in enumerate(running.plan.entries)
            if entry.failure_domain != domain
        ]
        load = steady.SteadyLoad(running, entries, THREADS, SHORT_TOKENS)
        load.start()
        time.sleep(WARM_SECONDS)
        lost = time.monotonic()
        for process in running.started.values():
            if process.failure_domain == domain:
                _FAULTS[fault](process)
        list_seconds = _remove_domain(running, domain, lost)
        time.sleep(max(0.0, AFTER_SECONDS - list_seconds))
        load.stop()
    return load, lost, list_seconds


def measure_domain() -> Iterator[figures.Figure]:
    """Measure the time for which the loss of a domain disturbs requests."""
    for fault in _FAULTS:
        # The last domain of the small deployment has no plain service.
        load, lost, list_seconds = _lose_domain(fault, 'temple')
        disturbed = load.find_disturbed(lost, SLOW_FACTOR)
        last = max((one.ended for one in disturbed), default=lost)
        after = [one for one in load.samples if one.ended > lost]
        failed = collections.Counter(
            f'{one.outcome} ({one.code})' if one.code else one.outcome
            for one in after
            if not one.is_complete
        )
        kinds = ', '.join(f'{n} {name}' for name, n in failed.items())
        yield figures.at_most(
            f'recovery.domain.{fault}',
            round(last - lost, 3),
            's',
            DOMAIN_BOUND_SECONDS,
            round(list_seconds, 3),
            f'until all requests are complete in under {SLOW_FACTOR:.0f} '
            f'times the usual; {len(after)} requests after the loss, '
            f'{len(disturbed)} disturbed, not complete: {kinds or "none"}; '
            'baseline: until the host list showed the loss',
        )


def measure_stage() -> Iterator[figures.Figure]:
    """Compare replay of a lost stage with a restart of all stages."""
    losses: dict[tuple[str, str, int], stagelosses.StageLoss] = {}
    for recovery, kind in itertools.product(('restart', 'replay'), KINDS):
        # New processes for each run, as an entry starts with ten retries.
        with stagelosses.run(recovery) as running:
            for words in STAGE_PROMPTS:
                losses[recovery, kind, words] = stagelosses.merge(
                    stagelosses.kill_stage(
                        running, kind, f'{words}-{number}', words
                    )
                    for number in range(STAGE_ROUNDS)
                )
    for kind, words in itertools.product(KINDS, STAGE_PROMPTS):
        yield from _report_stage(
            f'recovery.stage.{kind}_killed.prompt_{words}',
            losses['replay', kind, words],
            losses['restart', kind, words],
        )


def _report_stage(
    case: str, replay: stagelosses.StageLoss, restart: stagelosses.StageLoss
) -> Iterator[figures.Figure]:
    note = f'{len(replay.seconds)} streams, baseline: restart all'
    for part in (0.5, 0.95):
        yield figures.at_most(
            f'{case}.p{part * 100:.0f}',
            replay.compute_percentile(part),
            's',
            STAGE_BOUND_SECONDS,
            restart.compute_percentile(part),
            f'kill to next token, {note}',
        )
    recomputed = statistics.fmean(replay.recomputed)
    base = statistics.fmean(restart.recomputed)
    # One of three stages is replayed, and the steps in flight run again.
    yield figures.at_most(
        f'{case}.again', recomputed, 'layer-steps', base / 2, base, note
    )
    kept = 'mean of a stream at an agent, 8 bytes a position'
    yield figures.plain(
        f'{case}.kept', statistics.fmean(replay.kept), 'bytes', None, kept
    )
    wrong = (
        'streams lost, cut or with a wrong token; the budgets denied '
        f'{replay.denied} retries, in the baseline {restart.denied}; {note}'
    )
    yield figures.at_most(
        f'{case}.wrong', replay.wrong, 'streams', 0, restart.wrong, wrong
    )


CASES = [measure_entry, measure_domain, measure_stage]
