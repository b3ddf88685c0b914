"""Faults of a soak from people: concurrent edits and crashing prompts."""

import copy
import json
import subprocess
import threading

from dunlintide_cli import files
from dunlintide_trials import blueprints
from dunlintide_trials import faultcontext
from dunlintide_trials import operators

__all__ = ['FAULTS', 'MAX_CRASHES']

# Limit for one request and its repeats, see docs/design/poison.md.
MAX_CRASHES = 3
_RACE_TARGET = 'race'
_POISON_TARGET = 'poison'
_POISON_REQUESTS = 4
_MAX_TOKENS = 4
_OPERATORS = ('anna', 'ben')


def _apply_edit(
    context: faultcontext.FaultContext,
    operator: str,
    base: int,
    accepted: list[int],
) -> None:
    """Edit the rules and apply them with a revision as their base.

    :param accepted: gets the new revision when the command succeeds
    """
    document = copy.deepcopy(context.running.rules)
    document['rules'][-1]['name'] = f'default-{operator}-{base}'
    path = context.folder / f'rules-{operator}.jsonc'
    mark = files.format_base_comment(base)
    path.write_text(f'{mark}\n{json.dumps(document)}')
    store = context.running.plan.store.url
    try:
        report = operators.run_command(
            'rules', 'apply', str(path), '--store', store
        )
    except subprocess.TimeoutExpired:
        context.notes.append('race: a command timed out')
        return
    if report.exit_code == 0:
        accepted.append(files.parse_base_revision(path.read_text()) or 0)


def race_operators(
    context: faultcontext.FaultContext,
) -> faultcontext.Heal | None:
    """Let two operators apply different rules with the same base."""
    if not context.reserve_name(_RACE_TARGET):
        return None
    base = max([context.newest_revision, *context.accepted])
    accepted: list[int] = []

    def race() -> None:
        threads = [
            threading.Thread(
                target=_apply_edit, args=(context, one, base, accepted)
            )
            for one in _OPERATORS
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        if len(accepted) > 1:
            context.violations.append(
                f'two edits of revision {base} were accepted'
            )
        context.accepted += accepted
        context.notes.append(f'race: {len(accepted)} accepted')
        context.release(_RACE_TARGET)

    context.run_in_background(race)
    return lambda: None


def send_poison(
    context: faultcontext.FaultContext,
) -> faultcontext.Heal | None:
    """Send a prompt that crashes engines several times."""
    if not context.reserve_name(_POISON_TARGET):
        return None
    number = context.rng.getrandbits(32)
    prompt = f'{blueprints.CRASH_MARKER} {number:08x}'
    count = len(context.running.plan.entries)

    def send() -> None:
        for sending in range(_POISON_REQUESTS):
            caller = context.running.make_caller(
                sending % count, context.poison_team
            )
            answer = caller.complete(
                prompt, model=context.running.model, max_tokens=_MAX_TOKENS
            )
            caller.close()
            context.poison_answers.append(answer)
            if answer.is_complete:
                context.violations.append(f'{prompt}: completed, must fail')
        context.release(_POISON_TARGET)

    context.run_in_background(send)
    return lambda: None


FAULTS: tuple[faultcontext.Fault, ...] = (race_operators, send_poison)
